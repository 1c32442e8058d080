package hotkey

import (
	"sync"

	"github.com/basiltally/basiltally/ownership"
)

// Load is the number of requests that one entry received for a group in one
// interval.
type Load struct {
	Group ownership.GroupID
	// Total is the number of requests for all keys.
	Total uint64
	// Keys holds the most frequent keys, the largest count first.
	Keys []Count
}

// Recorder counts the keys of each group over one interval. It is safe for
// concurrent use.
type Recorder struct {
	// counters is the number of counters for each group.
	counters int

	mu     sync.RWMutex
	groups map[ownership.GroupID]*groupCounter
}

// groupCounter counts the keys of one group in the current interval.
type groupCounter struct {
	mu      sync.Mutex
	counter *Counter
}

// NewRecorder returns a Recorder with the given number of counters for each group.
func NewRecorder(counters int) *Recorder {
	return &Recorder{counters: counters, groups: make(map[ownership.GroupID]*groupCounter)}
}

// Observe counts one request for a key.
func (r *Recorder) Observe(group ownership.GroupID, key ownership.KeyHash) {
	g := r.groupCounter(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counter.Observe(key, 1)
}

// groupCounter returns the counter of a group, created if there is none.
func (r *Recorder) groupCounter(id ownership.GroupID) *groupCounter {
	r.mu.RLock()
	g := r.groups[id]
	r.mu.RUnlock()
	if g != nil {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups[id] == nil {
		r.groups[id] = &groupCounter{counter: New(r.counters)}
	}
	return r.groups[id]
}

// Take returns the loads since the last call, with up to top keys of each group,
// and starts a new interval. Groups without requests are left out.
func (r *Recorder) Take(top int) []Load {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Load
	for id, g := range r.groups {
		g.mu.Lock()
		counter := g.counter
		g.counter = New(r.counters)
		g.mu.Unlock()
		if counter.Total() > 0 {
			out = append(out, Load{Group: id, Total: counter.Total(), Keys: counter.Top(top)})
		}
	}
	return out
}
