package target

import (
	"time"

	"github.com/basiltally/basiltally/target"
)

// clock is the monotonic clock of one incarnation.
type clock struct {
	incarnation uint64
	start       time.Time
}

func newClock(incarnation uint64) *clock {
	return &clock{incarnation: incarnation, start: time.Now()}
}

// read returns the current reading; it is never zero.
func (c *clock) read() target.Clock {
	return target.Clock{Incarnation: c.incarnation, Nanos: c.nanos()}
}

func (c *clock) nanos() int64 { return int64(time.Since(c.start)) + 1 }
