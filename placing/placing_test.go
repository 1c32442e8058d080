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

// The model: VMs with a Board each send requests to targets of six slots, a queue
// of 24 and different speeds. They learn of each other's requests only by what the
// targets tell with their answers and, every 300 ms, by what all VMs know together.

const (
	modelSlots = 6
	modelQueue = 24
	modelShare = 300 * time.Millisecond
	modelWay   = 5 * time.Millisecond
)

type modelTarget struct {
	site  Site
	speed float64
	// ends are the instants at which the requests at the target are done.
	ends []time.Time
	// slots are the instants at which the slots are free.
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
	now     time.Time
	rng     *rand.Rand
	events  modelEvents
	boards  []*Balancer
	targets []*modelTarget
	mean    time.Duration
	// pick chooses a target for a VM.
	pick func(vm int, sites []Site) *Site

	requests, rejected, late int
	latencyTarget            time.Duration
	// waited counts the requests that found all slots of their target busy.
	waited      int
	used        map[[2]any]time.Time
	opened, far int
	// total is the time of all requests.
	total time.Duration
	// tail is the share of requests that take tailFactor times as long.
	tail float64
}

const (
	modelTailFactor = 7
	modelIdle       = 2 * time.Second
)

func newModel(vms, targets int, mean, latencyTarget time.Duration) *model {
	m := &model{used: map[[2]any]time.Time{}, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(1, 1)), mean: mean, latencyTarget: latencyTarget}
	for range vms {
		m.boards = append(m.boards, New(Options{
			VM: fmt.Sprint(len(m.boards)), DataCentre: "a", Region: "r", ServiceTime: mean,
			Now: func() time.Time { return m.now }, Random: m.rng.IntN,
		}))
	}
	for _, b := range m.boards {
		b.SetVMs(vms)
	}
	for i := range targets {
		m.targets = append(m.targets, &modelTarget{
			site:  Site{ID: fmt.Sprint(i), DataCentre: "a", Region: "r", Slots: modelSlots, Connected: true},
			speed: []float64{0.6, 1, 1.4}[i%3],
		})
	}
	m.pick = func(vm int, sites []Site) *Site { return m.boards[vm].Pick(sites, false, nil) }
	return m
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, modelEvent{m.now.Add(d), do}) }

