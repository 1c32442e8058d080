package eligibility_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
)

const (
	// step is the resolution of the simulated time.
	step = 20 * time.Millisecond
	// window is the time over which a target counts its requests.
	window = 4 * time.Second
	// contact is the time after a limit was first named from which the target counts.
	contact = 3 * time.Second
)

// vms is a number of VMs that send to one target as fast as they may, in bursts.
type vms struct {
	now      time.Time
	target   fleet.Incarnation
	trackers []*eligibility.Tracker
	// sent has the number of requests of each step.
	sent []int
}

func newVMs(count int) *vms {
	v := &vms{now: time.Unix(1000, 0), target: fleet.Incarnation{ID: "t", Born: 1}}
	clock := func() time.Time { return v.now }
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("vm%d", i))
	}
	for _, name := range names {
		tr := eligibility.New(eligibility.Options{Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), VM: name, Now: clock})
		tr.SetVMs(names, count)
		v.trackers = append(v.trackers, tr)
	}
	return v
}

// run lets the VMs send for the duration. In each step every VM has demand requests to send with the given probability.
func (v *vms) run(d time.Duration, random *rand.Rand, demand int, probability float64) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(step) {
		sent := 0
		for _, tr := range v.trackers {
			if random.Float64() >= probability {
				continue
			}
			for range demand {
				if tr.Take(v.target).OK() {
					sent++
				}
			}
		}
		v.sent = append(v.sent, sent)
	}
}

// most returns the highest number of requests in a window.
func (v *vms) most() int {
	n, sum, most := int(window/step), 0, 0
	for i, sent := range v.sent {
		sum += sent
		if i >= n {
			sum -= v.sent[i-n]
		}
		most = max(most, sum)
	}
	return most
}

func (v *vms) name(perSecond float64) {
	for _, tr := range v.trackers {
		tr.Observe(eligibility.Statement{Incarnation: v.target, LimitPerSecond: perSecond}, "r")
	}
}

// Each VM knows only what it sends itself. The target counts the requests of all.
func TestSharesOfAllVMsKeepTheLimit(t *testing.T) {
	counts := []int{1, 3, 12, 59, 295}
	if testing.Short() {
		counts = counts[:4]
	}
	for _, count := range counts {
		for _, perSecond := range []float64{0.3, 2.4, 19.2, 150} {
			for _, load := range []struct {
				demand      int
				probability float64
			}{{10, 1}, {3, 0.05}, {50, 0.01}} {
				t.Run(fmt.Sprintf("%d VMs, %v a second, %v", count, perSecond, load), func(t *testing.T) {
					is := is.New(t)
					random := rand.New(rand.NewPCG(uint64(count), uint64(perSecond*10)))
					v := newVMs(count)
					v.name(perSecond)
					v.run(contact, random, load.demand, load.probability)
					v.sent = nil
					for range 5 {
						v.run(2*time.Second, random, load.demand, load.probability)
						v.name(perSecond) // In the answers.
					}
					is.True(float64(v.most()) <= 1.5*perSecond*window.Seconds()+5)
					if load.probability == 1 {
						total := 0
						for _, n := range v.sent {
							total += n
						}
						is.True(float64(total) >= 0.85*perSecond*10-1) // The limit is used.
					}
				})
			}
		}
	}
}

func TestLimitEndsWhenTheTargetNamesNone(t *testing.T) {
	is := is.New(t)
	v := newVMs(2)
	a := v.trackers[0]
	refused := func() bool {
		for range 100 {
			if !a.Take(v.target).OK() {
				return true
			}
		}
		return false
	}
	is.True(!refused())
	v.name(2)
	is.True(refused())
	is.True(!a.Take(v.target).OK())
	is.True(a.Take(fleet.Incarnation{ID: "t", Born: 2}).OK()) // A new life of the target.
	v.name(0)
	is.True(!refused())
	v.name(2)
	is.True(refused())
	v.now = v.now.Add(time.Minute) // The target may get no requests, so that it gives no answers.
	is.True(refused())
	v.name(0)
	is.True(!refused())
}

// A target that is not heard of may name its limit still. VMs without a share must not find that out all at once.
func TestVMsWithoutAShareTryOneAfterTheOther(t *testing.T) {
	const perSecond = 0.4
	is := is.New(t)
	v := newVMs(71)
	v.name(perSecond)
	v.run(time.Minute, rand.New(rand.NewPCG(1, 1)), 1, 1)
	silent := v.sent[:int(eligibility.LimitMemory/step)]
	total := 0
	for _, n := range silent {
		total += n
	}
	is.True(total <= 3+int(perSecond*eligibility.LimitMemory.Seconds()))
	v.run(5*time.Minute, rand.New(rand.NewPCG(1, 1)), 1, 1)
	is.True(float64(v.most()) <= 1.5*perSecond*window.Seconds()+5)
	total = 0
	for _, n := range v.sent {
		total += n
	}
	is.True(float64(total) >= perSecond*360+68) // Each of the 68 VMs had its turn.
}

