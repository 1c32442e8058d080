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

// Serve answers the messages of a peer on one stream until the stream fails;
// first is the message already read from it. It returns false at a message of a
// kind that the assigner does not handle.
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

// answer returns the reply to one message. It returns false if the assigner
// does not handle messages of this kind.
func (a *Assigner) answer(ctx context.Context, from *pb.Hello, m *pb.Envelope) (*pb.Envelope, bool) {
	switch body := m.Body.(type) {
	case *pb.Envelope_SupportRequest:
		reply := a.answerSupportRequest(body.SupportRequest)
		return &pb.Envelope{Body: &pb.Envelope_SupportReply{SupportReply: reply}}, true
	case *pb.Envelope_ProbeRequest:
		reply := a.answerProbe(ctx, body.ProbeRequest)
		return &pb.Envelope{Body: &pb.Envelope_ProbeReply{ProbeReply: reply}}, true
	case *pb.Envelope_RenewForward:
		return a.answerRenewForward(ctx, body.RenewForward), true
	case *pb.Envelope_RecordRequest:
		reply := a.answerRecord(ownership.GroupID(body.RecordRequest.Group))
		return &pb.Envelope{Body: &pb.Envelope_RecordReply{RecordReply: reply}}, true
	case *pb.Envelope_Handover:
		return a.answerHandover(ctx, ownership.VMID(from.GetVm()), body.Handover), true
	case *pb.Envelope_KeyLoad:
		a.handleKeyLoad(ctx, from, body.KeyLoad)
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
		a.fetchIfUnknown(ownership.GroupID(g.Group), g.CandidatesVersion)
		req := supportRequestFromProto(ownership.VMID(m.Vm), m.Incarnation, g)
		reply.Groups = append(reply.Groups, supportReplyToProto(a.answerSupport(req)))
	}
	return reply
}

// answerProbe reports whether this VM reaches the target.
func (a *Assigner) answerProbe(ctx context.Context, m *pb.ProbeRequest) *pb.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, a.callTimeout())
	defer cancel()
	_, err := a.opts.Targets.Health(ctx, m.Address)
	return &pb.ProbeReply{Target: m.Target, Reachable: err == nil}
}

// answerRenewForward sends a renewal to a target on behalf of a peer and
// returns the target's reply or the failure.
func (a *Assigner) answerRenewForward(ctx context.Context, m *pb.RenewForward) *pb.Envelope {
	ctx, cancel := context.WithTimeout(ctx, a.callTimeout())
	defer cancel()
	var req target.RenewRequest
	if err := json.Unmarshal(m.Request, &req); err != nil {
		return failureEnvelope(err)
	}
	reply, err := a.opts.Targets.Renew(ctx, m.Address, req)
	if err != nil {
		return failureEnvelope(err)
	}
	b, err := json.Marshal(reply)
	if err != nil {
		return failureEnvelope(err)
	}
	return &pb.Envelope{Body: &pb.Envelope_RenewForwardReply{RenewForwardReply: &pb.RenewForwardReply{Reply: b}}}
}

func (a *Assigner) answerRecord(id ownership.GroupID) *pb.RecordReply {
	s := a.cachedRecord(id)
	if s.record == nil {
		return &pb.RecordReply{}
	}
	return &pb.RecordReply{Record: ownership.RecordToProto(s.record), Version: uint64(s.version)}
}

// answerHandover delivers a handover to the group's core and answers once the
// core has accepted it. It returns a failure if the core does not accept the
// handover within callTimeout.
func (a *Assigner) answerHandover(ctx context.Context, from ownership.VMID, m *pb.Handover) *pb.Envelope {
	h, err := handoverFromProto(m)
	if err != nil {
		return failureEnvelope(err)
	}
	a.mu.Lock()
	g := a.groups[h.Group]
	a.mu.Unlock()
	if g == nil {
		return failureEnvelope(errors.Errorf("this VM is not a candidate of group %s", h.Group))
	}
	a.updateSupporter(h.Record)
	accepted := make(chan struct{}, 1)
	g.deliver(handoverEvent{assign.HandoverReceived{From: from, Handover: h}, accepted})
	select {
	case <-accepted:
	case <-time.After(a.callTimeout()):
		return failureEnvelope(errors.Errorf("group %s did not accept the handover in time", h.Group))
	case <-ctx.Done():
		return failureEnvelope(ctx.Err())
	}
	return &pb.Envelope{Body: &pb.Envelope_HandoverReply{HandoverReply: &pb.HandoverReply{Group: string(h.Group)}}}
}

func failureEnvelope(err error) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Failure{Failure: &pb.Failure{Detail: err.Error()}}}
}

// fetchFromPeer requests a record from a peer. The record is nil if the peer
// knows none.
func (a *Assigner) fetchFromPeer(ctx context.Context, address string, id ownership.GroupID) (*ownership.Record, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, a.callTimeout())
	defer cancel()
	request := &pb.Envelope{Body: &pb.Envelope_RecordRequest{RecordRequest: &pb.RecordRequest{Group: string(id)}}}
	m, err := a.opts.Peers.Call(ctx, address, request)
	if err != nil || m.GetRecordReply().GetRecord() == nil {
		return nil, 0, err
	}
	record, err := ownership.RecordFromProto(m.GetRecordReply().Record)
	return record, store.Version(m.GetRecordReply().Version), err
}

// callTimeout returns the time limit of one exchange with a target or a peer:
// the heartbeat interval.
func (a *Assigner) callTimeout() time.Duration {
	if a.opts.Core.Heartbeat > 0 {
		return a.opts.Core.Heartbeat
	}
	return assign.DefaultHeartbeat
}
