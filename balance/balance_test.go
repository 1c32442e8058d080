package balance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

func codeOf(err error) result.Code {
	if err == nil {
		return result.OK
	}
	return err.(*result.Error).Code
}

func fromNow(d time.Duration) time.Time { return time.Now().Add(d) }

func TestGateRefusesRequestsThatWouldMissDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(1, 2)
		ctx := context.Background()
		is.NoErr(g.Acquire(ctx, fromNow(time.Second)))
		g.Release(100 * time.Millisecond)
		is.NoErr(g.Acquire(ctx, fromNow(time.Second)))
		// The expected time is one service time of waiting and one of running.
		is.Equal(codeOf(g.Acquire(ctx, fromNow(150*time.Millisecond))), result.QueueDeadline)
		granted := make(chan error, 2)
		go func() { granted <- g.Acquire(ctx, fromNow(time.Second)) }()
		go func() { granted <- g.Acquire(ctx, fromNow(time.Second)) }()
		synctest.Wait()
		is.Equal(codeOf(g.Acquire(ctx, fromNow(time.Second))), result.QueueFull)
		g.Release(100 * time.Millisecond)
		is.NoErr(<-granted)
		time.Sleep(950 * time.Millisecond)
		g.Release(100 * time.Millisecond)
		is.Equal(codeOf(<-granted), result.QueueDeadline) // It is refused, because its deadline is too close when the slot is free.
		running, waiting := g.Load()
		is.Equal(running+waiting, 0)
	})
}

func TestAcquireEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(1, 2)
		is.NoErr(g.Acquire(context.Background(), fromNow(time.Hour)))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.Equal(codeOf(g.Acquire(ctx, fromNow(time.Hour))), result.QueueDeadline)
		g.Release(0)
		is.NoErr(g.Acquire(context.Background(), fromNow(time.Hour)))
	})
}

func TestBudgetLimitsRetriesToRatio(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 2)
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	is.True(spent >= 99 && spent <= 102)
}

func poolView(regions ...string) *ownership.View {
	v := &ownership.View{Group: "g"}
	for i, r := range regions {
		id := ownership.TargetID(string(rune('a' + i)))
		v.Targets = append(v.Targets, ownership.Target{ID: id, Region: r})
		v.States = append(v.States, ownership.TargetReady)
	}
	return v
}

// pickConcurrently picks targets for n requests that run at once, and returns how
// often each target was picked.
func pickConcurrently(s *Selector, v *ownership.View, n int) map[ownership.TargetID]int {
	counts := map[ownership.TargetID]int{}
	for range n {
		t := s.Pick(&pipeline.Request{}, v)
		s.Began(t.ID)
		counts[t.ID]++
	}
	for id, c := range counts {
		for range c {
			s.Ended(id, nil, false)
		}
	}
	return counts
}

func TestSelectorPrefersOwnRegionUntilBusy(t *testing.T) {
	is := is.New(t)
	s := NewSelector(SelectorOptions{Region: "north", SpillAt: 2})
	v := poolView("north", "north", "south")
	counts := pickConcurrently(s, v, 4)
	is.Equal(counts["a"], 2)
	is.Equal(counts["b"], 2)
	is.Equal(pickConcurrently(s, v, 6)["c"], 2) // The far target is used once the near ones are busy.
	v.States[0] = ownership.TargetLeaving
	is.Equal(pickConcurrently(s, v, 4)["a"], 0)
}

func TestSelectorEjectsAtMostMaxEjectedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSelector(SelectorOptions{EjectAfter: 3})
		v := poolView("", "", "", "")
		lost := result.New(result.TargetLost, "")
		pickConcurrently(s, v, 4)
		for range 3 {
			s.Ended("a", lost, false) // Failures on idle connections do not count.
			s.Began("a")
		}
		is.Equal(pickConcurrently(s, v, 8)["a"], 2)
		for _, id := range []ownership.TargetID{"a", "b", "c", "d"} {
			for range 3 {
				s.Began(id)
				s.Ended(id, lost, true)
			}
		}
		counts := pickConcurrently(s, v, 9)
		is.Equal(counts["a"], 0) // Only one of four is ejected.
		is.Equal(len(counts), 3)
		time.Sleep(time.Second + 500*time.Millisecond)
		counts = pickConcurrently(s, v, 40)
		is.True(counts["a"] > 0 && counts["a"] < 3) // It returns with a small share of the requests.
		time.Sleep(10 * time.Second)
		counts = pickConcurrently(s, v, 40)
		is.Equal(counts["a"], 10)
	})
}

func TestLimitAdaptsToServiceTimes(t *testing.T) {
	is := is.New(t)
	l := newAdaptiveLimit(4)
	repeat := func(n int, service time.Duration, full bool) int {
		for range n {
			l.addSample(service, full)
		}
		return l.value()
	}
	is.Equal(repeat(50, 10*time.Millisecond, true), 4)
	is.Equal(repeat(50, 15*time.Millisecond, true), 4)  // Within the accepted slowdown.
	is.Equal(repeat(50, 100*time.Millisecond, true), 1) // So slow that requests must be waiting at the target.
	is.Equal(repeat(50, 10*time.Millisecond, false), 1) // The limit rises only in full use.
	is.Equal(repeat(50, 10*time.Millisecond, true), 4)
	l.reduce()
	is.Equal(l.value(), 2)
	is.Equal(repeat(5000, 100*time.Millisecond, true), 4) // The shortest time follows a target that stays slower.
	l.setFixed(3)
	is.Equal(repeat(50, time.Second, true), 3)
}
