package shard

import (
	"math"
	"time"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/pb"
)

const (
	// defaultServiceTime is the service time assumed for a service of which no target's is known.
	defaultServiceTime = 80 * time.Millisecond
	// answerWeight is the weight of one answer in a target's mean service time and
	// share of failures.
	answerWeight = 0.08
	// minAnswers is the number of answers from which a target's service time counts as known.
	minAnswers = 3
	// refreshInterval is the interval at which the state of a target is sent although it has changed
	// too little to matter.
	refreshInterval = 10 * time.Second
	// limitRefreshInterval is the least time between two sendings of a limit that a target names again, unchanged. With
	// the time between two reports of it, it has to be less than LimitMemory, after which VMs without a share try whether it holds.
	limitRefreshInterval = eligibility.LimitMemory / 3
	// A state is sent at once if its service time has changed by minServiceTimeChange, its share of
	// failures by minFailureChange, or its load by minLoadChange while it is at least minBusyLoad:
	// below that, requests hardly wait. Service times are compared as a share of the last one.
	minServiceTimeChange = 0.15
	minFailureChange     = 0.03
	minLoadChange        = 2
	minBusyLoad          = 4
)

// targetStates combines the reports of all VMs on the targets.
type targetStates struct {
	states map[string]*targetState
}

type targetState struct {
	// serviceTime is the moving average of the target's service times.
	serviceTime time.Duration
	answers     int
	answerRate  answerRate
	// failures is the moving average of the share of requests that failed.
	failures float64
	// load is the load that the target last reported.
	load uint32
	// loadReportedAt is the instant at which the target reported its load, or zero if it
	// has not reported any.
	loadReportedAt time.Duration
	// limit is the limit that the target last named, in requests a second; zero if none.
	// limitBorn is the incarnation that named it, and limitAt the instant, or zero if none
	// ever did.
	limit     float64
	limitBorn int64
	limitAt   time.Duration
	// leavingBorn is the incarnation that has said that it leaves, or nil.
	leavingBorn *int64
	// changed is set if a report came since the state was last sent to the VMs.
	changed bool
	// sent is the state as it was sent last, at sentAt.
	sent   sentState
	sentAt time.Duration
}

// sentState is what of a target's state decides whether it is sent again.
type sentState struct {
	serviceTime time.Duration
	failures    float64
	load        uint32
	limit       float64
	limitBorn   int64
	limitAt     time.Duration
	leavingBorn int64
}

func newTargetStates() *targetStates { return &targetStates{states: map[string]*targetState{}} }

// addReport adds a VM's report on one target.
func (t *targetStates) addReport(r *pb.TargetReport, now time.Duration) {
	s := t.states[r.GetTarget()]
	if s == nil {
		s = &targetState{}
		t.states[r.GetTarget()] = s
	}
	s.changed = true
	if n := int(r.GetAnswers()); n > 0 {
		s.observe(time.Duration(r.GetServiceMicros())*time.Microsecond, n)
		s.answerRate.add(n, now)
	}
	total := int(r.GetAnswers() + r.GetFailures())
	if total > 0 {
		failed := float64(r.GetFailures()) / float64(total)
		s.failures += weight(total) * (failed - s.failures)
	}
	if at := now - time.Duration(r.GetAgeMs())*time.Millisecond; r.GetTold() && at >= s.loadReportedAt {
		s.load, s.loadReportedAt = r.GetLoad(), at
	}
	if r.LeavingBorn != nil {
		s.leavingBorn = r.LeavingBorn
	}
	if l := r.GetLimit(); l != nil {
		if at := now - time.Duration(l.GetAgeMs())*time.Millisecond; at >= s.limitAt {
			s.limit, s.limitBorn, s.limitAt = l.GetPerSecond(), l.GetBorn(), at
		}
	}
}

// limitOf returns the limit in requests a second that the incarnation has named, or false if none
// holds.
func (t *targetStates) limitOf(h Holder, now time.Duration) (float64, bool) {
	s := t.states[h.ID]
	if s == nil || s.limit == 0 || s.limitBorn != h.Born || now-s.limitAt > eligibility.LimitMemory {
		return 0, false
	}
	return s.limit, true
}

// observe adds n answers with the given mean service time.
func (s *targetState) observe(mean time.Duration, n int) {
	if s.answers == 0 {
		s.serviceTime = mean
	}
	s.answers += n
	s.serviceTime += time.Duration(weight(n) * float64(mean-s.serviceTime))
}

// weight returns the combined weight of n answers in a moving average.
func weight(n int) float64 { return 1 - math.Pow(1-answerWeight, float64(n)) }

// known reports whether enough answers of the target were reported.
func (s *targetState) known() bool { return s != nil && s.answers >= minAnswers }

// takeChanged returns the states of the targets that have changed so much since they were last sent
// that it matters to the VMs, or that were not sent for refreshInterval.
func (t *targetStates) takeChanged(now time.Duration) []*pb.TargetState {
	var out []*pb.TargetState
	for id, s := range t.states {
		if !s.changed || !s.due(now) {
			continue
		}
		s.changed, s.sent, s.sentAt = false, s.current(), now
		out = append(out, s.message(id, now))
	}
	return out
}

// all returns the states of all targets.
func (t *targetStates) all(now time.Duration) []*pb.TargetState {
	out := make([]*pb.TargetState, 0, len(t.states))
	for id, s := range t.states {
		out = append(out, s.message(id, now))
	}
	return out
}

func (s *targetState) current() sentState {
	c := sentState{
		serviceTime: s.serviceTime, failures: s.failures, load: s.load,
		limit: s.limit, limitBorn: s.limitBorn, limitAt: s.limitAt,
	}
	if s.leavingBorn != nil {
		c.leavingBorn = *s.leavingBorn
	}
	return c
}

// due reports whether a changed state is to be sent now.
func (s *targetState) due(now time.Duration) bool {
	c := s.current()
	switch {
	case s.sentAt == 0 || now-s.sentAt >= refreshInterval:
		return true
	case c.limit != s.sent.limit || c.limitBorn != s.sent.limitBorn || c.leavingBorn != s.sent.leavingBorn:
		return true
	case c.limit > 0 && c.limitAt != s.sent.limitAt && now-s.sentAt >= limitRefreshInterval:
		return true
	case math.Abs(float64(c.serviceTime-s.sent.serviceTime)) >= minServiceTimeChange*float64(s.sent.serviceTime):
		return true
	case math.Abs(c.failures-s.sent.failures) >= minFailureChange:
		return true
	}
	low, high := min(c.load, s.sent.load), max(c.load, s.sent.load)
	return high >= minBusyLoad && high-low >= minLoadChange
}

// message returns the state as it is sent to the VMs.
func (s *targetState) message(id string, now time.Duration) *pb.TargetState {
	m := &pb.TargetState{Target: id, LeavingBorn: s.leavingBorn, FailurePermille: uint32(1000 * s.failures)}
	if s.known() {
		m.ServiceMicros = uint32(s.serviceTime.Microseconds())
	}
	if s.loadReportedAt > 0 {
		m.Told, m.Load, m.AgeMs = true, s.load, uint32((now - s.loadReportedAt).Milliseconds())
	}
	if s.limitAt > 0 {
		m.Limit = &pb.TargetLimit{Born: s.limitBorn, PerSecond: s.limit, AgeMs: uint32((now - s.limitAt).Milliseconds())}
	}
	return m
}
