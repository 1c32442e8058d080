package soak

import (
	"fmt"
	"sync"
	"time"
)

// judge keeps what targets and callers have seen, and the promises that were broken.
// It implements the observer of the stand-in targets.
type checker struct {
	mu     sync.Mutex
	broken []string
	// holds are the ranges that targets hold, by target.
	holds map[string][]heldRange
	// fences is the highest token by which each part of the keys was granted.
	highestTokens [keyParts]tokenHolder
	// runs counts the runs of each request.
	runs map[string]int
	// refused are the at-most-once requests that were said not to have run.
	refused map[string]string
	// thawedAt is when a process last woke: its orders may be late by thawSlack.
	lateCallsAt time.Time
	// gone maps targets that leave to the instant at which the store took the notice.
	leavingAt map[string]time.Time
	// own counts the soak's own requests.
	probes int
}

type heldRange struct {
	from, to uint16
	until    time.Time
}

type tokenHolder struct {
	target string
	fence  uint64
}

const (
	// keyParts is the number of parts of the key space whose tokens are followed.
	keyParts = 256
	// thawSlack is how late after its thaw a process may send an order.
	lateCallSlack = 300 * time.Millisecond
)

func newChecker() *checker {
	return &checker{holds: map[string][]heldRange{}, runs: map[string]int{}, refused: map[string]string{}, leavingAt: map[string]time.Time{}}
}

func (c *checker) reportBroken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportBrokenLocked(format, args...)
}

func (c *checker) reportBrokenLocked(format string, args ...any) {
	c.broken = append(c.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Ran implements platform.Observer.
func (c *checker) Ran(target, id string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if isAtMostOnce(id) && c.runs[id] > 1 {
		c.reportBrokenLocked("at most once: %s ran again at %s", id, target)
	}
	if _, keyed := c.holds[target]; !keyed || time.Since(c.lateCallsAt) < lateCallSlack {
		return
	}
	for other, ranges := range c.holds {
		if other == target {
			continue
		}
		for _, h := range ranges {
			if h.from <= key && key <= h.to && time.Now().Before(h.until) {
				c.reportBrokenLocked("one owner: %s ran %s for key %d that %s holds for %s", target, id, key, other, time.Until(h.until))
			}
		}
	}
}

// Granted implements platform.Observer.
func (c *checker) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeHeldLocked(target, from, to)
	c.holds[target] = append(c.holds[target], heldRange{from, to, until})
	for part := int(from) * keyParts >> 16; part <= int(to)*keyParts>>16; part++ {
		if first := uint16(part << 16 / keyParts); first < from || first > to {
			continue // The part's first key stands for it.
		}
		f := &c.highestTokens[part]
		if f.target != target && fence <= f.fence {
			c.reportBrokenLocked("rising tokens: %s took part %d with %d after %s had %d", target, part, fence, f.target, f.fence)
		}
		if fence >= f.fence {
			*f = tokenHolder{target, fence}
		}
	}
}

// Released implements platform.Observer.
func (c *checker) Released(target string, from, to uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeHeldLocked(target, from, to)
}

// cutLocked takes the keys out of what the target holds.
func (c *checker) removeHeldLocked(target string, from, to uint16) {
	var kept []heldRange
	for _, h := range c.holds[target] {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, heldRange{h.from, from - 1, h.until})
		}
		if h.to > to {
			kept = append(kept, heldRange{to + 1, h.to, h.until})
		}
	}
	c.holds[target] = kept
}

// restarted forgets what an earlier life of the target held.
func (c *checker) forgetHeld(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, keyed := c.holds[target]; keyed {
		c.holds[target] = nil
	}
}

func (c *checker) noteLateCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateCallsAt = time.Now()
}

// leaves notes that the store has taken a target's notice, or that it is back.
func (c *checker) noteLeaving(target string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leavingAt, target)
	if leaving {
		c.leavingAt[target] = time.Now()
	}
}

// leftAt returns when the store took the target's notice.
func (c *checker) leavingSince(target string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.leavingAt[target]
	return at, ok
}

// said notes that an at-most-once request was refused as not run.
func (c *checker) noteRefusal(id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = answer
}

// nextID numbers the soak's own requests.
func (c *checker) nextProbe() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes++
	return c.probes
}

func (c *checker) ran(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id] > 0
}

// verdict checks what can only be told at the end, and returns what was broken.
func (c *checker) finalCheck() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, answer := range c.refused {
		if c.runs[id] > 0 {
			c.reportBrokenLocked("truthful refusals: %s ran, and was answered %s", id, answer)
		}
	}
	return c.broken
}
