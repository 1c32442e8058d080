package assigner

import (
	"context"
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/hotkey"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

const (
	// LoadInterval is the interval of the entries' reports.
	LoadReportInterval = time.Second
	// loadLife is the age from which an entry's report no longer counts.
	loadLife = 3 * LoadReportInterval
)

// loadReport is the newest report of one entry about a group.
type loadReport struct {
	at   time.Duration
	load *pb.KeyLoad
}

// loadSum adds up the reports of all entries about one group.
type loadSum struct {
	reports map[string]loadReport
	// delivered is the instant of the last sum.
	delivered time.Duration
}

// add takes a report in and returns the sum if one is due.
func (s *loadSum) add(now time.Duration, from string, load *pb.KeyLoad) (assign.KeyLoad, bool) {
	s.reports[from] = loadReport{now, load}
	if now-s.delivered < LoadReportInterval {
		return assign.KeyLoad{}, false
	}
	s.delivered = now
	var sum assign.KeyLoad
	counts := make(map[ownership.KeyHash]uint64)
	for vm, r := range s.reports {
		if now-r.at > loadLife {
			delete(s.reports, vm)
			continue
		}
		sum.Total += float64(r.load.Total) / LoadReportInterval.Seconds()
		for _, k := range r.load.Keys {
			counts[ownership.KeyHash{Hi: k.KeyHi, Lo: k.KeyLo}] += k.Count
		}
	}
	for key, n := range counts {
		sum.Keys = append(sum.Keys, assign.KeyRate{Key: key, PerSecond: float64(n) / LoadReportInterval.Seconds()})
	}
	return sum, true
}

// LoadToProto encodes an entry's report.
func LoadToProto(l hotkey.Load) *pb.KeyLoad {
	m := &pb.KeyLoad{Group: string(l.Group), Total: l.Total}
	for _, k := range l.Keys {
		m.Keys = append(m.Keys, &pb.KeyCount{KeyHi: k.Key.Hi, KeyLo: k.Key.Lo, Count: k.Count})
	}
	return m
}

// takeLoad gives a report to the core of its group, or sends it on once to the
// VM that assigns the group. A lost report is harmless.
func (a *Assigner) takeLoad(ctx context.Context, from *pb.Hello, m *pb.KeyLoad) {
	id := ownership.GroupID(m.Group)
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g != nil && g.assigning.Load() {
		g.addLoad(from.GetVm(), m)
		return
	}
	view := a.opts.Hub.View(id)
	if from.GetRole() != peer.RoleEntry || view == nil {
		return
	}
	if vm, ok := a.opts.Members.Snapshot().VM(view.Assigner); ok {
		ctx, cancel := context.WithTimeout(ctx, LoadReportInterval)
		defer cancel()
		if _, err := a.opts.Peers.Call(ctx, vm.Address, &pb.Envelope{Body: &pb.Envelope_KeyLoad{KeyLoad: m}}); err != nil {
			a.opts.Logger.Debug("load report not sent on", "group", id, "error", err)
		}
	}
}

func (g *group) addLoad(from string, m *pb.KeyLoad) {
	g.loadMu.Lock()
	sum, due := g.load.add(g.a.now(), from, m)
	g.loadMu.Unlock()
	if due {
		g.deliver(sum)
	}
}
