package configcheck

import (
	"fmt"
	"strings"

	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
)

// compare reports how the next configuration differs from the one in force. Values are compared as they are decoded, so that
// "1s" and "1000ms" are equal.
func (c *checker) compare(previous, next *routing.Config) {
	if next.Version <= previous.Version {
		c.add(Error, "version", platform.PartConfig, "version %d is not above version %d, which is in force; the nodes ignore it", next.Version, previous.Version)
	}
	old := partsByName(previous)
	for name, fields := range partsByName(next) {
		was, known := old[name]
		delete(old, name)
		if !known {
			c.add(Information, "added", name, "%s", list(fields))
			continue
		}
		for i, field := range fields {
			if before := was[i]; before != field {
				c.add(Information, "changed", name, "%s from %s to %s", field.Name, before.Value, field.Value)
			}
		}
	}
	for name, fields := range old {
		c.add(Information, "removed", name, "%s", list(fields))
	}
}

// partsByName returns the fields of the parts of a configuration. Parts with the same name are numbered.
func partsByName(config *routing.Config) map[string][]platform.ConfigField {
	parts := map[string][]platform.ConfigField{}
	for _, p := range platform.ConfigParts(config) {
		name := p.String()
		for n := 2; parts[name] != nil; n++ {
			name = fmt.Sprintf("%s, number %d", p, n)
		}
		parts[name] = p.Fields
	}
	return parts
}

func list(fields []platform.ConfigField) string {
	out := make([]string, len(fields))
	for i, f := range fields {
		out[i] = f.Name + " " + f.Value
	}
	return strings.Join(out, ", ")
}
