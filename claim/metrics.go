package claim

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// Metrics holds the metrics of a Service and a Router.
type Metrics struct {
	storeCalls      *prometheus.CounterVec
	appends         *prometheus.CounterVec
	batchOps        prometheus.Histogram
	rollbacks       prometheus.Counter
	gaps            prometheus.Counter
	claims          *prometheus.HistogramVec
	calls           *prometheus.CounterVec
	pendingReleases prometheus.Gauge
}

// NewMetrics returns the metrics and registers them with reg, unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	f := promauto.With(reg)
	return &Metrics{
		storeCalls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_claim_store_calls_total",
			Help: "Calls of the object API by the claim logs.",
		}, []string{"call"}),
		appends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_claim_appends_total",
			Help: "Batches by result: ok, conflict, unavailable, uncertain or error.",
		}, []string{"result"}),
		batchOps: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "basiltally_claim_batch_operations",
			Help:    "Operations in an appended batch.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 11),
		}),
		rollbacks: f.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_claim_log_rollbacks_total",
			Help: "Logs that ended earlier than this VM knew; the store was set back.",
		}),
		gaps: f.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_claim_log_gaps_total",
			Help: "Loads that failed because the log lacks batches.",
		}),
		claims: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "basiltally_claim_seconds",
			Help:    "Time to decide a claim.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"tenant", "class", "decision"}),
		calls: f.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_claim_calls_total",
			Help: "Claim operations sent to a VM by result: local, ok, refused or failed.",
		}, []string{"result"}),
		pendingReleases: f.NewGauge(prometheus.GaugeOpts{
			Name: "basiltally_claim_abandoned",
			Help: "Refused claims that may be durable and wait for their release.",
		}),
	}
}

func (m *Metrics) observeAppend(b *pb.ClaimBatch, err error) {
	m.appends.WithLabelValues(appendResult(err)).Inc()
	if err == nil {
		m.batchOps.Observe(float64(len(b.Ops)))
	}
}

func appendResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, errConflict):
		return "conflict"
	case errors.Is(err, errUncertain):
		return "uncertain"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	default:
		return "error"
	}
}
