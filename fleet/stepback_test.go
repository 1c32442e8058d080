package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An older copy of the store has the entry of a target from before it announced that it leaves.
func TestTargetThatLeftDoesNotReturnReadyWithAnOlderCopy(t *testing.T) {
	for _, stated := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(100, 0)
		d := NewDirectory(DirectoryOptions{Now: func() time.Time { return now }})
		ready := &Target{ID: "a", Service: "s", Born: 1, State: Ready}
		incarnation := ready.Incarnation()
		d.Put(ready)
		if stated {
			d.RecordLeaving(incarnation)
		} else {
			draining := *ready
			draining.State = Draining
			d.Put(&draining)
		}
		now = now.Add(time.Second)
		d.Remove("a")
		d.StoreLost()
		d.StoreRestored()
		d.Replace([]*Target{ready})
		is.Equal(d.Snapshot().ByID["a"].State, Draining)
		is.Equal(d.Snapshot().LeavingSince(incarnation), time.Unix(100, 0))
		d.Replace(nil)
		is.Equal(len(d.Snapshot().ByID), 0)
		is.True(d.Snapshot().Left(incarnation))
		d.Put(&Target{ID: "a", Service: "s", Born: 2, State: Ready})
		is.Equal(d.Snapshot().ByID["a"].State, Ready)
	}
}
