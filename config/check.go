package config

import "github.com/basiltally/basiltally/ownership"

// check adds the errors that concern several keys or sections.
func (p *parser) check() {
	if len(p.bundle.Tenants) == 0 {
		p.addError("", "", "no tenant")
	}
	if len(p.bundle.Pools) == 0 {
		p.addError("", "", "no pool")
	}
	for i := range p.bundle.Tenants {
		p.checkTenant(&p.bundle.Tenants[i])
	}
	p.checkPools()
}

func (p *parser) checkTenant(t *Tenant) {
	if len(t.Classes) == 0 {
		p.addError(tenantSectionName(t.Name), "", "tenant has no class")
	}
	prefixes := make(map[string]string)
	for i := range t.Classes {
		c := &t.Classes[i]
		section := classSectionName(t.Name, c.Name)
		p.checkClass(section, c)
		if other, ok := prefixes[c.PathPrefix]; ok {
			p.addError(section, "path_prefix", "%q is already the prefix of class %q", c.PathPrefix, other)
		}
		prefixes[c.PathPrefix] = c.Name
	}
}

func (p *parser) checkClass(section string, c *Class) {
	if c.PathPrefix != "" && !validPrefix.MatchString(c.PathPrefix) {
		p.addError(section, "path_prefix", "%q: want a path that starts and ends with a slash", c.PathPrefix)
	}
	if c.Kind == Bulk && c.Hedge || c.Kind == AtMostOnce && c.Hedge {
		p.addError(section, "hedge", "only keyed-read classes may be hedged")
	}
	if c.Burst > 0 && c.Rate == 0 {
		p.addError(section, "burst", "burst without a rate has no effect")
	}
	if c.Rate > 0 && c.Burst == 0 {
		p.addError(section, "burst", "a rate needs a burst of at least 1")
	}
	p.checkClassPool(section, c)
}

func (p *parser) checkClassPool(section string, c *Class) {
	if c.Pool == "" {
		return
	}
	pool := p.bundle.PoolByName(c.Pool)
	if pool == nil {
		p.addError(section, "pool", "unknown pool %q", c.Pool)
		return
	}
	if c.Kind == KeyedRead && !pool.Keyed {
		p.addError(section, "pool", "keyed class on pool %q, which is not keyed", c.Pool)
	}
	if c.Kind != KeyedRead && pool.Keyed {
		p.addError(section, "pool", "class of kind %s on pool %q, which is keyed", c.Kind, c.Pool)
	}
}

func (p *parser) checkPools() {
	used := make(map[string][]Kind)
	for _, t := range p.bundle.Tenants {
		for _, c := range t.Classes {
			used[c.Pool] = append(used[c.Pool], c.Kind)
		}
	}
	groups := make(map[ownership.GroupID]string)
	for i := range p.bundle.Pools {
		pool := &p.bundle.Pools[i]
		p.checkPool(pool, used[pool.Name])
		p.checkGroups(pool, groups)
	}
}

func (p *parser) checkPool(pool *Pool, kinds []Kind) {
	section := poolSectionName(pool.Name)
	if len(kinds) == 0 {
		p.addError(section, "", "no class uses this pool")
	}
	bulk := 0
	for _, k := range kinds {
		if k == Bulk {
			bulk++
		}
	}
	if bulk > 0 && bulk < len(kinds) {
		p.addError(section, "", "bulk and short classes share this pool; give the bulk classes a pool of their own")
	}
	if pool.TargetSlots > pool.TargetConnections {
		p.addError(section, "target_slots", "%d slots exceed the %d connections of a target", pool.TargetSlots, pool.TargetConnections)
	}
	if !pool.Keyed && len(pool.Groups) > 1 {
		p.addError(section, "groups", "a pool that is not keyed has one group, not %d", len(pool.Groups))
	}
}

func (p *parser) checkGroups(pool *Pool, groups map[ownership.GroupID]string) {
	section := poolSectionName(pool.Name)
	for _, g := range pool.Groups {
		if !validName.MatchString(string(g)) {
			p.addError(section, "groups", "%q: want a name of 1 to 63 lower-case letters, digits and hyphens", string(g))
		}
		if other, ok := groups[g]; ok {
			p.addError(section, "groups", "group %q already belongs to pool %q", string(g), other)
		}
		groups[g] = pool.Name
	}
}
