package shard

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// answerOrders reports results for the due orders: grants and releases succeed, except
// those to the target with the ID silent, to which no connection can be made.
func answerOrders(lm *LeaseManager, now time.Duration, silent string) {
	for _, o := range lm.DueOrders(now) {
		r := Result{Order: o, Handover: "h"}
		if o.To.ID == silent {
			r.Err = errors.WithMessage(ErrNotDone, "connection refused")
		}
		lm.HandleResult(r, now)
	}
}

// A successor must not wait again for a former owner whose lease ended while the previous
// assigner waited for it.
func TestRecordDropsFormerOwnersWithExpiredLeases(t *testing.T) {
	is := is.New(t)
	a, b := Holder{ID: "a", Address: "a:1"}, Holder{ID: "b", Address: "b:1"}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, a}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	lm.Propose([]Move{{AllKeys, b}}, time.Second)
	lm.FinishProposal(true)
	is.True(!lm.RecordOutdated())
	now := time.Second
	for ; !lm.OwnedRanges()[0].Settled; now += 100 * time.Millisecond {
		answerOrders(lm, now, "a")
		is.True(now < 6*time.Second)
	}
	is.True(lm.RecordOutdated())
	r := lm.Record()
	is.Equal(len(r.Ranges[0].FormerOwners), 0)
	is.True(!lm.RecordOutdated())

	next := NewLeaseManager(LeaseOptions{}, 2, r, now, now)
	answerOrders(next, now, "a")
	is.True(next.OwnedRanges()[0].Settled)
}

// A renewal that is in flight when the store stops confirming the role has the short lease. The
// owner must get a long one as soon as the renewal is answered: the role ends before the next
// renewal is due, and the keys would be without an owner for the rest of the outage.
func TestRenewalInFlightAtTheStartOfAnOutageIsFollowedByALongLease(t *testing.T) {
	is := is.New(t)
	a := Holder{ID: "a", Address: "a:1"}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, a}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	renewals := lm.DueOrders(time.Second)
	is.Equal(len(renewals), 1)
	is.Equal(renewals[0].LeaseDuration, 3*time.Second)
	lm.SetStoreOutage(true, 1100*time.Millisecond)
	is.Equal(len(lm.DueOrders(1100*time.Millisecond)), 0) // One order for a range at a time.
	lm.HandleResult(Result{Order: renewals[0]}, 1200*time.Millisecond)
	long := lm.DueOrders(1200 * time.Millisecond)
	is.Equal(len(long), 1)
	is.Equal(long[0].LeaseDuration, 9*time.Second)
	lm.HandleResult(Result{Order: long[0]}, 1300*time.Millisecond)
	is.Equal(len(lm.DueOrders(1300*time.Millisecond)), 0)
}

// A range seemed tracked by a proposal that did not list its owner, and the next owner got the keys without a release.
func TestGrantDuringAProposalThatDoesNotListTheOwnerIsHeldBack(t *testing.T) {
	is := is.New(t)
	x, z := Holder{ID: "x", Address: "x:1"}, Holder{ID: "z", Address: "z:1"}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, x}}, 0)
	lm.FinishProposal(true)
	lm.Propose([]Move{{AllKeys, z}}, time.Second) // Being written.
	is.Equal(len(lm.DueOrders(time.Second)), 0)
	lm.ranges[0].bound.end(0, 5*time.Second)
	is.Equal(len(lm.DueOrders(2*time.Second)), 0)
	lm.FinishProposal(true)
	orders := lm.DueOrders(2 * time.Second)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].To, z)
}

