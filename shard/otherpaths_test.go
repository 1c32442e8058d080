package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// A move whose write had no answer counted as not made, and the former owner got the keys again, unknown to a successor.
func TestMoveOfUnknownOutcomeGivesNoKeysToAnOwnerThatTheRecordLeavesOut(t *testing.T) {
	is := is.New(t)
	old, next := Holder{ID: "old", Address: "a:1", Born: 1}, Holder{ID: "next", Address: "b:1", Born: 1}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, old}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	now := 4 * time.Second
	for range maxRenewalFailures {
		now += time.Second
		answerOrders(lm, now, old.ID)
	}
	is.True(lm.OwnedRanges()[0].MustMove)
	written := lm.Propose([]Move{{AllKeys, next}}, now)
	is.Equal(len(written.Ranges[0].FormerOwners), 0) // The lease of the old owner has ended.

	a := &assigner{
		agent:    NewAgent(AgentOptions{VM: "a"}),
		services: map[string]*serviceState{"s": {name: "s", leases: lm, saving: true, written: true}},
	}
	a.handleSaved(saveResult{service: "s", err: errors.Wrap(store.ErrUnknown, "s")})
	lm.RetryLost(now)
	for _, o := range lm.DueOrders(now) {
		if o.To == old && !o.Release {
			t.Fatalf("keys %d to %d are granted to %v, while the record may give them to %v alone", o.Keys.From, o.Keys.To, o.To, next)
		}
	}
}
