package shard

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"time"
)

// Options of a Keeper. Times are on a clock that goes on during suspensions.
type LeaseOptions struct {
	// Hold is the duration of a lease. Default 3 s: a range whose owner is lost waits
	// for its end.
	LeaseDuration time.Duration
	// LongHold is the same while the store does not confirm the assigner, so that
	// owners go on when its role ends. Default 9 s.
	LongLeaseDuration time.Duration
	// Renew is the interval of renewals. Default a third of Hold.
	RenewInterval time.Duration
	// ClockError is by how much a target's clock may run slow, as a share. Default 0.02.
	ClockError float64
	// Margin is added to the longest time that a lease may last, for the way of
	// an order and for rounding. Default 200 ms.
	Margin time.Duration
	// OrderTimeout bounds an order; releases wait for running work. Defaults 800 ms and 2 s.
	OrderTimeout, ReleaseTimeout time.Duration
	// Retry is the pause after an order that failed. Default 100 ms.
	RetryPause time.Duration
	Logger     *slog.Logger
}

func (o LeaseOptions) withDefaults() LeaseOptions {
	o.LeaseDuration = cmp.Or(o.LeaseDuration, 3*time.Second)
	o.LongLeaseDuration = max(cmp.Or(o.LongLeaseDuration, 9*time.Second), o.LeaseDuration)
	o.RenewInterval = cmp.Or(o.RenewInterval, o.LeaseDuration/3)
	o.ClockError = cmp.Or(o.ClockError, 0.02)
	o.Margin = cmp.Or(o.Margin, 200*time.Millisecond)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, 800*time.Millisecond)
	o.ReleaseTimeout = cmp.Or(o.ReleaseTimeout, 2*time.Second)
	o.RetryPause = cmp.Or(o.RetryPause, 100*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// renewalFailures is the number of unanswered renewals in a row after which an
// owner is lost: renewing further would only prolong a lease that nobody can use.
const maxRenewalFailures = 2

// Order is a grant or a release to send. Exactly one of them is set.
type Order struct {
	To      Holder
	Keys    KeyRange
	Fence   uint64
	Release bool
	// Hold and Handover belong to a grant.
	LeaseDuration time.Duration
	Handover      string
	Timeout       time.Duration
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	// Handover is what a release returned.
	Handover string
	Err      error
}

// span is a range of the record with what is known of its holders.
type rangeState struct {
	keys  KeyRange
	owner Holder
	// fence is the token of the last grant that was sent.
	fence uint64
	// formers that may still hold the range.
	formerOwners []*formerOwner
	// held is set once the owner confirmed a grant.
	held bool
	// hold bounds how long the owner may hold the range.
	bound    leaseBound
	handover string
	inFlight bool
	next     time.Duration
	failures int
	// lost is set if the owner does not answer renewals.
	lost bool
	// since is the instant at which the owner was chosen.
	since time.Duration
}

type formerOwner struct {
	holder Holder
	// fence is the highest token with which this Keeper granted it the range.
	fence    uint64
	bound    leaseBound
	inFlight bool
	next     time.Duration
	// owner is set while it is still the owner, until the plan is written. A release
	// of before says nothing of the grants that it gets meanwhile.
	stillOwner bool
}

// Keeper keeps the owners of one service's ranges granted and carries out moves.
// It is not safe for concurrent use.
type LeaseManager struct {
	opts      LeaseOptions
	term, seq uint64
	// nextFence is the token of the next order. Tokens below reserved may be used:
	// the record in the store says that they are taken.
	nextFence, reserved uint64
	ranges              []*rangeState
	// saving is the plan that is being written to the store.
	proposed []*rangeState
	// reserving is the reserved token once the record is written.
	proposedReserved uint64
	// moves are those of the plan that is being written, made at proposedAt.
	proposedMoves []Move
	proposedAt    time.Duration
	tableOutdated bool
	// outdated is set if the record in the store names former owners that hold
	// nothing any more. A successor would wait for them again.
	recordOutdated bool
	// storeAway is set while the store does not confirm the assigner.
	storeOutage bool
}

// fenceReserve is the number of fencing tokens that one write of the record
// reserves: enough for renewals through any outage of the store.
const fenceReserve = 1 << 20

// NewKeeper returns a Keeper that takes over the record at the instant now. A
// nil record holds no ranges. The last assigner may send orders until the instant
// foreignUntil. Before the first order the Keeper's own record must be written,
// which reserves its tokens.
func NewLeaseManager(opts LeaseOptions, term uint64, r *Record, now, predecessorUntil time.Duration) *LeaseManager {
	lm := &LeaseManager{opts: opts.withDefaults(), term: term, nextFence: 1, tableOutdated: true}
	if r != nil {
		lm.nextFence = r.NextFence
		predecessorBound := max(predecessorUntil, now) + lm.maxLease(lm.opts.LongLeaseDuration)
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

// longest is the longest that a lease lasts after its order has ended, by the
// clock of the Keeper.
func (lm *LeaseManager) maxLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+lm.opts.ClockError)) + lm.opts.Margin
}

