// Package fleet keeps the directory of the targets that are known to this VM.
package fleet

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// State is the state that a target announces for itself.
type State int

const (
	// Ready targets accept requests.
	Ready State = iota
	// Draining targets are about to shut down and accept no new requests.
	Draining
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// Target is one incarnation of a target, that is, one run of its process.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	// Born is the start time of the process in Unix milliseconds. Together with the ID it
	// identifies the incarnation.
	Born  int64
	State State
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// WarmUpLeft is the time for which the target was still going to be slow when its entry
	// was written.
	WarmUpLeft time.Duration
	// FirstSeen is the instant at which this VM first saw this incarnation.
	FirstSeen time.Time
	// LeavingSince is an instant after which the target has said that it is draining, as close as
	// this VM knows. It is zero while the target is ready.
	LeavingSince time.Time
}

// Incarnation identifies one run of a target's process.
type Incarnation struct {
	ID string
	// Born is the start time of the process in Unix milliseconds.
	Born int64
}

// Incarnation returns the identity of this run of the target's process.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, Born: t.Born} }

// SameIncarnation reports whether t and o are the same incarnation of the same target.
func (t *Target) SameIncarnation(o *Target) bool { return t.Incarnation() == o.Incarnation() }

// Snapshot is the content of a Directory at one instant. It is not modified once published.
type Snapshot struct {
	// Version is higher after each change of the directory.
	Version  uint64
	ByID     map[string]*Target
	services map[string][]*Target
	// departed maps the incarnations that are no longer listed to instants after which they have
	// said that they leave.
	departed map[Incarnation]time.Time
	// left has the incarnations that are no longer listed and had announced that they leave.
	left map[Incarnation]time.Time
}

// Left reports whether the incarnation is no longer listed and had announced that it leaves, so that it has ended
// as it should.
func (s *Snapshot) Left(i Incarnation) bool {
	_, ok := s.left[i]
	return ok
}

// LeavingSince returns an instant after which the incarnation has begun to leave: it is draining,
// its entry is gone or a later incarnation has replaced it. LeavingSince returns the zero
// time if the incarnation is ready or was never listed.
func (s *Snapshot) LeavingSince(i Incarnation) time.Time {
	if t := s.ByID[i.ID]; t != nil && t.Born == i.Born {
		return t.LeavingSince
	}
	return s.departed[i]
}

// Service returns the targets of a service, draining ones included, ordered by ID.
func (s *Snapshot) Service(name string) []*Target { return s.services[name] }

// DirectoryOptions configure a Directory.
type DirectoryOptions struct {
	// RestoreGrace is how long a missing entry is kept after the store has recovered, because
	// entries that expired during the outage are written again. Default 2 s.
	RestoreGrace time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// ChangedAfter returns an instant after which the change that is being applied was made.
	// Default Now. A target's time to leave counts from there.
	ChangedAfter func() time.Time
	// OnEntry is called with each entry that is read, also if it has not changed, unless it is that of an earlier incarnation.
	// first is set if the incarnation was not known. It is called with a lock held and must not call the Directory, except for
	// Snapshot. It may be nil.
	OnEntry func(t *Target, first bool)
	// Logger gets a line for each change. Without it nothing is logged.
	Logger *slog.Logger
}

// departedRetention is how long a departed incarnation is remembered. It exceeds the longest
// time for which a table of owners that names the incarnation may remain in use.
const departedRetention = 5 * time.Minute

// Directory is the set of targets that the platform lists. It is safe for concurrent use.
type Directory struct {
	opts    DirectoryOptions
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	targets map[string]*Target
	// missing maps the IDs of the targets whose entries are gone but may return to the
	// instants at which the targets are dropped.
	missing  map[string]time.Time
	departed map[Incarnation]time.Time
	// left maps those of them that had announced that they leave to when they were dropped.
	left map[Incarnation]time.Time
	// stated maps the incarnations that have said in an answer that they leave to when they did.
	stated map[Incarnation]time.Time
	// graceUntil is the end of the grace period after the last outage of the store.
	graceUntil time.Time
	// outage is set while the store does not answer.
	outage    bool
	version   uint64
	listeners []func()
}

