package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPrefix begins the ids of the attempts of a request that crashes each target that begins to run it.
	crashingPrefix = "crashing-"
	// crashingPause is the longest pause between two of its attempts.
	crashingPause = 1500 * time.Millisecond
	// crashingDowntime is the longest time until a target that has crashed starts again.
	crashingDowntime = 1200 * time.Millisecond
	// knownAfter is the number of crashes from which on the request must be refused, and lateAllowed the number of
	// its attempts that may reach targets later than settleTime after that.
	knownAfter, lateAllowed = 3, 3
)

// crashingRequest is a request that crashes targets, with what it has done.
type crashingRequest struct {
	soak *soak
	busy map[int]*sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	crashes int
	knownAt time.Time
	late    int
}

// run sends the request to random nodes until the context ends.
func (c *crashingRequest) run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		node := int(c.draw(int64(len(c.soak.nodes))))
		sending.Go(func() {
			// Whether and how it is answered is of no matter.
			_, _ = c.soak.send(c.soak.nodes[node], fmt.Sprintf("%s%d-%d", crashingPrefix, node, n), "/free/crashing", 0)
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.draw(int64(crashingPause)))):
		}
	}
}

func (c *crashingRequest) draw(n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Int64N(n)
}

// ran crashes the target that has begun to run the request, unless a disturbance of the target is going on.
func (c *crashingRequest) ran(target, id string) {
	var node int
	if _, err := fmt.Sscanf(strings.TrimPrefix(id, crashingPrefix), "%d-", &node); err != nil {
		return
	}
	for i, t := range c.soak.targets {
		if t.id != target || !c.busy[i].TryLock() {
			continue
		}
		c.count(target, c.soak.nodes[node])
		downtime := time.Duration(c.draw(int64(crashingDowntime)))
		go func() {
			defer c.busy[i].Unlock()
			c.soak.restart(t, downtime)
		}()
	}
}

func (c *crashingRequest) count(target string, n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	now := time.Now()
	switch calm := now.Add(-settleTime); {
	case c.crashes == knownAfter:
		c.knownAt = now
	case c.crashes > knownAfter && now.Sub(c.knownAt) > settleTime && n.undisturbedSince(calm) && c.soak.storeUndisturbed(now):
		c.late++
	}
	c.soak.logf("the crashing request reaches %s from %s: crash %d, %d late", target, n.name, c.crashes, c.late)
	if c.late > lateAllowed {
		c.soak.checker.reportBroken("crashing requests: %s crashed under a request sent by %s, the %d. time later than %v after the third crash", target, n.name, c.late, settleTime)
	}
}