// The entry of a target that lives may be missing for a while. All VMs would send to it at once when it is back.
func TestLimitHoldsWhileTheEntryIsMissing(t *testing.T) {
	is := is.New(t)
	v := newVMs(71)
	v.name(2)
	v.run(time.Second, rand.New(rand.NewPCG(1, 1)), 1, 1)
	none := func(fleet.Incarnation) bool { return false }
	for _, tr := range v.trackers {
		tr.Retain(none)
	}
	v.run(3*time.Second, rand.New(rand.NewPCG(1, 1)), 1, 1)
	is.True(float64(v.most()) <= 1.5*2*window.Seconds()+5)
	v.now = v.now.Add(time.Minute)
	for _, tr := range v.trackers {
		tr.Retain(none)
		is.True(!tr.HasStatements())
	}
}

// A limit that cannot be understood shows neither another limit nor that there is none.
func TestUnclearLimitChangesNothing(t *testing.T) {
	is := is.New(t)
	v := newVMs(1)
	a := v.trackers[0]
	a.Observe(eligibility.Statement{Incarnation: v.target, LimitUnclear: true}, "r")
	is.True(!a.HasStatements())
	v.name(2)
	a.Observe(eligibility.Statement{Incarnation: v.target, LimitUnclear: true}, "r")
	v.run(window, rand.New(rand.NewPCG(1, 1)), 5, 1)
	is.True(float64(v.most()) <= 1.5*2*window.Seconds()+5)
}

// What other VMs were told counts unless this VM was told something later.
func TestLaterStatementCounts(t *testing.T) {
	is := is.New(t)
	v := newVMs(2)
	a, b := v.trackers[0], v.trackers[1]
	v.name(4)
	is.Equal(len(a.TakeStatements()), 1)
	is.Equal(len(a.TakeStatements()), 0) // Each is reported once.
	v.now = v.now.Add(time.Second)
	a.Observe(eligibility.Statement{Incarnation: v.target}, "r")
	v.now = v.now.Add(time.Second)
	told := a.TakeStatements()
	is.Equal(told, []eligibility.Statement{{Incarnation: v.target, Age: time.Second}})
	a.Merge([]eligibility.Statement{{Incarnation: v.target, LimitPerSecond: 4, Age: 2 * time.Second}})
	b.Merge(told)
	for _, tr := range v.trackers {
		for range 100 {
			is.True(tr.Take(v.target).OK())
		}
	}
	is.Equal(len(b.TakeStatements()), 1) // Only what b itself was told: the limit of the start.
}

// Each answer that named an unchanged limit, or none after one was lifted, was reported to the assigner.
func TestUnchangedLimitIsNotReportedAtEachAnswer(t *testing.T) {
	is := is.New(t)
	v := newVMs(1)
	a := v.trackers[0]
	for _, perSecond := range []float64{4, 5, 0} {
		v.name(perSecond)
		is.Equal(len(a.TakeStatements()), 1) // A change at once.
		reports := 0
		for range 100 {
			v.now = v.now.Add(100 * time.Millisecond)
			v.name(perSecond)
			for _, s := range a.TakeStatements() {
				is.Equal(s, eligibility.Statement{Incarnation: v.target, LimitPerSecond: perSecond})
				reports++
			}
		}
		is.Equal(reports, 10)
	}
	v.name(4)
	is.Equal(len(a.TakeStatements()), 1)
	v.now = v.now.Add(10 * time.Millisecond)
	a.Merge([]eligibility.Statement{{Incarnation: v.target, LimitPerSecond: 6}}) // Of an answer that was late.
	v.name(4)
	is.Equal(len(a.TakeStatements()), 1)
}

// Callers that wait for the same share must not return all at once.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	v := newVMs(1)
	v.name(10)
	a := v.trackers[0]
	for a.Take(v.target).OK() {
	}
	var last time.Duration
	for i := range 15 {
		d := a.Decide(v.target)
		is.Equal(d.Reason, eligibility.Limited)
		in := a.PromiseReturn(v.target, d)
		if i > 0 {
			is.Equal(in-last, 100*time.Millisecond)
		}
		last = in
	}
	for range 100 {
		is.True(a.PromiseReturn(v.target, a.Decide(v.target)) <= 2*time.Second)
	}
}

// BenchmarkTake has 200 targets, of which none or all have named a limit.
func BenchmarkTake(b *testing.B) {
	for name, stated := range map[string]bool{"without statements": false, "with limits": true} {
		b.Run(name, func(b *testing.B) {
			d := fleet.NewDirectory(fleet.DirectoryOptions{})
			tracker := eligibility.New(eligibility.Options{Directory: d, VM: "vm"})
			var targets []fleet.Incarnation
			for i := range 200 {
				t := &fleet.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Born: 1}
				d.Put(t)
				targets = append(targets, t.Incarnation())
				if stated {
					tracker.Observe(eligibility.Statement{Incarnation: t.Incarnation(), LimitPerSecond: 1e5}, "r")
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tracker.Take(targets[i%len(targets)])
			}
		})
	}
}