// SetStoreAway tells whether the store confirms the assigner no longer. When that
// begins, all owners are renewed at once, for long.
func (lm *LeaseManager) SetStoreOutage(outage bool, now time.Duration) {
	if outage && !lm.storeOutage {
		lm.RenewNow(now, func(Holder) bool { return true })
	}
	lm.storeOutage = outage
}

// Record returns the record of the ranges as they are in force, to be written.
func (lm *LeaseManager) Record() *Record {
	lm.recordOutdated = false
	return lm.record(lm.ranges, lm.reserved)
}

// Outdated reports whether the record in the store names former owners that hold
// nothing any more.
func (lm *LeaseManager) RecordOutdated() bool { return lm.recordOutdated }

func (lm *LeaseManager) record(ranges []*rangeState, reserved uint64) *Record {
	r := &Record{Term: lm.term, NextFence: reserved}
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

// Propose prepares a record in which the moves are made. Until Saved is called
// the Keeper goes on as before. It returns nil while another one is being saved
// or if nothing changes.
func (lm *LeaseManager) Propose(moves []Move, now time.Duration) *Record {
	if lm.proposed != nil || len(moves) == 0 {
		return nil
	}
	lm.proposedReserved = lm.nextFence + fenceReserve
	ranges := cloneRanges(lm.ranges)
	for _, m := range moves {
		ranges = lm.applyMove(ranges, m, now)
	}
	lm.proposed = lm.merge(ranges)
	lm.proposedMoves, lm.proposedAt = moves, now
	return lm.record(lm.proposed, lm.proposedReserved)
}

// Saved tells what became of the proposed record.
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
	lm.proposed, lm.proposedMoves = nil, nil
}

// Saving reports whether a proposal is being saved.
func (lm *LeaseManager) ProposalPending() bool { return lm.proposed != nil }

// cloneSpans copies the spans, so that a proposal that fails leaves no trace.
func cloneRanges(ranges []*rangeState) []*rangeState {
	out := make([]*rangeState, len(ranges))
	for i, s := range ranges {
		out[i] = s.clone(s.keys)
	}
	return out
}

// clone returns a copy restricted to the keys.
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

