package shard

import (
	"math"
	"time"

	"github.com/basiltally/basiltally/pb"
)

const (
	// defaultServiceTime is assumed of a target whose speed is not known yet.
	defaultServiceTime = 80 * time.Millisecond
	// answerWeight is the weight of one answer in a target's mean service time and
	// share of failures.
	answerWeight = 0.08
	// firstAnswers is the number of answers from which a target's speed counts as known.
	minAnswers = 3
)

// targetStates gathers what all VMs report of the targets, and tells what is new.
type targetStates struct {
	states map[string]*targetState
}

type targetState struct {
	serviceTime time.Duration
	answers     int
	failures    float64
	load        uint32
	// toldAt is the instant at which the target told its load; zero if it never did.
	loadReportedAt time.Duration
	changed        bool
}

func newTargetStates() *targetStates { return &targetStates{states: map[string]*targetState{}} }

// add takes a VM's report.
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
}

func (s *targetState) observe(mean time.Duration, n int) {
	if s.answers == 0 {
		s.serviceTime = mean
	}
	s.answers += n
	s.serviceTime += time.Duration(weight(n) * float64(mean-s.serviceTime))
}

// weight is the weight of n answers taken together.
func weight(n int) float64 { return 1 - math.Pow(1-answerWeight, float64(n)) }

// serviceTime returns the mean service time of a target, or a default.
func (t *targetStates) serviceTime(id string) time.Duration {
	if s := t.states[id]; s != nil && s.answers >= minAnswers {
		return s.serviceTime
	}
	return defaultServiceTime
}

// take returns the states that changed since the last call.
func (t *targetStates) takeChanged(now time.Duration) []*pb.TargetState {
	var out []*pb.TargetState
	for id, s := range t.states {
		if !s.changed {
			continue
		}
		s.changed = false
		m := &pb.TargetState{Target: id, FailurePermille: uint32(1000 * s.failures)}
		if s.answers >= minAnswers {
			m.ServiceMicros = uint32(s.serviceTime.Microseconds())
		}
		if s.loadReportedAt > 0 {
			m.Told, m.Load, m.AgeMs = true, s.load, uint32((now - s.loadReportedAt).Milliseconds())
		}
		out = append(out, m)
	}
	return out
}
