package shard

import (
	"cmp"
	"errors"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/basiltally/basiltally/store"
)

// LeaseOptions configures a LeaseManager. Instants are on a clock that does not stop
// while the VM is suspended.
type LeaseOptions struct {
	// LeaseDuration is the duration of a lease. Default 3 s. A range whose owner is lost
	// gets no other owner until its lease ends.
	LeaseDuration time.Duration
	// LongLeaseDuration is the duration of a lease while the store does not confirm the
	// assigner's role, so that owners keep their ranges when the role ends. Default 9 s.
	LongLeaseDuration time.Duration
	// RenewInterval is the interval between renewals. Default a third of LeaseDuration.
	RenewInterval time.Duration
	// ClockError is the share by which a target's clock may run slow. Default 0.02.
	ClockError float64
	// Margin is added to the longest time that a lease may last, for an order's transit
	// time and for rounding. Default 200 ms.
	Margin time.Duration
	// LinkWait is how long the orders of a silent assigner may wait in the link of its VM after their calls have ended.
	// Default 2 s.
	LinkWait time.Duration
	// OrderTimeout is the time limit of a grant. Default 800 ms. ReleaseTimeout is the time
	// limit of a release, which waits for running work. Default 2 s.
	OrderTimeout, ReleaseTimeout time.Duration
	// RetryPause is the pause after a failed order. Default 100 ms.
	RetryPause time.Duration
	Logger     *slog.Logger
}

