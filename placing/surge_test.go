package placing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The surge model has targets that share machines: at any time a fifth of them are slower, and a full target
// resets the connection or refuses the request. VMs learn of other VMs' requests by reports with answers, and by what the
// assigner passes on.

// surge describes a play of the surge model.
type surge struct {
	vms, targets, slots, queue int
	speeds                     []float64
	// rate is the number of requests a second, of which onceShare must not be repeated.
	rate, onceShare float64
	work, untilLate time.Duration
	// resets makes full targets reset the connection in place of refusing with their load.
	resets bool
	// stalled is a factor of the work of every fifth target over the whole play.
	stalled float64
	// changing is the factor of the work of a fifth of the targets, which changes every changeInterval.
	changing float64
	// learns makes the VMs use what the targets state and refuse; prefer and even set the options of that kind, and
	// pass makes the assigner pass on how long work takes.
	learns, prefer, even, pass bool
	length                     time.Duration
}

const (
	surgeReport    = 250 * time.Millisecond
	surgeUpdate    = 600 * time.Millisecond
	changeInterval = 400 * time.Millisecond
	surgeAttempts  = 3
)

// hardSurge is the surge of the deployment whose full targets reset connections.
func hardSurge() surge {
	return surge{
		vms: 71, targets: 183, slots: 6, queue: 4, speeds: []float64{0.5, 1, 1, 1.5}, rate: 2100, onceShare: 0.23,
		work: 276 * time.Millisecond, untilLate: 850 * time.Millisecond, resets: true, stalled: 4, changing: 3, length: 8 * time.Second,
	}
}

type surgeTarget struct {
	candidate Candidate
	speed     float64
	stalled   bool
	free      []time.Time
	ends      []time.Time
	arrivals  int
}

func (t *surgeTarget) load(now time.Time) int {
	kept := t.ends[:0]
	for _, e := range t.ends {
		if e.After(now) {
			kept = append(kept, e)
		}
	}
	t.ends = kept
	return len(kept)
}

type surgePlay struct {
	surge
	now      time.Time
	rng      *rand.Rand
	events   modelEvents
	vms      []*Balancer
	targets  []*surgeTarget
	lastUsed [][]time.Time
	// candidates are those of targets, in the same order.
	candidates []Candidate
	shared     map[string]SharedStats
	counting   bool

	requests, sends, away, far, opened, refused, lostOnce, exhausted, late int
}

// addresses returns the addresses of the VMs, of which those of a data centre follow each other.
func (p *surgePlay) addresses() []string {
	var out []string
	for i := range p.surge.vms {
		out = append(out, fmt.Sprintf("10.0.%d.%03d", i%6, i/6))
	}
	return out
}

func (p *surgePlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, modelEvent{p.now.Add(d), do})
}

// factor returns how many times as long as usual work takes at the target now.
func (p *surgePlay) factor(i int) float64 {
	epoch := int(p.now.Sub(time.Unix(0, 0)) / changeInterval)
	if rand.New(rand.NewPCG(uint64(epoch), uint64(i))).Float64() < 0.2 {
		return p.changing
	}
	return 1
}

