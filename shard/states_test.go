package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store/memstore"
)

// Guards against a restarted VM that knows no speeds of targets that have not changed since.
func TestNewFollowerGetsAllTargetStates(t *testing.T) {
	is := is.New(t)
	agent := NewAgent(AgentOptions{
		VM: "a", Address: "127.0.0.1:1", Store: memstore.New(memstore.Options{}), RoleLease: time.Second,
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "a", Role: "test"}),
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	a := newAssigner(t.Context(), agent, 1, boottime.Now(), predecessor{})
	now := time.Minute
	a.targets.addReport(&pb.TargetReport{Target: "slow", ServiceMicros: 900_000, Answers: 10}, now)
	broadcast := func() { a.broadcast(a.changedTargets(now), func() []*pb.TargetState { return a.targets.all(now) }) }
	known := &follower{address: "127.0.0.1:2", queue: make(chan *pb.ShardUpdate, 8)}
	a.followers[known] = struct{}{}
	broadcast()
	is.Equal(len((<-known.queue).GetTargets()), 1)
	now += targetsInterval
	restarted := &follower{address: "127.0.0.1:3", queue: make(chan *pb.ShardUpdate, 8)}
	a.followers[restarted] = struct{}{}
	broadcast()
	is.Equal(len((<-known.queue).GetTargets()), 0)
	first := (<-restarted.queue).GetTargets()
	is.Equal(len(first), 1)
	is.Equal(first[0].GetServiceMicros(), uint32(900_000))
}
