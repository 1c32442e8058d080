// Package fleet keeps what is known of the targets: which there are, and how
// they do as seen from this VM.
package fleet

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// State is what a target says of itself.
type State int

const (
	// Ready targets take requests.
	Ready State = iota
	// Draining targets are about to leave and take no new requests.
	Draining
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// Target is one life of a server process.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Region     string
	// Born is the Unix millisecond of its start. With the ID it names one life.
	Born  int64
	State State
	Slots int
	// WarmUpLeft is how long it was still slow when the entry was written.
	WarmUpLeft time.Duration
	// SeenAt is the instant at which this life was first seen here.
	FirstSeen time.Time
}

// SameLife reports whether both are the same life of the same target.
func (t *Target) SameIncarnation(o *Target) bool { return t.ID == o.ID && t.Born == o.Born }

// Snapshot is the directory at one instant. It is not changed once published.
type Snapshot struct {
	// Version rises with each change.
	Version  uint64
	ByID     map[string]*Target
	services map[string][]*Target
}

// Service returns the targets of a service, draining ones included, ordered by ID.
func (s *Snapshot) Service(name string) []*Target { return s.services[name] }

// DirectoryOptions of a Directory.
type DirectoryOptions struct {
	// RestoreGrace is how long a missing entry is kept after the store is back,
	// because entries that lapsed during an outage return. Default 2 s.
	RestoreGrace time.Duration
	// Now is the clock. Default time.Now.
	Now    func() time.Time
	Logger *slog.Logger
}

// Directory is the set of targets as the platform lists them.
type Directory struct {
	opts    DirectoryOptions
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	targets map[string]*Target
	// missing holds the targets whose entries are gone but may return, with the
	// instant at which they are dropped.
	missing    map[string]time.Time
	graceUntil time.Time
	outage     bool
	version    uint64
	listeners  []func()
}

// NewDirectory returns an empty Directory.
func NewDirectory(o DirectoryOptions) *Directory {
	if o.RestoreGrace == 0 {
		o.RestoreGrace = 2 * time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	d := &Directory{opts: o, targets: map[string]*Target{}, missing: map[string]time.Time{}}
	d.current.Store(&Snapshot{ByID: map[string]*Target{}})
	return d
}

// Snapshot returns the directory as it is.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// OnChange registers a function to call after each change. It is called
// without locks held.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// Replace takes a complete list.
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

// Put takes a new or changed entry.
func (d *Directory) Put(t *Target) { d.update(func() { d.put(t) }) }

// Remove takes the removal of an entry.
func (d *Directory) Remove(id string) { d.update(func() { d.remove(id) }) }

// StoreLost tells that the store no longer answers: what is then missing may return.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = true
}

// StoreRestored tells that the store answers again.
func (d *Directory) StoreRestored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = false
	d.graceUntil = d.opts.Now().Add(d.opts.RestoreGrace)
}

// Expire drops the entries that did not return in time.
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
				d.drop(id, "did not return after the outage of the store")
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
		// An entry of an earlier life that was read late.
		return
	}
	next := *t
	next.FirstSeen = d.opts.Now()
	if old != nil && old.SameIncarnation(t) {
		next.FirstSeen = old.FirstSeen
	}
	if old != nil && *old == next {
		return
	}
	d.version++
	d.targets[t.ID] = &next
	d.opts.Logger.Info("target entry", "target", t.ID, "service", t.Service, "address", t.Address,
		"state", t.State.String(), "born", t.Born, "data_centre", t.DataCentre, "slots", t.Slots, "known", old != nil)
}

func (d *Directory) remove(id string) {
	t := d.targets[id]
	if t == nil {
		return
	}
	now := d.opts.Now()
	// A target that announced its leaving does not return.
	if t.State == Ready && (d.outage || now.Before(d.graceUntil)) {
		if _, ok := d.missing[id]; !ok {
			until := d.graceUntil
			if d.outage {
				until = now.Add(d.opts.RestoreGrace)
			}
			d.missing[id] = until
			d.opts.Logger.Info("target entry missing after an outage of the store, kept for now", "target", id)
		}
		return
	}
	d.drop(id, "entry removed")
}

func (d *Directory) drop(id, reason string) {
	delete(d.missing, id)
	if t := d.targets[id]; t != nil {
		delete(d.targets, id)
		d.version++
		d.opts.Logger.Info("target gone", "target", id, "service", t.Service, "address", t.Address, "reason", reason)
	}
}

func (d *Directory) publish() {
	s := &Snapshot{
		Version:  d.version,
		ByID:     make(map[string]*Target, len(d.targets)),
		services: map[string][]*Target{},
	}
	for _, id := range sortedKeys(d.targets) {
		t := d.targets[id]
		s.ByID[id] = t
		s.services[t.Service] = append(s.services[t.Service], t)
	}
	d.current.Store(s)
}