func (o LeaseOptions) withDefaults() LeaseOptions {
	o.LeaseDuration = cmp.Or(o.LeaseDuration, 3*time.Second)
	o.LongLeaseDuration = max(cmp.Or(o.LongLeaseDuration, 9*time.Second), o.LeaseDuration)
	o.RenewInterval = cmp.Or(o.RenewInterval, o.LeaseDuration/3)
	o.ClockError = cmp.Or(o.ClockError, 0.02)
	o.Margin = cmp.Or(o.Margin, 200*time.Millisecond)
	o.LinkWait = cmp.Or(o.LinkWait, 2*time.Second)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, 800*time.Millisecond)
	o.ReleaseTimeout = cmp.Or(o.ReleaseTimeout, 2*time.Second)
	o.RetryPause = cmp.Or(o.RetryPause, 100*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// maxRenewalFailures is the number of consecutive unanswered renewals after which an
// owner counts as lost. Further renewals would only prolong a lease that no target can
// use.
const maxRenewalFailures = 2

// Order is a grant or a release to send to a target.
type Order struct {
	To   Holder
	Keys KeyRange
	// Fence is the order's fencing token.
	Fence uint64
	// Release is true for a release and false for a grant.
	Release bool
	// LeaseDuration is set for grants only.
	LeaseDuration time.Duration
	// Handover is what the former owner returned at its release. It is set for grants only.
	Handover string
	Timeout  time.Duration
	// DueAt is the instant at which the order became due, from which Timeout counts.
	DueAt time.Duration
}

// timeLeft returns what is left of the order's timeout. Without it, an order that leaves late could reach a later start of its
// target, which knows no tokens of the earlier one.
func (o Order) timeLeft(now time.Duration) time.Duration { return o.DueAt + o.Timeout - now }

// Result is the outcome of an order.
type Result struct {
	Order Order
	// Handover is what the target returned at a release.
	Handover string
	Err      error
	// Sent and Ended are the instants at which the order's call began and ended. Both are zero if there was no call.
	Sent, Ended time.Duration
}

// answered reports whether the target has answered the order.
func (r Result) answered() bool { return r.Err == nil || errors.Is(r.Err, ErrFenced) }

// rangeState is a range of the record with the state of its leases.
type rangeState struct {
	keys  KeyRange
	owner Holder
	// fence is the fencing token of the last grant that was sent.
	fence uint64
	// formerOwners may still hold the range.
	formerOwners []*formerOwner
	// held is set once the owner has confirmed a grant.
	held bool
	// bound tracks how long the owner may hold the range.
	bound leaseBound
	// handover is what the former owner returned at its release, for the next grant.
	handover string
	// inFlight is set while a grant to the owner is in flight.
	inFlight bool
	// next is the earliest instant of the next grant.
	next time.Duration
	// failures is the number of consecutive unanswered grants.
	failures int
	// lost is set if the owner does not answer renewals.
	lost bool
	// since is the instant at which the owner was chosen.
	since time.Duration
	// share is the share of the requests for a hot key that the owner can serve, in thousandths;
	// zero if all.
	share int
}

type formerOwner struct {
	holder Holder
	// fence is the highest fencing token with which this LeaseManager granted it the range.
	fence uint64
	bound leaseBound
	// inFlight is set while a release is in flight.
	inFlight bool
	// next is the earliest instant of the next release.
	next time.Duration
	// stillOwner is set until the proposal that makes it a former owner is written. Until
	// then it still gets grants, so an earlier release does not show that it holds nothing.
	stillOwner bool
}

// LeaseManager grants and renews the leases of the owners of one service's ranges, and
// carries out moves to other owners. It does no I/O: it returns orders and records, and
// is given their results. It is not safe for concurrent use.
type LeaseManager struct {
	opts      LeaseOptions
	term, seq uint64
	// nextFence is the fencing token of the next order. Tokens below reserved may be
	// used, since the record in the store marks them as taken.
	nextFence, reserved uint64
	ranges              []*rangeState
	// proposed holds the ranges of the proposal that is being written to the store, or is
	// nil.
	proposed []*rangeState
	// proposedReserved is the value of reserved once the proposal is written.
	proposedReserved uint64
	// tableOutdated is set if something changed since the last table.
	tableOutdated bool
	// recordOutdated is set if the record in the store names former owners that no longer
	// hold anything, or if the last record could not be written. A successor would wait for
	// these owners again.
	recordOutdated bool
	// storeOutage is set while the store does not confirm the assigner's role.
	storeOutage bool
	// predecessorUntil is the last instant at which calls of the orders of earlier assigners may be under way, and
	// predecessorArriveUntil the last one at which the orders may arrive.
	predecessorUntil, predecessorArriveUntil time.Duration
	// era is the present era of the store, and recordEra the one up to which the owners in the record are known.
	era, recordEra store.Era
	// distrusted are the targets that may hold any key, because the record came from an older copy of the store. While there are
	// any, nothing is granted.
	distrusted []*formerOwner
	// unknownHolders is set while further targets, which are not known, may hold any key by an order of an earlier assigner.
	unknownHolders bool
	// unanswered are the grants whose calls have ended without an answer, and which may still be on their way.
	unanswered []unansweredGrant
}

// unansweredGrant is a grant whose call ended without an answer.
type unansweredGrant struct {
	fence uint64
	ended time.Duration
}

// fenceReserve is the number of fencing tokens that one write of the record reserves. When half of them are
// used, the next write is due; the other half is enough for the renewals during any outage of the store.
const fenceReserve = 1 << 20

// firstFence returns the first fencing token of a term, given the term and the next token of the record. Each term since has reserved
// tokens, also if its record was lost with an earlier era of the store.
func firstFence(term, recordTerm, nextFence uint64) uint64 {
	if term <= recordTerm {
		return nextFence
	}
	return nextFence + (term-recordTerm-1)*fenceReserve
}

// NewLeaseManager returns a LeaseManager that takes over the record at the instant now.
// A nil record holds no ranges. The previous assigner may send orders until the instant
// predecessorUntil. Until then no order is due: a target that restarts would accept an order of the
// previous assigner, whose tokens are lower, after one of this LeaseManager. Before the first order,
// the record that Record returns must be written to the store, because it reserves the fencing tokens.
func NewLeaseManager(opts LeaseOptions, term uint64, r *Record, now, predecessorUntil time.Duration) *LeaseManager {
	lm := &LeaseManager{opts: opts.withDefaults(), term: term, tableOutdated: true}
	if r == nil {
		lm.nextFence = firstFence(term, 0, 1)
	} else {
		lm.nextFence = firstFence(term, r.Term, r.NextFence)
		lm.predecessorUntil = max(predecessorUntil, now)
		lm.predecessorArriveUntil = lm.predecessorUntil
		predecessorBound := lm.predecessorBound()
		for _, rr := range r.Ranges {
			s := &rangeState{keys: rr.Keys, owner: rr.Owner, bound: leaseBound{predecessor: predecessorBound}, since: now}
			for _, h := range rr.FormerOwners {
				s.formerOwners = append(s.formerOwners, &formerOwner{holder: h, bound: leaseBound{predecessor: predecessorBound}})
			}
			lm.ranges = append(lm.ranges, s)
		}
	}
	lm.reserved = lm.nextFence + fenceReserve
	return lm
}

// predecessorBound returns the last instant at which a target may hold a range by an order of the
// previous assigner.
func (lm *LeaseManager) predecessorBound() time.Duration {
	return lm.predecessorArriveUntil + lm.maxLease(lm.opts.LongLeaseDuration)
}

// BeginEra makes later records and tables those of a term and an era of the store. The next table is due.
func (lm *LeaseManager) BeginEra(term uint64, era store.Era) {
	lm.term, lm.era = term, era
	if !lm.isClearing() {
		lm.recordEra = era
	}
	lm.tableOutdated, lm.recordOutdated = true, true
}

// DistrustRecord is called after BeginEra and before the first order if the record comes from an older copy of the store, of the
// given era: since then, keys may have got other owners. Nothing is granted until the targets that may hold keys, which
// SetPossibleHolders states, have released all keys. Until then, records are made as of the earlier era.
func (lm *LeaseManager) DistrustRecord(recordEra store.Era) {
	lm.unknownHolders, lm.recordEra = true, recordEra
	for _, s := range lm.ranges {
		s.formerOwners = nil // They are among the holders.
	}
}

// SetPossibleHolders sets the targets that may hold any key after DistrustRecord, once the previous assigner no longer acts. Nothing is
// granted until each of them has confirmed to have released all keys, or can hold none by an order of an earlier assigner. If
// there may be others, that time is waited out.
func (lm *LeaseManager) SetPossibleHolders(holders []Holder, complete bool) {
	lm.unknownHolders = !complete
	for _, h := range holders {
		lm.distrusted = append(lm.distrusted, &formerOwner{holder: h})
	}
}

// isClearing reports whether targets may hold any key because of DistrustRecord.
func (lm *LeaseManager) isClearing() bool { return len(lm.distrusted) > 0 || lm.unknownHolders }

// dueClearing returns the releases that are due of the targets that may hold any key. It returns false if there are none any more.
func (lm *LeaseManager) dueClearing(now time.Duration) (orders []Order, active bool) {
	if now > lm.predecessorBound() {
		lm.distrusted, lm.unknownHolders = nil, false
	}
	if !lm.isClearing() {
		if lm.recordEra != lm.era {
			lm.recordEra, lm.recordOutdated = lm.era, true
		}
		return nil, false
	}
	for _, f := range lm.distrusted {
		if o, ok := lm.release(f, AllKeys, now); ok {
			orders = append(orders, o)
		}
	}
	return orders, true
}

// finishClearing records the result of the release of all keys by a target. It may own ranges again, with the state that it handed over.
func (lm *LeaseManager) finishClearing(r Result, now time.Duration) {
	i := slices.IndexFunc(lm.distrusted, func(f *formerOwner) bool { return sameTarget(f.holder, r.Order.To) })
	if i < 0 {
		return
	}
	f := lm.distrusted[i]
	f.inFlight, f.next = false, now+lm.opts.RetryPause
	if r.Err != nil || r.Order.Keys != AllKeys {
		return
	}
	lm.distrusted = slices.Delete(lm.distrusted, i, i+1)
	for _, s := range lm.ranges {
		if sameTarget(s.owner, f.holder) {
			s.handover, s.bound.predecessor = r.Handover, 0
		}
	}
}

// AllowLateOrders records that orders of earlier assigners may arrive until the instant, after their calls have ended. It is called
// before the first order.
func (lm *LeaseManager) AllowLateOrders(until time.Duration) {
	lm.predecessorArriveUntil = max(lm.predecessorArriveUntil, until)
	for _, s := range lm.ranges {
		s.bound.predecessor = lm.predecessorBound()
		for _, f := range s.formerOwners {
			f.bound.predecessor = lm.predecessorBound()
		}
	}
}

// LimitPredecessor records that no call of an order of an earlier assigner is under way after the instant until, and that none of these
// orders arrives after arriveUntil. For the previous assigner both are the same: what showed that it has stopped came behind its
// orders on its link.
func (lm *LeaseManager) LimitPredecessor(until, arriveUntil time.Duration) {
	if until >= lm.predecessorUntil {
		return
	}
	lm.predecessorUntil, lm.predecessorArriveUntil = until, max(until, min(arriveUntil, lm.predecessorArriveUntil))
	bound := lm.predecessorBound()
	for _, ranges := range [][]*rangeState{lm.ranges, lm.proposed} {
		for _, s := range ranges {
			s.bound.predecessor = min(s.bound.predecessor, bound)
			for _, f := range s.formerOwners {
				f.bound.predecessor = min(f.bound.predecessor, bound)
			}
		}
	}
}

// PredecessorActs reports whether orders of the previous assigner may still arrive.
func (lm *LeaseManager) PredecessorActs(now time.Duration) bool { return now < lm.predecessorUntil }

// maxLease returns the longest time that a lease of the given duration lasts after its
// order has ended, on the LeaseManager's clock.
func (lm *LeaseManager) maxLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+lm.opts.ClockError)) + lm.opts.Margin
}

