package telemetry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// OtherLabel is the label value for tenants and classes without series of their own.
const OtherLabel = "other"

// DefaultMaxSeries is the default maximum number of pairs of tenant and class with
// series of their own.
const DefaultMaxSeries = 500

// LatencyBuckets returns the upper bounds of histogram buckets in seconds. The
// buckets are narrow from 1 to 50 ms and wide for long transfers.
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
		build, panics,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// ClassName identifies a class of a tenant.
type ClassName struct{ Tenant, Class string }

// ClassHistogram is a histogram of durations by tenant and class. Only classes
// passed to SetClasses have series of their own, so that requests of callers
// cannot create series.
type ClassHistogram struct {
	vec       *prometheus.HistogramVec
	maxSeries int
	other     prometheus.Observer

	mu        sync.Mutex // serialises SetClasses
	observers atomic.Pointer[map[ClassName]prometheus.Observer]
}

// NewClassHistogram returns a registered histogram of durations in seconds. A
// maxSeries of zero means DefaultMaxSeries.
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

// SetClasses creates series for the first maxSeries classes and deletes the series
// of all others.
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

// Observe records a duration, under OtherLabel if the class has no series of its own.
func (h *ClassHistogram) Observe(c ClassName, d time.Duration) {
	if o, ok := (*h.observers.Load())[c]; ok {
		o.Observe(d.Seconds())
		return
	}
	h.other.Observe(d.Seconds())
}
