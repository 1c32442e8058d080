package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/upstream"
)

// Values of the label "outcome" of trafficCounter.bodyLimit.
const (
	bodyRedirected = "redirected"
	bodyRefused    = "refused"
)

// causeKey is the value of the metric label "cause" for requests that only the owner of their key may serve. The other
// values are those of placing.Cause.
const causeKey = "key"

// trafficCounter counts the bytes that are exchanged with targets. Traffic between regions is billed by the byte.
type trafficCounter struct {
	bytes *prometheus.CounterVec
	// bodyLimit counts the requests that were not sent to a target because of the request bodies in flight there.
	bodyLimit *prometheus.CounterVec
	balancer  *placing.Balancer
}

func newTrafficCounter(r prometheus.Registerer, b *placing.Balancer) *trafficCounter {
	t := &trafficCounter{balancer: b, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basiltally_upstream_bytes_total",
		Help: "Bytes of headers and bodies of requests sent to targets and of their answers, by kind of request, distance of the target, and why that target was chosen.",
	}, []string{"kind", "distance", "cause"})}
	t.bodyLimit = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basiltally_target_body_limit_total",
		Help: "Choices of a target at which this VM's share of target_body_bytes left no room at one, by outcome: redirected to another target, or refused.",
	}, []string{"outcome"})
	r.MustRegister(t.bytes, t.bodyLimit)
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
