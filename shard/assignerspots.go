package shard

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// assignerMetrics are what the assigner counts.
type assignerMetrics struct {
	moves, spotMoves *prometheus.CounterVec
	spots            *prometheus.GaugeVec
	// orderWait is the time from when an order was due until its call began, and orderCall how long the call took.
	orderWait, orderCall *prometheus.HistogramVec
}

func newAssignerMetrics(r prometheus.Registerer) *assignerMetrics {
	m := &assignerMetrics{
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_range_moves_total", Help: "Ranges of keys that this VM, as the assigner, has given to another owner.",
		}, []string{"service"}),
		spotMoves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_hot_spot_moves_total", Help: "Of these, parts of hot spots.",
		}, []string{"service"}),
		spots: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "basiltally_hot_spots", Help: "Hot spots, runs of neighbouring keys whose request rate has risen at once.",
		}, []string{"service"}),
	}
	m.orderWait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "basiltally_order_wait_seconds", Help: "Time from when an order to a target was due until its call began.", Buckets: orderBuckets,
	}, []string{"order"})
	m.orderCall = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "basiltally_order_call_seconds", Help: "Duration of the call of an order to a target, by its outcome: ok or failed.", Buckets: orderBuckets,
	}, []string{"order", "outcome"})
	if r != nil {
		r.MustRegister(m.moves, m.spotMoves, m.spots, m.orderWait, m.orderCall)
	}
	return m
}

// orderBuckets are the bounds of the histograms of orders, in seconds.
var orderBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// observeOrder adds the times of an order that was sent.
func (m *assignerMetrics) observeOrder(order string, r Result) {
	outcome := "ok"
	if r.Err != nil {
		outcome = "failed"
	}
	m.orderWait.WithLabelValues(order).Observe((r.Sent - r.Order.DueAt).Seconds())
	m.orderCall.WithLabelValues(order, outcome).Observe((r.Ended - r.Sent).Seconds())
}

// hotSpotBegan looks for hot spots of a service whose targets have few slots. It reports whether one began, so that
// a plan is due at once.
func (a *assigner) hotSpotBegan(s *serviceState, now time.Duration) bool {
	if !s.fewSlots || now-s.spotsSought < assignerTick {
		return false
	}
	s.spotsSought = now
	began := s.load.FindHotSpots(now)
	a.recordSpots(s, now)
	return began
}

// recordSpots logs the hot spots of a service that have begun or ended.
func (a *assigner) recordSpots(s *serviceState, now time.Duration) {
	known := s.spots
	s.spots = s.load.HotSpots()
	sameSpot := func(h HotSpot) func(HotSpot) bool { return func(o HotSpot) bool { return o.Since == h.Since } }
	for _, h := range s.spots {
		if !slices.ContainsFunc(known, sameSpot(h)) {
			a.agent.opts.Logger.Info("hot spot found", "service", s.name, "from", h.Keys.From, "to", h.Keys.To,
				"rate", s.load.ExpectedRate(h, now), "age_ms", (now - h.Since).Milliseconds(), "term", a.term.Load())
		}
	}
	for _, h := range known {
		if !slices.ContainsFunc(s.spots, sameSpot(h)) {
			a.agent.opts.Logger.Info("hot spot ended", "service", s.name, "from", h.Keys.From, "to", h.Keys.To,
				"highest_rate", h.highest, "age_ms", (now - h.Since).Milliseconds(), "term", a.term.Load())
		}
	}
	a.agent.metrics.spots.WithLabelValues(s.name).Set(float64(len(s.spots)))
}

// recordMoves logs and counts the moves of a plan that is being written.
func (a *assigner) recordMoves(s *serviceState, moves []Move, now time.Duration) {
	spotMoves, targets := 0, map[string]bool{}
	for _, m := range moves {
		inSpot := slices.ContainsFunc(s.spots, func(h HotSpot) bool { return h.Keys.Contains(m.Keys) })
		a.agent.opts.Logger.Info("assigning range to owner", "service", s.name, "from", m.Keys.From, "to", m.Keys.To,
			"owner", m.To.ID, "rate", s.load.Rate(m.Keys), "hot_spot", inSpot, "term", a.term.Load())
		if inSpot {
			spotMoves++
			targets[m.To.ID] = true
		}
	}
	a.agent.metrics.moves.WithLabelValues(s.name).Add(float64(len(moves)))
	a.agent.metrics.spotMoves.WithLabelValues(s.name).Add(float64(spotMoves))
	if spotMoves > 0 {
		oldest := slices.MinFunc(s.spots, func(a, b HotSpot) int { return int(a.Since - b.Since) })
		a.agent.opts.Logger.Info("spreading hot spots", "service", s.name, "moves", spotMoves, "targets", len(targets),
			"age_ms", (now - oldest.Since).Milliseconds(), "term", a.term.Load())
	}
}