// A target that had answered a release and restarted at once took a grant that was under way meanwhile.
func TestReleaseDoesNotEndAGrantUnderWay(t *testing.T) {
	is := is.New(t)
	x, y := Holder{ID: "x", Address: "x:1"}, Holder{ID: "y", Address: "y:1"}
	const ms = time.Millisecond
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, x}}, 0)
	lm.FinishProposal(true)
	grant := lm.DueOrders(0)[0]
	lm.Propose([]Move{{AllKeys, y}}, 0)
	lm.FinishProposal(true)
	release := lm.DueOrders(10 * ms)[0]
	is.True(release.Release)
	lm.HandleResult(Result{Order: release, Handover: "h"}, 20*ms)
	for _, o := range lm.DueOrders(200 * ms) {
		is.True(o.Release) // No grant to y.
		release = o
	}
	lm.HandleResult(Result{Order: grant}, 300*ms)
	lm.HandleResult(Result{Order: release}, 310*ms)
	next := lm.DueOrders(310 * ms)
	is.Equal(len(next), 1)
	is.Equal(next[0].To, y)
	is.Equal(next[0].Handover, "h")
}

// An assigner took its filled link for an outage of the store, and its long leases outlasted what its successor counted.
func TestLongLeasesAreNotSentThroughAFilledLink(t *testing.T) {
	is := is.New(t)
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{KeyRange{0, 99}, Holder{ID: "a", Address: "a:1"}}, {KeyRange{100, LastKey}, Holder{ID: "b", Address: "b:1"}}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	renewals := lm.DueOrders(time.Second)
	is.Equal(len(renewals), 2)
	now := time.Second + renewals[0].Timeout
	lm.HandleResult(Result{Order: renewals[0], Err: os.ErrDeadlineExceeded}, now)
	lm.SetStoreOutage(true, now+filledLinkAge)
	short := lm.DueOrders(now + filledLinkAge)
	is.Equal(len(short), 1)
	is.Equal(short[0].LeaseDuration, 3*time.Second)
	// The answer to an order that began after the unanswered one has ended shows that the link is free.
	lm.HandleResult(Result{Order: short[0]}, now+filledLinkAge)
	long := lm.DueOrders(now + filledLinkAge)
	is.Equal(len(long), 1)
	is.Equal(long[0].LeaseDuration, 9*time.Second)
}

// A long lease of a silent predecessor arrived late, out of the link of its VM, and outlasted what its successor counted.
func TestLeasesOfASilentPredecessorMayArriveLate(t *testing.T) {
	is := is.New(t)
	holder := Holder{ID: "t", Address: "a", Born: 1}
	record := &Record{Term: 1, NextFence: 5, Ranges: []RangeRecord{{Keys: AllKeys, Owner: holder}}}
	const callsEnd, lease = 4 * time.Second, 9 * time.Second
	for _, read := range []time.Duration{time.Second, callsEnd - 1, callsEnd, callsEnd + 100*time.Millisecond, callsEnd + time.Second} {
		lm := NewLeaseManager(LeaseOptions{LongLeaseDuration: lease}, 2, record, read, callsEnd)
		lm.AllowLateOrders(callsEnd + 2*time.Second)
		is.True(lm.ranges[0].bound.until() >= callsEnd+2*time.Second+lease*102/100)
		// What shows that the predecessor has stopped came behind its orders.
		if stopped := callsEnd - 500*time.Millisecond; read < stopped {
			lm.LimitPredecessor(stopped, stopped)
			is.Equal(lm.ranges[0].bound.until(), stopped+lm.maxLease(lease))
		}
	}
}

// An order that was answered late, after the call of a grant had ended, seemed to show that the grant had left the link.
func TestOnlyCallsAfterTheEndOfAGrantShowItsArrival(t *testing.T) {
	is := is.New(t)
	x, y, z := Holder{ID: "x", Address: "x:1"}, Holder{ID: "y", Address: "y:1"}, Holder{ID: "z", Address: "z:1"}
	const ms = time.Millisecond
	low, high := KeyRange{0, 99}, KeyRange{100, LastKey}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{low, x}, {high, y}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	lm.Propose([]Move{{low, z}}, 900*ms)
	lm.FinishProposal(true)
	release := lm.DueOrders(900 * ms)
	is.Equal(len(release), 1)
	renewal := lm.DueOrders(1000 * ms)
	is.Equal(len(renewal), 1)
	is.Equal(renewal[0].To, y)
	lm.HandleResult(Result{Order: renewal[0], Err: os.ErrDeadlineExceeded}, 1800*ms)
	lm.HandleResult(Result{Order: release[0]}, 1850*ms)
	is.Equal(lm.ranges[1].bound.until(), unbounded)
	for _, o := range lm.DueOrders(1900 * ms) {
		if o.To == z {
			lm.HandleResult(Result{Order: o}, 1950*ms)
		}
	}
	bound := lm.ranges[1].bound
	is.Equal(bound.ended, 1950*ms+lm.maxLease(3*time.Second))
}