func (s surge) play() *surgePlay {
	p := &surgePlay{surge: s, now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(3, 4)), shared: map[string]SharedStats{}}
	place := func(i int) (string, string) { return fmt.Sprint(i % 6), fmt.Sprint(i % 6 / 2) }
	for i := range s.vms {
		dc, region := place(i)
		b := New(Options{
			VM: fmt.Sprint(i), DataCentre: dc, Region: region, PreferRegion: s.prefer, EvenSpread: s.even, LearnFull: true,
			Now: func() time.Time { return p.now }, Random: p.rng.IntN,
		})
		b.SetVMs(s.vms)
		b.SetPeers(p.addresses(), p.addresses()[i])
		p.vms, p.lastUsed = append(p.vms, b), append(p.lastUsed, make([]time.Time, s.targets))
	}
	for i := range s.targets {
		dc, region := place(i)
		speed := s.speeds[p.rng.IntN(len(s.speeds))]
		p.targets = append(p.targets, &surgeTarget{
			candidate: Candidate{ID: fmt.Sprint(i), Service: "s", DataCentre: dc, Region: region, Slots: s.slots},
			speed:     speed, stalled: i%5 == 0, free: make([]time.Time, s.slots),
		})
	}
	for _, t := range p.targets {
		p.candidates = append(p.candidates, t.candidate)
	}
	var arrive func()
	arrive = func() {
		p.request()
		p.after(time.Duration(p.rng.ExpFloat64()/s.rate*float64(time.Second)), arrive)
	}
	p.after(0, arrive)
	p.after(surgeReport, p.report)
	p.after(surgeUpdate, p.update)
	begin := p.now.Add(4 * time.Second)
	for end := begin.Add(s.length); p.events[0].at.Before(end); {
		e := heap.Pop(&p.events).(modelEvent)
		p.now = e.at
		if !p.counting && p.now.After(begin) {
			p.counting = true
			for _, t := range p.targets {
				t.arrivals = 0
			}
		}
		e.do()
	}
	return p
}

func (p *surgePlay) count(n *int) {
	if p.counting {
		*n++
	}
}

func (p *surgePlay) request() {
	p.count(&p.requests)
	p.attempt(p.rng.IntN(len(p.vms)), p.rng.Float64() < p.onceShare, nil, p.now)
}

func (p *surgePlay) attempt(vm int, once bool, tried []string, began time.Time) {
	b := p.vms[vm]
	idle := 8 * time.Second
	if once {
		idle = 2 * time.Second
	}
	for i := range p.candidates {
		last := p.lastUsed[vm][i]
		p.candidates[i].Connected = !last.IsZero() && p.now.Sub(last) < idle
	}
	c := b.Choose(p.candidates, Query{Once: once, Avoid: tried, UntilLate: p.untilLate}).Candidate
	if c == nil {
		p.count(&p.refused)
		return
	}
	i := slices.IndexFunc(p.candidates, func(other Candidate) bool { return other.ID == c.ID })
	t := p.targets[i]
	chosen := *c
	c = &chosen
	p.count(&p.sends)
	if !c.Connected {
		p.count(&p.opened)
	}
	p.lastUsed[vm][i] = p.now
	oneWay := time.Millisecond
	if b.distanceOf(c) == otherRegion {
		p.count(&p.far)
		oneWay += 12 * time.Millisecond
	}
	number := b.Begin(c)
	p.after(oneWay, func() {
		t.arrivals++
		load := t.load(p.now)
		if load >= p.slots+p.queue {
			p.count(&p.away)
			percent := int(100 * p.factor(i))
			p.after(oneWay, func() { p.turnedAway(vm, once, append(tried, c.ID), began, c, number, load, percent) })
			return
		}
		first := 0
		for j := range t.free {
			if t.free[j].Before(t.free[first]) {
				first = j
			}
		}
		start := t.free[first]
		if start.Before(p.now) {
			start = p.now
		}
		slow := p.factor(i)
		if t.stalled {
			slow *= p.stalled
		}
		work := float64(p.work) / t.speed * math.Exp(0.4*p.rng.NormFloat64()-0.08) * slow
		t.free[first] = start.Add(time.Duration(work))
		t.ends = append(t.ends, t.free[first])
		p.after(t.free[first].Sub(p.now), func() {
			load, percent := t.load(p.now), int(100*p.factor(i))
			p.after(oneWay, func() {
				if p.now.Sub(began) > time.Second {
					p.count(&p.late)
				}
				o := Outcome{Answered: true, LoadKnown: true, Running: min(load, p.slots), Waiting: max(load-p.slots, 0), RoundTrip: b.RoundTrip(c)}
				if p.learns {
					o.WorkPercent = percent
				}
				b.End(c.ID, number, o)
			})
		})
	})
}