// SetStoreOutage sets whether the store has stopped confirming the assigner's role. At
// the start of an outage, all leases become due for renewal at once, with the long
// duration.
func (lm *LeaseManager) SetStoreOutage(outage bool, now time.Duration) {
	if outage && !lm.storeOutage {
		lm.RenewNow(now, func(Holder) bool { return true })
	}
	lm.storeOutage = outage
}

// Record returns the record of the ranges that are in force, to be written to the store.
func (lm *LeaseManager) Record() *Record {
	lm.recordOutdated = false
	return lm.record(lm.ranges, lm.reserved)
}

// RecordOutdated reports whether the record in the store names former owners that no
// longer hold anything.
func (lm *LeaseManager) RecordOutdated() bool { return lm.recordOutdated }

func (lm *LeaseManager) record(ranges []*rangeState, reserved uint64) *Record {
	r := &Record{Term: lm.term, NextFence: reserved, Era: lm.recordEra}
	for _, s := range ranges {
		rr := RangeRecord{Keys: s.keys, Owner: s.owner}
		for _, f := range s.formerOwners {
			rr.FormerOwners = append(rr.FormerOwners, f.holder)
		}
		r.Ranges = append(r.Ranges, rr)
	}
	return r
}

// Move gives keys to another owner.
type Move struct {
	Keys KeyRange
	To   Holder
}

