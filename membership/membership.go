// Package membership keeps a snapshot of the platform's VM list: the VMs of the
// system and the targets of each pool. The list lags, so a snapshot is a hint:
// who is alive and who may own a key is decided elsewhere.
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
	defaultInterval = 2 * time.Second
	// listReadBudget is the number of list reads per second that all VMs together
	// may cost; the interval grows with their number to keep it.
	listReadBudget = 200
	readTimeout    = 2 * time.Second
)

// Snapshot is one reading of the VM list, ordered by ID. It is not changed once published.
type Snapshot struct {
	VMs     []store.VM
	Targets []store.VM
}

// VM returns the system's VM of that name.
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
	// Interval is the least pause between reads; default 2 s.
	Interval time.Duration
	// Registerer receives the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// List polls the VM list and tells subscribers of changes.
type List struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	onChange []func(*Snapshot)
	reads    *prometheus.CounterVec
}

// New returns a list with an empty snapshot.
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

// OnChange registers a function that is called with each changed snapshot. It
// must be called before Run.
func (l *List) OnChange(f func(*Snapshot)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = append(l.onChange, f)
}

// Run polls until the context ends. A failed read keeps the last snapshot.
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

// Refresh reads the list once and reports whether that succeeded.
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

func (l *List) interval() time.Duration {
	budgetInterval := time.Second * time.Duration(len(l.Snapshot().VMs)) / listReadBudget
	return max(l.options.Interval, budgetInterval)
}

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
