package config

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Format returns the canonical document of a bundle: every key is written, in a fixed
// order. Parsing the document gives an equal bundle.
func Format(b *Bundle) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "[%s]\n", bundleSection)
	writeKey(&out, "version", b.Version)
	writeKey(&out, "link_bytes_per_second", b.LinkBytesPerSecond)
	for i := range b.Pools {
		formatPool(&out, &b.Pools[i])
	}
	for i := range b.Tenants {
		formatTenant(&out, &b.Tenants[i])
	}
	return out.Bytes()
}

func writeKey(out *bytes.Buffer, name string, value any) {
	fmt.Fprintf(out, "%s = %v\n", name, value)
}

func formatPool(out *bytes.Buffer, p *Pool) {
	groups := make([]string, len(p.Groups))
	for i, g := range p.Groups {
		groups[i] = string(g)
	}
	fmt.Fprintf(out, "\n[%s]\n", poolSectionName(p.Name))
	writeKey(out, "keyed", p.Keyed)
	writeKey(out, "groups", strings.Join(groups, ", "))
	writeKey(out, "target_slots", p.TargetSlots)
	writeKey(out, "target_connections", p.TargetConnections)
	writeKey(out, "checks_tokens", p.ChecksTokens)
	writeKey(out, "probe_interval", p.ProbeInterval)
}

func formatTenant(out *bytes.Buffer, t *Tenant) {
	fmt.Fprintf(out, "\n[%s]\n", tenantSectionName(t.Name))
	for i := range t.Classes {
		formatClass(out, t.Name, &t.Classes[i])
	}
}

func formatClass(out *bytes.Buffer, tenant string, c *Class) {
	fmt.Fprintf(out, "\n[%s]\n", classSectionName(tenant, c.Name))
	writeKey(out, "kind", c.Kind)
	writeKey(out, "path_prefix", c.PathPrefix)
	writeKey(out, "pool", c.Pool)
	writeKey(out, "deadline", c.Deadline)
	writeKey(out, "max_body", c.MaxBody)
	writeKey(out, "queue_length", c.QueueLength)
	writeKey(out, "rate", strconv.FormatFloat(c.Rate, 'g', -1, 64))
	writeKey(out, "burst", c.Burst)
	writeKey(out, "hedge", c.Hedge)
}
