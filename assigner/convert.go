package assigner

import (
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

func supportRequestToProto(r lease.SupportRequest) *pb.GroupSupportRequest {
	return &pb.GroupSupportRequest{
		Group: string(r.Group), Term: r.Term, Round: uint64(r.Round), CandidatesVersion: r.CandidatesVersion,
		Query: r.Query, Trial: r.Trial, Release: r.Release, Successor: string(r.Successor),
	}
}

func supportRequestFromProto(from ownership.VMID, incarnation uint64, m *pb.GroupSupportRequest) lease.SupportRequest {
	return lease.SupportRequest{
		Group: ownership.GroupID(m.Group), From: from, Incarnation: incarnation,
		Term: m.Term, Round: uint32(m.Round), CandidatesVersion: m.CandidatesVersion,
		Query: m.Query, Trial: m.Trial, Release: m.Release, Successor: ownership.VMID(m.Successor),
	}
}

func supportReplyToProto(r lease.SupportReply) *pb.GroupSupportReply {
	return &pb.GroupSupportReply{
		Group: string(r.Group), Granted: r.Granted, Term: r.Term, Round: uint64(r.Round), CandidatesVersion: r.CandidatesVersion,
		RemainingMs: uint64(r.Remaining.Milliseconds()), SupportedVm: string(r.Supported),
	}
}

func supportReplyFromProto(m *pb.GroupSupportReply) lease.SupportReply {
	return lease.SupportReply{
		Group: ownership.GroupID(m.Group), Granted: m.Granted, Term: m.Term, Round: uint32(m.Round),
		CandidatesVersion: m.CandidatesVersion, Supported: ownership.VMID(m.SupportedVm),
		Remaining: time.Duration(m.RemainingMs) * time.Millisecond,
	}
}

func handoverToProto(h *assign.Handover) *pb.Handover {
	return &pb.Handover{
		Record: ownership.RecordToProto(h.Record), Version: uint64(h.Version),
		View: ownership.ViewToProto(h.View), LeasesForNanos: int64(h.LeasesFor),
	}
}

func handoverFromProto(m *pb.Handover) (*assign.Handover, error) {
	record, err := ownership.RecordFromProto(m.GetRecord())
	if err != nil {
		return nil, err
	}
	view, err := ownership.ViewFromProto(nil, m.GetView())
	if err != nil {
		return nil, err
	}
	return &assign.Handover{
		Group: record.Group, Record: record, Version: store.Version(m.Version),
		View: view, LeasesFor: time.Duration(m.LeasesForNanos),
	}, nil
}
