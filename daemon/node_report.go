package daemon

import (
	"time"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/placing"
)

// shardReport returns this VM's report to the assigner: the requests by key and the
// observations of the targets since the last report.
func (n *nodeProcess) shardReport() *pb.ShardReport {
	r := &pb.ShardReport{Unreachable: n.balancer.Unreachable()}
	for service, counts := range n.keyCounter.Take() {
		load := &pb.ServiceKeyLoad{Service: service}
		for k, count := range counts {
			load.Keys = append(load.Keys, uint32(k))
			load.Counts = append(load.Counts, count)
		}
		r.Loads = append(r.Loads, load)
	}
	limits := map[string]*pb.TargetLimit{}
	for _, s := range n.eligibility.TakeStatements() {
		limits[s.Incarnation.ID] = &pb.TargetLimit{Born: s.Incarnation.Born, PerSecond: s.LimitPerSecond, AgeMs: uint32(s.Age.Milliseconds())}
	}
	now := time.Now()
	for _, observation := range n.balancer.TakeObservations() {
		r.Targets = append(r.Targets, &pb.TargetReport{
			Target: observation.ID, ServiceMicros: uint32(observation.ServiceTime.Microseconds()), Answers: uint32(observation.Answers),
			Failures: uint32(observation.Failures), Told: observation.LoadKnown, Load: uint32(observation.Load), AgeMs: uint32(now.Sub(observation.LoadAt).Milliseconds()),
			Limit: limits[observation.ID],
		})
		delete(limits, observation.ID)
	}
	for _, i := range n.directory.StatedLeaving(leavingReportTime) {
		r.Targets = append(r.Targets, &pb.TargetReport{Target: i.ID, LeavingBorn: &i.Born})
	}
	for id, limit := range limits {
		r.Targets = append(r.Targets, &pb.TargetReport{Target: id, Limit: limit})
	}
	return r
}

// recordLeaving records that a target has said to another VM that it leaves.
func (n *nodeProcess) recordLeaving(i fleet.Incarnation) {
	if n.directory.RecordLeaving(i) {
		n.logger.Info("target states that it leaves", "target", i.ID, "born", i.Born, "source", "another VM")
	}
}

// leavingReportTime is how long it is reported that a target has said that it leaves. It covers
// the loss of an assigner that got the first reports.
const leavingReportTime = 10 * time.Second

// mergeTargetStates passes on the states of the targets, put together from the reports of all
// VMs.
func (n *nodeProcess) mergeTargetStates(states []*pb.TargetState) {
	var statements []eligibility.Statement
	for _, s := range states {
		if s.LeavingBorn != nil {
			n.recordLeaving(fleet.Incarnation{ID: s.GetTarget(), Born: s.GetLeavingBorn()})
		}
		if l := s.GetLimit(); l != nil {
			statements = append(statements, eligibility.Statement{
				Incarnation: fleet.Incarnation{ID: s.GetTarget(), Born: l.GetBorn()}, LimitPerSecond: l.GetPerSecond(),
				Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
			})
		}
	}
	n.eligibility.Merge(statements)
	shared := make([]placing.SharedStats, len(states))
	for i, s := range states {
		shared[i] = placing.SharedStats{
			ID: s.GetTarget(), ServiceTime: time.Duration(s.GetServiceMicros()) * time.Microsecond,
			FailureRate: float64(s.GetFailurePermille()) / 1000, Load: int(s.GetLoad()), LoadKnown: s.GetTold(),
			LoadAge: time.Duration(s.GetAgeMs()) * time.Millisecond,
		}
	}
	n.balancer.MergeStats(shared)
}
