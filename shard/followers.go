package shard

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// serve handles a follower's stream. It registers the follower at its first report,
// passes its reports to run and sends it updates, until the stream fails or no report
// arrives within assignerTimeout.
func (a *assigner) serve(ctx context.Context, s *peer.Stream, first *pb.ShardReport) {
	f := &follower{queue: make(chan *pb.ShardUpdate, followerQueueSize)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.sendUpdates(ctx, cancel, s, f)
	defer a.removeFollower(f)
	for r := first; ctx.Err() == nil; {
		if r != nil {
			a.addFollower(f, r)
			select {
			case a.reports <- r:
			case <-a.done:
				return
			}
		}
		if err := s.SetReadDeadline(time.Now().Add(assignerTimeout)); err != nil {
			return
		}
		m, err := s.Recv()
		if err != nil {
			return
		}
		r = m.GetShardReport()
	}
}

// addFollower records the store revisions that a follower reports. At its first report
// it registers the follower and sends it all tables, or has it wait for them.
func (a *assigner) addFollower(f *follower, r *pb.ShardReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.known = make(map[string]store.Version, len(r.GetKnown()))
	for _, k := range r.GetKnown() {
		f.known[k.GetPrefix()] = store.Version(k.GetAt())
	}
	f.reportSentAtMs = r.GetSentAtMs()
	if _, ok := a.followers[f]; ok || f.dropped {
		return
	}
	f.address, f.delaysTakeOver = r.GetAddress(), r.GetReluctant()
	a.followers[f] = struct{}{}
	u := a.updateLocked()
	u.Vms = a.vmsLocked()
	if suspects := a.agent.opts.Suspects; suspects != nil && suspects.ListedVersion() > 0 {
		u.Suspects, _ = suspects.Listed()
	}
	f.queue <- u
	a.waitForTablesLocked(f)
	a.sendTablesLocked(boottime.Now(), 0)
}

// waitForTablesLocked makes a follower wait for all tables, if there are any. Until then it gets no differences. The caller
// holds mu.
func (a *assigner) waitForTablesLocked(f *follower) {
	if len(a.tables) == 0 || f.behind {
		return
	}
	f.behind = true
	a.behind = append(a.behind, f)
}

// sendTablesToNewFollowers sends all tables to followers that wait for them, as many as the link allowance permits.
func (a *assigner) sendTablesToNewFollowers(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sendTablesLocked(now, tablesPerTick)
}

// sendTablesLocked sends all tables to followers that wait for them: to as many as the link allowance permits, and to
// atLeast followers. The caller holds mu.
func (a *assigner) sendTablesLocked(now time.Duration, atLeast int) {
	var tables []*pb.RangeTable
	size := 0
	for len(a.behind) > 0 && (atLeast > 0 || a.allowance.free(now+assignerTick)) {
		f := a.behind[0]
		a.behind = a.behind[1:]
		if _, ok := a.followers[f]; !ok {
			continue
		}
		if tables == nil {
			for service, t := range a.tables {
				tables = append(tables, tableToProto(service, t))
				size += proto.Size(tables[len(tables)-1])
			}
		}
		atLeast--
		f.behind = false
		u := a.updateLocked()
		u.Tables = tables
		a.allowance.use(size, now)
		a.enqueueLocked(f, u)
	}
}

func (a *assigner) removeFollower(f *follower) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.followers, f)
}

// updateLocked returns an update without tables. The caller holds mu.
func (a *assigner) updateLocked() *pb.ShardUpdate {
	return &pb.ShardUpdate{
		Term: a.term.Load(), Beat: a.beat.Load(),
		ConfirmedMsAgo: uint32(a.confirmedAgo().Milliseconds()), FeedFresh: a.feedFreshLocked(),
		Willing: a.preferredVMsLocked(),
	}
}

// preferredVMsLocked returns the number of VMs without a take-over delay. The caller
// holds mu.
func (a *assigner) preferredVMsLocked() uint32 {
	n := uint32(0)
	if a.agent.opts.TakeOverDelay == 0 {
		n++
	}
	for f := range a.followers {
		if !f.delaysTakeOver {
			n++
		}
	}
	return n
}

// confirmedAgo returns the time since the store last confirmed the role.
func (a *assigner) confirmedAgo() time.Duration {
	return boottime.Now() - time.Duration(a.confirmedAt.Load())
}

// relaysFeedLocked reports whether there are enough VMs for the assigner to relay store
// changes to them. The caller holds mu.
func (a *assigner) relaysFeedLocked() bool {
	return a.agent.opts.Feed != nil && len(a.followers) >= a.agent.opts.RelayAbove
}

// feedFreshLocked reports whether the VMs may rely on the relayed changes. The caller
// holds mu.
func (a *assigner) feedFreshLocked() bool {
	return a.relaysFeedLocked() && a.agent.opts.Feed.Healthy() && a.confirmedAgo() < feedFreshLimit
}

// startRelayLocked starts to relay store changes to the followers that do not get them
// yet. The caller holds mu.
func (a *assigner) startRelayLocked() {
	if !a.relaysFeedLocked() {
		return
	}
	for f := range a.followers {
		if f.relaying {
			continue
		}
		f.relaying = true
		u := a.updateLocked()
		for _, b := range a.agent.opts.Feed.BatchesSince(f.known) {
			u.Feed = append(u.Feed, batchToProto(b))
		}
		a.enqueueLocked(f, u)
	}
}

