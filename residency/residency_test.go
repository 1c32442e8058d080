package residency_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/residency"
)

// A region outside any list, or one that is not known, must not count as allowed.
func TestRegionOutsideAListIsNotAllowed(t *testing.T) {
	tests := []struct {
		name, region string
		lists        [][]string
		want         bool
	}{
		{"no list", "a", nil, true},
		{"no list, unknown region", "", nil, true},
		{"empty lists", "a", [][]string{nil, {}}, true},
		{"in the list", "a", [][]string{{"b", "a"}}, true},
		{"outside the list", "c", [][]string{{"b", "a"}}, false},
		{"unknown region", "", [][]string{{"a"}}, false},
		{"unknown region, empty name in the list", "", [][]string{{""}}, false},
		{"in the route's list only", "a", [][]string{{"a", "b"}, {"b"}}, false},
		{"in both lists", "b", [][]string{{"a", "b"}, {"b"}}, true},
		{"lists that contradict each other", "a", [][]string{{"a"}, {"b"}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(residency.Allows(tt.region, tt.lists...), tt.want)
		})
	}
}

// The intersection must allow a region exactly if Allows does, and must not change the lists.
func TestIntersectAgreesWithAllows(t *testing.T) {
	is := is.New(t)
	regions := []string{"a", "b", "c"}
	subsets := [][]string{nil, {"a"}, {"b"}, {"c"}, {"a", "b"}, {"c", "a"}, {"b", "c"}, {"a", "b", "c"}}
	for _, first := range subsets {
		for _, second := range subsets {
			for _, third := range subsets {
				before := slices.Clone(first)
				common, restricted := residency.Intersect(first, second, third)
				is.Equal(first, before)
				for _, region := range regions {
					is.Equal(!restricted || slices.Contains(common, region), residency.Allows(region, first, second, third))
				}
			}
		}
	}
}