// renewedTogether returns a LeaseManager that has merged two ranges of one owner while the renewal of the lower one is
// under way, and that renewal.
func renewedTogether(t *testing.T) (*LeaseManager, Order) {
	is := is.New(t)
	const ms = time.Millisecond
	x, z := Holder{ID: "x", Address: "x:1"}, Holder{ID: "z", Address: "z:1"}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{KeyRange{0, 99}, x}, {KeyRange{100, 199}, x}, {KeyRange{200, LastKey}, z}}, 0)
	lm.FinishProposal(true)
	for i, o := range lm.DueOrders(0) {
		lm.HandleResult(Result{Order: o}, min(time.Duration(1+i*600), 600)*ms)
	}
	renewals := lm.DueOrders(1010 * ms)
	is.Equal(len(renewals), 1)
	lm.Propose([]Move{{KeyRange{300, 300}, x}}, 1020*ms) // Any write merges neighbours.
	lm.FinishProposal(true)
	is.Equal(lm.ranges[0].keys, KeyRange{0, 199})
	return lm, renewals[0]
}

// After a merge and a split, the part that a grant did not cover had no owner, or was not renewed, for the rest of the term.
func TestSplitRangesAreGrantedAfterAMerge(t *testing.T) {
	high, y := KeyRange{100, 199}, Holder{ID: "y", Address: "y:1"}
	for name, split := range map[string]func(*LeaseManager){
		"upper part moved": func(lm *LeaseManager) { lm.Propose([]Move{{high, y}}, 1200*time.Millisecond); lm.FinishProposal(true) },
		"lower part moved": func(lm *LeaseManager) {
			lm.Propose([]Move{{KeyRange{0, 99}, y}}, 1200*time.Millisecond)
			lm.FinishProposal(true)
		},
		"hot key": func(lm *LeaseManager) { lm.SetShares(map[Key]int{150: 500}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lm, renewal := renewedTogether(t)
			split(lm)
			lm.HandleResult(Result{Order: renewal}, 1400*time.Millisecond)
			granted := map[Key]int{}
			for now := 1400 * time.Millisecond; now < 30*time.Second; now += 50 * time.Millisecond {
				for _, o := range lm.DueOrders(now) {
					if !o.Release {
						granted[o.Keys.From]++
					}
					lm.HandleResult(Result{Order: o, Handover: "h"}, now+5*time.Millisecond)
				}
			}
			for _, s := range lm.ranges {
				is.True(s.held)
				is.Equal(len(s.formerOwners), 0)
				is.True(granted[s.keys.From] >= 20)
			}
		})
	}
}

// A superseded assigner renewed a lease at a target that had restarted, with a token below that of its successor.
func TestNoOrderIsDueWhileThePredecessorActs(t *testing.T) {
	is := is.New(t)
	holder := Holder{ID: "t", Address: "a", Born: 1}
	record := &Record{Term: 1, NextFence: 5, Ranges: []RangeRecord{{Keys: KeyRange{0, LastKey}, Owner: holder}}}
	lm := NewLeaseManager(LeaseOptions{}, 2, record, time.Second, 4*time.Second)
	is.Equal(len(lm.DueOrders(4*time.Second-1)), 0)
	lm.LimitPredecessor(5*time.Second, 5*time.Second) // Not earlier, so it has no effect.
	is.Equal(len(lm.DueOrders(4*time.Second-1)), 0)
	before := lm.ranges[0].bound.until()
	lm.LimitPredecessor(2*time.Second, 2*time.Second)
	is.Equal(before-lm.ranges[0].bound.until(), 2*time.Second)
	is.Equal(len(lm.DueOrders(2*time.Second-1)), 0)
	is.Equal(len(lm.DueOrders(2*time.Second)), 1)
}

