package assign

import (
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

const (
	// queryTime bounds the wait for answers to a query.
	queryTimeout = 150 * time.Millisecond
	// gatherTime bounds the wait for support, and for the registration of a round.
	gatherTimeout = 200 * time.Millisecond
	// readAgain is the least time between two reads because of what supporters know.
	minRereadInterval = time.Second
	// retryTime is the pause after an attempt that failed.
	retryPause = 50 * time.Millisecond
	// maxFailures limits the growth of the pause after divided support.
	maxFailures = 3
	// handoverPoll is the interval at which a named successor looks for its release.
	handoverPollInterval = 15 * time.Millisecond
	// handoverTime is how long a named successor looks for its release.
	handoverTimeout = 2 * time.Second
)

// inheritance is what an assigner knows of leases that were granted before it
// was supported by a majority that did not wait them out: those of a leaving
// assigner, or its own after a gap.
type inheritedLeases struct {
	// until is the end of the last such lease.
	until time.Duration
	// view is the assignment in force when granting stopped.
	view *ownership.View
	// successorUntil ends the time in which this VM looks for a release.
	successorUntil time.Duration
}

// checkSupport stops acting once the majority support has lapsed.
func (c *Core) checkSupport() {
	c.updateCandidates()
	switch c.phase {
	case takingOver:
		if !c.support.Held(c.now) {
			c.stepDown()
		}
	case assigning, handingOver:
		if !c.registered.Held(c.now) {
			c.stepDown()
		}
	}
}

// standDown returns to following and keeps an account of the leases granted.
func (c *Core) stepDown() {
	if c.assigner != nil && c.assigner.started {
		c.inherited.until = max(c.inherited.until, c.assigner.lastLeaseEnd())
		c.inherited.view = c.known.view
	}
	c.assigner = nil
	c.support = nil
	c.registered = nil
	if c.phase == handingOver {
		c.finishStop()
		return
	}
	c.follow(retryPause)
}

// follow waits for the given time, longer if less preferred, before it looks again.
func (c *Core) follow(wait time.Duration) {
	c.phase = following
	c.checkAt = c.now + wait + c.stagger()
	if c.isSuccessor() {
		c.checkAt = c.now + handoverPollInterval
	}
}

func (c *Core) stagger() time.Duration {
	return time.Duration(max(c.candidateIndex(), 0)) * c.opts.Stagger
}

func (c *Core) runPhase() {
	switch c.phase {
	case following:
		c.runFollowing()
	case querying:
		if c.now >= c.phaseEnd {
			c.assigner = nil
			c.follow(retryPause)
		}
	case gathering:
		c.runGathering()
	case takingOver:
		c.renewSupport()
		if c.now >= c.phaseEnd {
			c.register(c.highestTerm(), c.nextRound())
		}
	case registering:
		c.renewSupport()
		if c.now >= c.phaseEnd {
			c.stepDown()
		}
	case assigning:
		c.renewSupport()
	case handingOver:
		c.renewSupport()
		c.runHandover()
	}
}

// runFollowing asks the VM's own supporter whether another VM holds support.
func (c *Core) runFollowing() {
	if c.now < c.checkAt {
		return
	}
	c.checkAt = c.now + c.opts.Heartbeat
	if c.stop.stopping || c.candidateIndex() < 0 {
		return
	}
	c.sendSupportRequest(c.opts.Self, lease.SupportRequest{Query: true})
}

func (c *Core) runGathering() {
	if c.now >= c.phaseEnd {
		c.assigner = nil
		c.support = nil
		// Less preferred candidates give way more and more, so that two do not
		// divide the supporters again and again.
		c.failures = min(c.failures+1, maxFailures)
		c.follow(retryPause + time.Duration(c.failures)*c.stagger())
		return
	}
	c.renewSupport()
}

// heartbeatSupport renews the support at its interval.
func (c *Core) renewSupport() {
	if c.now >= c.supportAt {
		c.requestSupport()
	}
}

// askAll asks all candidates for support in the term and round of this Core.
func (c *Core) requestSupport() {
	req := lease.SupportRequest{Term: c.term, Round: c.round}
	c.supportAt = c.now + c.opts.Heartbeat
	if c.phase == gathering || c.phase == takingOver {
		req.Trial = true
		c.supportAt = c.now + lease.TrialTime(c.opts.Support)/2
	}
	for _, vm := range c.candidates() {
		c.sendSupportRequest(vm, req)
	}
}

// ask sends a support request and fills in what all requests have in common.
func (c *Core) sendSupportRequest(vm ownership.VMID, req lease.SupportRequest) {
	req.Group = c.opts.Group
	req.From = c.opts.Self
	req.Incarnation = c.opts.Incarnation
	req.CandidatesVersion = c.known.newest.CandidatesVersion
	c.emit(SendSupportRequest{To: vm, SentAt: c.now, Request: req})
}

func (c *Core) supportAnswered(ev SupportAnswered) {
	r := ev.Reply
	c.known.raiseRound(r.Term, r.Round)
	c.known.candidatesVersion = max(c.known.candidatesVersion, r.CandidatesVersion)
	c.reportedVersions[ev.From] = r.CandidatesVersion
	if c.supporterIsAhead(r) && c.now-c.store.readAt >= minRereadInterval {
		c.store.wantRead = true
	}
	if ev.Request.Query {
		c.queryAnswered(ev)
		return
	}
	if !r.Granted || c.support == nil {
		return
	}
	if ev.Request.Trial {
		c.support.AddPromise(ev.From, ev.SentAt)
	}
	switch c.phase {
	case gathering:
		c.checkGathered()
	case registering, assigning, handingOver:
		c.registrationAnswered(ev)
	}
}

// outdated reports whether a supporter knows more than the record at hand.
func (c *Core) supporterIsAhead(r lease.SupportReply) bool {
	best := c.known.newest
	return best != nil && (r.CandidatesVersion > best.CandidatesVersion || r.Term > best.Term)
}

func (c *Core) queryAnswered(ev SupportAnswered) {
	switch c.phase {
	case following:
		if ev.From != c.opts.Self || c.stop.stopping {
			return
		}
		c.ownSupporterAnswered(ev.Reply)
	case querying:
		if !ev.Reply.Granted {
			return
		}
		c.willing[ev.From] = true
		if len(c.willing) > len(c.candidates())/2 {
			c.gather()
		}
	}
}

// ownSupporterAnswered starts an attempt if nobody holds the support of this VM.
func (c *Core) ownSupporterAnswered(r lease.SupportReply) {
	switch {
	case r.Granted:
		c.query()
	case c.now < c.inherited.successorUntil:
		c.checkAt = c.now + handoverPollInterval
	case r.Remaining > 0:
		c.follow(r.Remaining)
	default:
		c.follow(c.opts.Heartbeat)
	}
}

// query asks all candidates whether they would give support, so that an
// attempt without prospects binds nobody. The targets' clocks are read
// meanwhile, so that the readings precede the promises of the registration.
func (c *Core) query() {
	c.phase = querying
	c.phaseEnd = c.now + queryTimeout
	if c.isSuccessor() {
		c.phaseEnd = c.now + 4*handoverPollInterval
	}
	c.willing = make(map[ownership.VMID]bool)
	c.assigner = newAssigner(c)
	c.assigner.readClocks(c)
	for _, vm := range c.candidates() {
		c.sendSupportRequest(vm, lease.SupportRequest{Query: true})
	}
}

// gather asks for support.
func (c *Core) gather() {
	c.phase = gathering
	c.phaseEnd = c.now + gatherTimeout
	c.term, c.round = 0, 0
	c.support = lease.NewSupport(lease.TrialTime(c.opts.Support), c.opts.RateMargin, c.candidates())
	c.registered = nil
	c.requestSupport()
}

// gathered goes on once a majority supports this VM.
func (c *Core) checkGathered() {
	if !c.support.Held(c.now) {
		return
	}
	if c.isSuccessor() {
		c.register(c.highestTerm(), c.nextRound())
		return
	}
	c.phase = takingOver
	c.phaseEnd = c.now + c.opts.StoreWait
	c.store.wantTakeOver = true
	c.store.wantRead = true
}

func (c *Core) isSuccessor() bool { return c.now < c.inherited.successorUntil }

// highestTerm returns the highest term seen; in-term failover goes on in it.
func (c *Core) highestTerm() uint64 { return max(c.known.term, 1) }

// nextRound returns a round of the highest term above every one seen, which no
// other candidate uses.
func (c *Core) nextRound() uint32 {
	round := uint32(0)
	if c.known.term == c.highestTerm() {
		round = c.known.round
	}
	return (round/roundStep+1)*roundStep + uint32(max(c.candidateIndex(), 0))
}

// register makes a majority of the supporters remember the term and round
// before any grant is made in it.
func (c *Core) register(term uint64, round uint32) {
	c.term, c.round = term, round
	c.known.raiseRound(term, round)
	c.token = ownership.Token{Term: term, Seq: uint64(round) << roundShift}
	c.registered = lease.NewSupport(c.opts.Support, c.opts.RateMargin, c.candidates())
	c.phase = registering
	c.phaseEnd = c.now + gatherTimeout
	c.requestSupport()
}

// registrationAnswered counts promises given for exactly this term and round by
// supporters that know no higher one.
func (c *Core) registrationAnswered(ev SupportAnswered) {
	r := ev.Reply
	if r.Term > c.term || (r.Term == c.term && r.Round > c.round) {
		if c.phase != handingOver {
			c.register(c.highestTerm(), c.nextRound())
		}
		return
	}
	if ev.Request.Term != c.term || ev.Request.Round != c.round {
		return
	}
	c.registered.AddPromise(ev.From, ev.SentAt)
	if c.phase == registering && c.registered.Held(c.now) {
		c.startAssigning()
	}
}

func (c *Core) startAssigning() {
	c.phase = assigning
	c.failures = 0
	c.inherited.successorUntil = 0
	if rec := c.known.inStore; rec != nil && rec.Term > c.term {
		c.store.wantRead = true
	}
	if !c.assigner.started {
		c.store.dirty = !c.recordNamesSelf()
		c.assigner.start(c)
		return
	}
	c.assigner.regrantAll(c)
}

// changeTerm goes on in a higher term that this VM has written to the store.
func (c *Core) changeTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.phase == registering || c.phase == assigning {
		c.register(term, 0)
	}
}

// recordIsMine reports whether the store's record names this process as assigner.
func (c *Core) recordNamesSelf() bool {
	rec := c.known.inStore
	return rec != nil && rec.Assigner == c.opts.Self && rec.Incarnation == c.opts.Incarnation
}

// followCandidates applies a new candidate list to the support held.
func (c *Core) updateCandidates() {
	if c.known.newest == nil || c.known.newest.CandidatesVersion == c.candidatesVersion {
		return
	}
	c.candidatesVersion = c.known.newest.CandidatesVersion
	for _, s := range []*lease.Support{c.support, c.registered} {
		if s != nil {
			s.SetCandidates(c.candidates())
		}
	}
}