// Propose returns a record in which the moves are made, to be written to the store. The
// moves take effect when FinishProposal(true) is called. The record reserves further fencing tokens; if
// many are used, there may be no moves. Propose returns nil if there is nothing to propose, or while
// another proposal is being written.
func (lm *LeaseManager) Propose(moves []Move, now time.Duration) *Record {
	if lm.proposed != nil || len(moves) == 0 && lm.FencesLeft() > fenceReserve/2 {
		return nil
	}
	lm.proposedReserved = lm.nextFence + fenceReserve
	ranges := cloneRanges(lm.ranges)
	for _, m := range moves {
		ranges = lm.applyMove(ranges, m, now)
	}
	lm.proposed = lm.merge(ranges)
	return lm.record(lm.proposed, lm.proposedReserved)
}

// FinishProposal ends a proposal. If ok is true, the record was written and its moves
// take effect; otherwise they are dropped.
func (lm *LeaseManager) FinishProposal(ok bool) {
	if ok {
		lm.ranges = lm.proposed
		lm.reserved, lm.recordOutdated = lm.proposedReserved, false
		for _, s := range lm.ranges {
			for _, f := range s.formerOwners {
				f.stillOwner = false
			}
		}
		lm.tableOutdated = true
	}
	lm.proposed = nil
}

// Proposal returns the record of the proposal that is being written, to be written again.
func (lm *LeaseManager) Proposal() *Record { return lm.record(lm.proposed, lm.proposedReserved) }

// ProposalPending reports whether a proposal is being written to the store.
func (lm *LeaseManager) ProposalPending() bool { return lm.proposed != nil }

// cloneRanges returns a deep copy of the ranges, so that a failed proposal changes
// nothing.
func cloneRanges(ranges []*rangeState) []*rangeState {
	out := make([]*rangeState, len(ranges))
	for i, s := range ranges {
		out[i] = s.clone(s.keys)
	}
	return out
}

// clone returns a deep copy restricted to the keys.
func (s *rangeState) clone(keys KeyRange) *rangeState {
	c := *s
	c.keys = keys
	c.bound = s.bound.clone()
	c.formerOwners = make([]*formerOwner, len(s.formerOwners))
	for i, f := range s.formerOwners {
		fc := *f
		fc.bound = f.bound.clone()
		c.formerOwners[i] = &fc
	}
	return &c
}

// applyMove splits the ranges that the move overlaps and assigns the parts to the new
// owner. Keys of the move that had no owner become ranges of their own.
func (lm *LeaseManager) applyMove(ranges []*rangeState, m Move, now time.Duration) []*rangeState {
	var out []*rangeState
	rest := m.Keys
	done := false
	appendGap := func(upTo Key) {
		// The keys before upTo had no owner yet.
		if !done && rest.From < upTo {
			out = append(out, &rangeState{keys: KeyRange{rest.From, upTo - 1}, owner: m.To, since: now})
		}
	}
	for _, s := range ranges {
		if !s.keys.Overlaps(m.Keys) {
			if s.keys.From > m.Keys.To && !done {
				lm.appendUnowned(&out, rest, m.To, now)
				done = true
			}
			out = append(out, s)
			continue
		}
		part := s.keys.Overlap(m.Keys)
		if s.keys.From < part.From {
			out = append(out, s.clone(KeyRange{s.keys.From, part.From - 1}))
		}
		appendGap(part.From)
		out = append(out, lm.moved(s, part, m.To, now))
		if part.To == m.Keys.To {
			done = true
		} else {
			rest.From = part.To + 1
		}
		if s.keys.To > part.To {
			out = append(out, s.clone(KeyRange{part.To + 1, s.keys.To}))
		}
	}
	if !done {
		lm.appendUnowned(&out, rest, m.To, now)
	}
	return out
}

// appendUnowned appends a range for the rest of a move, whose keys had no owner yet.
func (lm *LeaseManager) appendUnowned(out *[]*rangeState, rest KeyRange, to Holder, now time.Duration) {
	*out = append(*out, &rangeState{keys: rest, owner: to, since: now})
}

