package telemetry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// OtherLabel replaces tenant and class names that have no series of their own.
const OtherLabel = "other"

// DefaultMaxSeries is the number of tenant and class pairs with series of their own.
const DefaultMaxSeries = 500

// LatencyBuckets are upper bounds in seconds. They resolve 1 to 50 ms finely
// and long transfers coarsely.
func LatencyBuckets() []float64 {
	return []float64{
		0.0005, 0.001, 0.0015, 0.002, 0.003, 0.004, 0.005, 0.006, 0.008, 0.010,
		0.012, 0.015, 0.020, 0.025, 0.030, 0.040, 0.050,
		0.075, 0.100, 0.250, 0.500, 1, 2.5, 5, 10, 30, 60, 300,
	}
}

// NewRegistry returns a registry with the metrics of the Go runtime, the
// process and the build.
func NewRegistry(process string) *prometheus.Registry {
	reg := prometheus.NewRegistry()
	build := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "basiltally_build_info",
		Help:        "Always 1; the labels name the process and its version.",
		ConstLabels: prometheus.Labels{"process": process, "version": Version()},
	})
	build.Set(1)
	reg.MustRegister(
		build,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// ClassName names a class of a tenant.
type ClassName struct{ Tenant, Class string }

// ClassHistogram is a histogram of durations by tenant and class. Only classes
// named to SetClasses have series of their own, so that callers cannot add any.
type ClassHistogram struct {
	vec       *prometheus.HistogramVec
	maxSeries int
	other     prometheus.Observer

	mu        sync.Mutex // serialises SetClasses
	observers atomic.Pointer[map[ClassName]prometheus.Observer]
}

// NewClassHistogram registers a histogram of seconds. A maxSeries of zero
// means DefaultMaxSeries.
func NewClassHistogram(reg prometheus.Registerer, name, help string, maxSeries int) *ClassHistogram {
	if maxSeries == 0 {
		maxSeries = DefaultMaxSeries
	}
	opts := prometheus.HistogramOpts{Name: name, Help: help, Buckets: LatencyBuckets()}
	vec := prometheus.NewHistogramVec(opts, []string{"tenant", "class"})
	reg.MustRegister(vec)
	h := &ClassHistogram{vec: vec, maxSeries: maxSeries, other: vec.WithLabelValues(OtherLabel, OtherLabel)}
	h.observers.Store(&map[ClassName]prometheus.Observer{})
	return h
}

// SetClasses gives series to the classes, in order up to the limit, and drops
// the series of classes that are no longer named.
func (h *ClassHistogram) SetClasses(classes []ClassName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(classes) > h.maxSeries {
		classes = classes[:h.maxSeries]
	}
	next := make(map[ClassName]prometheus.Observer, len(classes))
	for _, c := range classes {
		next[c] = h.vec.WithLabelValues(c.Tenant, c.Class)
	}
	previous := h.observers.Swap(&next)
	for c := range *previous {
		if _, kept := next[c]; !kept {
			h.vec.DeleteLabelValues(c.Tenant, c.Class)
		}
	}
}

// Observe records a duration.
func (h *ClassHistogram) Observe(c ClassName, d time.Duration) {
	if o, ok := (*h.observers.Load())[c]; ok {
		o.Observe(d.Seconds())
		return
	}
	h.other.Observe(d.Seconds())
}
