// Package warmup bounds the requests that targets get while they are cold, that is, shortly after their start. A target that
// gets more than it can handle then crashes, and is cold again after its next start.
//
// The bound holds for all VMs together. Each VM keeps to an allotment of its own, so that the sum holds while the VMs cannot
// talk to each other or have different lists of VMs.
package warmup

import (
	"cmp"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/fleet"
)

const (
	// vmRetention is how long a VM that is no longer listed still counts for the ranks. It may be cut off from the assigner
	// that makes the list, and still send requests.
	vmRetention = 2 * time.Minute
	// listSettleTime is how long after the first list of VMs a VM sends nothing to cold targets. A new assigner
	// lists the VMs as they connect to it, which takes about half a second.
	listSettleTime = 3 * time.Second
	// withoutShareRetryAfter is the time after which a caller may return to a VM that has no share of a cold target. Most
	// callers return to another VM.
	withoutShareRetryAfter = time.Second
	// namesInterval is the least time between two searches for VMs that are no longer listed.
	namesInterval = time.Second
	// logInterval is the least time between two log lines on single targets. All targets of a data centre may turn cold at once.
	logInterval = 100 * time.Millisecond
)

// Service is what the configuration states of the targets of a service.
type Service struct {
	// WarmUp is the time for which a target is cold after its start.
	WarmUp time.Duration
	// PerSecond is the number of requests per second that a cold target can handle; zero if its requests are not bounded.
	PerSecond float64
}

// Cause states why a target counts as cold.
type Cause string

// Values of the log key "cause".
const (
	CauseEntry      Cause = "entry"
	CauseStarted    Cause = "started"
	CauseDataCentre Cause = "data centre returned"
	CauseStatement  Cause = "statement"
	CauseRefused    Cause = "connection refused"
	CauseEnded      Cause = "connections ended"
)

// Options configures a Tracker.
type Options struct {
	// VM is this VM's name among those given to SetVMs.
	VM     string
	Bounds Bounds
	// Service returns what is configured for a service, and false while no configuration is known.
	Service func(name string) (Service, bool)
	// Directory has the targets' entries.
	Directory *fleet.Directory
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0, n). Default rand.IntN of math/rand/v2.
	Random func(n int) int
	// Registerer is where the metrics are registered. Nil registers none.
	Registerer prometheus.Registerer
	// Logger gets a line for each target that turns cold or warm. Without it nothing is logged.
	Logger *slog.Logger
}

// Tracker knows which targets are cold, and how many requests this VM may send them. It is safe for concurrent use. A nil
// Tracker knows of no cold targets.
type Tracker struct {
	opts     Options
	sent     prometheus.Counter
	withheld prometheus.Counter
	// coldCount is the number of cold targets. While it is zero, as mostly, mu need not be locked.
	coldCount atomic.Int64
	// firstTake is when the first request was sent to any target, in nanoseconds since the Unix epoch; zero before.
	firstTake atomic.Int64

	mu     sync.Mutex
	states map[string]*state
	// dataCentres has the instants from which the targets of data centres count as cold.
	dataCentres map[string]time.Time
	// vms has the VMs that count for the ranks with the instants at which they were last listed; names has them in order.
	vms   map[string]time.Time
	names []string
	// namesVersion is higher after each change of names, and namesUpdatedAt is when it was last looked for VMs that have gone.
	namesVersion   int
	namesUpdatedAt time.Time
	// listedAt is when the first list of VMs came, and listed is the latest list.
	listedAt time.Time
	listed   []string
	// loggedAt is when a single target was last logged, and suppressed counts the lines that were left out since.
	loggedAt   time.Time
	suppressed int
}

// state is what is known of a target, whatever its incarnation: the address of an incarnation that has ended may be that of the
// next one.
type state struct {
	service string
	// statedUntil is the end of the warm-up as the target stated it. from is the latest instant from which the service's
	// warm-up counts.
	statedUntil, from time.Time
	cause             Cause
	cold              bool
	until             time.Time
	bucket            bucket
	// rank is this VM's rank for the target among the names with rankVersion.
	rank, rankVersion int
}

// New returns a Tracker that knows no cold targets, or nil if the bounds say that the feature is off.
func New(opts Options) *Tracker {
	if opts.Bounds.Overage <= 0 {
		return nil
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Random == nil {
		opts.Random = rand.IntN
	}
	opts.Logger = cmp.Or(opts.Logger, slog.New(slog.DiscardHandler))
	t := &Tracker{
		opts: opts, states: map[string]*state{}, dataCentres: map[string]time.Time{}, vms: map[string]time.Time{},
	}
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basiltally_warmup_requests_total", Help: "Requests for cold targets, by whether they were sent or withheld.",
	}, []string{"outcome"})
	t.sent, t.withheld = requests.WithLabelValues("sent"), requests.WithLabelValues("withheld")
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(requests, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "basiltally_cold_targets", Help: "Targets that count as cold at this VM.",
		}, func() float64 { return float64(t.coldCount.Load()) }))
	}
	return t
}

