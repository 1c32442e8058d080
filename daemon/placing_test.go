package daemon

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/store"
)

func newIdleNode() *nodeProcess {
	return newNodeProcess(&NodeSettings{
		Process: Process{VM: "vm0", Region: "r1", DataCentre: "dc1"}, Peer: Peer{Listen: "127.0.0.1:1"},
		Gateway: GatewaySettings{Regions: []string{"dc1=r1"}, MemoryMB: 256, QuarantineCrashes: 3},
		Shard:   ShardSettings{LeaseDuration: time.Second, MaxLeaseDuration: 5 * time.Second},
	}, slog.New(slog.DiscardHandler))
}

// Guards against speeds that are lost at each change of the configuration, or not sent to a VM that starts.
func TestLearnedSpeedsSurviveAConfiguration(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	n.mergeTargetStates([]*pb.TargetState{{Target: "slow", ServiceMicros: 900_000}})
	expected := func() time.Duration {
		work, _ := n.balancer.Expected(&placing.Candidate{ID: "slow", Slots: 6})
		return work
	}
	is.Equal(expected(), 900*time.Millisecond)
	c := newConfigConsumer(n)
	for version := 1; version <= 2; version++ {
		c.Change([]store.Event{{Object: store.Object{
			Key: platform.ConfigKey, Version: store.Version(version), Value: fmt.Appendf(nil, `{"version": %d}`, version),
		}}})
	}
	is.True(n.routes.Load() != nil)
	is.Equal(n.routes.Load().Config.Version, uint64(2))
	is.Equal(expected(), 900*time.Millisecond)
}
