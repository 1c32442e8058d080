package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testDirectory returns a Directory with the targets and the time that its clock shows,
// which the test may change.
func testDirectory(targets ...*Target) (*Directory, *time.Time) {
	now := time.Unix(1000, 0)
	d := NewDirectory(DirectoryOptions{Now: func() time.Time { return now }})
	d.Replace(targets)
	return d, &now
}

func ids(s *Snapshot) []string { return sortedKeys(s.ByID) }

func TestRemovedEntryIsGoneAtOnceWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	d, _ := testDirectory(&Target{ID: "a", Service: "s"}, &Target{ID: "b", Service: "s"})
	d.Remove("a")
	is.Equal(ids(d.Snapshot()), []string{"b"})
	is.Equal(len(d.Snapshot().Service("s")), 1)
}

func TestEntryMissingAfterAnOutageIsKeptForTheGrace(t *testing.T) {
	is := is.New(t)
	a, b := &Target{ID: "a"}, &Target{ID: "b"}
	d, now := testDirectory(a, b)
	d.StoreLost()
	d.StoreRestored()
	d.Replace([]*Target{b})
	is.Equal(ids(d.Snapshot()), []string{"a", "b"})
	*now = now.Add(1900 * time.Millisecond)
	d.Expire()
	is.Equal(ids(d.Snapshot()), []string{"a", "b"})
	*now = now.Add(200 * time.Millisecond)
	d.Expire()
	is.Equal(ids(d.Snapshot()), []string{"b"})
}

// The grace period begins when the store answers again, not when the entry is removed.
func TestEntryRemovedWithinTheGraceIsGoneAtItsEnd(t *testing.T) {
	is := is.New(t)
	d, now := testDirectory(&Target{ID: "a"})
	d.StoreLost()
	d.StoreRestored()
	*now = now.Add(1500 * time.Millisecond)
	d.Remove("a")
	is.Equal(ids(d.Snapshot()), []string{"a"})
	*now = now.Add(600 * time.Millisecond)
	d.Expire()
	is.Equal(len(d.Snapshot().ByID), 0)
}

func TestEntryThatReturnsWithinTheGraceStays(t *testing.T) {
	is := is.New(t)
	a := &Target{ID: "a"}
	d, now := testDirectory(a)
	d.StoreLost()
	d.StoreRestored()
	d.Replace(nil)
	*now = now.Add(time.Second)
	d.Put(a)
	*now = now.Add(2 * time.Second)
	d.Expire()
	is.Equal(ids(d.Snapshot()), []string{"a"})
}

func TestDrainingEntryIsNotKeptAfterAnOutage(t *testing.T) {
	is := is.New(t)
	d, _ := testDirectory(&Target{ID: "a", State: Draining})
	d.StoreLost()
	d.StoreRestored()
	d.Replace(nil)
	is.Equal(len(d.Snapshot().ByID), 0)
}

func TestEarlierIncarnationDoesNotReplaceLaterOne(t *testing.T) {
	is := is.New(t)
	d, _ := testDirectory(&Target{ID: "a", Born: 20, Address: "new"})
	d.Put(&Target{ID: "a", Born: 10, Address: "old"})
	is.Equal(d.Snapshot().ByID["a"].Address, "new")
}

// A list or a repeated change can be older than what is known. A target that has said that it leaves does not return.
func TestOlderEntryDoesNotUndoDraining(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(DirectoryOptions{})
	ready := &Target{ID: "a", Service: "s", Born: 1, State: Ready}
	draining := *ready
	draining.State = Draining
	d.Put(ready)
	d.Put(&draining)
	d.Put(ready)
	is.Equal(d.Snapshot().ByID["a"].State, Draining)
	d.Replace([]*Target{ready})
	is.Equal(d.Snapshot().ByID["a"].State, Draining)
	later := *ready
	later.Born = 2
	d.Put(&later)
	is.Equal(d.Snapshot().ByID["a"].State, Ready)
}