// NewDirectory returns an empty Directory.
func NewDirectory(o DirectoryOptions) *Directory {
	if o.RestoreGrace == 0 {
		o.RestoreGrace = 2 * time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.ChangedAfter == nil {
		o.ChangedAfter = o.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	d := &Directory{opts: o, targets: map[string]*Target{}, missing: map[string]time.Time{}, departed: map[Incarnation]time.Time{}, left: map[Incarnation]time.Time{}, stated: map[Incarnation]time.Time{}}
	d.current.Store(&Snapshot{ByID: map[string]*Target{}})
	return d
}

// Snapshot returns the current content of the directory.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// OnChange registers a function that is called after each change, without locks held.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// Replace updates the directory to a complete list of the targets' entries. Targets that are
// not listed are removed as by Remove.
func (d *Directory) Replace(targets []*Target) {
	d.update(func() {
		listed := make(map[string]bool, len(targets))
		for _, t := range targets {
			listed[t.ID] = true
			d.put(t)
		}
		for id := range d.targets {
			if !listed[id] {
				d.remove(id)
			}
		}
	})
}

// Put adds or updates a target's entry. An entry of an earlier incarnation is ignored.
func (d *Directory) Put(t *Target) { d.update(func() { d.put(t) }) }

// Change is a change of a target's entry.
type Change struct {
	// ID is the target's ID.
	ID string
	// Entry is the new entry, or nil if it was removed.
	Entry *Target
}

// Apply applies changes in their order, as Put and Remove do, and publishes one snapshot. Hundreds of
// entries may change at once, for example when the targets end their warm-up.
func (d *Directory) Apply(changes []Change) {
	d.update(func() {
		for _, c := range changes {
			if c.Entry != nil {
				d.put(c.Entry)
			} else {
				d.remove(c.ID)
			}
		}
	})
}

// RecordLeaving records that an incarnation has said in an answer that it leaves. From then on it
// counts as draining, whatever its entry says. It returns false if that was known.
func (d *Directory) RecordLeaving(i Incarnation) bool {
	if !d.Snapshot().LeavingSince(i).IsZero() {
		return false
	}
	d.update(func() {
		d.stated[i] = d.opts.Now()
		d.version++
		if t := d.targets[i.ID]; t != nil && t.Incarnation() == i {
			d.put(t)
		}
	})
	return true
}

// StatedLeaving returns the incarnations that have said in an answer within the duration that they
// leave.
func (d *Directory) StatedLeaving(within time.Duration) []Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Incarnation
	for i, at := range d.stated {
		if d.opts.Now().Sub(at) < within {
			out = append(out, i)
		}
	}
	return out
}

// Remove removes a target's entry. During an outage of the store and the grace period after
// it, a ready target stays in the directory until Expire drops it.
func (d *Directory) Remove(id string) { d.update(func() { d.remove(id) }) }

// StoreLost records that the store no longer answers. Entries that go missing from then on
// may return.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = true
}

// StoreRestored records that the store answers again, which starts the grace period.
func (d *Directory) StoreRestored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = false
	d.graceUntil = d.opts.Now().Add(d.opts.RestoreGrace)
}

// EntriesMayReturn reports whether the store does not answer, or answers again for less than the grace period. Entries
// may then be older than usual.
func (d *Directory) EntriesMayReturn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage || d.opts.Now().Before(d.graceUntil)
}

