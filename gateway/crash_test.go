package gateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/upstream"
)

// crashTest plays targets that crash while they run requests.
type crashTest struct {
	tracker   *quarantine.Tracker
	directory *fleet.Directory
	watch     *CrashWatch
	// connected and dialErr are what a probe of any target finds.
	connected atomic.Bool
	dialErr   error
	dials     int
}

func newCrashTest() *crashTest {
	c := &crashTest{
		tracker: quarantine.New(quarantine.Options{MinCrashes: 3}), directory: fleet.NewDirectory(fleet.DirectoryOptions{}),
		dialErr: syscall.ECONNREFUSED,
	}
	c.watch = NewCrashWatch(CrashWatchOptions{
		Tracker: c.tracker, Directory: c.directory, Connected: func(string, time.Time) bool { return c.connected.Load() },
		Probe: func(context.Context, string) error {
			c.dials++
			return c.dialErr
		},
	})
	return c
}

var (
	brokenOff   = &upstream.Failure{Sent: true, Reset: true, Cause: errors.New("connection reset")}
	halfAnswer  = &upstream.Failure{Sent: true, InvalidAnswer: true, Cause: errors.New("unexpected EOF")}
	noAnswer    = &upstream.Failure{Sent: true, TimedOut: true, Cause: errors.New("deadline exceeded")}
	notSent     = &upstream.Failure{Cause: errors.New("connection refused")}
	ranToTheEnd = &upstream.Answer{Status: 200, Sealed: true}
	notRun      = &upstream.Answer{Status: 503, NotRun: true}
	crashing    = quarantine.Fingerprint{1}
	other       = quarantine.Fingerprint{2}
)

func startOf(id string, born int64) *fleet.Target {
	return &fleet.Target{ID: id, Address: id, Born: born}
}

// run plays one exchange with a target that is listed, and the probe that may follow.
func (c *crashTest) run(t *fleet.Target, fp quarantine.Fingerprint, a *upstream.Answer, f *upstream.Failure) {
	c.directory.Put(t)
	c.watch.begin(t, fp)
	c.watch.end(t, fp, a, f, false)
	c.awaitProbe()
}

func (c *crashTest) awaitProbe() {
	time.Sleep(2 * probeDelay)
	synctest.Wait()
}

func (c *crashTest) refused(fp quarantine.Fingerprint) bool {
	blocked, _ := c.tracker.Quarantined(fp)
	return blocked
}

// A request that crashes targets reached one after the other.
func TestRequestThatCrashesTargetsIsRefusedAfterTheThird(t *testing.T) {
	for name, f := range map[string]*upstream.Failure{"connection closed": brokenOff, "half an answer": halfAnswer} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newCrashTest()
				c.run(startOf("a", 1), crashing, nil, f)
				c.run(startOf("b", 1), crashing, nil, f)
				c.run(startOf("b", 1), crashing, nil, f) // The same crash, seen by another request.
				time.Sleep(time.Second)
				is.True(!c.refused(crashing))
				c.run(startOf("a", 2), crashing, nil, f) // The same target, started again.
				is.True(c.refused(crashing))
				is.True(!c.refused(other))
				time.Sleep(quarantine.DefaultDuration)
				is.True(!c.refused(crashing))
			})
		})
	}
}

// A target that falls silent when it crashes, or that starts again before it is looked at, shows only by its entry.
func TestCrashShowsByTheEntryOfTheTarget(t *testing.T) {
	for name, f := range map[string]*upstream.Failure{"silent": noAnswer, "started again": brokenOff} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newCrashTest()
				c.dialErr = context.DeadlineExceeded
				for i, id := range []string{"a", "b", "c"} {
					c.run(startOf(id, 1), crashing, nil, f)
					is.True(!c.refused(crashing))
					time.Sleep(DefaultEntryDelay - 2*probeDelay - time.Millisecond)
					if i == 1 {
						c.directory.Remove(id)
					} else {
						c.directory.Put(startOf(id, 2))
					}
				}
				is.True(c.refused(crashing))
			})
		})
	}
}

func TestTargetThatRunsHasNotCrashed(t *testing.T) {
	for name, change := range map[string]func(*crashTest){
		"it accepts connections":         func(c *crashTest) { c.dialErr = nil },
		"another connection stays open":  func(c *crashTest) { c.connected.Store(true) },
		"it is out of reach, and stays ": func(c *crashTest) { c.dialErr = context.DeadlineExceeded },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newCrashTest()
				change(c)
				for _, id := range []string{"a", "b", "c", "d"} {
					c.run(startOf(id, 1), crashing, nil, brokenOff)
				}
				time.Sleep(DefaultEntryDelay)
				c.directory.Replace(nil) // Too late to have to do with it.
				is.True(!c.refused(crashing))
				is.Equal(len(c.tracker.Snapshot().Suspects), 0)
			})
		})
	}
}

func TestRequestThatRanToTheEndIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for born := range int64(6) {
			c.run(startOf("a", born+1), other, nil, brokenOff)
			time.Sleep(time.Millisecond)
			c.run(startOf("b", 1), other, ranToTheEnd, nil)
			time.Sleep(time.Millisecond)
			c.run(startOf("a", born+1), crashing, nil, brokenOff)
			c.run(startOf("b", 1), crashing, notRun, nil) // A target that refuses it shows nothing.
		}
		is.True(c.refused(crashing))
		is.True(!c.refused(other))
	})
}

func TestRequestThatWasNotSentIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for _, id := range []string{"a", "b", "c", "d"} {
			c.run(startOf(id, 1), crashing, nil, notSent)
			c.directory.Put(startOf(id, 1))
			c.watch.begin(startOf(id, 1), crashing)
			c.watch.end(startOf(id, 1), crashing, nil, brokenOff, true) // The caller has left.
		}
		time.Sleep(2 * DefaultEntryDelay)
		synctest.Wait()
		is.Equal(c.dials, 0)
		is.Equal(len(c.tracker.Snapshot().Suspects), 0)
	})
}

// A crash ends the requests of others at the target as well. They must not be refused for it.
func TestOthersAtTheTargetsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for i, id := range []string{"a", "b", "c", "d"} {
			target := startOf(id, 1)
			bystander := quarantine.Fingerprint{100 + byte(i)}
			c.watch.begin(target, bystander)
			c.run(target, crashing, nil, brokenOff)
			c.watch.end(target, bystander, nil, brokenOff, false)
			c.awaitProbe()
			is.True(!c.refused(bystander))
		}
		is.True(c.refused(crashing))
	})
}

// The caller left, or its time was over, before the target fell silent for good.
func TestCrashShowsAfterThisVMEndedTheExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for _, id := range []string{"a", "b", "c"} {
			c.directory.Put(startOf(id, 1))
			c.watch.begin(startOf(id, 1), crashing)
			c.watch.end(startOf(id, 1), crashing, nil, noAnswer, true)
			time.Sleep(DefaultEntryDelay - time.Millisecond)
			is.True(!c.refused(crashing))
			c.directory.Remove(id)
		}
		is.True(c.refused(crashing))
		is.Equal(c.dials, 0)
	})
}

// A new process accepted connections at the address of a crashed target, which cleared it.
func TestProcessAtTheSameAddressDoesNotHideACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		c.dialErr = nil
		for _, id := range []string{"a", "b", "c"} {
			c.run(startOf(id, 1), crashing, nil, brokenOff)
			is.True(!c.refused(crashing))
			c.directory.Put(startOf(id, 2))
		}
		is.True(c.refused(crashing))
	})
}

// The address of a crashed target is another's at once, while the entry is still there.
func TestAnotherTargetAtTheAddressShowsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		c.dialErr = nil
		for _, id := range []string{"a", "b", "c"} {
			c.run(startOf(id, 1), crashing, nil, brokenOff)
			is.True(!c.refused(crashing))
			c.run(startOf(id, 1), other, &upstream.Answer{Status: 421, NotRun: true, OtherTarget: true}, nil)
		}
		is.True(c.refused(crashing))
		is.True(!c.refused(other))
	})
}

// An idle connection that had not noticed the crash yet stopped the probe.
func TestConnectionsThatCloseLaterDoNotHideACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for _, id := range []string{"a", "b", "c"} {
			c.connected.Store(true)
			c.directory.Put(startOf(id, 1))
			c.watch.begin(startOf(id, 1), crashing)
			c.watch.end(startOf(id, 1), crashing, nil, brokenOff, false)
			time.Sleep(probeDelay / 2)
			c.connected.Store(false)
			c.awaitProbe()
		}
		is.True(c.refused(crashing))
	})
}

// A target that leaves as announced ends its connections and its entry too.
func TestTargetThatLeavesHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		for _, id := range []string{"a", "b", "c", "d"} {
			c.dialErr = context.DeadlineExceeded
			c.run(startOf(id, 1), other, nil, brokenOff)
			leaving := startOf(id, 1)
			leaving.State = fleet.Draining
			c.directory.Put(leaving)
			c.dialErr = syscall.ECONNREFUSED
			c.run(leaving, other, nil, brokenOff) // It has closed its address.
			c.directory.Remove(id)
			c.run(leaving, other, nil, notSent)
			c.watch.end(startOf(id, 1), other, nil, brokenOff, false) // It is no longer listed.
			c.awaitProbe()
		}
		is.Equal(len(c.tracker.Snapshot().Suspects), 0)
	})
}

// The table of owners named targets before their entries had arrived.
func TestTargetThatIsNotListedYetHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		c.dialErr = nil
		for _, id := range []string{"a", "b", "c", "d"} {
			c.watch.begin(startOf(id, 1), other)
			c.watch.end(startOf(id, 1), other, nil, brokenOff, false)
			c.awaitProbe()
			c.directory.Put(startOf(id, 1))
		}
		time.Sleep(2 * DefaultEntryDelay)
		is.Equal(len(c.tracker.Snapshot().Suspects), 0)
	})
}

// The store is away for longer than an entry takes to show a crash.
func TestDoubtOutlastsAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newCrashTest()
		c.dialErr = context.DeadlineExceeded
		for _, id := range []string{"a", "b", "c"} {
			c.run(startOf(id, 1), crashing, nil, brokenOff)
			c.directory.StoreLost()
			time.Sleep(2 * DefaultEntryDelay)
			c.directory.StoreRestored()
			c.directory.Put(startOf(id, 2))
		}
		is.True(c.refused(crashing))
	})
}