// run plays requests that use the share of what all targets can do.
func (m *model) run(use float64, length time.Duration) {
	capacity := 0.0
	sites := make([]Site, len(m.targets))
	for i, t := range m.targets {
		capacity += modelSlots * t.speed / m.mean.Seconds()
		sites[i] = t.site
	}
	var arrive func()
	arrive = func() {
		m.send(m.rng.IntN(len(m.boards)), sites)
		m.after(time.Duration(m.rng.ExpFloat64()/(use*capacity)*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	m.after(modelShare, m.share)
	end := m.now.Add(length)
	for m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *model) send(vm int, sites []Site) {
	b, began := m.boards[vm], m.now
	for i := range sites {
		last, ok := m.used[[2]any{vm, sites[i].ID}]
		sites[i].Connected = ok && m.now.Sub(last) < modelIdle
	}
	site := m.pick(vm, sites)
	if !site.Connected {
		m.opened++
	}
	m.used[[2]any{vm, site.ID}] = m.now
	way := modelWay
	if b.distanceOf(site) == otherRegion {
		m.far++
		way += 12 * time.Millisecond
	}
	number := b.Begin(site)
	var t *modelTarget
	for _, candidate := range m.targets {
		if candidate.site.ID == site.ID {
			t = candidate
		}
	}
	m.requests++
	m.after(way, func() {
		t.arrivals++
		load := t.load(m.now)
		if load >= modelSlots+modelQueue {
			m.rejected++
			m.after(way, func() { b.End(site.ID, number, Outcome{Answered: true, Refused: true}) })
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
		work := time.Duration(float64(m.mean) / t.speed * math.Exp(0.6*m.rng.NormFloat64()-0.18))
		if m.rng.Float64() < m.tail {
			work *= modelTailFactor
		}
		done := start.Add(work)
		t.slots[first] = done
		t.ends = append(t.ends, done)
		m.after(done.Sub(m.now)+way, func() {
			m.total += m.now.Sub(began)
			if m.now.Sub(began) > m.latencyTarget {
				m.late++
			}
			load := t.load(m.now)
			b.End(site.ID, number, Outcome{
				Answered: true, Told: true, Running: min(load, modelSlots), Waiting: max(load-modelSlots, 0), RoundTrip: b.RoundTrip(site),
			})
		})
	})
}

// share lets each VM learn what all have seen, as the assigner's updates do.
func (m *model) share() {
	latest := map[string]SharedStats{}
	for _, b := range m.boards {
		for _, seen := range b.TakeObservations() {
			sh := latest[seen.ID]
			sh.ID = seen.ID
			if seen.Answers > 0 {
				sh.ServiceTime = seen.ServiceTime
			}
			if age := m.now.Sub(seen.LoadAt); seen.LoadKnown && (!sh.LoadKnown || age < sh.LoadAge) {
				sh.LoadKnown, sh.Load, sh.LoadAge = true, seen.Load, age
			}
			latest[seen.ID] = sh
		}
	}
	all := make([]SharedStats, 0, len(latest))
	for _, sh := range latest {
		all = append(all, sh)
	}
	m.after(10*time.Millisecond, func() {
		for _, b := range m.boards {
			b.MergeStats(all)
		}
	})
	m.after(modelShare, m.share)
}

func (m *model) shares() (late, rejected float64) {
	return float64(m.late) / float64(m.requests), float64(m.rejected) / float64(m.requests)
}

// bestOfAll picks the best score of all targets, as if each VM were alone.
func (m *model) bestOfAll(vm int, sites []Site) *Site {
	b := m.boards[vm]
	var best *Site
	bestScore := math.Inf(1)
	for i := range sites {
		if score := b.score(&sites[i], false, m.now); score < bestScore {
			best, bestScore = &sites[i], score
		}
	}
	return best
}

// The heaviest days of the large deployment: 79 VMs, 108 targets, 450 ms of work.
// Rejections come from VMs that choose alike; a sample keeps them apart.
func TestManyVMsDoNotCrowdTheSameTargets(t *testing.T) {
	is := is.New(t)
	m := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	m.run(0.6, 20*time.Second)
	late, rejected := m.shares()

	alike := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	alike.pick = alike.bestOfAll
	alike.run(0.6, 20*time.Second)
	lateAlike, rejectedAlike := alike.shares()

	turns := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	next := 0
	turns.pick = func(_ int, sites []Site) *Site {
		next++
		return &sites[next%len(sites)]
	}
	turns.run(0.6, 20*time.Second)
	lateTurns, rejectedTurns := turns.shares()

	t.Logf("late %.3f, best of all %.3f, round robin %.3f", late, lateAlike, lateTurns)
	t.Logf("rejected %.3f, best of all %.3f, round robin %.3f", rejected, rejectedAlike, rejectedTurns)
	is.True(rejected < 0.01)
	is.True(late < 0.1)
	is.True(late < lateAlike && rejected <= rejectedAlike)
	is.True(late < lateTurns)
}

// A calm day of the large deployment: a quarter of the slots are busy, a third of the
// targets are fast, some requests take far longer. Fast targets have room for nearly
// all, so hardly any request has to wait for a slot.
func TestCalmLoadDoesNotWaitAtSlowTargets(t *testing.T) {
	is := is.New(t)
	m := newModel(79, 108, 450*time.Millisecond, 1500*time.Millisecond)
	m.tail = 0.03
	for i, target := range m.targets {
		target.speed = []float64{0.7, 0.7, 1.6}[i%3]
		target.site.DataCentre, target.site.Region = fmt.Sprint(i%9), fmt.Sprint(i%9/3)
	}
	for i, b := range m.boards {
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
	late, rejected := m.shares()
	waited, atSlow := float64(m.waited)/float64(m.requests), float64(slow)/float64(m.requests)
	t.Logf("waited %.3f, at slow targets %.3f, late %.3f, rejected %.3f", waited, atSlow, late, rejected)
	is.True(late < 1.5*m.tail) // The long requests are late at any target.
	is.True(waited < 0.1)
	is.Equal(rejected, 0.0)
	is.True(float64(m.opened) < 0.4*float64(m.requests))
	is.True(float64(m.far) < 0.15*float64(m.requests))
}

// The small deployment: 9 VMs, 12 targets.
func TestFewVMsUseFastTargetsMore(t *testing.T) {
	is := is.New(t)
	m := newModel(9, 12, 94*time.Millisecond, 400*time.Millisecond)
	m.run(0.7, 20*time.Second)
	late, rejected := m.shares()
	t.Logf("late %.3f, rejected %.3f", late, rejected)
	is.True(rejected < 0.01)
	is.True(late < 0.1)
}

// A VM that may have one connection to an owner knows that its second request waits
// for the first to end, and its third for both.
func TestRequestsThatWaitForAConnectionAreCounted(t *testing.T) {
	is := is.New(t)
	b := New(Options{ServiceTime: 100 * time.Millisecond})
	b.SetMaxInFlight(1)
	site := Site{ID: "a", Slots: 6}
	_, wait := b.Expected(&site)
	is.Equal(wait, time.Duration(0))
	b.Begin(&site)
	_, first := b.Expected(&site)
	is.True(first >= 100*time.Millisecond)
	b.Begin(&site)
	_, second := b.Expected(&site)
	is.True(second >= first+100*time.Millisecond)
}

func TestNearTargetsComeFirst(t *testing.T) {
	is := is.New(t)
	b := New(Options{DataCentre: "a", Region: "r"})
	sites := []Site{
		{ID: "far", DataCentre: "x", Region: "q", Slots: 6, Connected: true},
		{ID: "near", DataCentre: "b", Region: "r", Slots: 6, Connected: true},
		{ID: "here", DataCentre: "a", Region: "r", Slots: 6, Connected: true},
	}
	for _, s := range sites {
		n := b.Begin(&s)
		b.End(s.ID, n, Outcome{Answered: true})
	}
	is.Equal(b.Pick(sites, true, nil).ID, "here")
	is.Equal(b.Pick(sites, true, []string{"here"}).ID, "near")
	is.Equal(b.Pick(sites, true, []string{"here", "near"}).ID, "far")
	is.Equal(b.Pick(sites, true, []string{"here", "near", "far"}), nil)
}

func TestUnreachableTargetIsLeftOutForATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New(Options{Now: func() time.Time { return now }})
	sites := []Site{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
	b.End("a", b.Begin(&sites[0]), Outcome{Unreachable: true})
	b.End("b", b.Begin(&sites[1]), Outcome{Answered: true})
	is.Equal(b.Unreachable(), []string{"a"})
	for range 20 {
		is.Equal(b.Pick(sites, false, nil).ID, "b")
	}
	is.Equal(b.Pick(sites, false, []string{"b"}).ID, "a") // Better than none.
	now = now.Add(3 * time.Second)
	is.Equal(len(b.Unreachable()), 0)
}

func TestNewTargetIsTried(t *testing.T) {
	is := is.New(t)
	b := New(Options{})
	sites := []Site{{ID: "old", Slots: 6, Connected: true}, {ID: "new", Slots: 6, ColdUntil: time.Now().Add(time.Hour)}}
	b.End("old", b.Begin(&sites[0]), Outcome{Answered: true})
	tried := false
	for range 300 {
		tried = tried || b.Pick(sites, false, nil).ID == "new"
	}
	is.True(tried)
}
