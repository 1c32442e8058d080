// Package budget bounds the retries of requests to a service, as a share of the requests for
// that service. All VMs together keep the bound without communicating, because each VM bounds
// its retries by the requests that it receives itself.
package budget

import (
	"cmp"
	"sync"
	"time"
)

// Options configure a Budget.
type Options struct {
	// Ratio bounds the retries to a service, as a share of its requests.
	Ratio float64
	// ExtraRetries is the number of retries to a service that all VMs together may send in a
	// window in addition to those by Ratio.
	ExtraRetries float64
	// Window is the time span over which requests and retries are counted. Default 10 s.
	Window time.Duration
	// Reserve is the share of the bound that is left unused, because the windows of the VMs
	// do not begin at the same time. Default 0.2.
	Reserve float64
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Budget counts the requests and retries of each service. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu       sync.Mutex
	vms      int
	services map[string]*window
}

// initialVMs is the number of VMs that is assumed until SetVMs is called. It is high, since
// this VM's share of the extra retries is smaller the more VMs there are.
const initialVMs = 16

// windowSlices is the number of slices of a window. With more of them, old counts leave the
// window more evenly.
const windowSlices = 20

// window holds the counts of one service.
type window struct {
	requests, retries [windowSlices]float64
	// current is the number of the present slice, counted from the Unix epoch. The slices are
	// kept at their number modulo windowSlices.
	current int64
}

// New returns a Budget for one VM.
func New(opts Options) *Budget {
	opts.Window = cmp.Or(opts.Window, 10*time.Second)
	opts.Reserve = cmp.Or(opts.Reserve, 0.2)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Budget{opts: opts, vms: initialVMs, services: map[string]*window{}}
}

// SetVMs sets the number of VMs that share the budget.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// SetBound changes Options.Ratio and Options.ExtraRetries.
func (b *Budget) SetBound(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Ratio, b.opts.ExtraRetries = ratio, extra
}

// CountRequest counts a request for the service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.current%windowSlices]++
}

// AllowRetry reports whether a retry may be sent to the service, and counts it if so.
func (b *Budget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	bound := (b.opts.Ratio*sum(&w.requests) + b.opts.ExtraRetries/float64(b.vms)) * (1 - b.opts.Reserve)
	if sum(&w.retries)+1 > bound {
		return false
	}
	w.retries[w.current%windowSlices]++
	return true
}

// currentWindow returns the window of the service, after clearing the slices that are older
// than the window. The caller must hold mu.
func (b *Budget) currentWindow(service string) *window {
	now := b.opts.Now().UnixNano() / int64(b.opts.Window/windowSlices)
	w := b.services[service]
	if w == nil {
		w = &window{current: now}
		b.services[service] = w
	}
	for range min(max(now-w.current, 0), windowSlices) {
		w.current++
		w.requests[w.current%windowSlices] = 0
		w.retries[w.current%windowSlices] = 0
	}
	w.current = max(w.current, now)
	return w
}

func sum(counts *[windowSlices]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
