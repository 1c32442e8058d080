package assigner

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/target"
)

// perform executes or starts an action and returns the events that result
// immediately. Later results are delivered as events.
func (g *group) perform(ctx context.Context, action assign.Action) []assign.Event {
	switch act := action.(type) {
	case assign.ReadRecord:
		go g.readRecord(ctx)
	case assign.WriteRecord:
		go g.writeRecord(ctx, act)
	case assign.SendSupportRequest:
		return g.sendSupportRequest(act)
	case assign.SendRenew:
		go g.sendRenew(ctx, act)
	case assign.ProbeVia:
		go g.probeVia(ctx, act)
	case assign.Publish:
		g.a.opts.Hub.PublishView(act.View)
	case assign.SendHandover:
		go g.sendHandover(ctx, act)
	case assign.AnswerHandover:
		g.finishHandover(act.To)
	case assign.CommandDone:
		g.finishCommand(act)
	case assign.Stopped:
		if !g.stopReported {
			g.stopReported = true
			close(g.stopped)
		}
	}
	return nil
}

// readRecord reads the record from the store and delivers the result. If the
// read fails for another reason than a missing record, it also reads it from the peers.
func (g *group) readRecord(ctx context.Context) {
	object, err := g.a.opts.Store.Get(ctx, RecordPrefix+string(g.id))
	g.a.metrics.countStoreCall("get", err)
	if err == nil {
		s, decodeErr := decodeStored(object.Value, object.Version)
		g.a.cacheRecord(g.id, s)
		g.deliver(assign.RecordRead{Record: s.record, Version: s.version, Err: decodeErr})
		return
	}
	g.deliver(assign.RecordRead{Err: err})
	if !errors.Is(err, store.ErrNotFound) {
		g.readRecordFromPeers(ctx)
	}
}

// readRecordFromPeers requests the record from all other VMs and delivers every
// record that they return.
func (g *group) readRecordFromPeers(ctx context.Context) {
	for _, vm := range g.a.opts.Members.Snapshot().VMs {
		if vm.ID == string(g.a.opts.Self) {
			continue
		}
		record, version, err := g.a.fetchFromPeer(ctx, vm.Address, g.id)
		if err == nil && record != nil {
			g.a.updateSupporter(record)
			g.deliver(assign.RecordRead{Record: record, Version: version, FromPeer: true})
		}
	}
}

func (g *group) writeRecord(ctx context.Context, w assign.WriteRecord) {
	value, err := ownership.MarshalRecord(w.Record)
	if err != nil {
		g.deliver(assign.WriteDone{Nonce: w.Nonce, Err: store.ErrTooLarge})
		return
	}
	version, err := g.a.opts.Store.Put(ctx, RecordPrefix+string(g.id), value, w.Expected)
	g.a.metrics.countStoreCall("put", err)
	if err == nil {
		// The value is decoded again so that nothing is shared with the core that
		// made the record.
		s, _ := decodeStored(value, version)
		g.a.cacheRecord(g.id, s)
	}
	g.deliver(assign.WriteDone{Nonce: w.Nonce, Version: version, Err: err})
}

// sendSupportRequest answers a request to this VM itself at once, and queues
// one to another VM on the link to it.
func (g *group) sendSupportRequest(act assign.SendSupportRequest) []assign.Event {
	if act.To == g.a.opts.Self {
		return []assign.Event{assign.SupportAnswered{
			From: act.To, FromIncarnation: g.a.opts.Incarnation, SentAt: act.SentAt,
			Request: act.Request, Reply: g.a.answerSupport(act.Request),
		}}
	}
	if link := g.a.link(act.To); link != nil {
		link.enqueue(act)
	}
	return nil
}

// sendRenew sends a renewal to a target and delivers its answer or the failure.
func (g *group) sendRenew(ctx context.Context, act assign.SendRenew) {
	ctx, cancel := context.WithTimeout(ctx, g.a.callTimeout())
	defer cancel()
	reply, err := g.renew(ctx, act)
	g.a.metrics.countRenewal(err)
	if err != nil {
		g.deliver(assign.TargetFailed{Target: act.Target.ID, SentAt: act.SentAt, Via: act.Via})
		return
	}
	g.deliver(assign.TargetAnswered{Target: act.Target.ID, SentAt: act.SentAt, Via: act.Via, Reply: reply})
}

// renew sends a renewal directly, or through the peer that act.Via names.
func (g *group) renew(ctx context.Context, act assign.SendRenew) (target.RenewReply, error) {
	if act.Via == "" {
		return g.a.opts.Targets.Renew(ctx, act.Target.Address, act.Request)
	}
	var reply target.RenewReply
	vm, ok := g.a.opts.Members.Snapshot().VM(act.Via)
	if !ok {
		return reply, errors.Errorf("VM %s is not in the VM list", act.Via)
	}
	request, err := json.Marshal(act.Request)
	if err != nil {
		return reply, errors.Wrap(err, "encode renewal")
	}
	forward := &pb.RenewForward{Address: act.Target.Address, Request: request}
	m, err := g.a.opts.Peers.Call(ctx, vm.Address, &pb.Envelope{Body: &pb.Envelope_RenewForward{RenewForward: forward}})
	if err != nil {
		return reply, err
	}
	if m.GetRenewForwardReply() == nil {
		return reply, errors.New("peer did not return a renewal reply of the target")
	}
	return reply, errors.Wrap(json.Unmarshal(m.GetRenewForwardReply().GetReply(), &reply), "decode renewal reply")
}

func (g *group) probeVia(ctx context.Context, act assign.ProbeVia) {
	vm, ok := g.a.opts.Members.Snapshot().VM(act.VM)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.a.callTimeout())
	defer cancel()
	probe := &pb.ProbeRequest{Target: string(act.Target.ID), Address: act.Target.Address}
	m, err := g.a.opts.Peers.Call(ctx, vm.Address, &pb.Envelope{Body: &pb.Envelope_ProbeRequest{ProbeRequest: probe}})
	if err != nil || m.GetProbeReply() == nil {
		return
	}
	g.deliver(assign.ProbeAnswered{From: act.VM, Target: act.Target.ID, Reachable: m.GetProbeReply().Reachable})
}

func (g *group) sendHandover(ctx context.Context, act assign.SendHandover) {
	vm, ok := g.a.opts.Members.Snapshot().VM(act.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.a.callTimeout())
	defer cancel()
	m, err := g.a.opts.Peers.Call(ctx, vm.Address, &pb.Envelope{Body: &pb.Envelope_Handover{Handover: handoverToProto(act.Handover)}})
	if err == nil && m.GetHandoverReply() != nil {
		g.deliver(assign.HandoverAnswered{From: act.To})
	}
}

func (g *group) deliverSupportReply(from ownership.VMID, incarnation uint64, asked assign.SendSupportRequest, reply lease.SupportReply) {
	g.deliver(assign.SupportAnswered{
		From: from, FromIncarnation: incarnation, SentAt: asked.SentAt, Request: asked.Request, Reply: reply,
	})
}
