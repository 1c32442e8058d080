package shard

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/store/memstore"
)

// sentGrants is an Orders whose targets accept every grant that has time left.
type sentGrants []Holder

func (s *sentGrants) Grant(_ context.Context, to Holder, _ Grant, timeout time.Duration) error {
	if timeout <= 0 {
		return ErrNotSent
	}
	*s = append(*s, to)
	return nil
}

func (s *sentGrants) Release(context.Context, Holder, KeyRange, uint64, time.Duration) (string, error) {
	return "", nil
}

func (s *sentGrants) CloseIdle(string) {}

// On an overloaded assigner, a grant left seconds after it was due, when its keys had another owner.
func TestGrantThatLeavesAfterItsBoundGivesNoKeysOfAnotherOwner(t *testing.T) {
	is := is.New(t)
	late, next := Holder{ID: "late", Address: "a:1"}, Holder{ID: "next", Address: "b:1"}
	now := boottime.Now()
	due := now - 5*time.Second
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, due, due)
	lm.Propose([]Move{{AllKeys, late}}, due)
	lm.FinishProposal(true)
	waiting := lm.DueOrders(due)
	is.Equal(len(waiting), 1)
	lm.Propose([]Move{{AllKeys, next}}, now)
	lm.FinishProposal(true)

	var sent sentGrants
	a := &assigner{agent: &Agent{opts: AgentOptions{RoleLease: time.Hour, Orders: &sent}}}
	a.confirmedAt.Store(int64(now))
	for _, o := range lm.DueOrders(now) {
		is.True(o.Release) // The grant may still leave, as far as the LeaseManager knows.
	}
	is.True(errors.Is(a.sendOrder(t.Context(), waiting[0]).Err, ErrNotSent))
	if len(sent) > 0 {
		t.Fatalf("%d grants left too late", len(sent))
	}
	timely := waiting[0]
	timely.DueAt = boottime.Now()
	is.NoErr(a.sendOrder(t.Context(), timely).Err)
	is.Equal(len(sent), 1)
}

// A role whose take-over was a slow write was confirmed so late that another VM took it over again.
func TestRoleOfASlowTakeOverIsConfirmedInTime(t *testing.T) {
	is := is.New(t)
	stored := memstore.New(memstore.Options{})
	r := role{VM: "a", Term: 1}
	version, err := putRole(t.Context(), stored, r, 0)
	is.NoErr(err)
	agent := NewAgent(AgentOptions{VM: "a", Store: stored, RoleLease: time.Minute})
	a := newAssigner(t.Context(), agent, 1, boottime.Now()-20*time.Second, predecessor{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.confirmRole(a.ctx, r, version)
	}()
	soon, cancel := context.WithTimeout(t.Context(), 10*time.Second) // Half of the interval.
	defer cancel()
	events, err := stored.Watch(soon, rolePrefix, version)
	is.NoErr(err)
	is.Equal(len(events), 1)
	close(a.done)
	a.stop(errSuperseded)
	<-ended
}

// An assigner that had been superseded without knowing took the record of its successor over and moved keys, unknown to it.
func TestSupersededAssignerLeavesTheRecordToItsSuccessor(t *testing.T) {
	for _, term := range []uint64{6, 7} {
		is := is.New(t)
		stored := memstore.New(memstore.Options{})
		data, err := (&Record{Term: term, NextFence: 100, Ranges: []RangeRecord{{Keys: AllKeys, Owner: Holder{ID: "t", Address: "t:1"}}}}).Encode()
		is.NoErr(err)
		written, err := stored.Put(t.Context(), RangePrefix+"s", data, 0)
		is.NoErr(err)
		agent := NewAgent(AgentOptions{VM: "a", Store: stored})
		a := newAssigner(t.Context(), agent, 6, boottime.Now(), predecessor{})
		is.True(a.takeOverService(a.ctx, &serviceState{name: "s"}) != nil)
		is.Equal(context.Cause(a.ctx), errSuperseded)
		is.Equal(agent.highestTerm(), term) // The next take-over is above it.
		is.Equal(stored.Revision(), written)
	}
}
