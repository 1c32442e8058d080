package placing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixedClock returns a Balancer whose time is the one that now points to.
func fixedClock(now *time.Time) *Balancer {
	return New(Options{ServiceTime: 100 * time.Millisecond, LearnFull: true, Now: func() time.Time { return *now }})
}

// answer ends a request at the candidate after the given time, with the load and statement of the target.
func answer(b *Balancer, now *time.Time, c *Candidate, took time.Duration, load, percent int) {
	n := b.Begin(c)
	*now = now.Add(took)
	b.End(c.ID, n, Outcome{Answered: true, LoadKnown: true, Running: min(load, c.Slots), Waiting: max(load-c.Slots, 0), WorkPercent: percent})
}

// A target whose machine is busy for a moment must not be taken for a slow one, and not be expected to be fast meanwhile.
func TestWorkPercentIsNotLearnedAsSpeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	c := Candidate{ID: "a", Slots: 6}
	for range 50 {
		answer(b, &now, &c, 300*time.Millisecond, 0, 300)
	}
	work, _ := b.Expected(&c)
	is.True(math.Abs(work.Seconds()-0.3) < 0.02)
	is.True(math.Abs(b.state("a").serviceTime.Seconds()-0.1) < 0.01)
	// One statement that it is as usual again counts while it is fresh.
	answer(b, &now, &c, 100*time.Millisecond, 0, 100)
	work, _ = b.Expected(&c)
	is.True(work < 150*time.Millisecond)
	now = now.Add(workMaxAge + time.Millisecond)
	work, _ = b.Expected(&c)
	is.True(work > 250*time.Millisecond)
	is.Equal(b.TakeObservations()[0].WorkPercent, 100)
}

// Guards against work that ended on an idle machine and is taken to have begun on one.
func TestStatementAtTheAnswerDoesNotHoldForTheWholeRequest(t *testing.T) {
	is := is.New(t)
	p := workPace{}
	p.record(300, time.Unix(0, 0))
	is.Equal(p.usual(300*time.Millisecond, 3, 100), 200*time.Millisecond)
	is.Equal(p.usual(300*time.Millisecond, 0, 300), 100*time.Millisecond)
	is.Equal(p.usual(300*time.Millisecond, 3, 0), 300*time.Millisecond)
}

// A target without a fourth figure is treated as before.
func TestNoWorkPercentChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	c := Candidate{ID: "a", Slots: 6}
	answer(b, &now, &c, 100*time.Millisecond, 0, 0)
	work, _ := b.Expected(&c)
	is.Equal(work, 100*time.Millisecond)
	is.Equal(b.refusalRisk(&c, now), 0.0)
}

// refuse ends a request at the candidate with a refusal that states its load.
func refuse(b *Balancer, c *Candidate, load int) {
	b.End(c.ID, b.Begin(c), Outcome{
		Answered: true, Refused: true, Full: true, LoadKnown: true, Running: min(load, c.Slots), Waiting: max(load-c.Slots, 0),
	})
}

// Guards against requests sent to targets that are known to be full.
func TestFullTargetsAreNotChosen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	candidates := []Candidate{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 2}, {ID: "other", Service: "t", Slots: 2}}
	for i := range candidates {
		answer(b, &now, &candidates[i], time.Millisecond, 0, 0)
	}
	refuse(b, &candidates[0], 6)
	is.True(b.Full(&candidates[0]))
	is.True(!b.Full(&candidates[1]))
	for range 20 {
		is.Equal(b.Pick(candidates[:2], false, nil).ID, "b")
	}
	// What two targets hold counts for b as well, as they are of the same service, and not for one of another service.
	refuse(b, &Candidate{ID: "c", Service: "s", Slots: 2}, 6)
	for i := range candidates[1:] {
		n := b.Begin(&candidates[1+i])
		b.End(candidates[1+i].ID, n, Outcome{Answered: true, LoadKnown: true, Running: 2, Waiting: 4})
	}
	is.True(b.Full(&candidates[1]))
	is.True(!b.Full(&candidates[2]))
	choice := b.Choose(candidates[:2], Query{})
	is.True(choice.Candidate == nil && choice.Full)
	is.Equal(b.state("a").failureRate, 0.0)
	is.Equal(len(b.Unreachable()), 0)
	// Without news the estimate counts no longer, so that a request finds out.
	now = now.Add(maxLoadAge + time.Millisecond)
	is.True(b.Choose(candidates[:2], Query{}).Candidate != nil)
	is.Equal(b.state("a").refusedLoad.current, 6.0)
	is.Equal(b.fullLoad(b.state("b"), 2, now), 6.0)
	// The refusal is forgotten.
	now = now.Add(2 * refusalMemory)
	is.True(math.IsInf(b.fullLoad(b.state("b"), 2, now), 1))
}

