package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/admission"
)

const ms = time.Millisecond

var (
	start  = time.Unix(1000, 0)
	urgent = Kind{Service: "s", Route: "urgent", Priority: 1}
	other  = Kind{Service: "s", Route: "other", Priority: 2}
)

// never returns the largest random number, with which no request is raised while its kind gets a part of its floor.
func never() float64 { return 0.999 }

func request(k Kind, wait, latencyTarget, deadline time.Duration) Request {
	return Request{
		Kind: k, Expected: admission.Estimate{Service: 100 * ms, Wait: wait},
		Limits: admission.Request{UntilDeadline: deadline, UntilLatencyTarget: latencyTarget},
	}
}

// policyWith returns a Policy that has got ten requests of each kind in the last second, with the
// given latency targets.
func policyWith(kinds map[Kind]time.Duration) (*Policy, time.Time) {
	p, now := NewPolicy(start, never), start
	for range 10 {
		now = now.Add(120 * ms)
		for k, latencyTarget := range kinds {
			p.CountRequest(now, k)
			p.Decide(now, request(k, 0, latencyTarget, time.Minute))
		}
	}
	return p, now
}

// allowed returns the longest wait with which the policy admits a request.
func allowed(p *Policy, now time.Time, k Kind, latencyTarget time.Duration) time.Duration {
	return p.Decide(now, request(k, 0, latencyTarget, time.Minute)).Allowed
}

// Where all kinds have the same priority and work, the policy must decide as admission does.
func TestEqualKindsAreDecidedAsByAdmission(t *testing.T) {
	is := is.New(t)
	same := Kind{Service: "s", Route: "same", Priority: 1}
	p, now := policyWith(map[Kind]time.Duration{urgent: 800 * ms, same: 800 * ms})
	for _, latencyTarget := range []time.Duration{50 * ms, 300 * ms, 800 * ms} {
		r := request(urgent, 0, latencyTarget, time.Minute)
		is.Equal(allowed(p, now, urgent, latencyTarget), admission.AllowedWait(r.Expected, r.Limits))
	}
}

// Guards against a less urgent kind that may wait longer because its own latency target is long.
func TestLessUrgentKindWaitsLess(t *testing.T) {
	is := is.New(t)
	p, now := policyWith(map[Kind]time.Duration{urgent: 800 * ms, other: 5 * time.Second})
	first, second := allowed(p, now, urgent, 800*ms), allowed(p, now, other, 5*time.Second)
	is.True(second < first*9/10)
	is.True(second > first*6/10)
	is.True(allowed(p, now.Add(4*time.Second), other, 5*time.Second) > 4*time.Second)
}

// In the first second after a start, all ranks are decided as by admission.
func TestFirstSecondIsDecidedAsByAdmission(t *testing.T) {
	is := is.New(t)
	p := NewPolicy(start, never)
	p.CountRequest(start, urgent)
	p.Decide(start, request(urgent, 0, 800*ms, time.Minute))
	p.CountRequest(start, other)
	r := request(other, 0, 800*ms, time.Minute)
	is.Equal(p.Decide(start.Add(900*ms), r).Allowed, admission.AllowedWait(r.Expected, r.Limits))
	is.True(p.Decide(start.Add(1100*ms), r).Allowed < admission.AllowedWait(r.Expected, r.Limits))
}

// Guards against a request admitted although its deadline cannot be met.
func TestDeadlineThatCannotBeMetIsRefused(t *testing.T) {
	is := is.New(t)
	p, now := policyWith(map[Kind]time.Duration{urgent: 800 * ms})
	d := p.Decide(now, request(urgent, 0, 800*ms, 90*ms))
	is.True(!d.Admit && d.Late)
	d = p.Hopeless(now, request(urgent, 0, 800*ms, 90*ms))
	is.True(!d.Admit && d.Late)
	is.True(p.Decide(now, request(urgent, 0, 800*ms, 110*ms)).Admit)
}

