package shard

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// A VM that knows the assigner's last confirmation waits for the end of the role lease
// from that confirmation. A VM that knows only an older one must wait a whole role lease
// from when it first read the role.
func TestSilentAssignerActsForOneLeaseAfterItsLastConfirmation(t *testing.T) {
	is := is.New(t)
	a := NewAgent(AgentOptions{RoleLease: 3 * time.Second})
	now := boottime.Now()
	a.lastConfirmation = roleConfirmation{term: 4, beat: 9, confirmedAt: now - 2*time.Second}
	s := assignerSearch{agent: a, seenAt: now}
	is.Equal(s.actsUntil(role{Term: 4, Beat: 9}), now+time.Second)
	is.Equal(s.actsUntil(role{Term: 4, Beat: 10}), now+3*time.Second)
	is.Equal(s.actsUntil(role{Term: 5, Beat: 9}), now+3*time.Second)
}

// takingStore is a store in which another VM takes the role over right before the read with the number takenBeforeRead.
type takingStore struct {
	store.Store
	reads, takenBeforeRead int
}

func (s *takingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.reads++
	if s.reads == s.takenBeforeRead {
		r, version, err := readRole(ctx, s.Store)
		if err != nil {
			return store.Object{}, err
		}
		if _, err := putRole(ctx, s.Store, role{VM: "preferred", Address: "127.0.0.1:1", Term: r.Term + 1}, version); err != nil {
			return store.Object{}, err
		}
	}
	return s.Store.Get(ctx, key)
}

// A VM with a take-over delay often finds a lost assigner first, because there are more such VMs. It must not take over
// before a preferred VM has had the time to do so.
func TestVMWithTakeOverDelayLeavesTheRoleToPreferredVM(t *testing.T) {
	is := is.New(t)
	stored := &takingStore{Store: memstore.New(memstore.Options{}), takenBeforeRead: 2}
	a := NewAgent(AgentOptions{
		VM: "small", Address: "127.0.0.1:2", Store: stored, TakeOverDelay: 20 * time.Millisecond, RoleLease: time.Second,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "small", Role: "test"}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	s := assignerSearch{agent: a}
	s.step(ctx)
	r, _, err := readRole(t.Context(), stored.Store)
	is.NoErr(err)
	is.Equal(r.VM, "preferred")
}

// The end of a silent assigner's role often comes right after a VM has failed to reach it. The VM must not begin another
// search then, which can take longer than the role.
func TestRoleIsTakenOverAtTheEndOfTheSilentAssignersLease(t *testing.T) {
	is := is.New(t)
	stored := memstore.New(memstore.Options{})
	_, err := putRole(t.Context(), stored, role{VM: "silent", Address: "127.0.0.1:1", Term: 1}, 0)
	is.NoErr(err)
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }
	a := NewAgent(AgentOptions{
		VM: "next", Address: "127.0.0.1:2", Store: stored, RoleLease: 100 * time.Millisecond,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "next", Role: "test", Dial: dial}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		s := assignerSearch{agent: a}
		s.step(ctx) // Acts as the assigner until the context ends.
	}()
	for {
		r, _, err := readRole(t.Context(), stored)
		is.NoErr(err)
		if r.VM == "next" {
			break
		}
		select {
		case <-taken:
			t.Fatal("the search ended without a take-over")
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	<-taken
}