// Any reports whether any target is cold.
func (t *Tracker) Any() bool { return t != nil && t.coldCount.Load() > 0 }

// ObserveEntry records the entry of a target that was read now. first is set if its incarnation was not known before. It does
// not ask the Directory, which calls it.
func (t *Tracker) ObserveEntry(e *fleet.Target, first bool) {
	if t == nil {
		return
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.WarmUpLeft > 0 {
		t.stateLocked(e).stateUntil(now.Add(e.WarmUpLeft), CauseEntry)
	}
	// Targets that were born before the first request belong to the start of the whole system and state in their entries
	// whether they are cold.
	if took := t.firstTake.Load(); first && took > 0 && e.Born > time.Unix(0, took).UnixMilli() {
		t.stateLocked(e).countFrom(now, CauseStarted)
	}
	if from, ok := t.dataCentres[e.DataCentre]; ok {
		if service, _ := t.opts.Service(e.Service); now.Before(from.Add(service.WarmUp)) {
			t.stateLocked(e).countFrom(from, CauseDataCentre)
		}
	}
	if s := t.states[e.ID]; s != nil {
		t.evaluateLocked(e.ID, s, now, true)
	}
}

// MarkCold makes all targets of a data centre count as cold for the warm-up of their services from the instant.
func (t *Tracker) MarkCold(dataCentre string, from time.Time) {
	if t == nil {
		return
	}
	snapshot := t.opts.Directory.Snapshot()
	now, n := t.opts.Now(), 0
	t.mu.Lock()
	defer t.mu.Unlock()
	if from.After(t.dataCentres[dataCentre]) {
		t.dataCentres[dataCentre] = from
	}
	for _, e := range snapshot.ByID {
		if e.DataCentre != dataCentre {
			continue
		}
		s := t.stateLocked(e)
		s.countFrom(from, CauseDataCentre)
		t.evaluateLocked(e.ID, s, now, false)
		if s.cold {
			n++
		}
	}
	t.opts.Logger.Info("targets of data centre count as cold", "data_centre", dataCentre, "targets", n, "age_ms", now.Sub(from).Milliseconds())
}

// ObserveRestart records a sign that the target's process may have restarted, such as a refused connection.
func (t *Tracker) ObserveRestart(e *fleet.Target, cause Cause) {
	if t == nil {
		return
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(e)
	s.countFrom(now, cause)
	t.evaluateLocked(e.ID, s, now, true)
}

// ObserveStatement records for how much longer the target has stated that it is cold.
func (t *Tracker) ObserveStatement(e *fleet.Target, left time.Duration) {
	if t == nil || left <= 0 {
		return
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(e)
	s.stateUntil(now.Add(left), CauseStatement)
	t.evaluateLocked(e.ID, s, now, true)
}

func (t *Tracker) stateLocked(e *fleet.Target) *state {
	s := t.states[e.ID]
	if s == nil {
		s = &state{}
		t.states[e.ID] = s
	}
	if e.Service != "" {
		s.service = e.Service
	}
	return s
}

func (s *state) stateUntil(until time.Time, cause Cause) {
	if until.After(s.statedUntil) {
		s.statedUntil, s.cause = until, cause
	}
}

func (s *state) countFrom(from time.Time, cause Cause) {
	if from.After(s.from) {
		s.from, s.cause = from, cause
	}
}

// evaluateLocked updates whether the target is cold. t.mu must be held.
func (t *Tracker) evaluateLocked(id string, s *state, now time.Time, log bool) {
	service, known := t.opts.Service(s.service)
	s.until = s.statedUntil
	if until := s.from.Add(service.WarmUp); !s.from.IsZero() && until.After(s.until) {
		s.until = until
	}
	cold := known && service.PerSecond > 0 && now.Before(s.until)
	if cold {
		t.allotLocked(id, s, service.PerSecond, now, !s.cold)
	}
	if cold == s.cold {
		return
	}
	s.cold = cold
	if cold {
		t.coldCount.Add(1)
	} else {
		t.coldCount.Add(-1)
	}
	if log {
		t.logLocked(id, s, now)
	}
}

// allotLocked sets this VM's allotment of the target. t.mu must be held.
func (t *Tracker) allotLocked(id string, s *state, rate float64, now time.Time, first bool) {
	a := NewAllotment(rate, t.opts.Bounds, max(len(t.names), 1))
	rank := math.MaxInt
	if t.listSettledLocked(now) {
		if s.rankVersion != t.namesVersion {
			s.rank, s.rankVersion = rankOf(t.opts.VM, id, t.names), t.namesVersion
		}
		rank = s.rank
	}
	if first {
		s.bucket = bucket{allotment: a, shares: rank < a.Sharers}
		s.bucket.start(rank, now)
		return
	}
	s.bucket.set(a, rank < a.Sharers, now)
}

func (t *Tracker) listSettledLocked(now time.Time) bool {
	_, listed := t.vms[t.opts.VM]
	return listed && !t.listedAt.IsZero() && now.Sub(t.listedAt) >= listSettleTime
}

func (t *Tracker) logLocked(id string, s *state, now time.Time) {
	if now.Sub(t.loggedAt) < logInterval {
		t.suppressed++
		return
	}
	message := "target is warm"
	if s.cold {
		message = "target is cold"
	}
	t.opts.Logger.Info(message, "target", id, "service", s.service, "cause", string(s.cause), "left_ms", max(s.until.Sub(now).Milliseconds(), 0),
		"shares", s.bucket.shares, "share", s.bucket.allotment.PerSecond, "lines_left_out", t.suppressed)
	t.loggedAt, t.suppressed = now, 0
}

// SetVMs sets the VMs that share the targets. VMs that are no longer listed count for vmRetention.
func (t *Tracker) SetVMs(vms []string) {
	if t == nil || len(vms) == 0 {
		return
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.IsZero() {
		t.listedAt = now
	}
	t.touchListedLocked(now)
	t.listed = slices.Clone(vms)
	t.touchListedLocked(now)
	t.updateNamesLocked(now)
}

// touchListedLocked records that the VMs of the present list count as of now. t.mu must be held.
func (t *Tracker) touchListedLocked(now time.Time) {
	for _, vm := range t.listed {
		t.vms[vm] = now
	}
}

// updateNamesLocked removes the VMs that were not listed for vmRetention and, if the VMs changed, updates the allotments. t.mu must be held.
func (t *Tracker) updateNamesLocked(now time.Time) {
	t.namesUpdatedAt = now
	names := make([]string, 0, len(t.vms))
	for vm, at := range t.vms {
		if now.Sub(at) >= vmRetention {
			delete(t.vms, vm)
			continue
		}
		names = append(names, vm)
	}
	slices.Sort(names)
	if !slices.Equal(names, t.names) {
		t.names = names
		t.namesVersion++
		t.evaluateAllLocked(now)
	}
}

// Refresh evaluates what is known again. It is called at short intervals and after a change of the configuration.
func (t *Tracker) Refresh() {
	if t == nil {
		return
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.namesUpdatedAt) >= namesInterval {
		t.touchListedLocked(now)
		t.updateNamesLocked(now)
	}
	t.evaluateAllLocked(now)
}

func (t *Tracker) evaluateAllLocked(now time.Time) {
	for id, s := range t.states {
		_, known := t.opts.Service(s.service)
		t.evaluateLocked(id, s, now, true)
		if known && !now.Before(s.until) {
			delete(t.states, id)
		}
	}
	for dc, from := range t.dataCentres {
		if now.Sub(from) > maxWarmUp {
			delete(t.dataCentres, dc)
		}
	}
}

// maxWarmUp is how long it is kept that the targets of a data centre count as cold, for entries that are read late.
const maxWarmUp = 10 * time.Minute

// Cold reports whether the target is cold, until when, and how many requests per second it can handle then.
func (t *Tracker) Cold(id string) (until time.Time, perSecond float64, cold bool) {
	if !t.Any() {
		return time.Time{}, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil || !s.cold {
		return time.Time{}, 0, false
	}
	service, _ := t.opts.Service(s.service)
	return s.until, service.PerSecond, t.opts.Now().Before(s.until)
}

// Wait returns the time after which a request may be sent to the target; zero if one may be sent now.
func (t *Tracker) Wait(id string) time.Duration {
	if !t.Any() {
		return 0
	}
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitLocked(id, now)
}

func (t *Tracker) waitLocked(id string, now time.Time) time.Duration {
	s := t.states[id]
	if s == nil || !s.cold || !now.Before(s.until) {
		return 0
	}
	return min(s.bucket.wait(now), max(s.until.Sub(now), time.Millisecond))
}

// Take decides like Wait, and counts the request as sent if it may be.
func (t *Tracker) Take(id string) time.Duration {
	if t == nil {
		return 0
	}
	now := t.opts.Now()
	if t.firstTake.Load() == 0 {
		t.firstTake.CompareAndSwap(0, now.UnixNano())
	}
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.waitLocked(id, now)
	if wait > 0 {
		t.withheld.Inc()
		return wait
	}
	if s := t.states[id]; s != nil && s.cold && now.Before(s.until) {
		s.bucket.tokens--
		t.sent.Inc()
	}
	return 0
}

// Prefers reports whether a request for the service, which has that number of targets, should be sent to a cold target of which
// this VM has a token. It does so for the share of the requests that the cold targets have in all targets: few VMs may send to a
// cold target, and by their usual choice they would send it a small part of what it can handle.
func (t *Tracker) Prefers(service string, targets int) bool {
	if !t.Any() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := 0
	for _, s := range t.states {
		if s.cold && s.service == service {
			cold++
		}
	}
	return cold > 0 && t.opts.Random(max(targets, 1)) < cold
}

// CountWithheld counts a request that was refused because its only target is cold.
func (t *Tracker) CountWithheld() {
	if t != nil {
		t.withheld.Inc()
	}
}
