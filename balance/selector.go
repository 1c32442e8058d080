package balance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// SelectorOptions are the options of a Selector.
type SelectorOptions struct {
	// Region is the region of this entry, whose targets are preferred.
	Region string
	// SpillAt is the load above which targets of other regions are used too: the
	// number of this entry's requests in flight on each target of its region, divided
	// by the target's weight. Default 4.
	SpillAt int
	// EjectAfter is the number of consecutive failures after which a target is ejected,
	// i.e. receives no requests while others are available. Default 5.
	EjectAfter int
	// EjectFor is the duration of the first ejection. It doubles with each consecutive
	// ejection, up to 32 times its value. Default 1 s.
	EjectFor time.Duration
	// MaxEjectedShare is the largest share of the known targets that may be ejected at
	// the same time. Default 0.34.
	MaxEjectedShare float64
	// RampUp is the time over which the share of a target rises to its full value after
	// the target was warming or ejected. Default 3 s.
	RampUp time.Duration
}

func (o SelectorOptions) withDefaults() SelectorOptions {
	o.SpillAt = cmp.Or(o.SpillAt, 4)
	o.EjectAfter = cmp.Or(o.EjectAfter, 5)
	o.EjectFor = cmp.Or(o.EjectFor, time.Second)
	o.MaxEjectedShare = cmp.Or(o.MaxEjectedShare, 0.34)
	o.RampUp = cmp.Or(o.RampUp, 3*time.Second)
	return o
}

const (
	// maxEjectDoublings bounds the doublings of SelectorOptions.EjectFor.
	maxEjectDoublings = 5
	// minRampWeight is the weight of a target at the start of its ramp-up.
	minRampWeight = 0.1
)

// Selector chooses targets of pools without keys. It relies on this entry's own
// observations: requests in flight and failures. It does not use the load that targets
// report, which is out of date or misleading.
type Selector struct {
	opts SelectorOptions

	mu      sync.Mutex
	targets map[ownership.TargetID]*targetStats
	// nextStart is the index, modulo the number of targets, at which Pick starts. It
	// rises with each pick, so that targets with equal scores are picked in turn.
	nextStart int
}

// targetStats are this entry's observations of one target.
type targetStats struct {
	inFlight int
	failures int
	// ejections counts consecutive ejections, which determine the next one's duration.
	ejections    int
	ejectedUntil time.Time
	// rampStart is the instant at which the ramp-up starts.
	rampStart time.Time
}

// NewSelector returns a Selector without observations.
func NewSelector(opts SelectorOptions) *Selector {
	return &Selector{opts: opts.withDefaults(), targets: map[ownership.TargetID]*targetStats{}}
}

// Pick returns the least loaded of the preferred targets that accept requests, or nil
// if none does. It prefers near targets to far ones, and those to targets on which the
// request failed; ejected targets come last.
func (s *Selector) Pick(req *pipeline.Request, v *ownership.View) *ownership.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.nextStart++
	best, bestScore := -1, score{}
	for i := range v.Targets {
		index := (s.nextStart + i) % len(v.Targets)
		if !acceptsRequests(v.States[index]) {
			continue
		}
		sc := s.scoreLocked(req, v, index, now)
		if best < 0 || sc.less(bestScore) {
			best, bestScore = index, sc
		}
	}
	if best < 0 {
		return nil
	}
	return &v.Targets[best]
}

func acceptsRequests(state ownership.TargetState) bool {
	return state == ownership.TargetReady || state == ownership.TargetWarming
}

// score orders targets; the lowest is chosen.
type score struct {
	// tier is 0 for preferred targets and higher for fallbacks.
	tier int
	// load is the number of this entry's requests in flight, with the new one, divided
	// by the target's weight.
	load float64
}

func (a score) less(b score) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.load < b.load
}

// Tiers of targets, from preferred to last resort.
const (
	tierNear = iota
	tierFar
	tierFailed
	tierEjected
)

func (s *Selector) scoreLocked(req *pipeline.Request, v *ownership.View, index int, now time.Time) score {
	t := &v.Targets[index]
	stats := s.statsLocked(t.ID)
	weight := s.weight(stats, v.States[index], now)
	load := float64(stats.inFlight+1) / weight
	if stats.inFlight == 0 {
		// Without this, an entry with few requests in flight would never pick a target
		// that is ramping up: the loads of the others would stay below that target's.
		load = 1
	}
	return score{s.tier(req, t, stats, load, now), load}
}

func (s *Selector) tier(req *pipeline.Request, t *ownership.Target, stats *targetStats, load float64, now time.Time) int {
	switch {
	case now.Before(stats.ejectedUntil):
		return tierEjected
	case slices.Contains(req.FailedTargets, t.ID):
		return tierFailed
	case t.Region != s.opts.Region || load > float64(s.opts.SpillAt):
		return tierFar
	default:
		return tierNear
	}
}

// weight returns the weight of a target, which rises from minRampWeight to 1 during
// the ramp-up. The ramp-up of a target in state warming starts when it leaves the state.
func (s *Selector) weight(stats *targetStats, state ownership.TargetState, now time.Time) float64 {
	if state == ownership.TargetWarming {
		stats.rampStart = now
	}
	passed := now.Sub(stats.rampStart)
	if passed >= s.opts.RampUp {
		return 1
	}
	return max(minRampWeight, passed.Seconds()/s.opts.RampUp.Seconds())
}

func (s *Selector) statsLocked(id ownership.TargetID) *targetStats {
	o, ok := s.targets[id]
	if !ok {
		o = &targetStats{}
		s.targets[id] = o
	}
	return o
}

// Began implements dispatch.Observer. It counts a request in flight on the target.
func (s *Selector) Began(id ownership.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statsLocked(id).inFlight++
}

// Ended implements dispatch.Observer. It counts the result of a request; the error is
// nil after a complete answer. It counts failures only on new connections, because
// a timeout or an abort on an old connection does not indicate a fault of the target.
func (s *Selector) Ended(id ownership.TargetID, err error, newConnection bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.statsLocked(id)
	stats.inFlight--
	switch {
	case err == nil:
		stats.failures = 0
		stats.ejections = 0
	case newConnection && countsAgainstTarget(err):
		stats.failures++
		s.ejectLocked(stats)
	}
}

// countsAgainstTarget reports whether the error indicates a fault of the target.
func countsAgainstTarget(err error) bool {
	e, ok := err.(*result.Error)
	if !ok {
		return false
	}
	switch e.Code {
	case result.ConnectFailed, result.TargetLost, result.TargetTimeout, result.ShortBody, result.AnswerMismatch:
		return true
	default:
		return false
	}
}

// ejectLocked ejects a target after EjectAfter consecutive failures, unless too many
// targets are ejected already.
func (s *Selector) ejectLocked(stats *targetStats) {
	if stats.failures < s.opts.EjectAfter {
		return
	}
	now := time.Now()
	if !s.mayEjectLocked(now) {
		return
	}
	stats.failures = 0
	stats.ejectedUntil = now.Add(s.opts.EjectFor << min(stats.ejections, maxEjectDoublings))
	stats.rampStart = stats.ejectedUntil
	stats.ejections++
}

// mayEjectLocked reports whether MaxEjectedShare allows one more ejection.
func (s *Selector) mayEjectLocked(now time.Time) bool {
	ejected := 0
	for _, o := range s.targets {
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= s.opts.MaxEjectedShare*float64(len(s.targets))
}
