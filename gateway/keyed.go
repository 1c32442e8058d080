package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/basiltally/basiltally/admission"
	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/upstream"
	"github.com/basiltally/basiltally/warmup"
)

// serveKeyed sends the request to the owner of its key. While the key has no owner, the
// request waits for one, or is refused at once if that is known to take too long.
func (g *Gateway) serveKeyed(c *call) (*upstream.Answer, *result.Error) {
	waitUntil := time.Now().Add(time.Duration(float64(c.timeLeft()) * ownerWaitShare))
	for ownerRetries := 0; ; {
		if blocked, e := g.quarantined(c); blocked {
			return nil, e
		}
		if blocked, e := g.unplaced(c); blocked {
			return nil, e
		}
		changed := g.opts.Shards.Changed()
		if e := g.checkKeyPlace(c, c.service.Name, c.key, g.placement(c, true)); e != nil {
			if c.mayHaveRun {
				return nil, g.failure(c)
			}
			return nil, e
		}
		entry, e := g.ownerEntry(c, waitUntil)
		if e != nil {
			return nil, e
		}
		if entry == nil {
			if !g.awaitTable(c, changed, waitUntil) {
				return nil, g.noOwner(c, 0)
			}
			continue
		}
		t := g.ownerTarget(c.service.Name, entry)
		if !c.drawnForShare && !c.mayHaveRun {
			c.drawnForShare = true
			if entry.Share > 0 && rand.Float64() >= g.hotKeyShare(c, float64(entry.Share)/shard.WholeShare) {
				return nil, g.noRoom(c, decisionHotKey, result.NoCapacity, hotKeyReturn,
					"the owner of the key, target %s, can serve %d of 1000 requests for it", t.ID, entry.Share)
			}
		}
		if v := g.opts.Eligibility.Decide(t.Incarnation()); !v.OK() {
			return nil, g.ineligible(c, t, v)
		}
		if !g.opts.Balancer.Reachable(t.ID) && !c.mayHaveRun {
			return nil, refusal(result.NoTarget, unreachableRetryAfter, "the owner of the key, target %s, cannot be reached", t.ID)
		}
		if candidate := g.newCandidate(t); !c.mayHaveRun && g.opts.Balancer.Full(&candidate) {
			g.opts.KeyCounter.ownerBusy(t.Slots)
			return nil, g.noRoom(c, decisionFull, result.TargetShed, g.estimate(t).Wait, "the owner of the key, target %s, is expected to have no room", t.ID)
		}
		if !g.opts.Balancer.BodyFits(t.ID, int64(len(c.req.Body))) {
			return nil, g.ownerBodiesFull(c, t)
		}
		if e := g.admit(c, t); e != nil {
			g.opts.KeyCounter.ownerBusy(t.Slots)
			return nil, e
		}
		c.cause = causeKey
		if c.attempts > 0 && !g.opts.Budget.AllowRetry(c.service.Name) {
			return nil, g.keyedFailure(c, t)
		}
		a, s := g.exchange(c, t)
		switch s {
		case stepDone:
			return a, nil
		case stepNoAnswer:
			return nil, g.failure(c)
		case stepBodiesFull:
			return nil, g.ownerBodiesFull(c, t)
		case stepIneligible:
			// The verdict is asked for again, with the table that is known now.
			continue
		case stepFull:
			g.opts.KeyCounter.ownerBusy(t.Slots)
			if !c.mayHaveRun {
				return nil, g.noRoom(c, decisionFull, result.TargetShed, g.estimate(t).Wait, "the owner of the key has no room for the request")
			}
		case stepNotOwner, stepUnreachable:
			ownerRetries++
			// Only a newer table can name another owner.
			if ownerRetries > maxOwnerRetries || !g.awaitTable(c, changed, earlier(waitUntil, time.Now().Add(newerTableWait))) {
				return nil, g.keyedFailure(c, t)
			}
		}
		if !c.mayRetry() {
			return nil, g.keyedFailure(c, t)
		}
	}
}

// ineligible returns the error for a request that must not be sent to the target, by the verdict.
func (g *Gateway) ineligible(c *call, t *fleet.Target, v eligibility.Verdict) *result.Error {
	if c.mayHaveRun {
		return g.failure(c)
	}
	switch v.Reason {
	case eligibility.RegionNotAllowed, eligibility.Evacuated:
		return g.misplaced(c, t, g.placement(c, c.service.Keyed), v)
	case eligibility.Limited:
		return refusal(result.NoCapacity, g.opts.Eligibility.PromiseReturn(t.Incarnation(), v),
			"target %s has named a limit, of which the share of this VM is used up", t.ID)
	case eligibility.Cold:
		return refusal(result.NoCapacity, g.opts.Eligibility.PromiseReturn(t.Incarnation(), v),
			"target %s is cold, and the share of this VM of the requests that it may get is used up", t.ID)
	case eligibility.Paused:
		e := result.New(result.TargetShed, "target %s has asked for a pause of %d ms more", t.ID, v.RetryIn.Milliseconds())
		e.RetryAfter = v.RetryIn + rand.N(pauseReturnSpread)
		return e
	}
	return refusal(result.TargetLeaving, leavingRetryAfter, "the owner of the key, target %s, has been leaving for up to %d ms", t.ID, v.Since.Milliseconds())
}

