package daemon

import (
	"slices"
	"sync"
	"time"
)

// vmCountHold is how long a higher number of VMs stays in force after a lower one was
// received. At a take-over the assigner counts the VMs anew, as they connect to it. Shares of
// what all VMs together may send must not add up to more meanwhile.
const vmCountHold = 10 * time.Second

// vmCount is the number of VMs that share the targets: the highest of the last vmCountHold. It
// is safe for concurrent use.
type vmCount struct {
	mu sync.Mutex
	// latest is the number received last.
	latest int
	// held has earlier numbers that are higher, with the instants until which they hold.
	held []heldCount
}

type heldCount struct {
	n     int
	until time.Time
}

// set records the number that was received at the instant now.
func (c *vmCount) set(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest > n {
		c.held = append(c.held, heldCount{c.latest, now.Add(vmCountHold)})
	}
	c.held = slices.DeleteFunc(c.held, func(h heldCount) bool { return h.n <= n || !now.Before(h.until) })
	c.latest = n
}

// get returns the number in force at the instant now; zero if none was received yet.
func (c *vmCount) get(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.latest
	for _, h := range c.held {
		if now.Before(h.until) {
			n = max(n, h.n)
		}
	}
	return n
}
