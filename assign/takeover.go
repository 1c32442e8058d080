package assign

import (
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

const (
	// queryTimeout is the longest wait for the answers to a query.
	queryTimeout = 150 * time.Millisecond
	// gatherTimeout is the longest wait for support, and for the registration of a round.
	gatherTimeout = 200 * time.Millisecond
	// minRereadInterval is the shortest time between two reads that are started because a
	// supporter knows a newer record.
	minRereadInterval = time.Second
	// retryPause is the pause after a failed attempt.
	retryPause = 50 * time.Millisecond
	// maxFailures is the number of failures up to which the pause after an attempt without a
	// majority grows.
	maxFailures = 3
	// handoverPollInterval is the interval at which a named successor checks whether the
	// support has been released to it.
	handoverPollInterval = 15 * time.Millisecond
	// handoverTimeout is how long a named successor waits for that release.
	handoverTimeout = 2 * time.Second
)

// inheritedLeases describes earlier leases that may still run although a majority supports
// this VM: those of an assigner that handed over, this VM's own from before it lost its
// support, or those before a forced take-over. In every other case the supporters' promises
// have outlasted earlier leases.
type inheritedLeases struct {
	// until is the latest instant at which such a lease may end.
	until time.Duration
	// view is the assignment in force when granting stopped.
	view *ownership.View
	// successorUntil is until when this VM, as named successor, waits for the release.
	successorUntil time.Duration
}

// checkSupport steps down if the majority support has ended.
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

// stepDown returns to following, or completes a planned stop. It records in c.inherited the
// leases that this VM has granted.
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

// follow enters following. The next check whether this VM can take over is after the given
// time, later by Options.Stagger per position in the candidate list, or after
// handoverPollInterval if this VM is a named successor.
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

// runFollowing queries the VM's own supporter, which knows whether another VM holds its
// support.
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
		// The pause grows with the failures, and more for less preferred candidates, so that
		// two candidates do not split the supporters repeatedly.
		c.failures = min(c.failures+1, maxFailures)
		c.follow(retryPause + time.Duration(c.failures)*c.stagger())
		return
	}
	c.renewSupport()
}

// renewSupport requests support again when that is due.
func (c *Core) renewSupport() {
	if c.now >= c.supportAt {
		c.requestSupport()
	}
}

// requestSupport requests support from all candidates in the term and round of this Core. It
// requests trial promises until the term and round are being registered.
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

// sendSupportRequest fills in the fields that all requests have in common and sends the
// request.
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

// supporterIsAhead reports whether a supporter knows a higher term or candidate list version
// than the newest record known here.
func (c *Core) supporterIsAhead(r lease.SupportReply) bool {
	newest := c.known.newest
	return newest != nil && (r.CandidatesVersion > newest.CandidatesVersion || r.Term > newest.Term)
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
		c.wouldSupport[ev.From] = true
		if len(c.wouldSupport) > len(c.candidates())/2 {
			c.gather()
		}
	}
}

// ownSupporterAnswered starts an attempt to take over if this VM's own supporter would
// promise support; otherwise it schedules the next check.
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

// query asks all candidates whether they would promise support, so that an attempt that
// cannot succeed binds no supporter. At the same time it reads the targets' clocks, so that
// the readings precede the promises of the registration.
func (c *Core) query() {
	c.phase = querying
	c.phaseEnd = c.now + queryTimeout
	if c.isSuccessor() {
		c.phaseEnd = c.now + 4*handoverPollInterval
	}
	c.wouldSupport = make(map[ownership.VMID]bool)
	c.assigner = newAssigner(c)
	c.assigner.readClocks(c)
	for _, vm := range c.candidates() {
		c.sendSupportRequest(vm, lease.SupportRequest{Query: true})
	}
}

// gather requests trial promises of support from all candidates.
func (c *Core) gather() {
	c.phase = gathering
	c.phaseEnd = c.now + gatherTimeout
	c.term, c.round = 0, 0
	c.support = lease.NewSupport(lease.TrialTime(c.opts.Support), c.opts.RateMargin, c.candidates())
	c.registered = nil
	c.requestSupport()
}

// checkGathered continues the take-over once a majority supports this VM: a named successor
// registers a new round, every other VM first takes over the record in the store.
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

// highestTerm returns the highest term seen, at least 1. A take-over without the store
// continues in it.
func (c *Core) highestTerm() uint64 { return max(c.known.term, 1) }

// nextRound returns a round of the highest term that is higher than every round seen and
// that no other candidate uses.
func (c *Core) nextRound() uint32 {
	round := uint32(0)
	if c.known.term == c.highestTerm() {
		round = c.known.round
	}
	return (round/roundStep+1)*roundStep + uint32(max(c.candidateIndex(), 0))
}

// register requests support in the given term and round. A majority of the supporters has to
// record them before any slot is granted in them.
func (c *Core) register(term uint64, round uint32) {
	c.term, c.round = term, round
	c.known.raiseRound(term, round)
	c.token = ownership.Token{Term: term, Seq: uint64(round) << roundShift}
	c.registered = lease.NewSupport(c.opts.Support, c.opts.RateMargin, c.candidates())
	c.phase = registering
	c.phaseEnd = c.now + gatherTimeout
	c.requestSupport()
}

// registrationAnswered counts a promise if it was given for exactly this term and round. If
// the supporter knows a higher term or round, it registers a still higher one.
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

// changeTerm registers a higher term that this VM has written to the store.
func (c *Core) changeTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.phase == registering || c.phase == assigning {
		c.register(term, 0)
	}
}

// recordNamesSelf reports whether the store's record names this process as assigner.
func (c *Core) recordNamesSelf() bool {
	rec := c.known.inStore
	return rec != nil && rec.Assigner == c.opts.Self && rec.Incarnation == c.opts.Incarnation
}

// updateCandidates applies a changed candidate list to the promises received.
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
