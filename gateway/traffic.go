package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/upstream"
)

// causeKey is the value of the metric label "cause" for requests that only the owner of their key may serve. The other
// values are those of placing.Cause.
const causeKey = "key"

// trafficCounter counts the bytes that are exchanged with targets. Traffic between regions is billed by the byte.
type trafficCounter struct {
	bytes    *prometheus.CounterVec
	balancer *placing.Balancer
}

func newTrafficCounter(r prometheus.Registerer, b *placing.Balancer) *trafficCounter {
	t := &trafficCounter{balancer: b, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basiltally_upstream_bytes_total",
		Help: "Bytes of headers and bodies of requests sent to targets and of their answers, by kind of request, distance of the target, and why that target was chosen.",
	}, []string{"kind", "distance", "cause"})}
	r.MustRegister(t.bytes)
	return t
}

// count adds an exchange. The answer is nil if there was none; the request then counts all the same, as it is not known how
// much of it was sent.
func (t *trafficCounter) count(c *call, candidate *placing.Candidate, r *upstream.Request, a *upstream.Answer) {
	n := len(r.Header) + len(r.Body)
	if a != nil {
		n += len(a.Header) + len(a.Body)
	}
	t.bytes.WithLabelValues(c.entry.Kind.String(), t.balancer.Distance(candidate), c.cause).Add(float64(n))
}