// moved returns the part of a range with its new owner. The old owner becomes a former
// owner, unless it cannot hold the range or it is the same target as the new owner.
func (lm *LeaseManager) moved(s *rangeState, part KeyRange, to Holder, now time.Duration) *rangeState {
	c := s.clone(part)
	old := c.owner
	c.owner, c.held, c.handover = to, false, ""
	c.failures, c.lost, c.inFlight, c.next, c.since = 0, false, false, 0, now
	if sameTarget(old, to) {
		return c
	}
	// A former owner that gets the range back may never have stopped holding it.
	var regained leaseBound
	c.formerOwners = slices.DeleteFunc(c.formerOwners, func(f *formerOwner) bool {
		if sameTarget(f.holder, to) {
			regained.join(f.bound)
			return true
		}
		return false
	})
	if c.bound.until() > now {
		c.formerOwners = append(c.formerOwners, &formerOwner{holder: old, fence: s.fence, bound: c.bound, stillOwner: true})
	}
	c.bound = regained
	return c
}

// sameTarget reports whether both holders are incarnations of the same target. At most
// one of them runs, since a later incarnation replaces the earlier one.
func sameTarget(a, b Holder) bool { return a.ID == b.ID && a.Address == b.Address }

// merge joins adjacent ranges that have the same owner and no former owners.
func (lm *LeaseManager) merge(ranges []*rangeState) []*rangeState {
	out := ranges[:0]
	for _, s := range ranges {
		if len(out) > 0 && mergeable(out[len(out)-1], s) {
			last := out[len(out)-1]
			last.keys.To = s.keys.To
			last.fence = max(last.fence, s.fence)
			last.bound.join(s.bound)
			last.next = min(last.next, s.next)
			last.since = max(last.since, s.since)
			continue
		}
		out = append(out, s)
	}
	return out
}

func mergeable(a, b *rangeState) bool {
	return a.keys.To+1 == b.keys.From && a.owner == b.owner && a.held && b.held && a.share == 0 && b.share == 0 &&
		!a.lost && !b.lost && len(a.formerOwners) == 0 && len(b.formerOwners) == 0
}

