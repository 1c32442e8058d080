package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// upload is a request of the load test that a target answers at the instant end.
type upload struct {
	end    time.Duration
	vm     int
	target int
	number uint64
	bytes  int64
}

type uploads []upload

func (u uploads) Len() int           { return len(u) }
func (u uploads) Less(i, j int) bool { return u[i].end < u[j].end }
func (u uploads) Swap(i, j int)      { u[i], u[j] = u[j], u[i] }
func (u *uploads) Push(x any)        { *u = append(*u, x.(upload)) }
func (u *uploads) Pop() any {
	last := (*u)[len(*u)-1]
	*u = (*u)[:len(*u)-1]
	return last
}

// playUploads sends 600 uploads a second, of 60 KB in the mean and up to 360 KB, from 12 VMs to 20 targets for 20 s. Every fifth
// target takes 6 x as long, so that bodies pile up there. It returns the most bytes that were at one target, and the number
// of requests that were sent and refused.
func playUploads(share int64) (most int64, sent, refused int) {
	const vms, targets, perSecond = 12, 20, 600
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	var candidates []Candidate
	for i := range targets {
		candidates = append(candidates, Candidate{ID: fmt.Sprint(i), Service: "s", DataCentre: "d", Region: "r", Slots: 6, Connected: true})
	}
	balancers := make([]*Balancer, vms)
	for i := range balancers {
		balancers[i] = New(Options{VM: fmt.Sprint(i), DataCentre: "d", Region: "r", Now: func() time.Time { return now }, Random: random.IntN})
		balancers[i].SetVMs(vms)
		balancers[i].SetMaxBodyBytes(share)
	}
	at := make([]int64, targets)
	var running uploads
	for i := range perSecond * 20 {
		arrival := time.Duration(i) * time.Second / perSecond
		for len(running) > 0 && running[0].end <= arrival {
			u := heap.Pop(&running).(upload)
			now = time.Unix(0, 0).Add(u.end)
			at[u.target] -= u.bytes
			balancers[u.vm].End(candidates[u.target].ID, u.number, Outcome{Answered: true})
		}
		now = time.Unix(0, 0).Add(arrival)
		vm, bytes := random.IntN(vms), min(int64(random.ExpFloat64()*60_000)+1, 360_000)
		choice := balancers[vm].Choose(candidates, Query{Bulk: true, Once: true, BodyBytes: bytes})
		if choice.Candidate == nil {
			refused++
			continue
		}
		number, ok := balancers[vm].BeginBody(choice.Candidate, bytes)
		if !ok {
			panic("a target was chosen that has no room")
		}
		target := 0
		fmt.Sscan(choice.Candidate.ID, &target)
		work := time.Second
		if target%5 == 0 {
			work *= 6
		}
		at[target] += bytes
		most = max(most, at[target])
		heap.Push(&running, upload{arrival + work, vm, target, number, bytes})
		sent++
	}
	return most, sent, refused
}

// Guards against targets that crash for lack of memory under uploads of many VMs.
func TestUploadsKeepTheBoundOfAllVMs(t *testing.T) {
	is := is.New(t)
	const bound = 12 * 400_000
	unbounded, _, _ := playUploads(0)
	most, sent, refused := playUploads(bound / 12)
	t.Logf("most bytes at one target: %d without a bound, %d with one of %d; %d sent, %d refused", unbounded, most, bound, sent, refused)
	is.True(unbounded > bound) // The load does not test the bound.
	is.True(most <= bound)
	is.True(refused*1000 <= sent) // A body nearly as long as the share needs a target without any other.
}

// A body that is longer than the share was never sendable, or a small one beside it made the target hold more than the bound.
func TestLongBodyIsSentAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	b.SetMaxBodyBytes(100)
	c := &Candidate{ID: "a", Slots: 6}
	long, ok := b.BeginBody(c, 5000)
	is.True(ok)
	_, ok = b.BeginBody(c, 1)
	is.True(!ok)
	_, ok = b.BeginBody(c, 0) // A request without a body takes no room.
	is.True(ok)
	b.End("a", long, Outcome{Answered: true})
	_, ok = b.BeginBody(c, 60)
	is.True(ok)
	is.True(b.BodyFits("a", 40))
	is.True(!b.BodyFits("a", 41))
	is.True(!b.BodyFits("a", 5000))
	b.SetMaxBodyBytes(0)
	is.True(b.BodyFits("a", 5000))
}

// Guards against any number of bodies at a target whose callers give up early and send again.
func TestBodyOfARequestThatWasGivenUpCountsUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	b.SetMaxBodyBytes(100)
	c := &Candidate{ID: "a", Slots: 6}
	n, _ := b.BeginBody(c, 80)
	b.End("a", n, Outcome{Failed: true, BodyHeldUntil: now.Add(2 * time.Second)})
	is.True(!b.BodyFits("a", 30))
	now = now.Add(2 * time.Second)
	is.True(b.BodyFits("a", 30))
	n, _ = b.BeginBody(c, 80)
	b.End("a", n, Outcome{Failed: true, BodyHeldUntil: now.Add(time.Hour)})
	is.True(!b.BodyFits("a", 30))
	now = now.Add(maxBodyHeld)
	is.True(b.BodyFits("a", 30))
	b.SetMaxBodyBytes(0)
	n, _ = b.BeginBody(c, 80)
	b.End("a", n, Outcome{Failed: true, BodyHeldUntil: now.Add(time.Hour)})
	is.Equal(len(b.state("a").held), 0) // Nothing is kept while the bound is off.
}

// Guards against a large body sent where others are in flight while another target has room.
func TestChoiceByBodiesInFlight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := fixedClock(&now)
	b.SetMaxBodyBytes(300_000)
	candidates := []Candidate{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "suspended", Slots: 6}}
	for _, c := range candidates {
		n := b.Begin(&c)
		b.End(c.ID, n, Outcome{Answered: true})
	}
	b.End("suspended", b.Begin(&candidates[2]), Outcome{Unreachable: true})
	_, _ = b.BeginBody(&candidates[0], 200_000)
	// More requests run at b, which counts less than the bodies at a.
	b.Begin(&candidates[1])
	b.Begin(&candidates[1])
	for range 20 {
		is.Equal(b.Choose(candidates[:2], Query{BodyBytes: 50_000}).Candidate.ID, "b")
		choice := b.Choose(candidates, Query{BodyBytes: 150_000})
		is.Equal(choice.Candidate.ID, "b")
	}
	choice := b.Choose(candidates[:2], Query{BodyBytes: 150_000})
	is.True(choice.BodiesFull) // It was redirected.
	_, _ = b.BeginBody(&candidates[1], 250_000)
	is.Equal(b.Choose(candidates, Query{BodyBytes: 150_000}).Candidate.ID, "suspended")
	choice = b.Choose(candidates[:2], Query{BodyBytes: 150_000})
	is.True(choice.Candidate == nil)
	is.True(choice.BodiesFull)
	is.True(b.Choose(candidates, Query{}).Candidate != nil)
}
