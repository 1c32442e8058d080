package shard

import (
	"math"
	"time"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
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
)

// targetStates combines the reports of all VMs on the targets.
type targetStates struct {
	states map[string]*targetState
}

type targetState struct {
	// serviceTime is the moving average of the target's service times.
	serviceTime time.Duration
	answers     int
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
	// changed is set if a report came since the last call of takeChanged.
	changed bool
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

// serviceTime returns the mean service time of a target, or the given one while it has fewer
// than minAnswers answers.
func (t *targetStates) serviceTime(id string, unknown time.Duration) time.Duration {
	if s := t.states[id]; s.known() {
		return s.serviceTime
	}
	return unknown
}

// typicalServiceTime returns the mean service time of those of the targets of which it is known,
// or defaultServiceTime if it is of none.
func (t *targetStates) typicalServiceTime(targets []*fleet.Target) time.Duration {
	sum, n := time.Duration(0), 0
	for _, target := range targets {
		if s := t.states[target.ID]; s.known() {
			sum += s.serviceTime
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}

// takeChanged returns the states of the targets that were reported on since the last call.
func (t *targetStates) takeChanged(now time.Duration) []*pb.TargetState {
	var out []*pb.TargetState
	for id, s := range t.states {
		if !s.changed {
			continue
		}
		s.changed = false
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
		out = append(out, m)
	}
	return out
}
