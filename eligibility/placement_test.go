package eligibility_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
)

// The owner of a key gets requests until one second before the time of an evacuation has elapsed, other targets none.
func TestTargetInEvacuatedDataCentreIsNotEligible(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	set := evacuation.New()
	set.Replace(nil, now, now)
	tracker := eligibility.New(eligibility.Options{
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{Now: clock}), Now: clock,
		Evacuation: eligibility.EvacuationOptions{Set: set, Time: 5 * time.Second},
	})
	target := &fleet.Target{ID: "a", DataCentre: "dc", Region: "r"}
	owner, other := eligibility.Placement{Owner: true}, eligibility.Placement{}
	is.True(!tracker.Restricts(other))
	is.True(tracker.TakeAt(target, other).OK())
	set.Begin("dc", now.Add(-time.Second)) // The entry may be that old.
	is.True(tracker.Restricts(other))
	is.Equal(tracker.TakeAt(target, other), eligibility.Verdict{Reason: eligibility.Evacuated, Since: time.Second})
	is.True(tracker.TakeAt(target, owner).OK())
	now = now.Add(2999 * time.Millisecond)
	is.True(tracker.TakeAt(target, owner).OK())
	now = now.Add(time.Millisecond)
	is.Equal(tracker.TakeAt(target, owner).Reason, eligibility.Evacuated)
	is.True(tracker.TakeAt(&fleet.Target{ID: "b", DataCentre: "other"}, owner).OK())
	is.Equal(tracker.TakeAt(&fleet.Target{ID: "c"}, owner).Reason, eligibility.Evacuated)
	set.End("dc", now)
	is.True(tracker.TakeAt(target, other).OK())
}

// A VM that follows no evacuations decides by regions only.
func TestRegionsBindWithoutEvacuations(t *testing.T) {
	is := is.New(t)
	tracker := eligibility.New(eligibility.Options{Directory: fleet.NewDirectory(fleet.DirectoryOptions{})})
	inside := eligibility.Placement{AllowedRegions: []string{"r"}, Owner: true}
	is.True(tracker.Restricts(inside))
	is.True(tracker.DecidePlace(&fleet.Target{ID: "a", DataCentre: "dc", Region: "r"}, inside).OK())
	is.Equal(tracker.DecidePlace(&fleet.Target{ID: "a", DataCentre: "dc"}, inside).Reason, eligibility.RegionNotAllowed)
	is.True(tracker.DecidePlace(&fleet.Target{ID: "a"}, eligibility.Placement{}).OK())
}
