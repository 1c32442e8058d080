package target

import (
	"sync"
	"time"

	"github.com/basiltally/basiltally/target"
)

// clock is the monotonic clock of one incarnation. It can be stopped during a freeze.
type clock struct {
	incarnation uint64
	start       time.Time

	mu      sync.Mutex
	stopped bool
	// stoppedAt is the time from start to the current stop.
	stoppedAt time.Duration
	// stoppedFor is the total length of the stops that have ended.
	stoppedFor time.Duration
}

func newClock(incarnation uint64) *clock {
	return &clock{incarnation: incarnation, start: time.Now()}
}

// read returns the current reading, which is never zero.
func (c *clock) read() target.ClockReading {
	return target.ClockReading{Incarnation: c.incarnation, Nanos: c.nanos()}
}

// nanos returns the nanoseconds of the current reading, which are at least 1.
func (c *clock) nanos() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.start)
	if c.stopped {
		elapsed = c.stoppedAt
	}
	return int64(elapsed-c.stoppedFor) + 1
}

func (c *clock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	c.stoppedAt = time.Since(c.start)
}

func (c *clock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		return
	}
	c.stopped = false
	c.stoppedFor += time.Since(c.start) - c.stoppedAt
}
