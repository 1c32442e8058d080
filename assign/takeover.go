package assign

import (
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

const (
	// queryTime bounds the wait for answers to a query.
	queryTime = 150 * time.Millisecond
	// gatherTime bounds the wait for support, and for the registration of a round.
	gatherTime = 200 * time.Millisecond
	// readAgain is the least time between two reads because of what supporters know.
	readAgain = time.Second
	// retryTime is the pause after an attempt that failed.
	retryTime = 50 * time.Millisecond
	// maxFailures limits the growth of the pause after divided support.
	maxFailures = 3
	// handoverPoll is the interval at which a named successor looks for its release.
	handoverPoll = 15 * time.Millisecond
	// handoverTime is how long a named successor looks for its release.
	handoverTime = 2 * time.Second
)

// inheritance is what an assigner knows of leases that were granted before it
// was supported by a majority that did not wait them out: those of a leaving
// assigner, or its own after a gap.
type inheritance struct {
	// until is the end of the last such lease.
	until time.Duration
	// view is the assignment in force when granting stopped.
	view *ownership.View
	// successorUntil ends the time in which this VM looks for a release.
	successorUntil time.Duration
}

// checkSupport stops acting once the majority support has lapsed.
func (c *Core) checkSupport() {
	c.followCandidates()
	switch c.phase {
	case takingOver:
		if !c.support.Held(c.now) {
			c.standDown()
		}
	case leading, handingOver:
		if !c.registered.Held(c.now) {
			c.standDown()
		}
	}
}

// standDown returns to following and keeps an account of the leases granted.
func (c *Core) standDown() {
	if c.lead != nil && c.lead.started {
		c.inherited.until = max(c.inherited.until, c.lead.leaseEnd())
		c.inherited.view = c.known.view
	}
	c.lead = nil
	c.support = nil
	c.registered = nil
	if c.phase == handingOver {
		c.finishStop()
		return
	}
	c.follow(retryTime)
}

// follow waits for the given time, longer if less preferred, before it looks again.
func (c *Core) follow(wait time.Duration) {
	c.phase = following
	c.checkAt = c.now + wait + c.stagger()
	if c.isSuccessor() {
		c.checkAt = c.now + handoverPoll
	}
}

func (c *Core) stagger() time.Duration {
	return time.Duration(max(c.preference(), 0)) * c.opts.Stagger
}

func (c *Core) runPhase() {
	switch c.phase {
	case following:
		c.runFollowing()
	case querying:
		if c.now >= c.phaseEnd {
			c.lead = nil
			c.follow(retryTime)
		}
	case gathering:
		c.runGathering()
	case takingOver:
		c.heartbeatSupport()
		if c.now >= c.phaseEnd {
			c.register(c.highestTerm(), c.nextRound())
		}
	case registering:
		c.heartbeatSupport()
		if c.now >= c.phaseEnd {
			c.standDown()
		}
	case leading:
		c.heartbeatSupport()
	case handingOver:
		c.heartbeatSupport()
		c.runHandover()
	}
}

// runFollowing asks the VM's own supporter whether another VM holds support.
func (c *Core) runFollowing() {
	if c.now < c.checkAt {
		return
	}
	c.checkAt = c.now + c.opts.Heartbeat
	if c.stop.stopping || c.preference() < 0 {
		return
	}
	c.ask(c.opts.Self, lease.SupportRequest{Query: true})
}

func (c *Core) runGathering() {
	if c.now >= c.phaseEnd {
		c.lead = nil
		c.support = nil
		// Less preferred candidates give way more and more, so that two do not
		// divide the supporters again and again.
		c.failures = min(c.failures+1, maxFailures)
		c.follow(retryTime + time.Duration(c.failures)*c.stagger())
		return
	}
	c.heartbeatSupport()
}

// heartbeatSupport renews the support at its interval.
func (c *Core) heartbeatSupport() {
	if c.now >= c.supportAt {
		c.askAll()
	}
}

// askAll asks all candidates for support in the term and round of this Core.
func (c *Core) askAll() {
	req := lease.SupportRequest{Term: c.term, Round: c.round}
	c.supportAt = c.now + c.opts.Heartbeat
	if c.phase == gathering || c.phase == takingOver {
		req.Trial = true
		c.supportAt = c.now + lease.TrialTime(c.opts.Support)/2
	}
	for _, vm := range c.candidates() {
		c.ask(vm, req)
	}
}

// ask sends a support request and fills in what all requests have in common.
func (c *Core) ask(vm ownership.VMID, req lease.SupportRequest) {
	req.Group = c.opts.Group
	req.From = c.opts.Self
	req.Incarnation = c.opts.Incarnation
	req.CandidatesVersion = c.known.best.CandidatesVersion
	c.emit(SendSupportRequest{To: vm, SentAt: c.now, Request: req})
}

func (c *Core) supportAnswered(ev SupportAnswered) {
	r := ev.Reply
	c.known.raise(r.Term, r.Round)
	c.known.candidatesVersion = max(c.known.candidatesVersion, r.CandidatesVersion)
	c.knows[ev.From] = r.CandidatesVersion
	if c.outdated(r) && c.now-c.store.readAt >= readAgain {
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
		c.gathered()
	case registering, leading, handingOver:
		c.registrationAnswered(ev)
	}
}

// outdated reports whether a supporter knows more than the record at hand.
func (c *Core) outdated(r lease.SupportReply) bool {
	best := c.known.best
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
		c.checkAt = c.now + handoverPoll
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
	c.phaseEnd = c.now + queryTime
	if c.isSuccessor() {
		c.phaseEnd = c.now + 4*handoverPoll
	}
	c.willing = make(map[ownership.VMID]bool)
	c.lead = newLeader(c)
	c.lead.readClocks(c)
	for _, vm := range c.candidates() {
		c.ask(vm, lease.SupportRequest{Query: true})
	}
}

// gather asks for support.
func (c *Core) gather() {
	c.phase = gathering
	c.phaseEnd = c.now + gatherTime
	c.term, c.round = 0, 0
	c.support = lease.NewSupport(lease.TrialTime(c.opts.Support), c.opts.RateMargin, c.candidates())
	c.registered = nil
	c.askAll()
}

// gathered goes on once a majority supports this VM.
func (c *Core) gathered() {
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
	return (round/roundStep+1)*roundStep + uint32(max(c.preference(), 0))
}

// register makes a majority of the supporters remember the term and round
// before any grant is made in it.
func (c *Core) register(term uint64, round uint32) {
	c.term, c.round = term, round
	c.known.raise(term, round)
	c.token = ownership.Token{Term: term, Seq: uint64(round) << roundShift}
	c.registered = lease.NewSupport(c.opts.Support, c.opts.RateMargin, c.candidates())
	c.phase = registering
	c.phaseEnd = c.now + gatherTime
	c.askAll()
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
		c.startLeading()
	}
}

func (c *Core) startLeading() {
	c.phase = leading
	c.failures = 0
	c.inherited.successorUntil = 0
	if rec := c.known.inStore; rec != nil && rec.Term > c.term {
		c.store.wantRead = true
	}
	if !c.lead.started {
		c.store.dirty = !c.recordIsMine()
		c.lead.start(c)
		return
	}
	c.lead.reissue(c)
}

// changeTerm goes on in a higher term that this VM has written to the store.
func (c *Core) changeTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.phase == registering || c.phase == leading {
		c.register(term, 0)
	}
}

// recordIsMine reports whether the store's record names this process as assigner.
func (c *Core) recordIsMine() bool {
	rec := c.known.inStore
	return rec != nil && rec.Assigner == c.opts.Self && rec.Incarnation == c.opts.Incarnation
}

// followCandidates applies a new candidate list to the support held.
func (c *Core) followCandidates() {
	if c.known.best == nil || c.known.best.CandidatesVersion == c.candidatesVersion {
		return
	}
	c.candidatesVersion = c.known.best.CandidatesVersion
	for _, s := range []*lease.Support{c.support, c.registered} {
		if s != nil {
			s.SetCandidates(c.candidates())
		}
	}
}
