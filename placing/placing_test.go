package placing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The model simulates VMs with a Balancer each that send requests to targets of different
// speeds with six slots and a queue of 24. A VM knows of the requests of other VMs only by
// the load that targets report with their answers and, every 300 ms, by the statistics of
// all VMs.

const (
	modelSlots         = 6
	modelQueue         = 24
	modelShareInterval = 300 * time.Millisecond
	modelOneWay        = 5 * time.Millisecond
)

type modelTarget struct {
	candidate Candidate
	speed     float64
	// ends holds the instants at which the requests at the target will be done.
	ends []time.Time
	// slots holds the instant at which each slot will be free.
	slots    [modelSlots]time.Time
	arrivals int
}

func (t *modelTarget) load(now time.Time) int {
	kept := t.ends[:0]
	for _, e := range t.ends {
		if e.After(now) {
			kept = append(kept, e)
		}
	}
	t.ends = kept
	return len(kept)
}

type modelEvent struct {
	at time.Time
	do func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type model struct {
	now       time.Time
	rng       *rand.Rand
	events    modelEvents
	balancers []*Balancer
	targets   []*modelTarget
	meanWork  time.Duration
	// pick chooses a target for a VM.
	pick func(vm int, candidates []Candidate) *Candidate

	requests, rejected, late int
	latencyTarget            time.Duration
	// waited counts the requests that found all slots of their target busy.
	waited      int
	lastUsed    map[[2]any]time.Time
	opened, far int
	// total is the sum of the times of all requests.
	total time.Duration
	// tail is the share of requests that take modelTailFactor times as long.
	tail float64
}

const (
	modelTailFactor  = 7
	modelIdleTimeout = 2 * time.Second
)

func newModel(vms, targets int, mean, latencyTarget time.Duration) *model {
	m := &model{lastUsed: map[[2]any]time.Time{}, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(1, 1)), meanWork: mean, latencyTarget: latencyTarget}
	for range vms {
		m.balancers = append(m.balancers, New(Options{
			VM: fmt.Sprint(len(m.balancers)), DataCentre: "a", Region: "r", ServiceTime: mean,
			Now: func() time.Time { return m.now }, Random: m.rng.IntN,
		}))
	}
	for _, b := range m.balancers {
		b.SetVMs(vms)
	}
	for i := range targets {
		m.targets = append(m.targets, &modelTarget{
			candidate: Candidate{ID: fmt.Sprint(i), DataCentre: "a", Region: "r", Slots: modelSlots, Connected: true},
			speed:     []float64{0.6, 1, 1.4}[i%3],
		})
	}
	m.pick = func(vm int, candidates []Candidate) *Candidate { return m.balancers[vm].Pick(candidates, false, nil) }
	return m
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, modelEvent{m.now.Add(d), do}) }