// An assigner without moves used up its fencing tokens after 2^20 renewals, and sent no order any more: all leases
// ended until the next move.
func TestRenewalsNeverRunOutOfFencingTokens(t *testing.T) {
	for _, tt := range []struct {
		ranges int
		length time.Duration
	}{{38, 8 * time.Hour}, {1000, 18 * time.Minute}} {
		if testing.Short() && tt.ranges > 38 {
			continue
		}
		record := &Record{Term: 1, NextFence: 1}
		size := (int(LastKey) + 1) / tt.ranges
		for i := range tt.ranges {
			keys := KeyRange{Key(i * size), Key((i+1)*size - 1)}
			// Neighbours have other owners, so that they are not merged.
			record.Ranges = append(record.Ranges, RangeRecord{Keys: keys, Owner: Holder{ID: string(rune('a' + i%2)), Address: "x"}})
		}
		lm := NewLeaseManager(LeaseOptions{}, 2, record, 0, 0)
		highest := uint64(0)
		for now := time.Duration(0); now < tt.length; now += time.Second {
			orders := lm.DueOrders(now)
			if len(orders) != tt.ranges {
				t.Fatalf("%d of %d renewals are due after %v", len(orders), tt.ranges, now)
			}
			for _, o := range orders {
				if o.Fence <= highest {
					t.Fatalf("token %d was used after %d", o.Fence, highest)
				}
				highest = o.Fence
				lm.HandleResult(Result{Order: o}, now)
			}
			if r := lm.Propose(nil, now); r != nil {
				if r.NextFence <= highest {
					t.Fatalf("the record reserves tokens up to %d, and %d is used", r.NextFence, highest)
				}
				lm.FinishProposal(true)
			}
		}
	}
}

// takenOver returns a LeaseManager of term 2 that takes over a range of x from an assigner that has stopped at the instant zero.
func takenOver(x Holder) *LeaseManager {
	return NewLeaseManager(LeaseOptions{}, 2, &Record{Term: 1, NextFence: 5, Ranges: []RangeRecord{{Keys: AllKeys, Owner: x}}}, 0, 0)
}

// grantedAt moves all keys to the holder at the instant and returns when they are granted to it. The target x answers nothing.
func grantedAt(lm *LeaseManager, to, x Holder, now time.Duration) time.Duration {
	lm.Propose([]Move{{AllKeys, to}}, now)
	lm.FinishProposal(true)
	for ; ; now += 10 * time.Millisecond {
		for _, o := range lm.DueOrders(now) {
			if !sameTarget(o.To, x) {
				return now
			}
			lm.HandleResult(Result{Order: o, Err: os.ErrDeadlineExceeded}, now)
		}
	}
}

// A target kept a long lease of the previous assigner beside a shorter one of its successor, which gave the keys on before its end.
func TestHoldOfEarlierAssignerOutlastsAShorterGrant(t *testing.T) {
	is := is.New(t)
	x, y := Holder{ID: "x", Address: "x:1"}, Holder{ID: "y", Address: "y:1"}
	lm := takenOver(x)
	longest := lm.maxLease(9 * time.Second)
	answerOrders(lm, 0, "")
	is.True(lm.OwnedRanges()[0].Settled)
	granted := grantedAt(lm, y, x, time.Second)
	if granted <= longest {
		t.Errorf("the keys were granted on after %v, within the lease of %v", granted, longest)
	}

	// After a release that x has answered, its lease is over.
	lm = takenOver(x)
	answerOrders(lm, 0, "")
	lm.Propose([]Move{{AllKeys, y}}, time.Second)
	lm.FinishProposal(true)
	answerOrders(lm, time.Second, "")
	orders := lm.DueOrders(time.Second)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].To, y)
}

