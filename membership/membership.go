// Package membership keeps a snapshot of the platform's VM list: the VMs of the
// system and the targets of each pool. The list lags, so a snapshot is only a
// hint: other packages determine which VMs are alive and which target may own a
// key.
package membership

import (
	"context"
	"reflect"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
)

// Kinds of VMs in the platform's list.
const (
	KindEntry  = "entry"
	KindTarget = "target"
)

const (
	// defaultInterval is the default of Options.Interval.
	defaultInterval = 2 * time.Second
	// listReadBudget limits the list reads per second of all VMs together. The
	// interval grows with their number so that the limit is kept.
	listReadBudget = 200
	// readTimeout limits one read of the list.
	readTimeout = 2 * time.Second
)

// Snapshot is the result of one read of the VM list. It must not be changed once
// published.
type Snapshot struct {
	// VMs holds the VMs of kind entry, ordered by ID.
	VMs []store.VM
	// Targets holds the VMs of kind target, ordered by ID.
	Targets []store.VM
}

// VM returns the VM of the system with that ID, and whether the list names it.
func (s *Snapshot) VM(id ownership.VMID) (store.VM, bool) {
	i := sort.Search(len(s.VMs), func(i int) bool { return s.VMs[i].ID >= string(id) })
	if i < len(s.VMs) && s.VMs[i].ID == string(id) {
		return s.VMs[i], true
	}
	return store.VM{}, false
}

// Pool returns the targets of a pool.
func (s *Snapshot) Pool(name string) []store.VM {
	var out []store.VM
	for _, t := range s.Targets {
		if t.Pool == name {
			out = append(out, t)
		}
	}
	return out
}

// Options configures a List.
type Options struct {
	// Lister reads the platform's list.
	Lister store.VMLister
	// Interval is the shortest pause between reads; zero means 2 s.
	Interval time.Duration
	// Registerer registers the metrics; if it is nil, none are registered.
	Registerer prometheus.Registerer
}

// List polls the VM list and calls the registered functions after changes.
type List struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]
	// mu guards onChange.
	mu       sync.Mutex
	onChange []func(*Snapshot)
	// reads counts the reads of the list by result.
	reads *prometheus.CounterVec
}

// New returns a List with an empty snapshot.
func New(o Options) *List {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	l := &List{options: o, reads: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basiltally_vm_list_reads_total", Help: "Reads of the platform's VM list by result.",
	}, []string{"result"})}
	if o.Registerer != nil {
		o.Registerer.MustRegister(l.reads)
	}
	l.snapshot.Store(&Snapshot{})
	return l
}

// Snapshot returns the newest snapshot.
func (l *List) Snapshot() *Snapshot { return l.snapshot.Load() }

// OnChange registers a function that is called with each snapshot that differs
// from the one before. OnChange must be called before Run.
func (l *List) OnChange(f func(*Snapshot)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = append(l.onChange, f)
}

// Run polls the list until the context ends; it always returns nil. After a
// failed read, the last snapshot stays in use.
func (l *List) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Refresh(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(l.interval()):
		}
	}
	return nil
}

// Refresh reads the list once, replaces the snapshot if it changed, and reports
// whether the read succeeded.
func (l *List) Refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := l.options.Lister.ListVMs(ctx)
	if err != nil {
		l.reads.WithLabelValues("error").Inc()
		return false
	}
	l.reads.WithLabelValues("ok").Inc()
	next := newSnapshot(vms)
	if reflect.DeepEqual(next, l.Snapshot()) {
		return true
	}
	l.snapshot.Store(next)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.onChange {
		f(next)
	}
	return true
}

// interval returns the pause between reads: Options.Interval, or longer if that
// is needed to keep listReadBudget.
func (l *List) interval() time.Duration {
	budgetInterval := time.Second * time.Duration(len(l.Snapshot().VMs)) / listReadBudget
	return max(l.options.Interval, budgetInterval)
}

// newSnapshot returns a snapshot of the VM list; VMs of other kinds than entry
// and target are left out.
func newSnapshot(vms []store.VM) *Snapshot {
	s := &Snapshot{}
	for _, v := range vms {
		switch v.Kind {
		case KindEntry:
			s.VMs = append(s.VMs, v)
		case KindTarget:
			s.Targets = append(s.Targets, v)
		}
	}
	byID := func(list []store.VM) func(i, j int) bool {
		return func(i, j int) bool { return list[i].ID < list[j].ID }
	}
	sort.Slice(s.VMs, byID(s.VMs))
	sort.Slice(s.Targets, byID(s.Targets))
	return s
}
