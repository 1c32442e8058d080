// Package eligibility decides whether a request may be sent to a target, from what the target's
// entry and its answers state. All paths of a request ask it last, right before the first
// byte is written, because a request may wait for a connection or be repeated seconds after
// its target was chosen.
//
// The limits that targets name hold for all VMs together. Each VM keeps to a share of its own,
// so that the sum holds while the VMs cannot talk to each other.
package eligibility

import (
	"cmp"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/warmup"
)

// Reason states why a request may not be sent to a target.
type Reason int

const (
	// None means that the request may be sent.
	None Reason = iota
	// Leaving means that the target leaves and takes no new requests.
	Leaving
	// Limited means that this VM's share of the limit that the target has named is used up.
	Limited
	// Paused means that the target has asked this VM to pause.
	Paused
	// Evacuated means that the target is in a data centre that is being evacuated.
	Evacuated
	// RegionNotAllowed means that the target is not in a region that is allowed for the request.
	RegionNotAllowed
	// PlacesUnknown means that it is not known which data centres are being evacuated.
	PlacesUnknown
	// Cold means that the target has started lately and this VM has no request left of what it may get while it is cold.
	Cold
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"none", "leaving", "limited", "paused", "evacuated", "region", "places-unknown", "cold"}[r]
}

// Verdict states whether a request may be sent to a target.
type Verdict struct {
	Reason Reason
	// RetryIn is the time after which a request may be sent again; zero if that is unknown.
	RetryIn time.Duration
	// Since is how long a target leaves, or its data centre is being evacuated, at most, if that is the
	// reason.
	Since time.Duration
}

// OK reports whether the request may be sent.
func (v Verdict) OK() bool { return v.Reason == None }

// Error implements error, for a Verdict that is not OK.
func (v Verdict) Error() string { return fmt.Sprintf("the target is not eligible: %s", v.Reason) }

// Options configures a Tracker.
type Options struct {
	// Directory has the targets' entries.
	Directory *fleet.Directory
	// VM is this VM's name among those given to SetVMs.
	VM string
	// DrainTime is how long a target takes requests after it has said that it leaves. Default
	// 2 s.
	DrainTime time.Duration
	// Evacuation says which data centres are being evacuated. By default none is.
	Evacuation EvacuationOptions
	// WarmUp bounds the requests for cold targets. Nil does not.
	WarmUp *warmup.Tracker
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Registerer is where the metrics are registered. Nil registers none.
	Registerer prometheus.Registerer
	// Logger gets a line for each change of what a target states. Without it nothing is logged.
	Logger *slog.Logger
}

// drainMargin is how long before the end of a target's drain time the last request is sent to it.
// It covers the way of the request, and of the change through the store.
const drainMargin = 300 * time.Millisecond

// Tracker decides about the incarnations of targets. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	refused *prometheus.CounterVec
	// stateCount is the number of states. While it is zero, as mostly, mu need not be locked.
	stateCount atomic.Int64

	mu     sync.Mutex
	states map[fleet.Incarnation]*state
	vms    []string
	count  int
}

// state is what an incarnation has stated in its answers.
type state struct {
	limit limit
	pause pause
	// unreported is set if the next call of TakeStatements is to return the limit. reportedAt is when the target had
	// stated what the last one returned.
	unreported bool
	reportedAt time.Time
}

// New returns a Tracker that knows no statements.
func New(opts Options) *Tracker {
	opts.DrainTime = cmp.Or(opts.DrainTime, 2*time.Second)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	t := &Tracker{
		opts: opts, states: map[fleet.Incarnation]*state{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_ineligible_total", Help: "Requests that were not sent to a target, by the reason.",
		}, []string{"reason"}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(t.refused)
	}
	return t
}

// Decide returns whether a request may be sent to the incarnation now.
func (t *Tracker) Decide(i fleet.Incarnation) Verdict {
	now := t.opts.Now()
	if v := t.leaving(i, now); !v.OK() || !t.HasStatements() {
		return v
	}
	if t.stateCount.Load() > 0 {
		t.mu.Lock()
		v := t.statedLocked(i, now)
		t.mu.Unlock()
		if !v.OK() {
			return v
		}
	}
	return cold(t.opts.WarmUp.Wait(i.ID))
}

