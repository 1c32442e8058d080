// Package views holds, on an entry, the ownership view in force of each group.
package views

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/basiltally/basiltally/ownership"
)

// Holder keeps the view of each group with the highest version. Reading takes no
// lock. It is safe for concurrent use.
type Holder struct {
	// mu serialises changes.
	mu sync.Mutex
	// groups points to a map that is replaced, never changed, when a group is added.
	groups atomic.Pointer[map[ownership.GroupID]*groupView]
	// refresh is the function set by OnRefresh, or nil.
	refresh atomic.Pointer[func(ownership.GroupID)]
}

// groupView holds the view of one group.
type groupView struct {
	// view is nil until a view is applied.
	view atomic.Pointer[ownership.View]
	// changed points to a channel that is closed and replaced when a view is applied.
	changed atomic.Pointer[chan struct{}]
}

// NewHolder returns a Holder without views.
func NewHolder() *Holder {
	h := &Holder{}
	groups := map[ownership.GroupID]*groupView{}
	h.groups.Store(&groups)
	return h
}

// OnRefresh sets the function that Await calls to request a group's newest view.
// The function must not block.
func (h *Holder) OnRefresh(f func(ownership.GroupID)) { h.refresh.Store(&f) }

// Apply stores the view if its version is higher than that of the stored view of
// the group, and reports whether it did. The view must not be changed afterwards.
func (h *Holder) Apply(v *ownership.View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.groupViewLocked(v.Group)
	held := c.view.Load()
	if held != nil && !held.Version().Less(v.Version()) {
		return false
	}
	c.view.Store(v)
	next := make(chan struct{})
	old := c.changed.Swap(&next)
	close(*old)
	return true
}

// Get returns the view in force of a group, or nil.
func (h *Holder) Get(group ownership.GroupID) *ownership.View {
	c, ok := (*h.groups.Load())[group]
	if !ok {
		return nil
	}
	return c.view.Load()
}

// Versions returns the version of the view of each group that has one.
func (h *Holder) Versions() map[ownership.GroupID]ownership.Token {
	out := map[ownership.GroupID]ownership.Token{}
	for group, c := range *h.groups.Load() {
		if v := c.view.Load(); v != nil {
			out[group] = v.Version()
		}
	}
	return out
}

// Await requests a refresh, if OnRefresh has been called, and waits until the
// version of the group's view is higher than above or the context ends. It
// returns the view in force then, or nil if there is none.
func (h *Holder) Await(ctx context.Context, group ownership.GroupID, above ownership.Token) *ownership.View {
	c := h.groupView(group)
	if f := h.refresh.Load(); f != nil {
		(*f)(group)
	}
	for {
		changed := *c.changed.Load()
		v := c.view.Load()
		if v != nil && above.Less(v.Version()) {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}

// groupView returns the holder of a group's view, created if there is none.
func (h *Holder) groupView(group ownership.GroupID) *groupView {
	if c, ok := (*h.groups.Load())[group]; ok {
		return c
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groupViewLocked(group)
}

// groupViewLocked does the same as groupView; the caller holds mu.
func (h *Holder) groupViewLocked(group ownership.GroupID) *groupView {
	groups := *h.groups.Load()
	if c, ok := groups[group]; ok {
		return c
	}
	c := &groupView{}
	changed := make(chan struct{})
	c.changed.Store(&changed)
	extended := make(map[ownership.GroupID]*groupView, len(groups)+1)
	for g, held := range groups {
		extended[g] = held
	}
	extended[group] = c
	h.groups.Store(&extended)
	return c
}