// Guards against a kind that gets less than its floor, also before its bodies are read.
func TestFloorRaisesRequests(t *testing.T) {
	is := is.New(t)
	p, now := policyWith(map[Kind]time.Duration{urgent: 800 * ms, other: 800 * ms})
	wait := allowed(p, now, other, 800*ms) + 10*ms
	is.True(!p.Decide(now, request(other, wait, 800*ms, time.Minute)).Admit)
	is.True(p.Hopeless(now, request(other, wait, 800*ms, time.Minute)).Admit)
	for range 10 {
		p.CountRefused(now, other)
	}
	d := p.Decide(now, request(other, wait, 800*ms, time.Minute))
	is.True(d.Admit && d.Raised)
}

// Guards against a kind with much work that waits as long as one with little.
func TestWorkIsLearned(t *testing.T) {
	is := is.New(t)
	light, heavy := Kind{Service: "s", Route: "light"}, Kind{Service: "s", Route: "heavy"}
	p, now := policyWith(map[Kind]time.Duration{light: 800 * ms, heavy: 800 * ms})
	expected := admission.Estimate{Service: 100 * ms, Wait: 50 * ms}
	for range 200 {
		p.Observe(now, light, 100*ms, expected) // 50 ms of work
		p.Observe(now, heavy, 200*ms, expected) // 150 ms
	}
	is.True(math.Abs(p.kind(now, light).work-0.5) < 0.05)
	is.True(math.Abs(p.kind(now, heavy).work-1.5) < 0.05)
	is.True(allowed(p, now, light, 800*ms) >= 620*ms) // 680 ms less 50 ms
	is.True(allowed(p, now, heavy, 800*ms) < 450*ms)
	// What needs 150 ms cannot be answered within 120 ms, what needs 50 ms can.
	is.True(p.Decide(now, request(heavy, 0, 800*ms, 120*ms)).Late)
	is.True(p.Decide(now, request(light, 0, 800*ms, 120*ms)).Admit)
}

// Guards against urgent requests for a hot key that are refused while less urgent ones are served beyond their floor.
func TestShareOfHotKeyByRank(t *testing.T) {
	is := is.New(t)
	p, now := NewPolicy(start, never), start
	is.Equal(p.Share(now, urgent, 0.4), 0.4) // Nothing is known yet.
	for i := range 100 {
		p.CountRequest(now, other)
		if i < 25 {
			p.CountRequest(now, urgent)
		}
	}
	for _, share := range []float64{0.1, 0.2, 0.4, 0.9} {
		a, b := p.Share(now, urgent, share), p.Share(now, other, share)
		is.True(a > b)
		is.True(b >= floorShare*share-1e-9 && a <= 1)
		is.True(math.Abs((25*a+100*b)/125-share) < 1e-9)
	}
}

// Guards against refused callers that are all told to return at the same time, or later than they wait.
func TestReturnsGrowWithTheBacklog(t *testing.T) {
	is := is.New(t)
	random := 0.0
	r, now := NewReturns(func() float64 { random = math.Mod(random+0.37, 1); return random }), start
	for i := range 100 {
		now = now.Add(20 * ms)
		r.CountRequest(now, "s")
		if i%2 == 0 {
			r.Refuse(now, "s", 0, 300*ms)
		}
	}
	first := r.Refuse(now, "s", 0, time.Minute)
	for range 40 {
		r.Refuse(now, "s", 0, time.Minute)
	}
	is.True(r.Refuse(now, "s", 0, time.Minute) > first+2*time.Second)
	distinct := map[time.Duration]bool{}
	for range 100 {
		in := r.Refuse(now, "s", time.Second, 3*time.Second)
		is.True(in >= 800*ms && in <= time.Second)
		distinct[in/(10*ms)] = true
	}
	is.True(len(distinct) > 15)
	is.Equal(r.Refuse(now, "s", 0, 90*ms), minReturn)
}

// Callers that were due must leave the backlog, also after a pause longer than the record.
func TestReturnsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := NewReturns(never)
	for range 5 {
		r.Refuse(start, "s", 300*ms, 10*time.Second)
	}
	is.Equal(r.Pending(start), map[string]int{"s": 5})
	is.Equal(r.Pending(start.Add(6*time.Second)), map[string]int{"s": 0})
	r.Refuse(start.Add(6*time.Second), "s", 300*ms, 10*time.Hour)
	is.Equal(r.Pending(start.Add(time.Hour)), map[string]int{"s": 0})
	is.True(r.Refuse(start.Add(time.Hour), "s", 0, 10*time.Second) <= 2*time.Second)
}