// A request that must not run more than once is lost if a full target resets its connection.
func TestAtMostOnceKeepsAwayFromNearlyFullTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	candidates := []Candidate{{ID: "fast", Service: "s", Slots: 2}, {ID: "slow", Service: "s", Slots: 2}}
	answer(b, &now, &candidates[0], time.Millisecond, 0, 0)
	answer(b, &now, &candidates[1], time.Millisecond, 0, 0)
	refuse(b, &candidates[0], 6)
	b.state("fast").serviceTime, b.state("slow").serviceTime = 30*time.Millisecond, 3*time.Second
	n := b.Begin(&candidates[0])
	b.End("fast", n, Outcome{Answered: true, LoadKnown: true, Running: 2, Waiting: 2})
	b.services["s"].bias = 0
	b.state("fast").othersMeanLoad = 4
	now = now.Add(60 * time.Millisecond)
	risk := b.refusalRisk(&candidates[0], now)
	is.True(risk > maxOnceRisk && risk < maxRisk)
	for range 20 {
		is.Equal(b.Choose(candidates, Query{Once: true}).Candidate.ID, "slow")
		is.Equal(b.Choose(candidates, Query{}).Candidate.ID, "fast")
	}
	// If no other has room, it is better than none.
	is.Equal(b.Choose(candidates[:1], Query{Once: true}).Candidate.ID, "fast")
}

// A reset counts as a refusal only once an answer shows that the target has not crashed. Those that follow are no faults.
func TestResetByFullTargetIsNotAFault(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	c := Candidate{ID: "a", Service: "s", Slots: 6}
	reset := func() {
		n := b.Begin(&c)
		is.True(!b.ProbablyFull("a", n))
		b.End("a", n, Outcome{Failed: true, Reset: true})
	}
	reset()
	answer(b, &now, &c, time.Millisecond, 9, 0)
	is.Equal(len(b.services), 0) // Its slots were free.
	reset()
	b.End("a", b.Begin(&c), Outcome{Unreachable: true})
	answer(b, &now, &c, time.Millisecond, 9, 0)
	is.Equal(len(b.services), 0) // It had crashed.
	reset()
	answer(b, &now, &c, time.Millisecond, 9, 0)
	is.Equal(b.fullLoad(b.state("a"), 6, now), 9.0)
	failures := b.state("a").failureRate
	n := b.Begin(&c)
	is.True(b.ProbablyFull("a", n))
	b.End("a", n, Outcome{Full: true})
	is.Equal(b.state("a").failureRate, failures)
	is.Equal(len(b.Unreachable()), 0)
	is.True(b.Full(&c))
	is.True(!b.ProbablyFull("a", 12345))
}

// The owner of a hot key refuses many requests. That must not make the other owners of the service count as full.
func TestOwnerOfHotKeyDoesNotMakeOthersFull(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	other := Candidate{ID: "other", Service: "s", Slots: 2, Keyed: true}
	answer(b, &now, &other, time.Millisecond, 1, 0)
	var hot Candidate
	for i := range 10 {
		hot = Candidate{ID: fmt.Sprint("hot", i), Service: "s", Slots: 2, Keyed: true}
		refuse(b, &hot, 6)
		refuse(b, &hot, 6)
	}
	is.True(b.Full(&hot))
	is.True(!b.Full(&other))
}

// A VM that restarts knows no speeds. It once took only half of what the others know from the assigner's first update.
func TestRestartedVMTakesOverSharedSpeeds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	b.MergeStats([]SharedStats{{ID: "a", ServiceTime: 900 * time.Millisecond, Load: 4, LoadKnown: true, WorkPercent: 200, LoadAge: 100 * time.Millisecond}})
	work, _ := b.Expected(&Candidate{ID: "a", Slots: 100})
	is.True(work > 1800*time.Millisecond && work < 1900*time.Millisecond)
}

// Guards against a new assigner whose few answers replace what a VM has learned from many.
func TestFirstSharedSpeedDoesNotReplaceOwnAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	c := Candidate{ID: "a", Slots: 100}
	for range 50 {
		answer(b, &now, &c, 100*time.Millisecond, 0, 0)
	}
	b.MergeStats([]SharedStats{{ID: "a", ServiceTime: 900 * time.Millisecond}})
	work, _ := b.Expected(&c)
	is.True(work > 450*time.Millisecond && work < 550*time.Millisecond)
}

