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
	Renew time.Duration
	// ClockError is by how much a target's clock may run slow, as a share. Default 0.02.
	ClockError float64
	// Margin is added to the longest time that a lease may last, for the way of
	// an order and for rounding. Default 200 ms.
	Margin time.Duration
	// OrderTimeout bounds an order; releases wait for running work. Defaults 800 ms and 2 s.
	OrderTimeout, ReleaseTimeout time.Duration
	// Retry is the pause after an order that failed. Default 100 ms.
	Retry  time.Duration
	Logger *slog.Logger
}

func (o LeaseOptions) withDefaults() LeaseOptions {
	o.LeaseDuration = cmp.Or(o.LeaseDuration, 3*time.Second)
	o.LongLeaseDuration = max(cmp.Or(o.LongLeaseDuration, 9*time.Second), o.LeaseDuration)
	o.Renew = cmp.Or(o.Renew, o.LeaseDuration/3)
	o.ClockError = cmp.Or(o.ClockError, 0.02)
	o.Margin = cmp.Or(o.Margin, 200*time.Millisecond)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, 800*time.Millisecond)
	o.ReleaseTimeout = cmp.Or(o.ReleaseTimeout, 2*time.Second)
	o.Retry = cmp.Or(o.Retry, 100*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// renewalFailures is the number of unanswered renewals in a row after which an
// owner is lost: renewing further would only prolong a lease that nobody can use.
const renewalFailures = 2

// Order is a grant or a release to send. Exactly one of them is set.
type Order struct {
	To      Holder
	Keys    KeyRange
	Fence   uint64
	Release bool
	// Hold and Handover belong to a grant.
	Hold     time.Duration
	Handover string
	Timeout  time.Duration
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	// Handover is what a release returned.
	Handover string
	Err      error
}

// span is a range of the record with what is known of its holders.
type span struct {
	keys  KeyRange
	owner Holder
	// fence is the token of the last grant that was sent.
	fence uint64
	// formers that may still hold the range.
	formers []*former
	// held is set once the owner confirmed a grant.
	held bool
	// hold bounds how long the owner may hold the range.
	hold     hold
	handover string
	inFlight bool
	next     time.Duration
	failures int
	// lost is set if the owner does not answer renewals.
	lost bool
	// since is the instant at which the owner was chosen.
	since time.Duration
}

type former struct {
	holder Holder
	// fence is the highest token with which this Keeper granted it the range.
	fence    uint64
	hold     hold
	inFlight bool
	next     time.Duration
	// owner is set while it is still the owner, until the plan is written. A release
	// of before says nothing of the grants that it gets meanwhile.
	owner bool
}

// Keeper keeps the owners of one service's ranges granted and carries out moves.
// It is not safe for concurrent use.
type Keeper struct {
	opts      LeaseOptions
	term, seq uint64
	// nextFence is the token of the next order. Tokens below reserved may be used:
	// the record in the store says that they are taken.
	nextFence, reserved uint64
	spans               []*span
	// saving is the plan that is being written to the store.
	saving []*span
	// reserving is the reserved token once the record is written.
	reserving uint64
	// moves are those of the plan that is being written, made at proposedAt.
	moves      []Move
	proposedAt time.Duration
	dirty      bool
	// outdated is set if the record in the store names former owners that hold
	// nothing any more. A successor would wait for them again.
	outdated bool
	// storeAway is set while the store does not confirm the assigner.
	storeAway bool
}

// fenceReserve is the number of fencing tokens that one write of the record
// reserves: enough for renewals through any outage of the store.
const fenceReserve = 1 << 20

// NewKeeper returns a Keeper that takes over the record at the instant now. A
// nil record holds no ranges. The last assigner may send orders until the instant
// foreignUntil. Before the first order the Keeper's own record must be written,
// which reserves its tokens.
func NewKeeper(opts LeaseOptions, term uint64, r *Record, now, foreignUntil time.Duration) *Keeper {
	k := &Keeper{opts: opts.withDefaults(), term: term, nextFence: 1, dirty: true}
	if r != nil {
		k.nextFence = r.NextFence
		foreign := max(foreignUntil, now) + k.longest(k.opts.LongLeaseDuration)
		for _, rr := range r.Ranges {
			s := &span{keys: rr.Keys, owner: rr.Owner, hold: hold{foreign: foreign}, since: now}
			for _, h := range rr.Formers {
				s.formers = append(s.formers, &former{holder: h, hold: hold{foreign: foreign}})
			}
			k.spans = append(k.spans, s)
		}
	}
	k.reserved = k.nextFence + fenceReserve
	return k
}

// longest is the longest that a lease lasts after its order has ended, by the
// clock of the Keeper.
func (k *Keeper) longest(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+k.opts.ClockError)) + k.opts.Margin
}

