package daemon

import (
	"time"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/placing"
)

// report tells the assigner of the requests by key and of the targets.
func (n *routerNode) report() *pb.ShardReport {
	r := &pb.ShardReport{Unreachable: n.board.Unreachable()}
	for service, counts := range n.keys.Take() {
		load := &pb.ServiceKeyLoad{Service: service}
		for k, count := range counts {
			load.Keys = append(load.Keys, uint32(k))
			load.Counts = append(load.Counts, count)
		}
		r.Loads = append(r.Loads, load)
	}
	now := time.Now()
	for _, seen := range n.board.TakeObservations() {
		r.Targets = append(r.Targets, &pb.TargetReport{
			Target: seen.ID, ServiceMicros: uint32(seen.ServiceTime.Microseconds()), Answers: uint32(seen.Answers),
			Failures: uint32(seen.Failures), Told: seen.LoadKnown, Load: uint32(seen.Load), AgeMs: uint32(now.Sub(seen.LoadAt).Milliseconds()),
		})
	}
	return r
}

// learn takes what all VMs together know of the targets.
func (n *routerNode) learn(states []*pb.TargetState) {
	shared := make([]placing.SharedStats, len(states))
	for i, s := range states {
		shared[i] = placing.SharedStats{
			ID: s.GetTarget(), ServiceTime: time.Duration(s.GetServiceMicros()) * time.Microsecond,
			FailureRate: float64(s.GetFailurePermille()) / 1000, Load: int(s.GetLoad()), LoadKnown: s.GetTold(),
			LoadAge: time.Duration(s.GetAgeMs()) * time.Millisecond,
		}
	}
	n.board.MergeStats(shared)
}
