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
	// Region is the region of this entry; its targets are preferred.
	Region string
	// SpillAt is the number of own requests in flight on each target of the
	// region, by its weight, above which targets of other regions are used too.
	// Default 4.
	SpillAt int
	// EjectAfter failures in a row keep a target from new requests. Default 5.
	EjectAfter int
	// EjectFor is the duration of the first ejection, doubled with each further
	// one up to 32 times. Default 1 s.
	EjectFor time.Duration
	// MaxEjected is the largest share of a view's ready targets that is ejected
	// at a time. Default 0.34.
	MaxEjectedShare float64
	// RampUp is the time over which a target that is new, warming or back from
	// ejection gets its full share. Default 3 s.
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
	// maxEjectDoublings bounds the duration of ejections.
	maxEjectDoublings = 5
	// minWeight is the share of a target at the start of its ramp.
	minRampWeight = 0.1
)

// Selector chooses targets of pools without keys. It goes by what this entry
// has observed itself: requests in flight and failures. Load that targets
// report lags or misleads and is not used.
type Selector struct {
	opts SelectorOptions

	mu        sync.Mutex
	targets   map[ownership.TargetID]*targetStats
	nextStart int
}

// observed is what this entry has seen of one target.
type targetStats struct {
	inFlight int
	failures int
	// ejections counts those in a row, for their duration.
	ejections    int
	ejectedUntil time.Time
	// rampFrom is the start of the ramp.
	rampStart time.Time
}

// NewSelector returns a Selector without observations.
func NewSelector(opts SelectorOptions) *Selector {
	return &Selector{opts: opts.withDefaults(), targets: map[ownership.TargetID]*targetStats{}}
}

// Pick returns the least loaded target that may take the request, or nil.
// Targets on which the request failed come last.
func (s *Selector) Pick(req *pipeline.Request, v *ownership.View) *ownership.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.nextStart++
	best, bestScore := -1, score{}
	for i := range v.Targets {
		at := (s.nextStart + i) % len(v.Targets)
		if !acceptsRequests(v.States[at]) {
			continue
		}
		sc := s.scoreLocked(req, v, at, now)
		if best < 0 || sc.less(bestScore) {
			best, bestScore = at, sc
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
	// tier is 0 for targets to prefer, higher for those to fall back on.
	tier int
	// load is the own requests in flight by weight.
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

func (s *Selector) scoreLocked(req *pipeline.Request, v *ownership.View, at int, now time.Time) score {
	t := &v.Targets[at]
	o := s.statsLocked(t.ID)
	weight := s.weight(o, v.States[at], now)
	load := float64(o.inFlight+1) / weight
	if o.inFlight == 0 {
		// An entry with few requests in flight would never reach the load at which a
		// target in its ramp is the least loaded.
		load = 1
	}
	return score{s.tier(req, t, o, load, now), load}
}

func (s *Selector) tier(req *pipeline.Request, t *ownership.Target, o *targetStats, load float64, now time.Time) int {
	switch {
	case now.Before(o.ejectedUntil):
		return tierEjected
	case slices.Contains(req.FailedTargets, t.ID):
		return tierFailed
	case t.Region != s.opts.Region || load > float64(s.opts.SpillAt):
		return tierFar
	default:
		return tierNear
	}
}

// weight rises from minWeight to 1 over the ramp; a target that says that it is
// warming stays at the start of it.
func (s *Selector) weight(o *targetStats, state ownership.TargetState, now time.Time) float64 {
	if state == ownership.TargetWarming {
		o.rampStart = now
	}
	passed := now.Sub(o.rampStart)
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

// Began notes that a request is sent to the target.
func (s *Selector) Began(id ownership.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statsLocked(id).inFlight++
}

// Ended notes the end of a request. The error is nil after a whole answer.
// On an old connection silence or an abort says nothing about the target.
func (s *Selector) Ended(id ownership.TargetID, err error, newConnection bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.statsLocked(id)
	o.inFlight--
	switch {
	case err == nil:
		o.failures = 0
		o.ejections = 0
	case newConnection && countsAgainstTarget(err):
		o.failures++
		s.ejectLocked(o)
	}
}

// blames reports whether the error speaks against the target.
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

// ejectLocked ejects a target that failed too often, unless too many are out already.
func (s *Selector) ejectLocked(o *targetStats) {
	if o.failures < s.opts.EjectAfter {
		return
	}
	now := time.Now()
	if !s.mayEjectLocked(now) {
		return
	}
	o.failures = 0
	o.ejectedUntil = now.Add(s.opts.EjectFor << min(o.ejections, maxEjectDoublings))
	o.rampStart = o.ejectedUntil
	o.ejections++
}

func (s *Selector) mayEjectLocked(now time.Time) bool {
	ejected := 0
	for _, o := range s.targets {
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= s.opts.MaxEjectedShare*float64(len(s.targets))
}