// run simulates requests for the given length of time. They use the given share of the
// capacity of all targets.
func (m *model) run(utilisation float64, length time.Duration) {
	capacity := 0.0
	candidates := make([]Candidate, len(m.targets))
	for i, t := range m.targets {
		capacity += modelSlots * t.speed / m.meanWork.Seconds()
		candidates[i] = t.candidate
	}
	var arrive func()
	arrive = func() {
		m.send(m.rng.IntN(len(m.balancers)), candidates)
		m.after(time.Duration(m.rng.ExpFloat64()/(utilisation*capacity)*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	m.after(modelShareInterval, m.shareStats)
	end := m.now.Add(length)
	for m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *model) send(vm int, candidates []Candidate) {
	b, began := m.balancers[vm], m.now
	for i := range candidates {
		last, ok := m.lastUsed[[2]any{vm, candidates[i].ID}]
		candidates[i].Connected = ok && m.now.Sub(last) < modelIdleTimeout
	}
	candidate := m.pick(vm, candidates)
	if !candidate.Connected {
		m.opened++
	}
	m.lastUsed[[2]any{vm, candidate.ID}] = m.now
	oneWay := modelOneWay
	if b.distanceOf(candidate) == otherRegion {
		m.far++
		oneWay += 12 * time.Millisecond
	}
	number := b.Begin(candidate)
	var t *modelTarget
	for _, target := range m.targets {
		if target.candidate.ID == candidate.ID {
			t = target
		}
	}
	m.requests++
	m.after(oneWay, func() {
		t.arrivals++
		load := t.load(m.now)
		if load >= modelSlots+modelQueue {
			m.rejected++
			m.after(oneWay, func() { b.End(candidate.ID, number, Outcome{Answered: true, Refused: true}) })
			return
		}
		first := 0
		for i := range t.slots {
			if t.slots[i].Before(t.slots[first]) {
				first = i
			}
		}
		start := t.slots[first]
		if start.Before(m.now) {
			start = m.now
		} else {
			m.waited++
		}
		work := time.Duration(float64(m.meanWork) / t.speed * math.Exp(0.6*m.rng.NormFloat64()-0.18))
		if m.rng.Float64() < m.tail {
			work *= modelTailFactor
		}
		done := start.Add(work)
		t.slots[first] = done
		t.ends = append(t.ends, done)
		m.after(done.Sub(m.now)+oneWay, func() {
			m.total += m.now.Sub(began)
			if m.now.Sub(began) > m.latencyTarget {
				m.late++
			}
			load := t.load(m.now)
			b.End(candidate.ID, number, Outcome{
				Answered: true, LoadKnown: true, Running: min(load, modelSlots), Waiting: max(load-modelSlots, 0), RoundTrip: b.RoundTrip(candidate),
			})
		})
	})
}

// shareStats merges the observations of all VMs into each Balancer, as the assigner's updates do.
func (m *model) shareStats() {
	latest := map[string]SharedStats{}
	for _, b := range m.balancers {
		for _, observation := range b.TakeObservations() {
			stats := latest[observation.ID]
			stats.ID = observation.ID
			if observation.Answers > 0 {
				stats.ServiceTime = observation.ServiceTime
			}
			if age := m.now.Sub(observation.LoadAt); observation.LoadKnown && (!stats.LoadKnown || age < stats.LoadAge) {
				stats.LoadKnown, stats.Load, stats.LoadAge = true, observation.Load, age
			}
			latest[observation.ID] = stats
		}
	}
	all := make([]SharedStats, 0, len(latest))
	for _, stats := range latest {
		all = append(all, stats)
	}
	m.after(10*time.Millisecond, func() {
		for _, b := range m.balancers {
			b.MergeStats(all)
		}
	})
	m.after(modelShareInterval, m.shareStats)
}

// failureShares returns the shares of the requests that were late and that were rejected.
func (m *model) failureShares() (late, rejected float64) {
	return float64(m.late) / float64(m.requests), float64(m.rejected) / float64(m.requests)
}

// pickBestOfAll picks the target with the best score of all, which would be right if the VM
// were the only one.
func (m *model) pickBestOfAll(vm int, candidates []Candidate) *Candidate {
	b := m.balancers[vm]
	var best *Candidate
	bestScore := math.Inf(1)
	for i := range candidates {
		if score := b.score(&candidates[i], false, m.now); score < bestScore {
			best, bestScore = &candidates[i], score
		}
	}
	return best
}

// Simulates the heaviest days of the large deployment: 79 VMs, 108 targets, 450 ms of work.
// Requests are rejected when many VMs choose the same targets; random samples prevent that.
func TestManyVMsDoNotOverloadSameTargets(t *testing.T) {
	is := is.New(t)
	m := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	m.run(0.6, 20*time.Second)
	late, rejected := m.failureShares()

	greedy := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	greedy.pick = greedy.pickBestOfAll
	greedy.run(0.6, 20*time.Second)
	lateGreedy, rejectedGreedy := greedy.failureShares()

	roundRobin := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	next := 0
	roundRobin.pick = func(_ int, candidates []Candidate) *Candidate {
		next++
		return &candidates[next%len(candidates)]
	}
	roundRobin.run(0.6, 20*time.Second)
	lateRoundRobin, rejectedRoundRobin := roundRobin.failureShares()

	t.Logf("late: sample %.3f, best of all %.3f, round robin %.3f", late, lateGreedy, lateRoundRobin)
	t.Logf("rejected: sample %.3f, best of all %.3f, round robin %.3f", rejected, rejectedGreedy, rejectedRoundRobin)
	is.True(rejected < 0.01)
	is.True(late < 0.1)
	is.True(late < lateGreedy && rejected <= rejectedGreedy)
	is.True(late < lateRoundRobin)
}

// Simulates low load in the large deployment: a quarter of the slots are busy, a third of the
// targets are fast, and some requests take far longer than others. Fast targets have room for
// nearly all requests, so hardly any request should wait for a slot.
func TestLowLoadDoesNotWaitAtSlowTargets(t *testing.T) {
	is := is.New(t)
	m := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	m.tail = 0.03
	for i, target := range m.targets {
		target.speed = []float64{0.7, 0.7, 1.6}[i%3]
		target.candidate.DataCentre, target.candidate.Region = fmt.Sprint(i%9), fmt.Sprint(i%9/3)
	}
	for i, b := range m.balancers {
		b.opts.DataCentre, b.opts.Region = fmt.Sprint(i%9), fmt.Sprint(i%9/3)
		b.opts.ServiceTime = 0
		b.opts = b.opts.withDefaults()
	}
	m.run(0.25, 30*time.Second)
	slow := 0
	for _, target := range m.targets {
		if target.speed < 1 {
			slow += target.arrivals
		}
	}
	late, rejected := m.failureShares()
	waited, atSlow := float64(m.waited)/float64(m.requests), float64(slow)/float64(m.requests)
	t.Logf("waited %.3f, at slow targets %.3f, late %.3f, rejected %.3f", waited, atSlow, late, rejected)
	is.True(late < 1.5*m.tail) // The requests of the tail are late at any target.
	is.True(waited < 0.1)
	is.Equal(rejected, 0.0)
	is.True(float64(m.opened) < 0.4*float64(m.requests))
	is.True(float64(m.far) < 0.15*float64(m.requests))
}

// Simulates the small deployment: 9 VMs, 12 targets.
func TestFewVMsAnswerInTime(t *testing.T) {
	is := is.New(t)
	m := newModel(9, 12, 94*time.Millisecond, 400*time.Millisecond)
	m.run(0.7, 20*time.Second)
	late, rejected := m.failureShares()
	t.Logf("late %.3f, rejected %.3f", late, rejected)
	is.True(rejected < 0.01)
	is.True(late < 0.1)
}

// A VM that may have one connection to an owner must expect that its second request waits
// until the first has ended, and its third until both have.
func TestExpectedWaitIncludesConnectionWait(t *testing.T) {
	is := is.New(t)
	b := New(Options{ServiceTime: 100 * time.Millisecond})
	b.SetMaxInFlight(1)
	candidate := Candidate{ID: "a", Slots: 6}
	_, wait := b.Expected(&candidate)
	is.Equal(wait, time.Duration(0))
	b.Begin(&candidate)
	_, first := b.Expected(&candidate)
	is.True(first >= 100*time.Millisecond)
	b.Begin(&candidate)
	_, second := b.Expected(&candidate)
	is.True(second >= first+100*time.Millisecond)
}

func TestNearTargetsArePreferred(t *testing.T) {
	is := is.New(t)
	b := New(Options{DataCentre: "a", Region: "r"})
	candidates := []Candidate{
		{ID: "far", DataCentre: "x", Region: "q", Slots: 6, Connected: true},
		{ID: "near", DataCentre: "b", Region: "r", Slots: 6, Connected: true},
		{ID: "here", DataCentre: "a", Region: "r", Slots: 6, Connected: true},
	}
	for _, s := range candidates {
		n := b.Begin(&s)
		b.End(s.ID, n, Outcome{Answered: true})
	}
	is.Equal(b.Pick(candidates, true, nil).ID, "here")
	is.Equal(b.Pick(candidates, true, []string{"here"}).ID, "near")
	is.Equal(b.Pick(candidates, true, []string{"here", "near"}).ID, "far")
	is.Equal(b.Pick(candidates, true, []string{"here", "near", "far"}), nil)
}

func TestUnreachableTargetIsSuspended(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New(Options{Now: func() time.Time { return now }})
	candidates := []Candidate{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
	b.End("a", b.Begin(&candidates[0]), Outcome{Unreachable: true})
	b.End("b", b.Begin(&candidates[1]), Outcome{Answered: true})
	is.Equal(b.Unreachable(), []string{"a"})
	for range 20 {
		is.Equal(b.Pick(candidates, false, nil).ID, "b")
	}
	is.Equal(b.Pick(candidates, false, []string{"b"}).ID, "a") // The suspended target is the only one left.
	now = now.Add(3 * time.Second)
	is.Equal(len(b.Unreachable()), 0)
}

func TestNewTargetIsTried(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	candidates := []Candidate{{ID: "old", Slots: 6, Connected: true}, {ID: "new", Slots: 6, ColdUntil: time.Now().Add(time.Hour)}}
	b.End("old", b.Begin(&candidates[0]), Outcome{Answered: true})
	tried := false
	for range 300 {
		tried = tried || b.Pick(candidates, false, nil).ID == "new"
	}
	is.True(tried)
}
