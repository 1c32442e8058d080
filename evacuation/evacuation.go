// Package evacuation keeps the data centres that are being evacuated, as this VM knows them. It
// does no I/O: the store's entries and their instants are passed in.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Set is the set of data centres that are being evacuated. It is safe for concurrent use. A nil
// Set has none, and counts as listed.
type Set struct {
	// mu serializes changes. Readers load current without it.
	mu      sync.Mutex
	current atomic.Pointer[content]
}

// content is the content of a Set at one instant. It is not modified once published.
type content struct {
	version uint64
	listed  bool
	// since maps the data centres being evacuated to instants at or before which their evacuations
	// began.
	since map[string]time.Time
	// earliest is the earliest of these instants.
	earliest time.Time
	// ended maps data centres to the instants at which this VM learned that their last evacuations had
	// ended.
	ended map[string]time.Time
}

// New returns a Set without evacuations that is not listed yet.
func New() *Set {
	s := &Set{}
	s.current.Store(&content{})
	return s
}

// change replaces the content by what the function makes of a copy.
func (s *Set) change(edit func(*content)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	next := &content{version: old.version + 1, listed: old.listed, since: maps.Clone(old.since), ended: maps.Clone(old.ended)}
	if next.since == nil {
		next.since, next.ended = map[string]time.Time{}, map[string]time.Time{}
	}
	edit(next)
	if len(next.since) > 0 {
		next.earliest = slices.MinFunc(slices.Collect(maps.Values(next.since)), time.Time.Compare)
	}
	s.current.Store(next)
}

// begin records an evacuation that began at or after the instant. It returns false if one was in
// force, which then keeps the earlier instant.
func (c *content) begin(dataCentre string, at time.Time) bool {
	known, ok := c.since[dataCentre]
	if !ok || at.Before(known) {
		c.since[dataCentre] = at
	}
	return !ok
}

// end records the end of an evacuation. It returns when the evacuation began, and false if none was in
// force.
func (c *content) end(dataCentre string, at time.Time) (time.Time, bool) {
	since, ok := c.since[dataCentre]
	if ok {
		delete(c.since, dataCentre)
		c.ended[dataCentre] = at
	}
	return since, ok
}

// Begin records that the data centre is being evacuated, since the instant at the earliest. The zero
// instant says that the evacuation may have begun at any time. Begin returns false if it was being
// evacuated already: an entry may be written again while it is in force, which does not extend the time
// that the evacuation may take.
func (s *Set) Begin(dataCentre string, at time.Time) (begun bool) {
	s.change(func(c *content) { begun = c.begin(dataCentre, at) })
	return begun
}

// End records that this VM has learned at the instant that the evacuation of the data centre has
// ended. It returns the instant given to Begin, and false if the data centre was not being evacuated.
func (s *Set) End(dataCentre string, at time.Time) (since time.Time, ended bool) {
	s.change(func(c *content) { since, ended = c.end(dataCentre, at) })
	return since, ended
}

// Replace records a complete list of the data centres that are being evacuated. Those that were not
// in the set began at the instant begunAt at the earliest. The end of those that are not in the list was
// learned now. Replace returns both, ordered by name.
func (s *Set) Replace(dataCentres []string, begunAt, now time.Time) (begun, ended []string) {
	s.change(func(c *content) {
		c.listed = true
		for dc := range c.since {
			if !slices.Contains(dataCentres, dc) {
				ended = append(ended, dc)
			}
		}
		for _, dc := range ended {
			c.end(dc, now)
		}
		for _, dc := range dataCentres {
			if c.begin(dc, begunAt) {
				begun = append(begun, dc)
			}
		}
	})
	slices.Sort(begun)
	slices.Sort(ended)
	return begun, ended
}

// load returns the content, or nil for a nil Set.
func (s *Set) load() *content {
	if s == nil {
		return nil
	}
	return s.current.Load()
}

// Listed reports whether Replace was called, so that all evacuations are known.
func (s *Set) Listed() bool {
	c := s.load()
	return c == nil || c.listed
}

// Any reports whether any data centre is being evacuated.
func (s *Set) Any() bool { return s.Count() > 0 }

// Count returns the number of data centres that are being evacuated.
func (s *Set) Count() int {
	c := s.load()
	if c == nil {
		return 0
	}
	return len(c.since)
}

// DataCentres returns the names of the data centres that are being evacuated, in order.
func (s *Set) DataCentres() []string {
	c := s.load()
	if c == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(c.since))
}

// Since returns the earliest instant at which the evacuation of the data centre can have begun. It
// returns false if the data centre is not being evacuated. For the unknown data centre, which is
// empty, it returns the earliest instant of all evacuations.
func (s *Set) Since(dataCentre string) (time.Time, bool) {
	c := s.load()
	if c == nil {
		return time.Time{}, false
	}
	if dataCentre == "" {
		return c.earliest, len(c.since) > 0
	}
	at, ok := c.since[dataCentre]
	return at, ok
}

// EndedAt returns the instant at which this VM learned that the last evacuation of the data centre
// had ended. It is zero if this VM has seen none end. It stays while the data centre is being
// evacuated again.
func (s *Set) EndedAt(dataCentre string) time.Time {
	c := s.load()
	if c == nil {
		return time.Time{}
	}
	return c.ended[dataCentre]
}

// Version returns a number that is higher after each change.
func (s *Set) Version() uint64 {
	c := s.load()
	if c == nil {
		return 0
	}
	return c.version
}
