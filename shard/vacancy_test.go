package shard

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store/memstore"
)

// Guards against orders of a successor beside those of an assigner that only the store refuses.
func TestUnconfirmedAssignerActsForOneLeaseAfterItsLastConfirmation(t *testing.T) {
	is := is.New(t)
	const roleLease = 800 * time.Millisecond
	stored := memstore.New(memstore.Options{})
	server, err := peer.Listen(peer.ServerOptions{Address: "127.0.0.1:0", Handler: func(ctx context.Context, s *peer.Stream) {
		began := boottime.Now()
		for {
			confirmed, beat := boottime.Now(), uint64(0)
			if confirmed-began > 3*roleLease { // The last confirmation was then.
				confirmed, beat = began+3*roleLease, 1
			}
			ago := boottime.Now() - confirmed
			u := &pb.ShardUpdate{Term: 1, Beat: beat, ConfirmedMsAgo: uint32(ago.Milliseconds())}
			if s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: u}}) != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Run(ctx) }()

	r := role{VM: "old", Address: server.Addr(), Term: 1}
	version, err := putRole(t.Context(), stored, r, 0)
	is.NoErr(err)
	a := NewAgent(AgentOptions{
		VM: "next", Address: "127.0.0.1:2", Store: stored, RoleLease: roleLease,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "next", Role: "test"}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	s := assignerSearch{agent: a, seen: version, seenAt: boottime.Now()}
	go func() { // The old assigner's second write.
		time.Sleep(roleLease)
		confirmed := r
		confirmed.Beat = 1
		_, _ = putRole(context.WithoutCancel(t.Context()), stored, confirmed, version)
	}()
	v := s.checkVacancy(ctx, r, version)
	now := boottime.Now()
	is.Equal(v.reason, "the store does not confirm the assigner")
	is.Equal(v.role.Beat, uint64(1))
	a.mu.Lock()
	confirmedAt := a.lastConfirmation.confirmedAt
	a.mu.Unlock()
	p, _ := a.predecessorOf(*v.role, v.version, v, now)
	const rounding = 5 * time.Millisecond // The assigner reports whole milliseconds.
	for _, permitted := range []time.Duration{v.actsUntil, p.until, p.orderableFrom()} {
		if early := confirmedAt + roleLease - permitted; early > rounding {
			t.Errorf("orders are permitted %v too early", early)
		}
	}
}
