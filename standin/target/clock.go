package target

import (
	"sync"
	"time"

	"github.com/basiltally/basiltally/target"
)

// clock is the monotonic clock of one incarnation. It can stop during a freeze.
type clock struct {
	incarnation uint64
	start       time.Time

	mu        sync.Mutex
	stopped   bool
	stoppedAt time.Duration
	// lost is the time that passed while the clock was stopped.
	lost time.Duration
}

func newClock(incarnation uint64) *clock {
	return &clock{incarnation: incarnation, start: time.Now()}
}

// read returns the current reading; it is never zero.
func (c *clock) read() target.ClockReading {
	return target.ClockReading{Incarnation: c.incarnation, Nanos: c.nanos()}
}

func (c *clock) nanos() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.start)
	if c.stopped {
		elapsed = c.stoppedAt
	}
	return int64(elapsed-c.lost) + 1
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
	c.lost += time.Since(c.start) - c.stoppedAt
}