func TestLeavingSinceIsKeptForDepartedIncarnations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory(DirectoryOptions{Now: func() time.Time { return now }})
	ready := &Target{ID: "a", Service: "s", Born: 1, State: Ready}
	draining := *ready
	draining.State = Draining
	leaving := func(born int64) time.Time { return d.Snapshot().LeavingSince(Incarnation{ID: "a", Born: born}) }
	is.True(leaving(1).IsZero()) // Never listed.
	d.Put(ready)
	is.True(leaving(1).IsZero())
	d.Put(&draining)
	now = now.Add(time.Second)
	d.Remove("a")
	is.Equal(leaving(1), time.Unix(100, 0)) // Since it was draining, not since it is gone.
	later := *ready
	later.Born = 2
	d.Put(&later)
	is.True(leaving(2).IsZero())
	later.Born = 3
	d.Put(&later)
	is.Equal(leaving(2), time.Unix(101, 0)) // A later incarnation replaced it.
	now = now.Add(2 * departedRetention)
	d.Remove("a")
	is.True(leaving(2).IsZero())
	is.Equal(leaving(3), now)
	d.Put(&later) // The entry is back.
	is.True(leaving(3).IsZero())
}

// A batch of changes must cost one snapshot and one notification, not one for each of 809 entries, and
// end like the same changes one by one.
func TestApplyPublishesOnce(t *testing.T) {
	is := is.New(t)
	d, single := NewDirectory(DirectoryOptions{}), NewDirectory(DirectoryOptions{})
	notified := 0
	d.OnChange(func() { notified++ })
	var changes []Change
	for i := range 809 {
		id := fmt.Sprintf("t%03d", i%700)
		c := Change{ID: id, Entry: &Target{ID: id, Service: "s", Address: "a:1", Slots: 6, Born: int64(i)}}
		if i%10 == 3 {
			c.Entry = nil
		}
		changes = append(changes, c)
	}
	d.Apply(changes)
	is.Equal(notified, 1)
	for _, c := range changes {
		if c.Entry != nil {
			single.Put(c.Entry)
		} else {
			single.Remove(c.ID)
		}
	}
	is.Equal(len(d.Snapshot().ByID), len(single.Snapshot().ByID))
	for id, target := range single.Snapshot().ByID {
		is.Equal(d.Snapshot().ByID[id].Born, target.Born)
	}
	d.Apply(nil)
	is.Equal(notified, 1)
}

// BenchmarkApply measures a batch in which all of 809 entries change.
func BenchmarkApply(b *testing.B) {
	d := NewDirectory(DirectoryOptions{})
	changes := make([]Change, 809)
	for n := 0; b.Loop(); n++ {
		for i := range changes {
			id := fmt.Sprintf("t%03d", i)
			changes[i] = Change{ID: id, Entry: &Target{ID: id, Service: "s", Address: "a:1", Slots: 6, Born: int64(n)}}
		}
		d.Apply(changes)
	}
}

// BenchmarkPut measures the same changes one by one.
func BenchmarkPut(b *testing.B) {
	d := NewDirectory(DirectoryOptions{})
	for n := 0; b.Loop(); n++ {
		for i := range 809 {
			d.Put(&Target{ID: fmt.Sprintf("t%03d", i), Service: "s", Address: "a:1", Slots: 6, Born: int64(n)})
		}
	}
}

// Guards against an entry that states a warm-up again and is not passed on because it equals the last one.
func TestOnEntryIsCalledForEachEntryThatIsRead(t *testing.T) {
	is := is.New(t)
	var first []bool
	d := NewDirectory(DirectoryOptions{OnEntry: func(_ *Target, f bool) { first = append(first, f) }})
	d.Put(&Target{ID: "a", Born: 1})
	d.Put(&Target{ID: "a", Born: 1})
	d.Put(&Target{ID: "a", Born: 2})
	d.Put(&Target{ID: "a", Born: 1})
	d.Remove("a")
	d.Put(&Target{ID: "a", Born: 2})
	is.Equal(first, []bool{true, false, true, false})
	is.Equal(d.Snapshot().ByID["a"].Born, int64(2))
}