// Guards against traffic between regions while a target of this region has room.
func TestFarTargetsOnlyWithoutRoomNear(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New(Options{
		DataCentre: "a", Region: "r", PreferRegion: true, LearnFull: true, ServiceTime: 100 * time.Millisecond, Now: func() time.Time { return now },
	})
	candidates := []Candidate{
		{ID: "near", Service: "s", DataCentre: "b", Region: "r", Slots: 2}, {ID: "far", Service: "s", DataCentre: "x", Region: "q", Slots: 2},
	}
	for i := range candidates {
		answer(b, &now, &candidates[i], 100*time.Millisecond, 0, 0)
	}
	load := func(n int) {
		b.End("near", b.Begin(&candidates[0]), Outcome{Answered: true, LoadKnown: true, Running: 2, Waiting: n - 2})
	}
	load(6)
	choice := b.Choose(candidates, Query{UntilLate: time.Second})
	is.Equal(choice.Candidate.ID, "near")
	is.Equal(choice.Cause, CauseNone)
	choice = b.Choose(candidates, Query{UntilLate: 250 * time.Millisecond}) // It would wait for 250 ms.
	is.Equal(choice.Candidate.ID, "far")
	is.Equal(choice.Cause, CauseNoRoom)
	refuse(b, &candidates[0], 6)
	is.Equal(b.Choose(candidates, Query{UntilLate: time.Second}).Candidate.ID, "far")
	choice = b.Choose(candidates[1:], Query{UntilLate: time.Second})
	is.Equal(choice.Candidate.ID, "far")
	is.Equal(choice.Cause, CauseNoneNear)
}

// Subsets that are drawn at random leave some targets without a VM and give others to three times as many as the mean.
func TestEvenSubsetsCoverTargetsEvenly(t *testing.T) {
	is := is.New(t)
	p := surge{vms: 71, targets: 183, speeds: []float64{1}, rate: 1, even: true}.play()
	cover := map[string]int{}
	for _, b := range p.vms {
		var candidates []Candidate
		for _, target := range p.targets {
			candidates = append(candidates, target.candidate)
		}
		near, _ := b.byRegion(candidates)
		for _, c := range b.subset(near, b.subsetSize(len(candidates))) {
			cover[c.ID]++
		}
	}
	is.Equal(len(cover), len(p.targets))
	for _, n := range cover {
		is.True(n <= 4)
	}
}

// Guards against one faulty target that sheds requests and makes all of its service count as full.
func TestTargetThatShedsDoesNotMakeOthersFull(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	faulty, healthy := Candidate{ID: "faulty", Service: "s", Slots: 6}, Candidate{ID: "healthy", Service: "s", Slots: 6}
	for range 5 {
		refuse(b, &faulty, 6)
		answer(b, &now, &healthy, time.Millisecond, 6, 0)
	}
	is.True(!b.Full(&healthy))
	for range 20 {
		is.Equal(b.Pick([]Candidate{faulty, healthy}, false, nil).ID, "healthy")
	}
}

// Guards against several faulty targets: what the healthy ones hold shows that the service takes more.
func TestTargetsThatShedDoNotMakeOthersFull(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	busy, idle := Candidate{ID: "busy", Service: "s", Slots: 6}, Candidate{ID: "idle", Service: "s", Slots: 6}
	answer(b, &now, &busy, time.Millisecond, 9, 0)
	for range 3 {
		for _, id := range []string{"a", "b", "c"} {
			refuse(b, &Candidate{ID: id, Service: "s", Slots: 6, Keyed: true}, 6)
		}
	}
	answer(b, &now, &idle, time.Millisecond, 7, 0)
	is.Equal(b.fullLoad(b.state("idle"), 6, now), 9.0)
	is.True(!b.Full(&idle))
}

// Guards against a target that sheds requests far below what it holds and gets as many as before.
func TestRefusalFarBelowHeldLoadIsAFailure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	c := Candidate{ID: "a", Service: "s", Slots: 6}
	answer(b, &now, &c, time.Millisecond, 10, 0)
	refuse(b, &c, 6)
	is.True(b.state("a").failureRate > 0)
	is.True(math.IsInf(b.fullLoad(b.state("a"), 6, now), 1))
	refuse(b, &c, 10)
	is.Equal(b.fullLoad(b.state("a"), 6, now), 10.0)
}

// Where LearnFull is not set, refusals and resets count as failures, and no target counts as full.
func TestWithoutLearnFullRefusalsAreFailures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New(Options{Now: func() time.Time { return now }})
	c := Candidate{ID: "a", Service: "s", Slots: 4}
	for range 10 {
		refuse(b, &c, 8)
		b.End(c.ID, b.Begin(&c), Outcome{Failed: true, Reset: true})
	}
	answer(b, &now, &c, time.Millisecond, 8, 0)
	is.True(b.state("a").failureRate > 0.5)
	is.Equal(b.TakeObservations()[0].Failures, 20)
	is.True(!b.Full(&c))
	is.True(!b.ProbablyFull("a", b.Begin(&c)))
	is.True(b.Choose([]Candidate{c}, Query{}).Candidate != nil)
}

// Guards against resets by an idle target that are put down to its load because refusals by others were not expected.
func TestResetByIdleTargetIsAFault(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	idle := Candidate{ID: "idle", Service: "s", Slots: 6}
	for i := range 20 {
		refuse(b, &Candidate{ID: string(rune('a' + i)), Service: "s", Slots: 6}, 10)
	}
	answer(b, &now, &idle, time.Millisecond, 0, 0)
	n := b.Begin(&idle)
	is.True(b.services["s"].biasNow(now) > 4)
	is.True(!b.ProbablyFull("idle", n))
}