// DueOrders returns the orders that are due and marks them as in flight. The result of
// each must be passed to HandleResult. None is due while the previous assigner may act.
func (lm *LeaseManager) DueOrders(now time.Duration) []Order {
	if lm.PredecessorActs(now) {
		return nil
	}
	orders, active := lm.dueClearing(now)
	if active {
		return orders
	}
	for _, s := range lm.ranges {
		orders = append(orders, lm.releases(s, now)...)
		if len(s.formerOwners) == 0 {
			if o, ok := lm.grant(s, now); ok {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// releases drops the former owners that can no longer hold the range, and returns the
// due release orders for the others.
func (lm *LeaseManager) releases(s *rangeState, now time.Duration) []Order {
	before := len(s.formerOwners)
	s.formerOwners = slices.DeleteFunc(s.formerOwners, func(f *formerOwner) bool {
		lapsed := now > f.bound.until()
		if lapsed {
			lm.logFormerOwner("lapsed", s, f, now)
		}
		return lapsed
	})
	if len(s.formerOwners) != before {
		lm.tableOutdated, lm.recordOutdated = true, true
	}
	var orders []Order
	for _, f := range s.formerOwners {
		if o, ok := lm.release(f, s.keys, now); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// release returns the release of the keys that is due of a former owner, or false if none is.
func (lm *LeaseManager) release(f *formerOwner, keys KeyRange, now time.Duration) (Order, bool) {
	if f.inFlight || now < f.next || lm.fencesExhausted() {
		return Order{}, false
	}
	f.inFlight = true
	return Order{To: f.holder, Keys: keys, Fence: lm.newFence(), Release: true, Timeout: lm.opts.ReleaseTimeout, DueAt: now}, true
}

// grant returns the grant that is due for a range, or false if none is.
func (lm *LeaseManager) grant(s *rangeState, now time.Duration) (Order, bool) {
	if s.inFlight || now < s.next || s.lost || lm.grantUntracked(s) || lm.fencesExhausted() {
		return Order{}, false
	}
	s.inFlight = true
	s.fence = lm.newFence()
	lease := lm.leaseDuration(now)
	longest := lm.maxLease(lease)
	lm.trackGrant(s, pendingGrant{fence: s.fence, longest: longest, expected: now + lm.opts.OrderTimeout + longest})
	return Order{
		To: s.owner, Keys: s.keys, Fence: s.fence, LeaseDuration: lease, Handover: s.handover, Timeout: lm.opts.OrderTimeout,
		DueAt: now,
	}, true
}

// leaseDuration returns the duration of the leases that are granted now.
func (lm *LeaseManager) leaseDuration(now time.Duration) time.Duration {
	if lm.storeOutage && !lm.linkFilled(now) {
		return lm.opts.LongLeaseDuration
	}
	return lm.opts.LeaseDuration
}

// filledLinkAge is the age of an unanswered grant from which this VM's link may be filled, if no later call was answered. It
// is several round trips between regions.
const filledLinkAge = 300 * time.Millisecond

// linkFilled reports whether orders may wait in this VM's link. The store does not confirm the role then either, so that
// it looks like an outage of the store. A successor counts the longest lease from the end of the role, which leaves room for
// late orders only if their leases are short.
func (lm *LeaseManager) linkFilled(now time.Duration) bool {
	return len(lm.unanswered) > 0 && now-lm.unanswered[0].ended >= filledLinkAge
}

// newFence returns the fencing token for an order. No token is used twice, since a
// renewal may reach a later incarnation of its target, which must not acquire keys with
// a token of an earlier incarnation.
func (lm *LeaseManager) newFence() uint64 {
	lm.nextFence++
	return lm.nextFence - 1
}

// FencesLeft returns the number of reserved fencing tokens that are not used yet.
func (lm *LeaseManager) FencesLeft() uint64 { return lm.reserved - min(lm.nextFence, lm.reserved) }

// fencesExhausted reports whether all reserved fencing tokens are used. No order can be
// sent then until the next record is written.
func (lm *LeaseManager) fencesExhausted() bool { return lm.nextFence >= lm.reserved }

// trackGrant records a grant to the owner of a range that is about to be sent, also in the
// proposal that is being written.
func (lm *LeaseManager) trackGrant(s *rangeState, p pendingGrant) {
	s.bound.begin(p)
	for _, c := range lm.proposed {
		if !c.keys.Overlaps(s.keys) {
			continue
		}
		if sameTarget(c.owner, s.owner) {
			c.bound.begin(p)
			c.fence = max(c.fence, s.fence)
		}
		for _, f := range c.formerOwners {
			if sameTarget(f.holder, s.owner) {
				f.bound.begin(p)
				f.fence = max(f.fence, s.fence)
			}
		}
	}
}

// grantUntracked reports whether a grant would be missing from the proposal that is being
// written: the proposal moves the range away, and does not list the owner as a former
// owner because the owner did not hold the range when the proposal was made.
func (lm *LeaseManager) grantUntracked(s *rangeState) bool {
	first, _ := slices.BinarySearchFunc(lm.proposed, s.keys.From, func(c *rangeState, k Key) int { return cmp.Compare(c.keys.To, k) })
	for _, c := range lm.proposed[first:] {
		if c.keys.From > s.keys.To {
			break
		}
		listed := func(f *formerOwner) bool { return sameTarget(f.holder, s.owner) }
		if !sameTarget(c.owner, s.owner) && !slices.ContainsFunc(c.formerOwners, listed) {
			return true
		}
	}
	return false
}

// HandleResult records the result of an order that DueOrders returned.
func (lm *LeaseManager) HandleResult(r Result, now time.Duration) {
	if r.answered() {
		lm.ConfirmDelivery(r.Order.DueAt, now)
	} else if !r.Order.Release && !errors.Is(r.Err, ErrNotDone) {
		lm.unanswered = append(lm.unanswered, unansweredGrant{r.Order.Fence, now})
	}
	if r.Order.Release {
		lm.finishClearing(r, now)
	}
	for _, ranges := range [][]*rangeState{lm.ranges, lm.proposed} {
		for _, s := range ranges {
			if !s.keys.Overlaps(r.Order.Keys) {
				s.forgetGrant(r.Order.Fence)
				continue
			}
			if r.Order.Release {
				lm.handleRelease(s, r, now)
			} else {
				lm.handleGrant(s, r, now)
			}
		}
	}
}

// forgetGrant ends a grant that does not cover the range, as in a part of a merged range that has been split again.
func (s *rangeState) forgetGrant(fence uint64) {
	if s.bound.isPending(fence) {
		s.inFlight = false
	}
	s.bound.end(fence, 0)
	for _, f := range s.formerOwners {
		f.bound.end(fence, 0)
	}
}

// ConfirmDelivery records that a call of this VM, to any address, which began at the instant sent or later has been
// answered by now. All that the VM sent before has then left its link, so that grants whose calls had ended have arrived, or never
// will. Until then they may wait in the link's queue: the end of a call does not recall what the VM has sent.
func (lm *LeaseManager) ConfirmDelivery(sent, now time.Duration) {
	// The calls are in the order of their ends.
	n := 0
	for n < len(lm.unanswered) && lm.unanswered[n].ended <= sent {
		n++
	}
	if n == 0 {
		return
	}
	arrived := make(map[uint64]bool, n)
	for _, u := range lm.unanswered[:n] {
		arrived[u.fence] = true
	}
	lm.unanswered = slices.Delete(lm.unanswered, 0, n)
	lm.endArrived(now, func(fence uint64) bool { return arrived[fence] })
}

// endArrived records that the grants with the selected fencing tokens have arrived by the instant, or never will.
func (lm *LeaseManager) endArrived(by time.Duration, selects func(fence uint64) bool) {
	for _, ranges := range [][]*rangeState{lm.ranges, lm.proposed} {
		for _, s := range ranges {
			s.bound.endArrived(by, selects)
			for _, f := range s.formerOwners {
				f.bound.endArrived(by, selects)
			}
		}
	}
}

// handleRelease records the result of a release for a range that its keys overlap. A
// former owner that has confirmed the release is dropped, unless a grant to it may still arrive.
func (lm *LeaseManager) handleRelease(s *rangeState, r Result, now time.Duration) {
	for _, f := range s.formerOwners {
		if sameTarget(f.holder, r.Order.To) {
			f.inFlight = false
			f.next = now + lm.opts.RetryPause
		}
	}
	if r.Err != nil || !r.Order.Keys.Contains(s.keys) {
		return
	}
	before, released := len(s.formerOwners), false
	s.formerOwners = slices.DeleteFunc(s.formerOwners, func(f *formerOwner) bool {
		if f.stillOwner || !sameTarget(f.holder, r.Order.To) || r.Order.Fence <= f.fence {
			return false
		}
		released = true
		// A grant that is under way could reach a later start of the target, which does not know the release's token.
		settled := len(f.bound.pending) == 0
		if settled {
			lm.logFormerOwner("released", s, f, now, "release_fence", r.Order.Fence, "handover", r.Handover != "",
				"release_took_ms", (r.Ended - r.Sent).Milliseconds())
		}
		return settled
	})
	if released && r.Handover != "" && r.Order.Keys == s.keys {
		s.handover = r.Handover
	}
	if len(s.formerOwners) != before {
		lm.tableOutdated, lm.recordOutdated = true, true
	}
}

// logFormerOwner logs why a former owner can no longer hold a range, and until when it could have, so that another target may be
// granted it.
func (lm *LeaseManager) logFormerOwner(reason string, s *rangeState, f *formerOwner, now time.Duration, attrs ...any) {
	lm.opts.Logger.Info("former owner no longer holds a range", append([]any{
		"reason", reason, "target", f.holder.ID, "from", s.keys.From, "to", s.keys.To, "fence", f.fence, "term", lm.term,
		"own_grants_end_in_ms", (f.bound.ended - now).Milliseconds(), "predecessor_grants_end_in_ms", (f.bound.predecessor - now).Milliseconds(),
	}, attrs...)...)
}

// handleGrant records the result of a grant for a range that its keys overlap.
func (lm *LeaseManager) handleGrant(s *rangeState, r Result, now time.Duration) {
	for _, f := range s.formerOwners {
		if sameTarget(f.holder, r.Order.To) {
			lm.endGrant(&f.bound, r, now)
		}
	}
	if !sameTarget(s.owner, r.Order.To) {
		return
	}
	lm.endGrant(&s.bound, r, now)
	s.inFlight = false
	s.next = now
	if s.owner != r.Order.To || !r.Order.Keys.Contains(s.keys) {
		return
	}
	lm.applyGrantResult(s, r, now)
}

// endGrant records the result of a grant in a bound of its target. A grant without an answer remains pending.
func (lm *LeaseManager) endGrant(b *leaseBound, r Result, now time.Duration) {
	switch {
	case r.Err == nil:
		b.end(r.Order.Fence, now+lm.maxLease(r.Order.LeaseDuration))
	case errors.Is(r.Err, ErrNotDone) || errors.Is(r.Err, ErrFenced):
		b.end(r.Order.Fence, 0)
	}
}

// applyGrantResult updates the owner's state and schedules its next grant.
func (lm *LeaseManager) applyGrantResult(s *rangeState, r Result, now time.Duration) {
	switch {
	case r.Err == nil:
		if !s.held || s.lost {
			lm.tableOutdated = true
		}
		// Earlier leases that are longer, those of the previous assigner too, last on beside this one.
		s.held, s.lost, s.failures = true, false, 0
		// The target refuses earlier grants from now on. One that is still under way could reach a later start of it.
		s.bound.endArrived(now, func(fence uint64) bool { return fence < r.Order.Fence && lm.callEnded(fence) })
		s.handover = ""
		s.next = now + lm.opts.RenewInterval
		if r.Order.LeaseDuration < lm.leaseDuration(now) {
			// The outage began while the renewal was in flight.
			s.next = now
		}
	case errors.Is(r.Err, ErrFenced):
		s.next = now + lm.opts.RetryPause
		lm.opts.Logger.Warn("target refused a grant: it has seen a higher fencing token", "target", s.owner.ID,
			"from", s.keys.From, "to", s.keys.To, "fence", r.Order.Fence)
	case errors.Is(r.Err, ErrNotSent):
		s.next = now + lm.opts.RetryPause
	default:
		s.failures++
		s.next = now + lm.opts.RetryPause
		if s.failures >= maxRenewalFailures && !s.lost {
			s.lost = true
			lm.tableOutdated = true
			lm.opts.Logger.Warn("owner does not answer renewals", "target", s.owner.ID, "from", s.keys.From,
				"to", s.keys.To, "failures", s.failures, "held_for_ms", (s.bound.expected() - now).Milliseconds(), "error", r.Err.Error())
		}
	}
}

// callEnded reports whether the call of a pending grant has ended without an answer.
func (lm *LeaseManager) callEnded(fence uint64) bool {
	return slices.ContainsFunc(lm.unanswered, func(u unansweredGrant) bool { return u.fence == fence })
}

// RenewNow makes the renewals due now of all owners for which the function returns true.
func (lm *LeaseManager) RenewNow(now time.Duration, which func(Holder) bool) {
	for _, s := range lm.ranges {
		if which(s.owner) {
			s.next = min(s.next, now)
		}
	}
}

// MayOwn reports whether ranges may be assigned to the target. It returns false if the
// target is the lost owner of a range.
func (lm *LeaseManager) MayOwn(h Holder) bool {
	return !slices.ContainsFunc(lm.ranges, func(s *rangeState) bool { return s.owner == h && s.lost })
}

// OwnedRange describes a range and its owner for planning.
type OwnedRange struct {
	Keys  KeyRange
	Owner Holder
	// Settled is set if the owner holds the range and no former owner may. Only settled
	// ranges may move for load.
	Settled bool
	// MustMove is set if the owner is lost, so that the range needs another owner.
	MustMove bool
	// Since is the instant at which the owner was chosen.
	Since time.Duration
}

// OwnedRanges returns the ranges for planning.
func (lm *LeaseManager) OwnedRanges() []OwnedRange {
	out := make([]OwnedRange, len(lm.ranges))
	for i, s := range lm.ranges {
		out[i] = OwnedRange{
			Keys: s.keys, Owner: s.owner, Since: s.since,
			Settled:  s.held && len(s.formerOwners) == 0 && !s.lost,
			MustMove: s.lost,
		}
	}
	return out
}

// RetryLost makes lost owners whose leases have ended due for one more grant. An owner that does not answer it is lost again. Leases
// of the previous assigner are not waited for if a new one ends before them.
func (lm *LeaseManager) RetryLost(now time.Duration) {
	newEnd := now + lm.opts.OrderTimeout + lm.maxLease(lm.leaseDuration(now))
	for _, s := range lm.ranges {
		if s.lost && (now > s.bound.until() || s.bound.ownLeasesEnded(now) && newEnd <= s.bound.predecessor) {
			s.lost, s.failures, s.next = false, maxRenewalFailures-1, now
		}
	}
}

// SetShares sets the shares of the requests for hot keys that their owners can serve, in thousandths.
// All other keys have none. A hot key becomes a range of its own, with the same owner.
func (lm *LeaseManager) SetShares(shares map[Key]int) {
	var out []*rangeState
	for _, s := range lm.ranges {
		out = append(out, lm.splitAtHotKeys(s, shares)...)
	}
	lm.ranges = out
}

// splitAtHotKeys returns the parts of the range, each hot key in one of its own.
func (lm *LeaseManager) splitAtHotKeys(s *rangeState, shares map[Key]int) []*rangeState {
	var out []*rangeState
	rest := s
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		if !rest.keys.Contains(KeyRange{k, k}) {
			continue
		}
		if rest.keys.From < k {
			out = append(out, rest.clone(KeyRange{rest.keys.From, k - 1}))
		}
		hot := rest.clone(KeyRange{k, k})
		lm.setShare(hot, shares[k])
		out = append(out, hot)
		if k == rest.keys.To {
			return out
		}
		rest = rest.clone(KeyRange{k + 1, rest.keys.To})
	}
	lm.setShare(rest, 0)
	return append(out, rest)
}

// minShareChange is the change of a share, relative to it, from which a new table is published.
const minShareChange = 0.2

func (lm *LeaseManager) setShare(s *rangeState, share int) {
	if change := math.Abs(float64(share - s.share)); share == s.share || s.share > 0 && share > 0 && change < minShareChange*float64(s.share) {
		return
	}
	s.share = share
	lm.tableOutdated = true
}

// TakeTable returns a new table if something changed since the last one. Otherwise it
// returns nil.
func (lm *LeaseManager) TakeTable(now time.Duration) *Table {
	if !lm.tableOutdated {
		return nil
	}
	lm.tableOutdated = false
	lm.seq++
	t := &Table{Version: Version{lm.term, lm.seq}, PublishedAt: now}
	for _, s := range lm.ranges {
		e := Entry{Keys: s.keys, Owner: s.owner, Held: s.held && !s.lost, Share: s.share}
		if !e.Held {
			e.Wait = lm.maxWait(s, now)
		}
		t.Entries = append(t.Entries, e)
	}
	return t
}

// maxWait returns the longest time until another target may own the range.
func (lm *LeaseManager) maxWait(s *rangeState, now time.Duration) time.Duration {
	var wait time.Duration
	for _, f := range s.formerOwners {
		wait = max(wait, f.bound.expected()-now)
	}
	if s.lost {
		wait = max(wait, s.bound.expected()-now)
	}
	return wait
}
