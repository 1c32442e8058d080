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
	// LoadReportInterval is the interval at which entries report key loads.
	LoadReportInterval = time.Second
	// loadReportExpiry is the age above which an entry's report no longer counts.
	loadReportExpiry = 3 * LoadReportInterval
)

// loadReport is the newest key load report of one entry about a group.
type loadReport struct {
	// at is the clock reading at receipt.
	at   time.Duration
	load *pb.KeyLoad
}

// loadAggregate adds up the reports of all entries about one group.
type loadAggregate struct {
	// reports is indexed by the VM that sent the report.
	reports map[string]loadReport
	// lastDelivered is the clock reading at which add last returned a sum.
	lastDelivered time.Duration
}

// add stores the report of one entry. Once per LoadReportInterval it returns
// the sum of all reports that have not expired, and true.
func (s *loadAggregate) add(now time.Duration, from string, load *pb.KeyLoad) (assign.KeyLoad, bool) {
	s.reports[from] = loadReport{now, load}
	if now-s.lastDelivered < LoadReportInterval {
		return assign.KeyLoad{}, false
	}
	s.lastDelivered = now
	var sum assign.KeyLoad
	counts := make(map[ownership.KeyHash]uint64)
	for vm, r := range s.reports {
		if now-r.at > loadReportExpiry {
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

// LoadToProto converts an entry's load report to its message.
func LoadToProto(l hotkey.Load) *pb.KeyLoad {
	m := &pb.KeyLoad{Group: string(l.Group), Total: l.Total}
	for _, k := range l.Keys {
		m.Keys = append(m.Keys, &pb.KeyCount{KeyHi: k.Key.Hi, KeyLo: k.Key.Lo, Count: k.Count})
	}
	return m
}

// handleKeyLoad passes a report to the core of its group if this VM assigns the
// group. Otherwise it forwards a report that came from an entry to the VM that
// does. A forwarded report is not forwarded again, and a lost one is harmless.
func (a *Assigner) handleKeyLoad(ctx context.Context, from *pb.Hello, m *pb.KeyLoad) {
	id := ownership.GroupID(m.Group)
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g != nil && g.assigning.Load() {
		g.addKeyLoad(from.GetVm(), m)
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
			a.opts.Logger.Debug("failed to forward key load report", "group", id, "error", err)
		}
	}
}

// addKeyLoad adds a report and delivers the sum to the core if one is due.
func (g *group) addKeyLoad(from string, m *pb.KeyLoad) {
	g.loadMu.Lock()
	sum, due := g.load.add(g.a.now(), from, m)
	g.loadMu.Unlock()
	if due {
		g.deliver(sum)
	}
}