// A lost owner without which nobody may own its keys was asked again only after the longest lease of the previous assigner.
func TestLostOwnerIsRetriedBeforeItsLeaseOfAnEarlierAssignerEnds(t *testing.T) {
	is := is.New(t)
	x := Holder{ID: "x", Address: "x:1"}
	lm := takenOver(x)
	answerOrders(lm, 0, "")
	now := time.Second
	for ; lm.MayOwn(x); now += 100 * time.Millisecond {
		answerOrders(lm, now, "x")
	}
	is.True(now < 2*time.Second)
	lm.RetryLost(now)
	is.True(!lm.MayOwn(x)) // Its keys move meanwhile, if another target may own them.
	for ; !lm.MayOwn(x); now += 100 * time.Millisecond {
		lm.RetryLost(now)
	}
	if now > 4*time.Second {
		t.Errorf("the lost owner is asked again after %v", now)
	}
	answerOrders(lm, now, "")
	is.True(lm.OwnedRanges()[0].Settled)

	// One that has answered nothing since the take-over keeps the keys from others for the longest lease.
	lm = takenOver(x)
	for now = 0; lm.MayOwn(x); now += 100 * time.Millisecond {
		answerOrders(lm, now, "x")
	}
	for ; !lm.MayOwn(x); now += 100 * time.Millisecond {
		lm.RetryLost(now)
	}
	is.True(now > lm.maxLease(9*time.Second))
}

// A long lease of the first of three assigners, of which the second one dies soon, is over before the third one gives its keys on.
func TestHoldOutlastsTwoTakeOvers(t *testing.T) {
	x, y := Holder{ID: "x", Address: "x:1"}, Holder{ID: "y", Address: "y:1"}
	for name, movedAt := range map[string]time.Duration{"the second one moves the keys": time.Second, "the third one does": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
			first.Propose([]Move{{AllKeys, x}}, 0)
			first.FinishProposal(true)
			first.SetStoreOutage(true, 0)
			answerOrders(first, 0, "")
			holdEnds := first.ranges[0].bound.until()
			is.Equal(holdEnds, first.maxLease(9*time.Second))

			second := NewLeaseManager(LeaseOptions{}, 2, first.Record(), 0, 0)
			answerOrders(second, 0, "")
			record := second.Record()
			if movedAt > 0 {
				record = second.Propose([]Move{{AllKeys, y}}, movedAt)
				second.FinishProposal(true)
				answerOrders(second, movedAt, "x")
			}
			for _, o := range second.DueOrders(2 * time.Second) {
				is.Equal(o.To, x)
			}

			third := NewLeaseManager(LeaseOptions{}, 3, record, 2*time.Second, 2*time.Second)
			is.True(grantedAt(third, y, x, 2*time.Second) > holdEnds)
		})
	}
}

// Guards against a lost owner that is asked again and then keeps its keys from others for longer than the previous assigner's leases do.
func TestRetryOfALostOwnerDoesNotProlongTheWait(t *testing.T) {
	const step = 100 * time.Millisecond
	x, y, z := Holder{ID: "x", Address: "x:1"}, Holder{ID: "y", Address: "y:1"}, Holder{ID: "z", Address: "z:1"}
	lm := NewLeaseManager(LeaseOptions{}, 2, &Record{Term: 1, NextFence: 5, Ranges: []RangeRecord{
		{Keys: KeyRange{0, 99}, Owner: x}, {Keys: KeyRange{100, LastKey}, Owner: z},
	}}, 0, 0)
	// act answers the orders that are due, except those to the silent target, whose calls time out.
	act := func(now time.Duration, silent Holder) {
		for _, o := range lm.DueOrders(now) {
			r := Result{Order: o}
			if o.To == silent {
				r.Err = os.ErrDeadlineExceeded
			}
			lm.HandleResult(r, now)
		}
	}
	now := time.Duration(0)
	for ; now < 2*time.Second; now += step {
		act(now, Holder{})
	}
	for ; now < 9*time.Second; now += step {
		act(now, x)
		lm.RetryLost(now)
	}
	lm.Propose([]Move{{KeyRange{0, 99}, y}}, now)
	lm.FinishProposal(true)
	for !lm.OwnedRanges()[0].Settled {
		act(now, x)
		now += step
	}
	if longest := lm.maxLease(9*time.Second) + 2*step; now > longest {
		t.Errorf("the keys have another owner after %v, more than %v", now, longest)
	}
}