// SetStoreAway tells whether the store confirms the assigner no longer. When that
// begins, all owners are renewed at once, for long.
func (k *Keeper) SetStoreAway(away bool, now time.Duration) {
	if away && !k.storeAway {
		k.Hasten(now, func(Holder) bool { return true })
	}
	k.storeAway = away
}

// Record returns the record of the ranges as they are in force, to be written.
func (k *Keeper) Record() *Record {
	k.outdated = false
	return k.record(k.spans, k.reserved)
}

// Outdated reports whether the record in the store names former owners that hold
// nothing any more.
func (k *Keeper) Outdated() bool { return k.outdated }

func (k *Keeper) record(spans []*span, reserved uint64) *Record {
	r := &Record{Term: k.term, NextFence: reserved}
	for _, s := range spans {
		rr := RangeRecord{Keys: s.keys, Owner: s.owner}
		for _, f := range s.formers {
			rr.Formers = append(rr.Formers, f.holder)
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
func (k *Keeper) Propose(moves []Move, now time.Duration) *Record {
	if k.saving != nil || len(moves) == 0 {
		return nil
	}
	k.reserving = k.nextFence + fenceReserve
	spans := cloneSpans(k.spans)
	for _, m := range moves {
		spans = k.applyMove(spans, m, now)
	}
	k.saving = k.merge(spans)
	k.moves, k.proposedAt = moves, now
	return k.record(k.saving, k.reserving)
}

// Saved tells what became of the proposed record.
func (k *Keeper) Saved(ok bool) {
	if ok {
		k.spans = k.saving
		k.reserved, k.outdated = k.reserving, false
		for _, s := range k.spans {
			for _, f := range s.formers {
				f.owner = false
			}
		}
		k.dirty = true
	}
	k.saving, k.moves = nil, nil
}

// Saving reports whether a proposal is being saved.
func (k *Keeper) Saving() bool { return k.saving != nil }

// cloneSpans copies the spans, so that a proposal that fails leaves no trace.
func cloneSpans(spans []*span) []*span {
	out := make([]*span, len(spans))
	for i, s := range spans {
		out[i] = s.clone(s.keys)
	}
	return out
}

// clone returns a copy restricted to the keys.
func (s *span) clone(keys KeyRange) *span {
	c := *s
	c.keys = keys
	c.hold = s.hold.clone()
	c.formers = make([]*former, len(s.formers))
	for i, f := range s.formers {
		fc := *f
		fc.hold = f.hold.clone()
		c.formers[i] = &fc
	}
	return &c
}

// applyMove cuts the spans that the move touches and gives the parts to the new owner.
func (k *Keeper) applyMove(spans []*span, m Move, now time.Duration) []*span {
	var out []*span
	rest := m.Keys
	done := false
	cover := func(upTo Key) {
		// Keys that nobody owned yet.
		if !done && rest.From < upTo {
			out = append(out, &span{keys: KeyRange{rest.From, upTo - 1}, owner: m.To, since: now})
		}
	}
	for _, s := range spans {
		if !s.keys.Overlaps(m.Keys) {
			if s.keys.From > m.Keys.To && !done {
				k.coverTail(&out, rest, m.To, now)
				done = true
			}
			out = append(out, s)
			continue
		}
		part := s.keys.Intersect(m.Keys)
		if s.keys.From < part.From {
			out = append(out, s.clone(KeyRange{s.keys.From, part.From - 1}))
		}
		cover(part.From)
		out = append(out, k.moved(s, part, m.To, now))
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
		k.coverTail(&out, rest, m.To, now)
	}
	return out
}

func (k *Keeper) coverTail(out *[]*span, rest KeyRange, to Holder, now time.Duration) {
	*out = append(*out, &span{keys: rest, owner: to, since: now})
}

// moved returns the part of a span under its new owner. The old owner becomes a
// former one unless it never was granted the range or stays the owner.
func (k *Keeper) moved(s *span, part KeyRange, to Holder, now time.Duration) *span {
	c := s.clone(part)
	old := c.owner
	c.owner, c.held, c.handover = to, false, ""
	c.failures, c.lost, c.inFlight, c.next, c.since = 0, false, false, 0, now
	if sameProcess(old, to) {
		return c
	}
	// A former owner that gets the range back may hold it all the while.
	var back hold
	c.formers = slices.DeleteFunc(c.formers, func(f *former) bool {
		if sameProcess(f.holder, to) {
			back.join(f.hold)
			return true
		}
		return false
	})
	if c.hold.until() > now {
		c.formers = append(c.formers, &former{holder: old, fence: s.fence, hold: c.hold, owner: true})
	}
	c.hold = back
	return c
}

// sameProcess reports whether at most one process can stand behind both holders:
// the later life of a target replaces the earlier one.
func sameProcess(a, b Holder) bool { return a.ID == b.ID && a.Address == b.Address }

// merge joins neighbours that the same owner holds without former owners.
func (k *Keeper) merge(spans []*span) []*span {
	out := spans[:0]
	for _, s := range spans {
		if len(out) > 0 && mergeable(out[len(out)-1], s) {
			last := out[len(out)-1]
			last.keys.To = s.keys.To
			last.hold.join(s.hold)
			last.next = min(last.next, s.next)
			last.since = max(last.since, s.since)
			continue
		}
		out = append(out, s)
	}
	return out
}

func mergeable(a, b *span) bool {
	return a.keys.To+1 == b.keys.From && a.owner == b.owner && a.held && b.held &&
		!a.lost && !b.lost && len(a.formers) == 0 && len(b.formers) == 0
}

// Step returns the orders that are due.
func (k *Keeper) Step(now time.Duration) []Order {
	var orders []Order
	for _, s := range k.spans {
		orders = append(orders, k.releases(s, now)...)
		if len(s.formers) == 0 {
			if o, ok := k.grant(s, now); ok {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// releases drops the former owners that can hold the range no longer and asks
// the others for its release.
func (k *Keeper) releases(s *span, now time.Duration) []Order {
	before := len(s.formers)
	s.formers = slices.DeleteFunc(s.formers, func(f *former) bool { return now > f.hold.until() })
	if len(s.formers) != before {
		k.dirty, k.outdated = true, true
	}
	var orders []Order
	for _, f := range s.formers {
		if f.inFlight || now < f.next || k.exhausted() {
			continue
		}
		f.inFlight = true
		orders = append(orders, Order{To: f.holder, Keys: s.keys, Fence: k.takeFence(), Release: true, Timeout: k.opts.ReleaseTimeout})
	}
	return orders
}

func (k *Keeper) grant(s *span, now time.Duration) (Order, bool) {
	if s.inFlight || now < s.next || s.lost || k.mayLeave(s) || k.exhausted() {
		return Order{}, false
	}
	s.inFlight = true
	s.fence = k.takeFence()
	lease := k.opts.LeaseDuration
	if k.storeAway {
		lease = k.opts.LongLeaseDuration
	}
	k.expectHold(s, now+k.opts.OrderTimeout+k.longest(lease))
	return Order{
		To: s.owner, Keys: s.keys, Fence: s.fence, Hold: lease, Handover: s.handover, Timeout: k.opts.OrderTimeout,
	}, true
}

// takeFence returns the token of an order. No token is used twice: a renewal may
// reach a later life of its target, which must not take keys with a token that an
// earlier life had.
func (k *Keeper) takeFence() uint64 {
	k.nextFence++
	return k.nextFence - 1
}

// exhausted reports whether the reserved tokens are used up until the next write.
func (k *Keeper) exhausted() bool { return k.nextFence >= k.reserved }

// expectHold notes until when the owner may hold a range by a grant that is
// about to be sent, also in the plan that is being written.
func (k *Keeper) expectHold(s *span, until time.Duration) {
	s.hold.begin(s.fence, until)
	for _, c := range k.saving {
		if !c.keys.Overlaps(s.keys) {
			continue
		}
		if sameProcess(c.owner, s.owner) {
			c.hold.begin(s.fence, until)
			c.fence = max(c.fence, s.fence)
		}
		for _, f := range c.formers {
			if sameProcess(f.holder, s.owner) {
				f.hold.begin(s.fence, until)
				f.fence = max(f.fence, s.fence)
			}
		}
	}
}

// mayLeave reports whether the plan that is being written takes a range from an
// owner that did not hold it when the plan was made, and thus does not count it as
// a former one.
func (k *Keeper) mayLeave(s *span) bool {
	return s.hold.until() <= k.proposedAt && slices.ContainsFunc(k.moves, func(m Move) bool { return m.Keys.Overlaps(s.keys) })
}

// Done takes the result of an order that Step returned.
func (k *Keeper) Done(r Result, now time.Duration) {
	for _, spans := range [][]*span{k.spans, k.saving} {
		for _, s := range spans {
			if !s.keys.Overlaps(r.Order.Keys) {
				continue
			}
			if r.Order.Release {
				k.released(s, r, now)
			} else {
				k.granted(s, r, now)
			}
		}
	}
}

func (k *Keeper) released(s *span, r Result, now time.Duration) {
	for _, f := range s.formers {
		if sameProcess(f.holder, r.Order.To) {
			f.inFlight = false
			f.next = now + k.opts.Retry
		}
	}
	if r.Err != nil || !r.Order.Keys.Contains(s.keys) {
		return
	}
	before := len(s.formers)
	s.formers = slices.DeleteFunc(s.formers, func(f *former) bool {
		return !f.owner && sameProcess(f.holder, r.Order.To) && r.Order.Fence > f.fence
	})
	if len(s.formers) == before {
		return
	}
	k.dirty, k.outdated = true, true
	if r.Handover != "" && r.Order.Keys == s.keys {
		s.handover = r.Handover
	}
}

func (k *Keeper) granted(s *span, r Result, now time.Duration) {
	// Without an answer, the target may have taken the grant up to now.
	until := now + k.longest(r.Order.Hold)
	if errors.Is(r.Err, ErrNotDone) || errors.Is(r.Err, ErrFenced) {
		until = 0
	}
	for _, f := range s.formers {
		if sameProcess(f.holder, r.Order.To) {
			f.hold.end(r.Order.Fence, until)
		}
	}
	if !sameProcess(s.owner, r.Order.To) {
		return
	}
	s.hold.end(r.Order.Fence, until)
	s.inFlight = false
	s.next = now
	if s.owner != r.Order.To || !r.Order.Keys.Contains(s.keys) {
		return
	}
	k.noteGrant(s, r, now)
}

func (k *Keeper) noteGrant(s *span, r Result, now time.Duration) {
	switch {
	case r.Err == nil:
		if !s.held || s.lost {
			k.dirty = true
		}
		s.held, s.lost, s.failures, s.hold.foreign = true, false, 0, 0
		s.handover = ""
		s.next = now + k.opts.Renew
	case errors.Is(r.Err, ErrFenced):
		s.next = now + k.opts.Retry
		k.opts.Logger.Warn("target refused a grant: higher fencing token seen", "target", s.owner.ID,
			"from", s.keys.From, "to", s.keys.To, "fence", r.Order.Fence)
	case errors.Is(r.Err, ErrNotSent):
		s.next = now + k.opts.Retry
	default:
		s.failures++
		s.next = now + k.opts.Retry
		if s.failures >= renewalFailures && !s.lost {
			s.lost = true
			k.dirty = true
			k.opts.Logger.Warn("owner does not answer renewals", "target", s.owner.ID, "from", s.keys.From,
				"to", s.keys.To, "failures", s.failures, "held_for_ms", (s.hold.until() - now).Milliseconds(), "error", r.Err.Error())
		}
	}
}

// Hasten makes the renewals of the owners due now for which the function returns true.
func (k *Keeper) Hasten(now time.Duration, which func(Holder) bool) {
	for _, s := range k.spans {
		if which(s.owner) {
			s.next = min(s.next, now)
		}
	}
}

// MayOwn reports whether ranges may be given to the target: it is not lost.
func (k *Keeper) MayOwn(h Holder) bool {
	return !slices.ContainsFunc(k.spans, func(s *span) bool { return s.owner == h && s.lost })
}

// Owned describes a range for planning.
type Owned struct {
	Keys  KeyRange
	Owner Holder
	// Settled ranges are held by their owner and may move.
	Settled bool
	// MustMove is set if the owner cannot go on with the range, because it is lost.
	MustMove bool
	Since    time.Duration
}

// Owned returns the ranges for planning.
func (k *Keeper) Owned() []Owned {
	out := make([]Owned, len(k.spans))
	for i, s := range k.spans {
		out[i] = Owned{
			Keys: s.keys, Owner: s.owner, Since: s.since,
			Settled:  s.held && len(s.formers) == 0 && !s.lost,
			MustMove: s.lost,
		}
	}
	return out
}

// Revive lets a lost owner be asked again once its lease has ended.
func (k *Keeper) Revive(now time.Duration) {
	for _, s := range k.spans {
		if s.lost && now > s.hold.until() {
			s.lost, s.failures, s.next = false, renewalFailures-1, now
		}
	}
}

// TakeTable returns a new table if something changed since the last one, else nil.
func (k *Keeper) TakeTable(now time.Duration) *Table {
	if !k.dirty {
		return nil
	}
	k.dirty = false
	k.seq++
	t := &Table{Version: Version{k.term, k.seq}}
	for _, s := range k.spans {
		e := Entry{Keys: s.keys, Owner: s.owner, Held: s.held && !s.lost}
		if !e.Held {
			e.Wait = k.wait(s, now)
		}
		t.Entries = append(t.Entries, e)
	}
	return t
}

// wait returns how long it takes at most until another target may own the range.
func (k *Keeper) wait(s *span, now time.Duration) time.Duration {
	var wait time.Duration
	for _, f := range s.formers {
		wait = max(wait, f.hold.until()-now)
	}
	if s.lost {
		wait = max(wait, s.hold.until()-now)
	}
	return wait
}
