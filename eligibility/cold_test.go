package eligibility_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/warmup"
)

// Guards against a path on which a cold target gets more than its allotment, and against tokens used up by refused requests.
func TestColdTargetGetsItsAllotmentOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	d := fleet.NewDirectory(fleet.DirectoryOptions{Now: clock})
	w := warmup.New(warmup.Options{
		VM: "vm", Bounds: warmup.Bounds{Overage: 1.5, Slack: 8}, Directory: d, Now: clock,
		Service: func(string) (warmup.Service, bool) {
			return warmup.Service{WarmUp: 8 * time.Second, PerSecond: 1}, true
		},
	})
	tr := eligibility.New(eligibility.Options{Directory: d, VM: "vm", WarmUp: w, Now: clock})
	target := &fleet.Target{ID: "t", Service: "s", Born: 1}
	d.Put(target)
	i := target.Incarnation()
	w.SetVMs([]string{"vm"})
	now = now.Add(5 * time.Second)
	is.True(!tr.HasStatements())
	is.True(tr.Take(i).OK())
	w.ObserveStatement(target, 8*time.Second)
	is.True(tr.HasStatements())
	v := tr.Take(i)
	is.Equal(v.Reason, eligibility.Cold)
	is.Equal(v.Reason.String(), "cold")
	is.Equal(v.RetryIn, time.Second)
	is.Equal(tr.PromiseReturn(i, v), time.Second)
	now = now.Add(time.Second)
	tr.Observe(eligibility.Statement{Incarnation: i, Pause: 100 * time.Millisecond}, "r")
	is.Equal(tr.Take(i).Reason, eligibility.Paused)
	now = now.Add(200 * time.Millisecond)
	is.True(tr.Decide(i).OK())
	is.True(tr.Take(i).OK())
	now = now.Add(200 * time.Millisecond) // The pause has ended for good.
	is.Equal(tr.Decide(i).Reason, eligibility.Cold)
}
