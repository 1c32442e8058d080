package capacity

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/target"
)

// Sweeps of the assigner's and the supporters' work.
const (
	SweepTargets = "assigner-targets"
	SweepGroups  = "assigner-groups"
	SweepGrants  = "renewal-grants"
	SweepSupport = "support"
)

// Series of the assigner's and the supporters' work.
const (
	CoreCPU         = "core CPU per second"
	CoreHeap        = "core heap"
	RenewalsSent    = "renewals per second"
	ViewsPublished  = "views published per second"
	RenewBody       = "renewal bodies per second"
	RequestBytes    = "request body"
	SupportBytes    = "request and reply"
	SupportCPU      = "encode, answer and decode"
	SupporterMemory = "supporter heap"
)

// slotsPerTarget is the number of hashed slots for each target in the sweeps.
const slotsPerTarget = 16

func measureTargets(s *Sweep, targets int, budget time.Duration) error {
	t, err := recordTrace(targets, uint32(targets*slotsPerTarget))
	if err != nil {
		return err
	}
	x, seconds := float64(targets), steadyTime.Seconds()
	s.add(CoreCPU, "ns/s", x, steadyCPU(t, budget)/seconds)
	s.add(CoreHeap, "B", x, heapOf(func() any { return t.settled() }))
	s.add(RenewalsSent, "1/s", x, float64(t.sent)/seconds)
	s.add(RenewBody, "B/s", x, meanRenewalBytes(t)*float64(t.sent)/seconds)
	s.add(ViewsPublished, "1/s", x, float64(t.published)/seconds)
	return nil
}

// steadyCPU returns the processor time of one replay of the steady part.
func steadyCPU(t *trace, budget time.Duration) float64 {
	var costs []float64
	var spent time.Duration
	for len(costs) < rounds || spent < budget {
		core := t.settled()
		start := cpuTime()
		t.replaySteady(core)
		cost := cpuTime() - start
		spent += cost
		costs = append(costs, float64(cost))
	}
	slices.Sort(costs)
	return costs[len(costs)/2]
}

func meanRenewalBytes(t *trace) float64 {
	total := 0
	for _, r := range t.renewals {
		total += jsonSize(r.request) + jsonSize(r.reply)
	}
	return float64(total) / float64(len(t.renewals))
}

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of the protocol always encode.
	}
	return len(data)
}

// groupTargets is the number of targets of each group in the sweep over groups.
const groupTargets = 16

func measureGroups(s *Sweep, groups int, _ time.Duration) error {
	t, err := recordTrace(groupTargets, groupTargets*slotsPerTarget)
	if err != nil {
		return err
	}
	x := float64(groups)
	s.add(CoreCPU, "ns/s", x, manyCoresCPU(t, groups)/steadyTime.Seconds())
	s.add(CoreHeap, "B", x, heapOf(func() any {
		kept := make([]*assign.Core, groups)
		for i := range kept {
			kept[i] = t.settled()
		}
		return kept
	}))
	return nil
}

// manyCoresCPU returns the processor time of replaying the steady part on many cores.
func manyCoresCPU(t *trace, groups int) float64 {
	cores := make([]*assign.Core, groups)
	var costs []float64
	for range rounds {
		for i := range cores {
			cores[i] = t.settled()
		}
		start := cpuTime()
		for _, core := range cores {
			t.replaySteady(core)
		}
		costs = append(costs, float64(cpuTime()-start))
	}
	slices.Sort(costs)
	return costs[rounds/2]
}

func measureGrants(s *Sweep, grants int, _ time.Duration) error {
	req := target.RenewRequest{
		Group: "group-0001", AssignerToken: ownership.Token{Term: 100, Seq: 5 << 32}, Full: true,
		Echo:    target.ClockReading{Incarnation: 1 << 62, Nanos: int64(time.Hour)},
		Lease:   time.Second,
		Version: ownership.Token{Term: 100, Seq: 5<<32 + 1000},
	}
	for i := range grants {
		token := ownership.Token{Term: 100, Seq: 5<<32 + uint64(i)}
		req.Grants = append(req.Grants, target.SlotGrant{Slot: ownership.Slot(100 + i), Token: token})
	}
	s.add(RequestBytes, "B", float64(grants), float64(jsonSize(req)))
	return nil
}

func measureSupport(s *Sweep, groups int, budget time.Duration) error {
	supporter := lease.NewSupporter(-time.Hour, assign.DefaultSupport)
	request := supportMessage(groups)
	var size int
	var err error
	exchange := func() {
		size, err = exchangeSupport(supporter, request)
	}
	x := float64(groups)
	s.add(SupportCPU, "ns", x, cpuPerCall(budget, exchange))
	s.add(SupportBytes, "B", x, float64(size))
	s.add(SupporterMemory, "B", x, heapOf(func() any {
		fresh := lease.NewSupporter(-time.Hour, assign.DefaultSupport)
		_, _ = exchangeSupport(fresh, request)
		return fresh
	}))
	return err
}

func supportMessage(groups int) *pb.SupportRequest {
	m := &pb.SupportRequest{Vm: "vm-00001", Incarnation: 1 << 62, SentNanos: int64(time.Hour)}
	for i := range groups {
		m.Groups = append(m.Groups, &pb.GroupSupportRequest{
			Group: fmt.Sprintf("group-%04d", i), Term: 100, Round: 65, CandidatesVersion: 3,
		})
	}
	return m
}

// exchangeSupport does the work of both ends and returns the size of both messages.
func exchangeSupport(supporter *lease.Supporter, m *pb.SupportRequest) (int, error) {
	sent, err := proto.Marshal(&pb.Envelope{Body: &pb.Envelope_SupportRequest{SupportRequest: m}})
	if err != nil {
		return 0, err
	}
	var received pb.Envelope
	if err := proto.Unmarshal(sent, &received); err != nil {
		return 0, err
	}
	answer, err := proto.Marshal(&pb.Envelope{Body: &pb.Envelope_SupportReply{SupportReply: answerSupport(supporter, &received)}})
	if err != nil {
		return 0, err
	}
	return len(sent) + len(answer), proto.Unmarshal(answer, &received)
}

func answerSupport(supporter *lease.Supporter, m *pb.Envelope) *pb.SupportReply {
	req := m.GetSupportRequest()
	reply := &pb.SupportReply{Vm: "vm-00002", Incarnation: 1 << 62, EchoSentNanos: req.SentNanos}
	for _, g := range req.Groups {
		r := supporter.Answer(0, lease.SupportRequest{
			Group: ownership.GroupID(g.Group), From: ownership.VMID(req.Vm), Incarnation: req.Incarnation,
			Term: g.Term, Round: uint32(g.Round), CandidatesVersion: g.CandidatesVersion,
		})
		reply.Groups = append(reply.Groups, &pb.GroupSupportReply{
			Group: string(r.Group), Granted: r.Granted, Term: r.Term, Round: uint64(r.Round),
			CandidatesVersion: r.CandidatesVersion, RemainingMs: uint64(r.Remaining.Milliseconds()),
			SupportedVm: string(r.Supported),
		})
	}
	return reply
}
