package eligibility_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
)

func TestLeavingTargetIsEligibleForItsDrainTimeOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	d := fleet.NewDirectory(fleet.DirectoryOptions{Now: clock})
	tracker := eligibility.New(eligibility.Options{Directory: d, DrainTime: 1300 * time.Millisecond, Now: clock})
	first := &fleet.Target{ID: "a", Service: "s", Born: 1}
	is.True(tracker.Decide(first.Incarnation()).OK()) // Not listed yet.
	d.Put(first)
	draining := *first
	draining.State = fleet.Draining
	d.Put(&draining)
	now = now.Add(time.Second)
	is.True(tracker.Decide(first.Incarnation()).OK())
	d.Remove("a")
	now = now.Add(time.Millisecond)
	is.Equal(tracker.Decide(first.Incarnation()), eligibility.Verdict{Reason: eligibility.Leaving, Since: 1001 * time.Millisecond})
	second := &fleet.Target{ID: "a", Service: "s", Born: 2}
	d.Put(second)
	is.True(tracker.Decide(second.Incarnation()).OK())
	is.Equal(tracker.Decide(first.Incarnation()).Reason, eligibility.Leaving)
}
