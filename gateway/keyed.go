package gateway

import (
	"time"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/upstream"
)

// serveKeyed sends the request to the owner of its key. While the key has none,
// the request waits if that is short, else it is refused at once.
func (g *Gateway) serveKeyed(c *call) (*upstream.Answer, *result.Error) {
	patience := time.Now().Add(time.Duration(float64(c.left()) * ownerWaitShare))
	for moved := 0; ; {
		changed := g.opts.Shards.Changed()
		entry, e := g.owner(c, patience)
		if e != nil {
			return nil, e
		}
		if entry == nil {
			if !g.await(c, changed, patience) {
				return nil, g.noOwner(c, 0)
			}
			continue
		}
		t := g.ownerTarget(entry)
		if !g.opts.Balancer.Reachable(t.ID) && !c.mayHaveRun {
			return nil, refusal(result.NoTarget, unreachableRetry, "the owner, target %s, cannot be reached", t.ID)
		}
		if e := g.admit(c, t); e != nil {
			return nil, e
		}
		if c.attempts > 0 && !g.opts.Budget.Repeat(c.service.Name) {
			return nil, g.keyedFailure(c, t)
		}
		a, s := g.exchange(c, t)
		switch s {
		case stepDone:
			return a, nil
		case stepOver:
			return nil, g.failure(c)
		case stepFull:
			if !c.mayHaveRun {
				return nil, refusal(result.TargetShed, g.estimate(t).Wait, "the owner has no room")
			}
		case stepMoved, stepUnreachable:
			moved++
			// Only a newer table can tell where to send it.
			if moved > maxMoved || !g.await(c, changed, earlier(patience, time.Now().Add(movedPause))) {
				return nil, g.keyedFailure(c, t)
			}
		}
		if !c.mayRepeat() {
			return nil, g.keyedFailure(c, t)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// owner returns the entry of the request's key if its owner holds it, or nil if
// the request is to wait for that.
func (g *Gateway) owner(c *call, patience time.Time) (*shard.Entry, *result.Error) {
	table := g.opts.Shards.Table(c.service.Name)
	if table == nil {
		return nil, nil
	}
	c.table = table.Version
	entry := table.Find(c.key)
	if entry == nil {
		return nil, nil
	}
	if !entry.Held {
		if entry.Wait > time.Until(patience) {
			return nil, g.noOwner(c, entry.Wait)
		}
		return nil, nil
	}
	return entry, nil
}

// await waits for a new table until the instant. It returns false if none came.
func (g *Gateway) await(c *call, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-c.ctx.Done():
		return false
	}
}

// noOwner refuses a request whose key has no owner for the time.
func (g *Gateway) noOwner(c *call, wait time.Duration) *result.Error {
	if c.mayHaveRun {
		return g.failure(c)
	}
	return refusal(result.NoOwner, wait, "no target owns key %d", c.key)
}

// keyedFailure is the result of a request that the owner did not serve.
func (g *Gateway) keyedFailure(c *call, t *fleet.Target) *result.Error {
	if c.mayHaveRun {
		return g.failure(c)
	}
	return refusal(result.StaleOwner, g.estimate(t).Wait, "target %s does not serve key %d", t.ID, c.key)
}

// ownerTarget returns the target of an entry, which the directory may not know.
func (g *Gateway) ownerTarget(entry *shard.Entry) *fleet.Target {
	if t := g.opts.Directory.Snapshot().ByID[entry.Owner.ID]; t != nil && t.Born == entry.Owner.Born {
		return t
	}
	return &fleet.Target{ID: entry.Owner.ID, Address: entry.Owner.Address, Born: entry.Owner.Born, Slots: 1}
}

// admit refuses a request that the target could not serve in time. One that may
// have run already is not refused.
func (g *Gateway) admit(c *call, t *fleet.Target) *result.Error {
	if c.mayHaveRun {
		return nil
	}
	e := g.estimate(t)
	ok, room := admission.Decide(e, admission.Request{
		Left: c.left(), TargetLeft: c.entry.LatencyTarget - time.Since(c.req.Received),
	})
	if ok {
		return nil
	}
	return refusal(result.NoCapacity, room, "target %s has a queue of %d ms", t.ID, e.Wait.Milliseconds())
}

// estimate is what a request would meet at the target.
func (g *Gateway) estimate(t *fleet.Target) admission.Estimate {
	s := site(t)
	work, wait := g.opts.Balancer.Expected(&s)
	return admission.Estimate{Service: work, Wait: wait, RoundTrip: g.opts.Balancer.RoundTrip(&s)}
}
