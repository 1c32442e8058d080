package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// checker records what targets and callers observe, and the broken promises that follow
// from it. It implements platform.Observer.
type checker struct {
	mu sync.Mutex
	// broken lists the broken promises found so far.
	broken []string
	// holds are the key ranges that targets hold, by target id.
	holds map[string][]heldRange
	// working are the requests that run at targets with keys.
	working []*workingRequest
	// highestTokens is the highest fencing token with which each part of the keys was granted.
	highestTokens [keyParts]tokenHolder
	// runs counts the runs of each request, by request id.
	runs map[string]int
	// refused maps the ids of at-most-once requests whose answer said that they were not
	// run to that answer.
	refused map[string]string
	// lateCallsAt is when a frozen process last resumed or a link fault last ended. Grants,
	// releases and requests may arrive late for lateCallSlack after it.
	lateCallsAt time.Time
	// leavingAt maps each leaving target to the instant at which its leaving notice was stored.
	leavingAt map[string]time.Time
	// sent maps the ids of requests to when they were sent.
	sent map[string]time.Time
	// probes counts the soak's own requests.
	probes int
}

// heldRange is a range of keys that a target holds until an instant.
type heldRange struct {
	from, to uint16
	until    time.Time
}

// workingRequest is a request that has begun to run at a target and has not ended.
type workingRequest struct {
	target, id string
	key        uint16
	// until is the end of the hold under which it runs, as if that were not released.
	until time.Time
	// reported is set once its key was given on.
	reported bool
}

// tokenHolder is a target and the fencing token that it was granted.
type tokenHolder struct {
	target string
	fence  uint64
}

const (
	// keyParts is the number of equal parts of the key space whose tokens are checked.
	keyParts = 256
	// lateCallSlack is how long after lateCallsAt calls sent earlier may still arrive.
	lateCallSlack = 300 * time.Millisecond
)

func newChecker() *checker {
	return &checker{holds: map[string][]heldRange{}, runs: map[string]int{}, refused: map[string]string{}, leavingAt: map[string]time.Time{}, sent: map[string]time.Time{}}
}

// reportBroken records a broken promise with the time of day.
func (c *checker) reportBroken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportBrokenLocked(format, args...)
}

func (c *checker) reportBrokenLocked(format string, args ...any) {
	c.broken = append(c.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Ran implements platform.Observer. It checks that at-most-once requests run once, and
// that no other target holds the key of a request.
func (c *checker) Ran(target, id string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if isBrokenOff(id) {
		c.reportBrokenLocked("whole requests: %s ran at %s although its caller broke it off", id, target)
	}
	if isAtMostOnce(id) && c.runs[id] > 1 {
		c.reportBrokenLocked("at most once: %s ran again at %s", id, target)
	}
	if ranges, keyed := c.holds[target]; keyed {
		w := &workingRequest{target: target, id: id, key: key}
		for _, h := range ranges {
			if h.from <= key && key <= h.to && h.until.After(w.until) {
				w.until = h.until
			}
		}
		c.working = append(c.working, w)
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
				c.reportBrokenLocked("one owner: %s ran %s for key %d, which %s holds for another %s", target, id, key, other, time.Until(h.until))
			}
		}
	}
}

// Ended implements platform.Observer.
func (c *checker) Ended(target, id string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.working, func(w *workingRequest) bool { return w.target == target && w.id == id && w.key == key })
	if i >= 0 {
		c.working = slices.Delete(c.working, i, i+1)
	}
}

// checkGivenOnLocked checks that no other target works on the keys that a target is granted, before the hold under which it works
// would have run out.
func (c *checker) checkGivenOnLocked(target string, from, to uint16, fence uint64, until time.Time) {
	excused := time.Since(c.lateCallsAt) < lateCallSlack
	for _, w := range c.working {
		if w.key < from || to < w.key {
			continue
		}
		if w.target == target {
			if until.After(w.until) {
				w.until = until
			}
			continue
		}
		if left := time.Until(w.until); left > 0 && !excused && !w.reported {
			w.reported = true
			c.reportBrokenLocked("given on: %s was granted the keys %d to %d with token %d while %s worked on %s for key %d, whose hold would last another %s",
				target, from, to, fence, w.target, w.id, w.key, left)
		}
	}
}

// Granted implements platform.Observer. It checks that a part of the keys moves to another
// target only with a higher fencing token, and not while that one works on it.
func (c *checker) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkGivenOnLocked(target, from, to, fence, until)
	// A later grant ends no earlier one.
	now := time.Now()
	c.holds[target] = slices.DeleteFunc(c.holds[target], func(h heldRange) bool { return !now.Before(h.until) })
	c.holds[target] = append(c.holds[target], heldRange{from, to, until})
	for part := int(from) * keyParts >> 16; part <= int(to)*keyParts>>16; part++ {
		if first := uint16(part << 16 / keyParts); first < from || first > to {
			continue // Only the first key of a part is checked.
		}
		f := &c.highestTokens[part]
		if f.target != target && fence <= f.fence {
			c.reportBrokenLocked("rising tokens: %s was granted key part %d with token %d after %s had token %d", target, part, fence, f.target, f.fence)
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

// removeHeldLocked removes the keys from the ranges that the target holds.
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

// clearHeld removes what a target held and worked on before it was restarted.
func (c *checker) clearHeld(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working = slices.DeleteFunc(c.working, func(w *workingRequest) bool { return w.target == target })
	if _, keyed := c.holds[target]; keyed {
		c.holds[target] = nil
	}
}

// noteLateCalls records that calls sent earlier may arrive late from now on.
func (c *checker) noteLateCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateCallsAt = time.Now()
}

// noteLeaving records that a target's leaving notice was stored, or that its notice that it
// is ready again was stored.
func (c *checker) noteLeaving(target string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leavingAt, target)
	if leaving {
		c.leavingAt[target] = time.Now()
	}
}

// leavingSince returns when the target's leaving notice was stored, and whether it is leaving.
func (c *checker) leavingSince(target string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.leavingAt[target]
	return at, ok
}

// noteSent records that a caller sends a request now.
func (c *checker) noteSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = time.Now()
}

// sentAt returns when a caller sent the request; zero if no caller did.
func (c *checker) sentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// noteRefusal records that the answer to an at-most-once request said that it was not run.
func (c *checker) noteRefusal(id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = answer
}

// nextProbe returns the number of the soak's next own request, counted from 1.
func (c *checker) nextProbe() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes++
	return c.probes
}

// ran reports whether a target has run the request.
func (c *checker) ran(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id] > 0
}

// finalCheck checks the promises that can only be checked at the end, and returns all
// broken promises.
func (c *checker) finalCheck() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, answer := range c.refused {
		if c.runs[id] > 0 {
			c.reportBrokenLocked("truthful refusals: %s ran, but its answer said that it was not run: %s", id, answer)
		}
	}
	return c.broken
}
