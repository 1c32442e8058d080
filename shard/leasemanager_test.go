package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// answerOrders reports results for the due orders: grants and releases succeed, except
// those to the target with the ID silent, to which no connection can be made.
func answerOrders(k *LeaseManager, now time.Duration, silent string) {
	for _, o := range k.DueOrders(now) {
		r := Result{Order: o, Handover: "h"}
		if o.To.ID == silent {
			r.Err = errors.WithMessage(ErrNotDone, "connection refused")
		}
		k.HandleResult(r, now)
	}
}

// A successor must not wait again for a former owner whose lease ended while the previous
// assigner waited for it.
func TestRecordDropsFormerOwnersWithExpiredLeases(t *testing.T) {
	is := is.New(t)
	a, b := Holder{ID: "a", Address: "a:1"}, Holder{ID: "b", Address: "b:1"}
	k := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	k.Propose([]Move{{AllKeys, a}}, 0)
	k.FinishProposal(true)
	answerOrders(k, 0, "")
	k.Propose([]Move{{AllKeys, b}}, time.Second)
	k.FinishProposal(true)
	is.True(!k.RecordOutdated())
	now := time.Second
	for ; !k.OwnedRanges()[0].Settled; now += 100 * time.Millisecond {
		answerOrders(k, now, "a")
		is.True(now < 6*time.Second)
	}
	is.True(k.RecordOutdated())
	r := k.Record()
	is.Equal(len(r.Ranges[0].FormerOwners), 0)
	is.True(!k.RecordOutdated())

	next := NewLeaseManager(LeaseOptions{}, 2, r, now, now)
	answerOrders(next, now, "a")
	is.True(next.OwnedRanges()[0].Settled)
}