// hotKeyReturn is the Retry-After time, before the random part, of requests for a key of which the
// owner can serve a share only. Keys are hot for some seconds.
const hotKeyReturn = 2 * time.Second

// pauseReturnSpread is the time over which callers return after the pause of a target.
const pauseReturnSpread = 500 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ownerEntry returns the table entry of the request's key if its owner holds the key. It
// returns nil if the request should wait for an owner, and an error if the wait that the
// table states goes beyond waitUntil.
func (g *Gateway) ownerEntry(c *call, waitUntil time.Time) (*shard.Entry, *result.Error) {
	table := g.opts.Shards.Table(c.service.Name)
	if table == nil {
		return nil, nil
	}
	c.tableVersion = table.Version
	entry := table.Find(c.key)
	if entry == nil {
		return nil, nil
	}
	if !entry.Held {
		if wait := table.WaitLeft(entry, boottime.Now()); wait > time.Until(waitUntil) {
			return nil, g.noOwner(c, wait)
		}
		return nil, nil
	}
	return entry, nil
}

// awaitTable waits until changed is closed, at most until the given instant. It returns false
// if no table changed by then or the caller has disconnected.
func (g *Gateway) awaitTable(c *call, changed <-chan struct{}, until time.Time) bool {
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

// noOwner returns the error for a request whose key has no owner. wait is the time until
// there should be one; zero if unknown.
func (g *Gateway) noOwner(c *call, wait time.Duration) *result.Error {
	if c.mayHaveRun {
		return g.failure(c)
	}
	return refusal(result.NoOwner, wait, "no target owns key %d", c.key)
}

// keyedFailure returns the error for a request that the owner t of its key did not serve.
func (g *Gateway) keyedFailure(c *call, t *fleet.Target) *result.Error {
	if c.mayHaveRun {
		return g.failure(c)
	}
	return refusal(result.StaleOwner, g.estimate(t).Wait, "target %s, the listed owner, did not accept the request for key %d", t.ID, c.key)
}

// requestKey returns the key that the request's header states.
func (g *Gateway) requestKey(c *call) (shard.Key, *result.Error) {
	key, err := strconv.ParseUint(string(c.req.Header.Peek(g.opts.Headers.Key)), 10, 16)
	if err != nil {
		return 0, result.New(result.BadRequest, "the key is missing or not a number from 0 to %d", shard.LastKey)
	}
	return shard.Key(key), nil
}

// ownerTarget returns the owner's entry in the directory. If the directory does not list the
// same incarnation, it returns a target made from the table entry.
func (g *Gateway) ownerTarget(service string, entry *shard.Entry) *fleet.Target {
	s := g.opts.Directory.Snapshot()
	known := s.ByID[entry.Owner.ID]
	if known != nil && known.Born == entry.Owner.Born {
		return known
	}
	t := &fleet.Target{ID: entry.Owner.ID, Service: service, Address: entry.Owner.Address, Born: entry.Owner.Born, Slots: 1}
	if (known == nil || known.Born < t.Born) && s.LeavingSince(t.Incarnation()).IsZero() {
		// It has started so lately that its entry has not arrived.
		g.opts.Eligibility.WarmUp().ObserveRestart(t, warmup.CauseStarted)
	}
	return t
}

// admit returns an error if the target is not expected to serve the request in time, and else
// nil. A request that may have run already is always admitted.
func (g *Gateway) admit(c *call, t *fleet.Target) *result.Error {
	if c.mayHaveRun {
		return nil
	}
	e := g.estimate(t)
	if g.opts.Overload != nil {
		return g.opts.Overload.decide(c, t, e)
	}
	ok, roomIn := admission.Decide(e, c.limits())
	if ok {
		return nil
	}
	return refusal(result.NoCapacity, roomIn, "target %s cannot answer in time: the expected wait in its queue is %d ms", t.ID, e.Wait.Milliseconds())
}

// estimate returns the expected time that a request takes at the target.
func (g *Gateway) estimate(t *fleet.Target) admission.Estimate {
	candidate := g.newCandidate(t)
	work, wait := g.opts.Balancer.Expected(&candidate)
	return admission.Estimate{Service: work, Wait: wait, RoundTrip: g.opts.Balancer.RoundTrip(&candidate)}
}
