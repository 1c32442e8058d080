package fleet

import (
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
