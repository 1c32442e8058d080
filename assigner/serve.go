package assigner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

// Serve answers the messages of one stream from a peer, of which the first has
// been read. It reports false if the message is none of the assigner's.
func (a *Assigner) Serve(ctx context.Context, s *peer.Stream, first *pb.Envelope) bool {
	for m := first; ; {
		reply, ok := a.answer(ctx, s.RemoteHello, m)
		if !ok {
			return false
		}
		if err := s.Send(reply); err != nil {
			return true
		}
		var err error
		if m, err = s.Recv(); err != nil {
			return true
		}
	}
}

func (a *Assigner) answer(ctx context.Context, from *pb.Hello, m *pb.Envelope) (*pb.Envelope, bool) {
	switch body := m.Body.(type) {
	case *pb.Envelope_SupportRequest:
		reply := a.answerSupportRequest(body.SupportRequest)
		return &pb.Envelope{Body: &pb.Envelope_SupportReply{SupportReply: reply}}, true
	case *pb.Envelope_ProbeRequest:
		reply := a.answerProbe(ctx, body.ProbeRequest)
		return &pb.Envelope{Body: &pb.Envelope_ProbeReply{ProbeReply: reply}}, true
	case *pb.Envelope_RenewForward:
		return a.answerForward(ctx, body.RenewForward), true
	case *pb.Envelope_RecordRequest:
		reply := a.answerRecord(ownership.GroupID(body.RecordRequest.Group))
		return &pb.Envelope{Body: &pb.Envelope_RecordReply{RecordReply: reply}}, true
	case *pb.Envelope_Handover:
		return a.answerHandover(ctx, ownership.VMID(from.GetVm()), body.Handover), true
	case *pb.Envelope_KeyLoad:
		a.takeLoad(ctx, from, body.KeyLoad)
		return &pb.Envelope{}, true
	case *pb.Envelope_VmListRequest:
		reply := membership.ToProto(a.opts.Members.Snapshot())
		return &pb.Envelope{Body: &pb.Envelope_VmListReply{VmListReply: reply}}, true
	case *pb.Envelope_Command:
		reply := a.answerCommand(ctx, body.Command)
		return &pb.Envelope{Body: &pb.Envelope_CommandReply{CommandReply: reply}}, true
	default:
		return nil, false
	}
}

func (a *Assigner) answerSupportRequest(m *pb.SupportRequest) *pb.SupportReply {
	reply := &pb.SupportReply{Vm: string(a.opts.Self), Incarnation: a.opts.Incarnation, EchoSentNanos: m.SentNanos}
	for _, g := range m.Groups {
		a.learnIfUnknown(ownership.GroupID(g.Group), g.CandidatesVersion)
		req := supportRequestFromProto(ownership.VMID(m.Vm), m.Incarnation, g)
		reply.Groups = append(reply.Groups, supportReplyToProto(a.answerSupport(req)))
	}
	return reply
}

// answerProbe reports whether this VM reaches the target.
func (a *Assigner) answerProbe(ctx context.Context, m *pb.ProbeRequest) *pb.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, a.renewTimeout())
	defer cancel()
	_, err := a.opts.Targets.Health(ctx, m.Address)
	return &pb.ProbeReply{Target: m.Target, Reachable: err == nil}
}

func (a *Assigner) answerForward(ctx context.Context, m *pb.RenewForward) *pb.Envelope {
	ctx, cancel := context.WithTimeout(ctx, a.renewTimeout())
	defer cancel()
	var req target.RenewRequest
	if err := json.Unmarshal(m.Request, &req); err != nil {
		return failure(err)
	}
	reply, err := a.opts.Targets.Renew(ctx, m.Address, req)
	if err != nil {
		return failure(err)
	}
	b, err := json.Marshal(reply)
	if err != nil {
		return failure(err)
	}
	return &pb.Envelope{Body: &pb.Envelope_RenewForwardReply{RenewForwardReply: &pb.RenewForwardReply{Reply: b}}}
}

func (a *Assigner) answerRecord(id ownership.GroupID) *pb.RecordReply {
	s := a.stored(id)
	if s.record == nil {
		return &pb.RecordReply{}
	}
	return &pb.RecordReply{Record: ownership.RecordToProto(s.record), Version: uint64(s.version)}
}

// answerHandover answers once the core has taken the handover in.
func (a *Assigner) answerHandover(ctx context.Context, from ownership.VMID, m *pb.Handover) *pb.Envelope {
	h, err := handoverFromProto(m)
	if err != nil {
		return failure(err)
	}
	a.mu.Lock()
	g := a.groups[h.Group]
	a.mu.Unlock()
	if g == nil {
		return failure(errors.Errorf("no candidate of group %s", h.Group))
	}
	a.learnRecord(h.Record)
	taken := make(chan struct{}, 1)
	g.deliver(handoverEvent{assign.HandoverReceived{From: from, Handover: h}, taken})
	select {
	case <-taken:
	case <-time.After(a.renewTimeout()):
		return failure(errors.Errorf("group %s did not take the handover in", h.Group))
	case <-ctx.Done():
		return failure(ctx.Err())
	}
	return &pb.Envelope{Body: &pb.Envelope_HandoverReply{HandoverReply: &pb.HandoverReply{Group: string(h.Group)}}}
}

func failure(err error) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Failure{Failure: &pb.Failure{Detail: err.Error()}}}
}

func (a *Assigner) fetchRecord(ctx context.Context, address string, id ownership.GroupID) (*ownership.Record, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, a.renewTimeout())
	defer cancel()
	request := &pb.Envelope{Body: &pb.Envelope_RecordRequest{RecordRequest: &pb.RecordRequest{Group: string(id)}}}
	m, err := a.opts.Peers.Call(ctx, address, request)
	if err != nil || m.GetRecordReply().GetRecord() == nil {
		return nil, 0, err
	}
	record, err := ownership.RecordFromProto(m.GetRecordReply().Record)
	return record, store.Version(m.GetRecordReply().Version), err
}

// renewTimeout bounds one exchange with a target or a peer.
func (a *Assigner) renewTimeout() time.Duration {
	if a.opts.Core.Heartbeat > 0 {
		return a.opts.Core.Heartbeat
	}
	return assign.DefaultHeartbeat
}