// cold returns the verdict if a request for a cold target has to wait for the duration.
func cold(wait time.Duration) Verdict {
	if wait > 0 {
		return Verdict{Reason: Cold, RetryIn: wait}
	}
	return Verdict{}
}

// WarmUp returns Options.WarmUp, which may be nil.
func (t *Tracker) WarmUp() *warmup.Tracker { return t.opts.WarmUp }

// HasStatements reports whether any incarnation has named a limit, asked for a pause or is cold. If not, all targets that are
// ready are eligible.
func (t *Tracker) HasStatements() bool { return t.stateCount.Load() > 0 || t.opts.WarmUp.Any() }

// Take decides like Decide, and counts the request as sent if it may be.
func (t *Tracker) Take(i fleet.Incarnation) Verdict {
	now := t.opts.Now()
	v := t.leaving(i, now)
	if v.OK() && t.stateCount.Load() > 0 {
		t.mu.Lock()
		if v = t.statedLocked(i, now); v.OK() {
			// The target's own statements are asked first, so that no request is counted for a cold target that is not sent.
			if v = cold(t.opts.WarmUp.Take(i.ID)); v.OK() {
				if s := t.states[i]; s != nil {
					s.take(now)
				}
			}
		}
		t.mu.Unlock()
	} else if v.OK() {
		v = cold(t.opts.WarmUp.Take(i.ID))
	}
	if !v.OK() {
		t.refused.WithLabelValues(v.Reason.String()).Inc()
	}
	return v
}

