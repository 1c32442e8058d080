package gateway

import (
	"context"
	"net"
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
	tracker *quarantine.Tracker
	watch   *CrashWatch
	// connected and dialErr are what a probe of any target finds.
	connected bool
	dialErr   error
	dials     int
}

func newCrashTest() *crashTest {
	c := &crashTest{tracker: quarantine.New(quarantine.Options{MinCrashes: 3}), dialErr: syscall.ECONNREFUSED}
	c.watch = NewCrashWatch(CrashWatchOptions{
		Tracker: c.tracker, Connected: func(string) bool { return c.connected },
		Dial: func(context.Context, string) (net.Conn, error) {
			c.dials++
			if c.dialErr != nil {
				return nil, c.dialErr
			}
			near, far := net.Pipe()
			far.Close()
			return near, nil
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

// run plays one exchange and what follows from it.
func (c *crashTest) run(t *fleet.Target, fp quarantine.Fingerprint, a *upstream.Answer, f *upstream.Failure) {
	c.watch.begin(t, fp)
	c.watch.end(t, fp, a, f, false)
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
					c.watch.Observe(&fleet.Snapshot{ByID: map[string]*fleet.Target{id: startOf(id, 1)}})
					is.True(!c.refused(crashing))
					next := &fleet.Snapshot{ByID: map[string]*fleet.Target{id: startOf(id, 2)}}
					if i == 1 { // Its entry is gone.
						next = &fleet.Snapshot{}
					}
					c.watch.Observe(next)
				}
				is.True(c.refused(crashing))
			})
		})
	}
}

func TestTargetThatRunsHasNotCrashed(t *testing.T) {
	for name, change := range map[string]func(*crashTest){
		"it accepts connections":         func(c *crashTest) { c.dialErr = nil },
		"another connection stays open":  func(c *crashTest) { c.connected = true },
		"it is out of reach, and stays ": func(c *crashTest) { c.dialErr = context.DeadlineExceeded },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newCrashTest()
				change(c)
				for _, id := range []string{"a", "b", "c", "d"} {
					c.run(startOf(id, 1), crashing, nil, brokenOff)
				}
				time.Sleep(doubtTime + time.Second)
				c.watch.Observe(&fleet.Snapshot{}) // Too late to have to do with it.
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
			c.watch.begin(startOf(id, 1), crashing)
			c.watch.end(startOf(id, 1), crashing, nil, brokenOff, true) // The caller has left.
		}
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
			synctest.Wait()
			is.True(!c.refused(bystander))
		}
		is.True(c.refused(crashing))
	})
}
