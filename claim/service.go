package claim

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
)

// retryAfter is the delay before a resend that is recommended to callers whose claim could not be
// made durable.
const retryAfter = time.Second

// Service decides claims by the logs in the store, for this VM and for other VMs that
// call it. Any number of Services may use a partition concurrently.
type Service struct {
	opts       Options
	metrics    *Metrics
	partitions []*partition
}

// NewService returns a Service, which handles operations while Run is running. It returns an error
// if the options are invalid.
func NewService(opts Options, m *Metrics) (*Service, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	s := &Service{opts: opts, metrics: m}
	layout := newLayoutChecker(&s.opts)
	calls := rate.NewLimiter(rate.Limit(opts.StoreCallRate), opts.StoreCallRate)
	for i := range opts.Partitions {
		s.partitions = append(s.partitions, newPartition(i, &s.opts, layout, calls, m))
	}
	return s, nil
}

// Run appends operations until ctx ends, then appends those that are still queued, and returns nil.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, p := range s.partitions {
		wg.Go(func() { p.run(ctx) })
	}
	wg.Wait()
	return nil
}

// Claim implements Claimer with the local state and the store.
func (s *Service) Claim(ctx context.Context, req Request) (Decision, error) {
	c, err := s.opts.newClaim(req)
	if err != nil {
		return Decision{}, err
	}
	r := s.submit(ctx, c.op)
	if r.err != nil {
		return Decision{}, r.err.asError()
	}
	return c.decision(r), nil
}

// Finish implements Claimer.
func (s *Service) Finish(ctx context.Context, ref Ref, outcome Outcome) error {
	return s.update(ctx, s.opts.finishOp(ref, outcome))
}

// Release implements Claimer.
func (s *Service) Release(ctx context.Context, ref Ref) error {
	return s.update(ctx, releaseOp(ref))
}

func (s *Service) update(ctx context.Context, op *pb.ClaimOp) error {
	if r := s.submit(ctx, op); r.err != nil {
		return r.err.asError()
	}
	return nil
}

// Serve handles a call of another VM and returns the reply to it.
func (s *Service) Serve(ctx context.Context, call *pb.ClaimCall) *pb.ClaimReply {
	op := call.GetOp()
	if op == nil || checkOp(op) != nil || call.Partition != uint32(s.opts.partitionOf(ID(op.Id))) {
		return &pb.ClaimReply{Code: uint32(result.BadRequest), Detail: "malformed claim call"}
	}
	return s.submit(ctx, op).message()
}

func (s *Service) submit(ctx context.Context, op *pb.ClaimOp) reply {
	return s.partitions[s.opts.partitionOf(ID(op.Id))].submit(ctx, op)
}

// partitionOf returns the partition of the key.
func (o *Options) partitionOf(id ID) int {
	return int(binary.LittleEndian.Uint64(id[:8]) % uint64(o.Partitions))
}

// pendingClaim is a claim without a decision yet.
type pendingClaim struct {
	op  *pb.ClaimOp
	ref Ref
}

func (o *Options) newClaim(req Request) (*pendingClaim, error) {
	dispatchBy, err := o.latestDispatch(time.Now(), req.MaxRunTime)
	if err != nil {
		return nil, err
	}
	if req.Attempt == (Attempt{}) {
		req.Attempt = NewAttempt()
	}
	id := req.ID()
	return &pendingClaim{
		op: &pb.ClaimOp{
			Kind:        pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM,
			Id:          id[:],
			Attempt:     req.Attempt[:],
			Fingerprint: req.Fingerprint[:],
			RunMs:       uint32(req.MaxRunTime.Milliseconds()),
		},
		ref: Ref{ID: id, Attempt: req.Attempt, DispatchBy: dispatchBy},
	}, nil
}

func (c *pendingClaim) decision(r reply) Decision {
	d := Decision{Kind: r.kind}
	switch r.kind {
	case Run:
		d.Ref = c.ref
	case Replay:
		d.Answer = decodeAnswer(r.answer)
	}
	return d
}

func (o *Options) finishOp(ref Ref, outcome Outcome) *pb.ClaimOp {
	op := &pb.ClaimOp{Kind: pb.ClaimOpKind_CLAIM_OP_KIND_DOUBT, Id: ref.ID[:], Attempt: ref.Attempt[:]}
	if !outcome.Unknown {
		op.Kind = pb.ClaimOpKind_CLAIM_OP_KIND_FINISH
		op.Answer = encodeAnswer(outcome, o.MaxBody)
	}
	return op
}

func releaseOp(ref Ref) *pb.ClaimOp {
	return &pb.ClaimOp{Kind: pb.ClaimOpKind_CLAIM_OP_KIND_RELEASE, Id: ref.ID[:], Attempt: ref.Attempt[:]}
}

func (r *refusal) asError() error {
	return &result.Error{Code: r.code, Detail: r.detail, Cause: r.cause, RetryAfter: retryAfter}
}

// message converts the reply to a message for another VM.
func (r reply) message() *pb.ClaimReply {
	if r.err == nil {
		return &pb.ClaimReply{Decision: pb.ClaimDecisionKind(r.kind), Answer: r.answer, MaybeDurable: r.maybeDurable}
	}
	detail := r.err.detail
	if r.err.cause != nil {
		detail += ": " + r.err.cause.Error()
	}
	return &pb.ClaimReply{
		Code:         uint32(r.err.code),
		Detail:       detail,
		MaybeDurable: r.maybeDurable,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}
}

// fromMessage converts the message of another VM to a reply.
func fromMessage(m *pb.ClaimReply) reply {
	r := reply{maybeDurable: m.GetMaybeDurable()}
	if m.GetCode() == 0 {
		r.kind, r.answer = DecisionKind(m.GetDecision()), m.GetAnswer()
		return r
	}
	r.err = &refusal{code: result.Code(m.GetCode()), detail: m.GetDetail()}
	return r
}
