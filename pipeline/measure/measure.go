// Package measure provides the filter that counts requests and measures their
// duration by tenant and class.
package measure

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// unidentified is the label of requests whose tenant or class is not known. It
// keeps the number of label values bounded by the configuration.
const unidentified = "unidentified"

// durationBuckets are bucket limits in seconds, most of them between 1 and 50 ms.
var durationBuckets = []float64{
	.0005, .001, .002, .003, .004, .006, .008, .010, .012, .015, .020, .025, .030,
	.040, .050, .075, .1, .25, .5, 1, 2.5, 10, 60,
}

// Metrics are the metrics of the requests served.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	inFlight prometheus.Gauge
	attempts *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_requests_total",
			Help: "Requests by tenant, class, result code and outcome.",
		}, []string{"tenant", "class", "code", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "basiltally_request_duration_seconds",
			Help:    "Time from the request's header to the end of its answer.",
			Buckets: durationBuckets,
		}, []string{"tenant", "class"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "basiltally_requests_in_flight",
			Help: "Requests being served.",
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_target_attempts_total",
			Help: "Exchanges with targets by tenant and class, retries and hedges included.",
		}, []string{"tenant", "class"}),
	}
	r.MustRegister(m.requests, m.duration, m.inFlight, m.attempts)
	return m
}

type filter struct {
	metrics *Metrics
	next    pipeline.Handler
}

// New returns the filter. It records each request in m when the request ends.
func New(m *Metrics) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler { return &filter{m, next} }
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	f.metrics.inFlight.Inc()
	req.OnEnd(func(err error) { f.metrics.record(req, err) })
	return f.next.Serve(req)
}

func (m *Metrics) record(req *pipeline.Request, err error) {
	m.inFlight.Dec()
	tenant, class := labels(req)
	code := result.OK
	if err != nil {
		code = pipeline.AsError(req, err).Code
	}
	outcome := result.Describe(code).Outcome.String()
	m.requests.WithLabelValues(tenant, class, strconv.Itoa(int(code)), outcome).Inc()
	m.duration.WithLabelValues(tenant, class).Observe(time.Since(req.Start).Seconds())
	m.attempts.WithLabelValues(tenant, class).Add(float64(req.Attempts))
}

func labels(req *pipeline.Request) (tenant, class string) {
	if req.Class == nil {
		return unidentified, unidentified
	}
	return req.Tenant.Name, req.Class.Name
}