// turnedAway ends an exchange with a full target, and tries another if the request may be sent again.
func (p *surgePlay) turnedAway(vm int, once bool, tried []string, began time.Time, c *Candidate, number uint64, load, percent int) {
	b := p.vms[vm]
	o := Outcome{Answered: true, Refused: true, LoadKnown: true, Running: p.slots, Waiting: load - p.slots}
	if p.resets {
		o = Outcome{Failed: true, Reset: p.learns}
	}
	if p.learns && p.resets && b.ProbablyFull(c.ID, number) {
		o = Outcome{Full: true}
	} else if p.learns && !p.resets {
		o.Full, o.WorkPercent = true, percent
	}
	b.End(c.ID, number, o)
	if once && p.resets {
		p.count(&p.lostOnce)
	} else if len(tried) < surgeAttempts {
		p.attempt(vm, once, tried, began)
	} else {
		p.count(&p.exhausted)
	}
}

// report takes what the VMs have observed, and update passes it on to all of them.
func (p *surgePlay) report() {
	for _, b := range p.vms {
		for _, o := range b.TakeObservations() {
			s := p.shared[o.ID]
			s.ID = o.ID
			total := o.Answers + o.Failures
			if o.Answers > 0 {
				weight := 1 - math.Pow(0.92, float64(o.Answers))
				if s.ServiceTime == 0 {
					weight = 1
				}
				s.ServiceTime += time.Duration(weight * float64(o.ServiceTime-s.ServiceTime))
			}
			if total > 0 {
				s.FailureRate += (1 - math.Pow(0.92, float64(total))) * (float64(o.Failures)/float64(total) - s.FailureRate)
			}
			// LoadAge holds the instant until update.
			if at := o.LoadAt.Sub(time.Unix(0, 0)); o.LoadKnown && at >= s.LoadAge {
				s.LoadKnown, s.Load, s.LoadAge = true, o.Load, at
				if p.pass {
					s.WorkPercent = o.WorkPercent
				}
			}
			p.shared[o.ID] = s
		}
	}
	p.after(surgeReport, p.report)
}

func (p *surgePlay) update() {
	all := make([]SharedStats, 0, len(p.shared))
	for _, s := range p.shared {
		s.LoadAge = p.now.Sub(time.Unix(0, 0)) - s.LoadAge
		all = append(all, s)
	}
	for _, b := range p.vms {
		b.MergeStats(all)
	}
	p.after(surgeUpdate, p.update)
}

// figures returns the share of sends that were turned away, the arrivals at the busiest target against the mean weighted by
// speed, the share of sends to other regions, and the new connections for each request.
func (p *surgePlay) figures() (away, busiest, far, opened float64) {
	sends := float64(p.sends)
	busiest = p.busiest(func(t *surgeTarget) float64 { return t.speed })
	return float64(p.away) / sends, busiest, float64(p.far) / sends, float64(p.opened) / float64(p.requests)
}

// busiest returns the highest number of arrivals for its weight of a target, as a multiple of the mean.
func (p *surgePlay) busiest(weight func(*surgeTarget) float64) float64 {
	arrivals, weights, most := 0, 0.0, 0.0
	for _, t := range p.targets {
		arrivals += t.arrivals
		weights += weight(t)
		most = max(most, float64(t.arrivals)/weight(t))
	}
	return most * weights / float64(arrivals)
}

// present is the target's speed with what holds over the whole play.
func (p *surgePlay) present(t *surgeTarget) float64 {
	if t.stalled {
		return t.speed / p.stalled
	}
	return t.speed
}

func (p *surgePlay) log(t *testing.T, name string) {
	away, busiest, far, opened := p.figures()
	of := func(n int) float64 { return float64(n) / float64(p.requests) }
	t.Logf("%-18s away %.3f, busiest %.2f (by present speed %.2f), far %.3f, opened %.2f; of requests: refused %.3f lost %.3f exhausted %.3f late %.3f",
		name, away, busiest, p.busiest(p.present), far, opened, of(p.refused), of(p.lostOnce), of(p.exhausted), of(p.late))
}

