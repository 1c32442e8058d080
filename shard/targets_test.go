package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
)

// 809 targets whose states vary at random, but not so that it matters, must take less than 3 KB/s of each VM. A
// target that becomes slow, fails, fills up or leaves must be sent with the next update.
func TestOnlyStatesThatMatterAreSent(t *testing.T) {
	is := is.New(t)
	states := newTargetStates()
	id := func(i int) string { return fmt.Sprintf("i-%08x", i) }
	report := func(i int, serviceTime time.Duration, load uint32, failures uint32, now time.Duration) {
		states.addReport(&pb.TargetReport{
			Target: id(i), ServiceMicros: uint32(serviceTime.Microseconds()), Answers: 4, Failures: failures, Told: true, Load: load,
		}, now)
	}
	now := time.Minute
	sent := 0
	for step := range 20 {
		now += targetsInterval
		for i := range 809 {
			report(i, 440*time.Millisecond+time.Duration((i+7*step)%40-20)*time.Millisecond, uint32((i+step)%4), 0, now)
		}
		n := len(states.takeChanged(now))
		if step > 0 {
			sent += n
		}
	}
	const bytesOfState = 24
	rate := float64(sent) * bytesOfState / (19 * targetsInterval).Seconds()
	t.Logf("%.0f bytes a second", rate)
	is.True(rate < 3<<10)
	now += targetsInterval
	for range 8 {
		report(1, time.Second, 2, 0, now)
		report(2, 440*time.Millisecond, 2, 4, now)
		report(3, 440*time.Millisecond, 9, 0, now)
	}
	leaving := int64(5)
	states.addReport(&pb.TargetReport{Target: id(4), LeavingBorn: &leaving}, now)
	got := map[string]bool{}
	for _, s := range states.takeChanged(now) {
		got[s.GetTarget()] = true
	}
	is.True(got[id(1)] && got[id(2)] && got[id(3)] && got[id(4)])
	is.Equal(len(states.all(now)), 809)
}

// limitedWorld has two VMs and an assigner that passes on what a target with a limit states. Only the first VM gets its answers.
type limitedWorld struct {
	now            time.Duration
	target         fleet.Incarnation
	told, other    *eligibility.Tracker
	states         *targetStates
	reported, sent int
	// passedOn is the limit that was last sent to the VMs.
	passedOn             float64
	lastReport, lastBeat time.Duration
}

func newLimitedWorld() *limitedWorld {
	w := &limitedWorld{now: time.Minute, target: fleet.Incarnation{ID: "t", Born: 1}, states: newTargetStates()}
	vm := func(name string) *eligibility.Tracker {
		tr := eligibility.New(eligibility.Options{
			Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), VM: name, Now: func() time.Time { return time.Unix(0, 0).Add(w.now) },
		})
		tr.SetVMs([]string{"told", "other"}, 2)
		return tr
	}
	w.told, w.other = vm("told"), vm("other")
	return w
}

// answer has the first VM told a limit.
func (w *limitedWorld) answer(perSecond float64) {
	w.told.Observe(eligibility.Statement{Incarnation: w.target, LimitPerSecond: perSecond}, "r")
}

// step lets 50 ms pass.
func (w *limitedWorld) step() {
	w.now += 50 * time.Millisecond
	if w.now-w.lastReport >= 250*time.Millisecond {
		w.lastReport = w.now
		r := &pb.TargetReport{Target: w.target.ID, Answers: 1, ServiceMicros: 80_000}
		for _, s := range w.told.TakeStatements() {
			w.reported++
			r.Limit = &pb.TargetLimit{Born: s.Incarnation.Born, PerSecond: s.LimitPerSecond, AgeMs: uint32(s.Age.Milliseconds())}
		}
		w.states.addReport(r, w.now)
	}
	if w.now-w.lastBeat < targetsInterval {
		return
	}
	w.lastBeat = w.now
	for _, m := range w.states.takeChanged(w.now) {
		w.sent++
		l := m.GetLimit()
		if l == nil {
			continue
		}
		s := []eligibility.Statement{{
			Incarnation: fleet.Incarnation{ID: m.GetTarget(), Born: l.GetBorn()}, LimitPerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		}}
		w.passedOn = l.GetPerSecond()
		w.told.Merge(s)
		w.other.Merge(s)
	}
}

// limited reports whether the VM refuses one of 20 requests.
func (w *limitedWorld) limited(tr *eligibility.Tracker) bool {
	for range 20 {
		if !tr.Take(w.target).OK() {
			return true
		}
	}
	return false
}

// Each answer that named an unchanged limit had the target's state sent to all VMs, which filled the assigner's link.
func TestUnchangedLimitIsNotSentAtEachAnswer(t *testing.T) {
	const spread = 250*time.Millisecond + targetsInterval + 50*time.Millisecond
	for _, between := range []time.Duration{50 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		t.Run(between.String(), func(t *testing.T) {
			is := is.New(t)
			w := newLimitedWorld()
			state := func(perSecond float64, length time.Duration) {
				begin, answered := w.now, time.Duration(0)
				for w.now < begin+length {
					if w.now-answered >= between {
						answered = w.now
						w.answer(perSecond)
					}
					w.step()
					limited := perSecond > 0
					if w.now > begin+spread && (w.limited(w.told) != limited || w.limited(w.other) != limited) {
						t.Fatalf("%v after the first answer with the limit %v, it does not hold on both VMs", w.now-begin, perSecond)
					}
					if known, _ := w.states.limitOf(Holder{ID: "t", Born: w.target.Born}, w.now); w.now > begin+spread && (known != perSecond || w.passedOn != perSecond) {
						t.Fatalf("%v after the first answer with the limit %v, the assigner has %v and has passed on %v", w.now-begin, perSecond, known, w.passedOn)
					}
				}
			}
			const length = 2 * time.Minute
			for _, perSecond := range []float64{2, 0} {
				w.reported, w.sent = 0, 0
				state(perSecond, length)
				t.Logf("limit %v: reported %d times, sent %d times in %v", perSecond, w.reported, w.sent, length)
				is.True(w.reported <= int(length/time.Second)+1)
				is.True(w.sent <= int(length/(5*time.Second))+1)
			}
			for _, perSecond := range []float64{3, 1, 0, 1} {
				state(perSecond, spread+time.Second)
			}
			w.target.Born = 2 // The target starts again.
			state(1, spread+time.Second)
		})
	}
}
