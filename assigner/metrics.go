package assigner

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the assigner's counters of store calls and lease renewals.
type metrics struct {
	storeCalls *prometheus.CounterVec
	renewals   *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_assign_store_calls_total", Help: "Calls of the object API for group records by kind and result.",
		}, []string{"call", "result"}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_assign_renewals_total", Help: "Lease renewals sent to targets by result.",
		}, []string{"result"}),
	}
	if r != nil {
		r.MustRegister(m.storeCalls, m.renewals)
	}
	return m
}

func (m *metrics) countStoreCall(call string, err error) {
	m.storeCalls.WithLabelValues(call, resultLabel(err)).Inc()
}

func (m *metrics) countRenewal(err error) { m.renewals.WithLabelValues(resultLabel(err)).Inc() }

func resultLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