// relayBatch sends a batch of store changes to the followers that get relayed changes.
func (a *assigner) relayBatch(b relayfeed.Batch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.updateLocked()
	u.Feed = []*pb.FeedBatch{batchToProto(b)}
	for f := range a.followers {
		if f.relaying {
			a.enqueueLocked(f, u)
		}
	}
}

// vmsLocked returns the addresses of this VM and its followers. The caller holds mu.
func (a *assigner) vmsLocked() []string {
	vms := []string{a.agent.opts.Address}
	for f := range a.followers {
		vms = append(vms, f.address)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// broadcastTable sends a table to all followers, as the difference to the last one if there is one; else they wait for all
// tables. It returns the number of bytes of the differences.
func (a *assigner) broadcastTable(service string, t *Table, now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.tables[service]
	a.tables[service] = t
	common := a.updateLocked()
	common.Vms = a.takeChangedVMsLocked()
	difference, size := proto.Clone(common).(*pb.ShardUpdate), 0
	if base != nil {
		difference.Tables = []*pb.RangeTable{deltaToProto(service, base, t)}
		size = proto.Size(difference)
	}
	sent := 0
	for f := range a.followers {
		if base == nil {
			a.waitForTablesLocked(f)
		}
		switch {
		case !f.behind:
			sent += size
			a.enqueueLocked(f, difference)
		case len(common.GetVms()) > 0:
			a.enqueueLocked(f, common)
		}
	}
	a.allowance.use(sent, now)
	a.sendTablesLocked(now, 0)
	a.agent.setVMs(common.GetVms())
	return sent
}

// broadcast sends all followers an update with the role and the changed target states. Followers to
// which none were sent yet get all states.
func (a *assigner) broadcast(targets []*pb.TargetState, all func() []*pb.TargetState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startRelayLocked()
	common := a.updateLocked()
	vms := a.takeChangedVMsLocked()
	common.Suspects = a.takeChangedSuspectsLocked()
	var allTargets []*pb.TargetState
	now, newFollowers := boottime.Now(), 0
	size, allSize := proto.Size(&pb.ShardUpdate{Targets: targets}), 0
	for f := range a.followers {
		u := proto.Clone(common).(*pb.ShardUpdate)
		u.Targets, u.Vms = targets, vms
		if !f.targetsSent && (newFollowers < statesPerUpdate || a.allowance.free(now+updateInterval)) {
			f.targetsSent = true
			newFollowers++
			if allTargets == nil {
				allTargets = all()
				allSize = proto.Size(&pb.ShardUpdate{Targets: allTargets})
			}
			u.Targets = allTargets
			a.allowance.use(allSize, now)
		} else {
			a.allowance.use(size, now)
		}
		a.confirmFeedLocked(u, f)
		a.enqueueLocked(f, u)
	}
	a.agent.setVMs(vms)
	a.agent.notifyTargets(targets)
}

// confirmFeedLocked adds to an update up to when the follower has been sent all store
// changes. Only earlier updates in its queue can have those, so that the confirmation must be
// made when the update is queued. The caller holds mu.
func (a *assigner) confirmFeedLocked(u *pb.ShardUpdate, f *follower) {
	if !f.relaying {
		return
	}
	if age, ok := a.agent.opts.Feed.ReadAge(); ok {
		u.ReportSentAtMs, u.FeedAgeMs = f.reportSentAtMs, uint32(age.Milliseconds())
		a.activity.longestFeedAge = max(a.activity.longestFeedAge, age)
	}
}

// takeChangedSuspectsLocked returns the requests that crash targets if they changed since the last call, else
// nil. The caller holds mu.
func (a *assigner) takeChangedSuspectsLocked() *pb.Quarantine {
	suspects := a.agent.opts.Suspects
	if suspects == nil || suspects.ListedVersion() == a.suspectsSent {
		return nil
	}
	r, version := suspects.Listed()
	a.suspectsSent = version
	return r
}

// takeChangedVMsLocked returns the list of VMs if it changed since the last call, else nil.
// The caller holds mu.
func (a *assigner) takeChangedVMsLocked() []string {
	vms := a.vmsLocked()
	if slices.Equal(vms, a.vms) {
		return nil
	}
	a.vms = vms
	return vms
}

// enqueueLocked queues an update for a follower. A follower whose queue is full is
// dropped; it reconnects and gets all tables. The caller holds mu.
func (a *assigner) enqueueLocked(f *follower, u *pb.ShardUpdate) {
	select {
	case f.queue <- u:
	default:
		delete(a.followers, f)
		f.dropped = true
		close(f.queue)
	}
}

// sendUpdates sends a follower its queued updates until the stream fails, the follower
// is dropped or the assigner stops.
func (a *assigner) sendUpdates(ctx context.Context, cancel func(), s *peer.Stream, f *follower) {
	defer cancel()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.done:
			return
		case u, ok := <-f.queue:
			if !ok {
				return
			}
			if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: u}}); err != nil {
				return
			}
		}
	}
}