// Expire drops the targets whose entries did not return within the grace period.
func (d *Directory) Expire() {
	d.mu.Lock()
	due := false
	for _, at := range d.missing {
		due = due || !d.opts.Now().Before(at)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	d.update(func() {
		for id, at := range d.missing {
			if !d.opts.Now().Before(at) {
				d.drop(id, "the entry did not return after the outage of the store")
			}
		}
	})
}

func (d *Directory) update(change func()) {
	d.mu.Lock()
	before := d.version
	change()
	changed := d.version != before
	if changed {
		d.publish()
	}
	listeners := d.listeners
	d.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range listeners {
		f()
	}
}

func (d *Directory) put(t *Target) {
	delete(d.missing, t.ID)
	old := d.targets[t.ID]
	if old != nil && old.Born > t.Born {
		// The entry is that of an earlier incarnation and was read late.
		return
	}
	if d.opts.OnEntry != nil {
		_, departed := d.departed[t.Incarnation()]
		d.opts.OnEntry(t, !departed && (old == nil || !old.SameIncarnation(t)))
	}
	next := *t
	now := d.opts.Now()
	next.FirstSeen, next.LeavingSince = now, time.Time{}
	if next.State == Draining {
		next.LeavingSince = d.opts.ChangedAfter()
	}
	if since, ok := d.stated[t.Incarnation()]; ok {
		next.leaveSince(since)
	}
	if dropped, ok := d.left[t.Incarnation()]; ok {
		// A store that has come back from an older copy may list it as ready.
		since, known := d.departed[t.Incarnation()]
		if !known {
			since = dropped
		}
		next.leaveSince(since)
	}
	if old != nil && old.SameIncarnation(t) {
		next.FirstSeen = old.FirstSeen
		if old.State == Draining {
			// A target that drains ends. A ready entry is older and was read late.
			next.leaveSince(old.LeavingSince)
		}
	}
	if old != nil && *old == next {
		return
	}
	if old != nil && !old.SameIncarnation(t) {
		d.depart(old)
	}
	delete(d.departed, next.Incarnation())
	d.version++
	d.targets[t.ID] = &next
	attrs := []any{
		"target", t.ID, "service", t.Service, "address", t.Address,
		"state", t.State.String(), "born", t.Born, "data_centre", t.DataCentre, "slots", t.Slots, "known", old != nil,
	}
	if !next.LeavingSince.IsZero() {
		attrs = append(attrs, "leaving_ms", now.Sub(next.LeavingSince).Milliseconds())
	}
	d.opts.Logger.Info("target entry added or changed", attrs...)
}

func (d *Directory) remove(id string) {
	t := d.targets[id]
	if t == nil {
		return
	}
	now := d.opts.Now()
	// A draining target does not return.
	if t.State == Ready && (d.outage || now.Before(d.graceUntil)) {
		if _, ok := d.missing[id]; !ok {
			until := d.graceUntil
			if d.outage {
				until = now.Add(d.opts.RestoreGrace)
			}
			d.missing[id] = until
			d.opts.Logger.Info("target entry missing after an outage of the store; keeping it for the grace period", "target", id)
		}
		return
	}
	d.drop(id, "the entry was removed")
}

func (d *Directory) drop(id, reason string) {
	delete(d.missing, id)
	if t := d.targets[id]; t != nil {
		d.depart(t)
		delete(d.targets, id)
		d.version++
		d.opts.Logger.Info("target gone", "target", id, "service", t.Service, "address", t.Address, "reason", reason)
	}
}

// leaveSince makes the target draining since the instant, or since an earlier one that is known.
func (t *Target) leaveSince(since time.Time) {
	if t.State != Draining || since.Before(t.LeavingSince) {
		t.LeavingSince = since
	}
	t.State = Draining
}

// depart records that the incarnation is no longer listed.
func (d *Directory) depart(t *Target) {
	since := t.LeavingSince
	if since.IsZero() {
		since = d.opts.ChangedAfter()
	}
	d.departed[t.Incarnation()] = since
	if t.State == Draining {
		d.left[t.Incarnation()] = d.opts.Now()
	}
}

func (d *Directory) publish() {
	forgetBefore := d.opts.Now().Add(-departedRetention)
	for _, m := range []map[Incarnation]time.Time{d.departed, d.left, d.stated} {
		maps.DeleteFunc(m, func(_ Incarnation, since time.Time) bool { return since.Before(forgetBefore) })
	}
	s := &Snapshot{
		Version:  d.version,
		ByID:     make(map[string]*Target, len(d.targets)),
		services: map[string][]*Target{},
		departed: maps.Clone(d.departed),
		left:     maps.Clone(d.left),
	}
	for i, since := range d.stated {
		if known, ok := s.departed[i]; !ok || since.Before(known) {
			s.departed[i] = since
		}
	}
	for _, id := range sortedKeys(d.targets) {
		t := d.targets[id]
		s.ByID[id] = t
		s.services[t.Service] = append(s.services[t.Service], t)
	}
	d.current.Store(s)
}
