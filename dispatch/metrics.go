package dispatch

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/result"
)

// Values of the lane label.
const (
	laneShort = "short"
	laneBulk  = "bulk"
)

// Metrics are the metrics of the exchanges with targets.
type Metrics struct {
	exchanges *prometheus.CounterVec
	dials     *prometheus.CounterVec
	silent    prometheus.Counter
}

// NewMetrics returns the metrics, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_exchanges_total",
			Help: "Exchanges bound for targets by lane and result code.",
		}, []string{"lane", "code"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_dials_total",
			Help: "Connections to targets by result: opened, failed, or suspended after failures.",
		}, []string{"result"}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_silent_connections_total",
			Help: "Idle connections that were given up because they had gone silent.",
		}),
	}
	r.MustRegister(m.exchanges, m.dials, m.silent)
	return m
}

// countExchange counts an exchange by lane and result code.
func (m *Metrics) countExchange(bulk bool, err error) {
	lane := laneShort
	if bulk {
		lane = laneBulk
	}
	code := result.OK
	if e, ok := err.(*result.Error); ok {
		code = e.Code
	}
	m.exchanges.WithLabelValues(lane, strconv.Itoa(int(code))).Inc()
}

// countDial counts an attempt to open a connection by its result.
func (m *Metrics) countDial(err error) {
	switch err {
	case nil:
		m.dials.WithLabelValues("opened").Inc()
	case errDialsSuspended:
		m.dials.WithLabelValues("suspended").Inc()
	default:
		m.dials.WithLabelValues("failed").Inc()
	}
}
