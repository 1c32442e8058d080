package operator

import (
	"fmt"
	"io"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/settings"
)

// Change is one key whose value differs between two bundles. An empty Old means that the
// key was added, an empty New that it was removed.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// Diff returns the keys that differ between two bundles. It compares them with all defaults
// written out, so that the order of keys, comments and written-out defaults are no changes.
func Diff(before, after *config.Bundle) []Change {
	old, oldOrder := flatten(before)
	next, nextOrder := flatten(after)
	var changes []Change
	for _, k := range nextOrder {
		if old[k] != next[k] {
			changes = append(changes, Change{k.section, k.key, old[k], next[k]})
		}
	}
	for _, k := range oldOrder {
		if _, kept := next[k]; !kept {
			changes = append(changes, Change{k.section, k.key, old[k], ""})
		}
	}
	return changes
}

type keyPath struct{ section, key string }

func flatten(b *config.Bundle) (values map[keyPath]string, order []keyPath) {
	values = make(map[keyPath]string)
	sections, _ := settings.ParseSections("bundle", config.Format(b))
	for _, s := range sections {
		s.Each(func(key, value string) {
			p := keyPath{s.Name, key}
			values[p] = value
			order = append(order, p)
		})
	}
	return values, order
}

// WriteDiff writes one line for each change.
func WriteDiff(w io.Writer, changes []Change) error {
	for _, c := range changes {
		var err error
		switch {
		case c.Old == "":
			_, err = fmt.Fprintf(w, "+ [%s] %s = %s\n", c.Section, c.Key, c.New)
		case c.New == "":
			_, err = fmt.Fprintf(w, "- [%s] %s = %s\n", c.Section, c.Key, c.Old)
		default:
			_, err = fmt.Fprintf(w, "~ [%s] %s: %s -> %s\n", c.Section, c.Key, c.Old, c.New)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