// applyMove cuts the spans that the move touches and gives the parts to the new owner.
func (lm *LeaseManager) applyMove(ranges []*rangeState, m Move, now time.Duration) []*rangeState {
	var out []*rangeState
	rest := m.Keys
	done := false
	appendGap := func(upTo Key) {
		// Keys that nobody owned yet.
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

func (lm *LeaseManager) appendUnowned(out *[]*rangeState, rest KeyRange, to Holder, now time.Duration) {
	*out = append(*out, &rangeState{keys: rest, owner: to, since: now})
}

// moved returns the part of a span under its new owner. The old owner becomes a
// former one unless it never was granted the range or stays the owner.
func (lm *LeaseManager) moved(s *rangeState, part KeyRange, to Holder, now time.Duration) *rangeState {
	c := s.clone(part)
	old := c.owner
	c.owner, c.held, c.handover = to, false, ""
	c.failures, c.lost, c.inFlight, c.next, c.since = 0, false, false, 0, now
	if sameTarget(old, to) {
		return c
	}
	// A former owner that gets the range back may hold it all the while.
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

// sameProcess reports whether at most one process can stand behind both holders:
// the later life of a target replaces the earlier one.
func sameTarget(a, b Holder) bool { return a.ID == b.ID && a.Address == b.Address }

// merge joins neighbours that the same owner holds without former owners.
func (lm *LeaseManager) merge(ranges []*rangeState) []*rangeState {
	out := ranges[:0]
	for _, s := range ranges {
		if len(out) > 0 && mergeable(out[len(out)-1], s) {
			last := out[len(out)-1]
			last.keys.To = s.keys.To
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
	return a.keys.To+1 == b.keys.From && a.owner == b.owner && a.held && b.held &&
		!a.lost && !b.lost && len(a.formerOwners) == 0 && len(b.formerOwners) == 0
}

// Step returns the orders that are due.
func (lm *LeaseManager) DueOrders(now time.Duration) []Order {
	var orders []Order
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

// releases drops the former owners that can hold the range no longer and asks
// the others for its release.
func (lm *LeaseManager) releases(s *rangeState, now time.Duration) []Order {
	before := len(s.formerOwners)
	s.formerOwners = slices.DeleteFunc(s.formerOwners, func(f *formerOwner) bool { return now > f.bound.until() })
	if len(s.formerOwners) != before {
		lm.tableOutdated, lm.recordOutdated = true, true
	}
	var orders []Order
	for _, f := range s.formerOwners {
		if f.inFlight || now < f.next || lm.fencesExhausted() {
			continue
		}
		f.inFlight = true
		orders = append(orders, Order{To: f.holder, Keys: s.keys, Fence: lm.newFence(), Release: true, Timeout: lm.opts.ReleaseTimeout})
	}
	return orders
}

func (lm *LeaseManager) grant(s *rangeState, now time.Duration) (Order, bool) {
	if s.inFlight || now < s.next || s.lost || lm.grantUntracked(s) || lm.fencesExhausted() {
		return Order{}, false
	}
	s.inFlight = true
	s.fence = lm.newFence()
	lease := lm.opts.LeaseDuration
	if lm.storeOutage {
		lease = lm.opts.LongLeaseDuration
	}
	lm.trackGrant(s, now+lm.opts.OrderTimeout+lm.maxLease(lease))
	return Order{
		To: s.owner, Keys: s.keys, Fence: s.fence, LeaseDuration: lease, Handover: s.handover, Timeout: lm.opts.OrderTimeout,
	}, true
}

// takeFence returns the token of an order. No token is used twice: a renewal may
// reach a later life of its target, which must not take keys with a token that an
// earlier life had.
func (lm *LeaseManager) newFence() uint64 {
	lm.nextFence++
	return lm.nextFence - 1
}

// exhausted reports whether the reserved tokens are used up until the next write.
func (lm *LeaseManager) fencesExhausted() bool { return lm.nextFence >= lm.reserved }

// expectHold notes until when the owner may hold a range by a grant that is
// about to be sent, also in the plan that is being written.
func (lm *LeaseManager) trackGrant(s *rangeState, until time.Duration) {
	s.bound.begin(s.fence, until)
	for _, c := range lm.proposed {
		if !c.keys.Overlaps(s.keys) {
			continue
		}
		if sameTarget(c.owner, s.owner) {
			c.bound.begin(s.fence, until)
			c.fence = max(c.fence, s.fence)
		}
		for _, f := range c.formerOwners {
			if sameTarget(f.holder, s.owner) {
				f.bound.begin(s.fence, until)
				f.fence = max(f.fence, s.fence)
			}
		}
	}
}

// mayLeave reports whether the plan that is being written takes a range from an
// owner that did not hold it when the plan was made, and thus does not count it as
// a former one.
func (lm *LeaseManager) grantUntracked(s *rangeState) bool {
	return s.bound.until() <= lm.proposedAt && slices.ContainsFunc(lm.proposedMoves, func(m Move) bool { return m.Keys.Overlaps(s.keys) })
}

// Done takes the result of an order that Step returned.
func (lm *LeaseManager) HandleResult(r Result, now time.Duration) {
	for _, ranges := range [][]*rangeState{lm.ranges, lm.proposed} {
		for _, s := range ranges {
			if !s.keys.Overlaps(r.Order.Keys) {
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
	before := len(s.formerOwners)
	s.formerOwners = slices.DeleteFunc(s.formerOwners, func(f *formerOwner) bool {
		return !f.stillOwner && sameTarget(f.holder, r.Order.To) && r.Order.Fence > f.fence
	})
	if len(s.formerOwners) == before {
		return
	}
	lm.tableOutdated, lm.recordOutdated = true, true
	if r.Handover != "" && r.Order.Keys == s.keys {
		s.handover = r.Handover
	}
}

func (lm *LeaseManager) handleGrant(s *rangeState, r Result, now time.Duration) {
	// Without an answer, the target may have taken the grant up to now.
	until := now + lm.maxLease(r.Order.LeaseDuration)
	if errors.Is(r.Err, ErrNotDone) || errors.Is(r.Err, ErrFenced) {
		until = 0
	}
	for _, f := range s.formerOwners {
		if sameTarget(f.holder, r.Order.To) {
			f.bound.end(r.Order.Fence, until)
		}
	}
	if !sameTarget(s.owner, r.Order.To) {
		return
	}
	s.bound.end(r.Order.Fence, until)
	s.inFlight = false
	s.next = now
	if s.owner != r.Order.To || !r.Order.Keys.Contains(s.keys) {
		return
	}
	lm.applyGrantResult(s, r, now)
}

func (lm *LeaseManager) applyGrantResult(s *rangeState, r Result, now time.Duration) {
	switch {
	case r.Err == nil:
		if !s.held || s.lost {
			lm.tableOutdated = true
		}
		s.held, s.lost, s.failures, s.bound.predecessor = true, false, 0, 0
		s.handover = ""
		s.next = now + lm.opts.RenewInterval
	case errors.Is(r.Err, ErrFenced):
		s.next = now + lm.opts.RetryPause
		lm.opts.Logger.Warn("target refused a grant: higher fencing token seen", "target", s.owner.ID,
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
				"to", s.keys.To, "failures", s.failures, "held_for_ms", (s.bound.until() - now).Milliseconds(), "error", r.Err.Error())
		}
	}
}

// Hasten makes the renewals of the owners due now for which the function returns true.
func (lm *LeaseManager) RenewNow(now time.Duration, which func(Holder) bool) {
	for _, s := range lm.ranges {
		if which(s.owner) {
			s.next = min(s.next, now)
		}
	}
}

// MayOwn reports whether ranges may be given to the target: it is not lost.
func (lm *LeaseManager) MayOwn(h Holder) bool {
	return !slices.ContainsFunc(lm.ranges, func(s *rangeState) bool { return s.owner == h && s.lost })
}

// Owned describes a range for planning.
type OwnedRange struct {
	Keys  KeyRange
	Owner Holder
	// Settled ranges are held by their owner and may move.
	Settled bool
	// MustMove is set if the owner cannot go on with the range, because it is lost.
	MustMove bool
	Since    time.Duration
}

// Owned returns the ranges for planning.
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

// Revive lets a lost owner be asked again once its lease has ended.
func (lm *LeaseManager) RetryLost(now time.Duration) {
	for _, s := range lm.ranges {
		if s.lost && now > s.bound.until() {
			s.lost, s.failures, s.next = false, maxRenewalFailures-1, now
		}
	}
}

// TakeTable returns a new table if something changed since the last one, else nil.
func (lm *LeaseManager) TakeTable(now time.Duration) *Table {
	if !lm.tableOutdated {
		return nil
	}
	lm.tableOutdated = false
	lm.seq++
	t := &Table{Version: Version{lm.term, lm.seq}}
	for _, s := range lm.ranges {
		e := Entry{Keys: s.keys, Owner: s.owner, Held: s.held && !s.lost}
		if !e.Held {
			e.Wait = lm.maxWait(s, now)
		}
		t.Entries = append(t.Entries, e)
	}
	return t
}

// wait returns how long it takes at most until another target may own the range.
func (lm *LeaseManager) maxWait(s *rangeState, now time.Duration) time.Duration {
	var wait time.Duration
	for _, f := range s.formerOwners {
		wait = max(wait, f.bound.until()-now)
	}
	if s.lost {
		wait = max(wait, s.bound.until()-now)
	}
	return wait
}
