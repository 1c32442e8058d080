package shard

import (
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