// PromiseReturn returns the time after which the caller of a request should return that the
// verdict refused. Callers that wait for the same share of a limit return one after the other.
func (t *Tracker) PromiseReturn(i fleet.Incarnation, v Verdict) time.Duration {
	if v.Reason == Cold {
		t.opts.WarmUp.CountWithheld()
	}
	if v.Reason != Limited {
		return v.RetryIn
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[i]
	if s == nil {
		return v.RetryIn
	}
	return s.limit.promise(t.opts.Now())
}

func (t *Tracker) leaving(i fleet.Incarnation, now time.Time) Verdict {
	since := t.opts.Directory.Snapshot().LeavingSince(i)
	if since.IsZero() {
		return Verdict{}
	}
	if leaving := now.Sub(since); leaving > t.opts.DrainTime-drainMargin {
		return Verdict{Reason: Leaving, Since: leaving}
	}
	return Verdict{}
}

// statedLocked decides by what the incarnation has stated. t.mu must be held.
func (t *Tracker) statedLocked(i fleet.Incarnation, now time.Time) Verdict {
	s := t.states[i]
	if s == nil {
		return Verdict{}
	}
	if wait := s.pause.wait(now); wait > 0 {
		return Verdict{Reason: Paused, RetryIn: wait}
	}
	if s.limit.active() {
		if wait := s.limit.wait(now); wait > 0 {
			return Verdict{Reason: Limited, RetryIn: wait}
		}
	}
	return Verdict{}
}

// take counts a request that is sent.
func (s *state) take(now time.Time) {
	s.pause.take(now)
	if s.limit.active() {
		s.limit.take(now)
	}
}

// Statement is what a target states in an answer, or what another VM was told in one.
type Statement struct {
	Incarnation fleet.Incarnation
	// LimitPerSecond is the number of requests a second that the target takes from all VMs
	// together; zero if it takes all.
	LimitPerSecond float64
	// LimitUnclear is set if what the target states of its limit could not be understood. What was known of it holds on.
	LimitUnclear bool
	// Age is how long ago the target stated it.
	Age time.Duration
	// Pause is how long the target wants no requests from this VM; zero if it states none. It
	// does not concern other VMs.
	Pause time.Duration
}

// Observe records what a target stated in an answer to the request with the ID.
func (t *Tracker) Observe(s Statement, request string) {
	if s.LimitPerSecond == 0 && s.Pause == 0 && t.stateCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.states[s.Incarnation]
	if known == nil {
		if s.LimitPerSecond == 0 && s.Pause == 0 {
			return
		}
		known = t.addStateLocked(s.Incarnation)
	}
	t.observePauseLocked(known, s, request)
	if !s.LimitUnclear && (s.LimitPerSecond > 0 || known.limit.named()) {
		before := known.limit.perSecond
		if t.mergeLimitLocked(known, s, "request", request) && (s.LimitPerSecond != before || known.limit.statedAt.Sub(known.reportedAt) >= repeatInterval) {
			known.unreported = true
		}
	}
}

func (t *Tracker) addStateLocked(i fleet.Incarnation) *state {
	s := &state{}
	t.states[i] = s
	t.stateCount.Store(int64(len(t.states)))
	return s
}

// observePauseLocked records a pause that the target asks for, or an answer without one. t.mu must
// be held.
func (t *Tracker) observePauseLocked(known *state, s Statement, request string) {
	now := t.opts.Now()
	if s.Pause == 0 {
		known.pause.observeAnswer(now)
		return
	}
	pause := min(s.Pause, maxPause)
	known.pause.begin(pause, now)
	t.opts.Logger.Info("target asks for a pause", "target", s.Incarnation.ID, "born", s.Incarnation.Born, "pause_ms", pause.Milliseconds(),
		"until_ms", known.pause.until.Sub(now).Milliseconds(), "request", request)
}

// Merge records what other VMs were told, unless this VM knows something later.
func (t *Tracker) Merge(statements []Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range statements {
		known := t.states[s.Incarnation]
		if known == nil {
			if s.LimitPerSecond == 0 {
				continue
			}
			known = t.addStateLocked(s.Incarnation)
		}
		t.mergeLimitLocked(known, s, "source", "another VM")
	}
}

// mergeLimitLocked records a limit, or that there is none, and logs a change. It returns false if
// the statement is older than what is known. t.mu must be held.
func (t *Tracker) mergeLimitLocked(known *state, s Statement, sourceKey, source string) bool {
	now := t.opts.Now()
	at := now.Add(-s.Age)
	if at.Before(known.limit.statedAt) || s.Age >= LimitMemory {
		return false
	}
	before, wasActive := known.limit.perSecond, known.limit.active()
	known.limit.state(s.LimitPerSecond, t.shareLocked(s), at, now)
	if known.limit.perSecond != before || wasActive != known.limit.active() {
		t.opts.Logger.Info("limit of target changed", "target", s.Incarnation.ID, "born", s.Incarnation.Born, "per_second", s.LimitPerSecond,
			"before", before, "share", known.limit.share.perSecond, "age_ms", s.Age.Milliseconds(), sourceKey, source)
	}
	return true
}

func (t *Tracker) shareLocked(s Statement) share {
	if s.LimitPerSecond == 0 {
		return share{}
	}
	return shareOf(s.LimitPerSecond, s.Incarnation.ID, t.opts.VM, t.vms, t.count)
}

// SetVMs sets the VMs that share the targets. The list may lack some of the number of VMs, as while an assigner counts them anew.
// The ranks in such lists differ from VM to VM, so that a whole list from before stays in use.
func (t *Tracker) SetVMs(vms []string, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count = count; len(vms) >= count || len(t.vms) < count {
		t.vms = vms
	}
	now := t.opts.Now()
	for i, s := range t.states {
		if s.limit.active() {
			sh := t.shareLocked(Statement{Incarnation: i, LimitPerSecond: s.limit.perSecond})
			s.limit.state(s.limit.perSecond, sh, s.limit.statedAt, now)
		}
	}
}

// TakeStatements returns what this VM itself was told since the last call: a change at once, an unchanged limit once a
// second at most.
func (t *Tracker) TakeStatements() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var out []Statement
	for i, s := range t.states {
		if !s.unreported {
			continue
		}
		s.unreported, s.reportedAt = false, s.limit.statedAt
		out = append(out, Statement{Incarnation: i, LimitPerSecond: s.limit.perSecond, Age: now.Sub(s.limit.statedAt)})
	}
	return out
}

// Retain discards the statements of the incarnations for which known returns false, unless they are recent: the entry of a target
// that lives may be missing for a while.
func (t *Tracker) Retain(known func(fleet.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for i, s := range t.states {
		if !known(i) && now.Sub(s.limit.statedAt) >= LimitMemory && now.After(s.pause.until) {
			delete(t.states, i)
		}
	}
	t.stateCount.Store(int64(len(t.states)))
}