// smallSurge is the surge of the deployment whose full targets refuse, on its targets without keys.
func smallSurge() surge {
	return surge{
		vms: 63, targets: 28, slots: 2, queue: 4, speeds: []float64{0.7, 0.7, 1.7}, rate: 360, onceShare: 0.25,
		work: 80 * time.Millisecond, untilLate: 425 * time.Millisecond, stalled: 4, changing: 1, length: 10 * time.Second,
	}
}

// shares returns the shares of the requests that were refused by their VM, and that were lost or turned away at each attempt.
func (p *surgePlay) shares() (refused, failed float64) {
	return float64(p.refused) / float64(p.requests), float64(p.lostOnce+p.exhausted) / float64(p.requests)
}

// half returns the surge with half of the VMs, targets and requests.
func (s surge) half() surge {
	s.vms, s.targets, s.rate = s.vms/2, s.targets/2, s.rate/2
	return s
}

// after returns the surge with all that is new.
func (s surge) after() surge {
	s.learns, s.prefer, s.even, s.pass = true, true, true, true
	return s
}

// Guards against sends to full targets in the surge, of which those that must not run twice are lost.
func TestFullTargetsGetFewRequests(t *testing.T) {
	is := is.New(t)
	before, learns, after := hardSurge().play(), hardSurge().half(), hardSurge().after().play()
	learns.learns = true
	learned := learns.play()
	before.log(t, "before")
	learned.log(t, "full targets known")
	after.log(t, "all")
	awayBefore, _, farBefore, openedBefore := before.figures()
	away, _, far, opened := after.figures()
	awayLearned, _, _, _ := learned.figures()
	is.True(awayLearned < 0.7*awayBefore)
	is.True(away < 0.03 && away < awayBefore/5)
	is.True(after.lostOnce < before.lostOnce/5)
	is.True(far < 0.01 && farBefore > 0.05)
	is.True(opened < 0.2 && opened < openedBefore)
	is.Equal(after.refused, 0)
}

// Guards against requests lost at 1.5 times the load that should be refused before they are sent.
func TestOverloadIsRefusedRatherThanLost(t *testing.T) {
	is := is.New(t)
	s := hardSurge().half()
	s.rate *= 1.5
	before, after := s.play(), s.after().play()
	before.log(t, "before")
	after.log(t, "all")
	_, failedBefore := before.shares()
	refused, failed := after.shares()
	is.True(failed < failedBefore/3)
	is.True(refused+failed < failedBefore+0.05)
	awayBefore, _, _, _ := before.figures()
	away, _, _, _ := after.figures()
	is.True(away < awayBefore/2)
}

// Simulates the surge of targets that refuse with their load, and 1.5 times as much.
func TestRefusingTargetsGetFewRequests(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{360, 540} {
		s := smallSurge()
		s.rate = rate
		before, after := s.play(), s.after().play()
		before.log(t, "before")
		after.log(t, "all")
		awayBefore, _, _, _ := before.figures()
		away, _, far, opened := after.figures()
		if rate < 500 {
			is.True(away < 0.03 && far < 0.01)
		}
		is.True(away < 0.7*awayBefore)
		is.True(opened < 0.2)
	}
}

// At normal load nothing may be refused or lost, and targets of other regions need not be used.
func TestNormalLoadStaysInItsRegion(t *testing.T) {
	is := is.New(t)
	s := hardSurge().half()
	s.rate, s.stalled, s.changing = 500, 1, 1
	before, after := s.play(), s.after().play()
	before.log(t, "before")
	after.log(t, "all")
	away, busiest, far, opened := after.figures()
	_, busiestBefore, _, _ := before.figures()
	is.Equal(after.refused+after.lostOnce+after.exhausted, 0)
	is.True(away < 0.002)
	is.Equal(far, 0.0)
	is.True(busiest < busiestBefore)
	is.True(opened < 0.2)
}
