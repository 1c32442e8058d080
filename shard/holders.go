package shard

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/basiltally/basiltally/boottime"
)

const (
	// holderMemoryAge is how long a target is remembered that was in the directory or owned keys in a table. It is longer than any
	// lease that such a target may still have, with the time until a take-over.
	holderMemoryAge = 20 * time.Second
	// rememberInterval is the interval at which the targets in the directory are remembered.
	rememberInterval = time.Second
	// maxRememberGap is the longest time between two looks at the directory that hides no target: an entry of a target that has got
	// keys stays listed for longer.
	maxRememberGap = 2500 * time.Millisecond
)

// holderMemory remembers the targets that may have been granted keys of late, by service. The records in the store may have lost
// them, and their entries may be gone. The zero holderMemory remembers none.
type holderMemory struct {
	// since is the instant from which no target was missed; zero if none was added yet. lastLook is that of the last look at
	// the directory.
	since, lastLook time.Duration
	lastSeen        map[string]map[Holder]time.Duration
}

// add remembers targets of a service as of the instant.
func (m *holderMemory) add(service string, holders []Holder, now time.Duration) {
	if m.lastSeen == nil {
		m.lastSeen = map[string]map[Holder]time.Duration{}
	}
	seen := m.lastSeen[service]
	if seen == nil {
		seen = map[Holder]time.Duration{}
		m.lastSeen[service] = seen
	}
	for _, h := range holders {
		seen[h] = now
	}
	maps.DeleteFunc(seen, func(_ Holder, at time.Duration) bool { return now-at > holderMemoryAge })
}

// addTable remembers the owners in a table.
func (m *holderMemory) addTable(service string, t *Table, now time.Duration) {
	holders := make([]Holder, len(t.Entries))
	for i, e := range t.Entries {
		holders[i] = e.Owner
	}
	m.add(service, holders, now)
}

// holdersOf returns the targets of a service that are remembered, and whether that reaches back far enough to be all that may hold keys.
func (m *holderMemory) holdersOf(service string, now time.Duration) (holders []Holder, complete bool) {
	return slices.Collect(maps.Keys(m.lastSeen[service])), m.since > 0 && now-m.since >= holderMemoryAge
}

// rememberHolders remembers the targets in the directory until the context ends.
func (a *Agent) rememberHolders(ctx context.Context) {
	for ctx.Err() == nil {
		if services, ok := a.opts.Services(); ok {
			now := boottime.Now()
			for _, service := range services {
				a.remember(service, a.listedHolders(service), now)
			}
		}
		pause(ctx, rememberInterval)
	}
}

func (a *Agent) remember(service string, holders []Holder, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holders.since == 0 && len(holders) > 0 || now-a.holders.lastLook > maxRememberGap {
		a.holders.since = now
	}
	a.holders.lastLook = now
	a.holders.add(service, holders, now)
}

// listedHolders returns the targets of a service in the directory.
func (a *Agent) listedHolders(service string) []Holder {
	var holders []Holder
	for _, t := range a.opts.Directory.Snapshot().Service(service) {
		holders = append(holders, Holder{ID: t.ID, Address: t.Address, Born: t.Born})
	}
	return holders
}

// possibleHolders returns the targets that may hold keys of a service if its record comes from an older copy of the store, and whether
// there can be no others.
func (a *Agent) possibleHolders(service string, r *Record, now time.Duration) (holders []Holder, complete bool) {
	a.remember(service, a.listedHolders(service), now)
	a.mu.Lock()
	defer a.mu.Unlock()
	holders, complete = a.holders.holdersOf(service, now)
	for _, rr := range r.Ranges {
		holders = append(holders, rr.Owner)
		holders = append(holders, rr.FormerOwners...)
	}
	return latestIncarnations(holders), complete
}

// latestIncarnations returns the holders without earlier incarnations of the same targets, which no longer run.
func latestIncarnations(holders []Holder) []Holder {
	type target struct{ id, address string }
	latest := map[target]Holder{}
	for _, h := range holders {
		t := target{h.ID, h.Address}
		if known, ok := latest[t]; !ok || known.Born < h.Born {
			latest[t] = h
		}
	}
	return slices.Collect(maps.Values(latest))
}
