// Package budget bounds how many requests are sent to a service again, as a
// share of the requests for it. All VMs together keep the bound without talking:
// each takes its share from the requests that it gets itself.
package budget

import (
	"cmp"
	"sync"
	"time"
)

// Options of a Budget.
type Options struct {
	// Ratio is the share of a service's requests that may be sent again.
	Ratio float64
	// Extra is what may be sent again besides in a window, over all VMs.
	ExtraRetries float64
	// Window is the span in which the bound holds. Default 10 s.
	Window time.Duration
	// Reserve is the share of the bound that is left unused, because the VMs'
	// windows do not match. Default 0.2.
	Reserve float64
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Budget counts the requests and repeats of each service.
type Budget struct {
	opts Options

	mu       sync.Mutex
	vms      int
	services map[string]*window
}

// cautiousVMs is the number of VMs that is assumed until it is known; more of
// them make this VM's share of the extra smaller.
const cautiousVMs = 16

// slices of a window; finer ones forget more evenly.
const slices = 20

type window struct {
	requests, repeats [slices]float64
	// current is the number of the slice that is being counted.
	current int64
}

// New returns a Budget for one VM.
func New(opts Options) *Budget {
	opts.Window = cmp.Or(opts.Window, 10*time.Second)
	opts.Reserve = cmp.Or(opts.Reserve, 0.2)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Budget{opts: opts, vms: cautiousVMs, services: map[string]*window{}}
}

// SetVMs sets the number of VMs that share the budget.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// SetBound changes the bound.
func (b *Budget) SetBound(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Ratio, b.opts.ExtraRetries = ratio, extra
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.current%slices]++
}

// Repeat reports whether a request may be sent to the service once more, and
// counts it if so.
func (b *Budget) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	bound := (b.opts.Ratio*sum(&w.requests) + b.opts.ExtraRetries/float64(b.vms)) * (1 - b.opts.Reserve)
	if sum(&w.repeats)+1 > bound {
		return false
	}
	w.repeats[w.current%slices]++
	return true
}

func (b *Budget) window(service string) *window {
	now := b.opts.Now().UnixNano() / int64(b.opts.Window/slices)
	w := b.services[service]
	if w == nil {
		w = &window{current: now}
		b.services[service] = w
	}
	for range min(max(now-w.current, 0), slices) {
		w.current++
		w.requests[w.current%slices] = 0
		w.repeats[w.current%slices] = 0
	}
	w.current = max(w.current, now)
	return w
}

func sum(counts *[slices]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
