// Package relay spreads ownership views and the configuration bundle from the
// VMs that produce them to all processes, through a tree of bounded fan-out.
//
// Versions only rise: a Hub ignores a view or bundle that is not newer than the
// one it holds, so duplicates, loops and late messages do no harm.
package relay

import (
	"sync"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
)

// Hub holds the newest view of each group and the newest bundle, and wakes
// subscribers when one changes. It is safe for concurrent use.
type Hub struct {
	mu          sync.Mutex
	views       map[ownership.GroupID]*ownership.View
	bundle      *pb.Bundle
	subscribers map[*Subscription]struct{}
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{
		views:       make(map[ownership.GroupID]*ownership.View),
		subscribers: make(map[*Subscription]struct{}),
	}
}

// PublishView offers a view and reports whether it was newer than the one held.
// The hub keeps the pointer; the view must not be changed afterwards.
func (h *Hub) PublishView(v *ownership.View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.views[v.Group]; held != nil && !held.Version().Less(v.Version()) {
		return false
	}
	h.views[v.Group] = v
	for s := range h.subscribers {
		s.markView(v.Group)
	}
	return true
}

// PublishBundle offers a bundle and reports whether it was newer than the one held.
func (h *Hub) PublishBundle(b *pb.Bundle) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bundle != nil && h.bundle.Version >= b.Version {
		return false
	}
	h.bundle = b
	for s := range h.subscribers {
		s.markBundle()
	}
	return true
}

// View returns the newest view of a group, or nil.
func (h *Hub) View(g ownership.GroupID) *ownership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.views[g]
}

// Views returns the newest view of each group.
func (h *Hub) Views() []*ownership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*ownership.View, 0, len(h.views))
	for _, v := range h.views {
		out = append(out, v)
	}
	return out
}

// Bundle returns the newest bundle, or nil.
func (h *Hub) Bundle() *pb.Bundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bundle
}

// Subscribers returns the number of subscriptions.
func (h *Hub) Subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Subscription collects what changed for one subscriber. A slow subscriber
// skips intermediate versions; its memory is bounded by the number of groups.
type Subscription struct {
	hub   *Hub
	wake  chan struct{}
	dirty map[ownership.GroupID]struct{}
	// bundleDirty is set when a newer bundle has not been taken.
	bundleDirty bool
	sent        map[ownership.GroupID]*ownership.View
}

// Subscribe starts a subscription. Views and bundles not newer than those named
// as known are left out.
func (h *Hub) Subscribe(known *pb.Subscribe) *Subscription {
	held := make(map[ownership.GroupID]ownership.Token, len(known.GetKnown()))
	for _, k := range known.GetKnown() {
		held[ownership.GroupID(k.Group)] = ownership.Token{Term: k.GetVersion().GetTerm(), Seq: k.GetVersion().GetSeq()}
	}
	s := &Subscription{
		hub: h, wake: make(chan struct{}, 1),
		dirty: make(map[ownership.GroupID]struct{}), sent: make(map[ownership.GroupID]*ownership.View),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for g, v := range h.views {
		if held[g].Less(v.Version()) {
			s.markView(g)
		}
	}
	if h.bundle != nil && h.bundle.Version > known.GetBundleVersion() {
		s.markBundle()
	}
	h.subscribers[s] = struct{}{}
	return s
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	delete(s.hub.subscribers, s)
}

// Wake delivers a value when Take has something to return.
func (s *Subscription) Ready() <-chan struct{} { return s.wake }

// Take returns the messages that bring the subscriber up to date: deltas where
// it has the base, complete views elsewhere.
func (s *Subscription) Take() []*pb.Envelope {
	var out []*pb.Envelope
	bundle, views := s.takeChanged()
	if bundle != nil {
		out = append(out, &pb.Envelope{Body: &pb.Envelope_Bundle{Bundle: bundle}})
	}
	for _, v := range views {
		out = append(out, &pb.Envelope{Body: &pb.Envelope_View{View: ownership.ViewDelta(s.sent[v.Group], v)}})
		s.sent[v.Group] = v
	}
	return out
}

// Skip drops the changes that Take would return, for a subscriber that reads the hub itself.
func (s *Subscription) Discard() { s.takeChanged() }

func (s *Subscription) takeChanged() (*pb.Bundle, []*ownership.View) {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	var bundle *pb.Bundle
	if s.bundleDirty {
		bundle = s.hub.bundle
		s.bundleDirty = false
	}
	views := make([]*ownership.View, 0, len(s.dirty))
	for g := range s.dirty {
		views = append(views, s.hub.views[g])
		delete(s.dirty, g)
	}
	return bundle, views
}

func (s *Subscription) markView(g ownership.GroupID) {
	s.dirty[g] = struct{}{}
	s.signal()
}

func (s *Subscription) markBundle() {
	s.bundleDirty = true
	s.signal()
}

func (s *Subscription) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
