package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
)

// maxRounds bounds how often one set of operations is planned, which is repeated after conflicts.
const maxRounds = 16

// maxBackOffIntervals is the longest pause after a conflict, in append intervals.
const maxBackOffIntervals = 2

// reply is the result of an operation.
type reply struct {
	kind   DecisionKind
	answer *pb.ClaimAnswer
	err    *refusal
	// maybeDurable is set if the operation may be in the log, now or later, although
	// the reply does not confirm it.
	maybeDurable bool
}

// refusal is the reason for which an operation was not confirmed.
type refusal struct {
	code   result.Code
	detail string
	cause  error
}

// pendingOp is an operation that waits for its reply.
type pendingOp struct {
	ctx   context.Context
	op    *pb.ClaimOp
	reply chan reply
	// maybeWritten is set once the operation was part of a write that may have taken effect.
	maybeWritten bool
}

func (o *pendingOp) respond(r reply) {
	r.maybeDurable = o.maybeWritten
	o.reply <- r
}

// partition queues the operations of one partition and appends them in batches.
type partition struct {
	opts    *Options
	metrics *Metrics
	log     *partitionLog
	limiter *rate.Limiter

	mu     sync.Mutex
	queue  []*pendingOp
	closed bool
	// wake has one element while queued operations are due for an append.
	wake chan struct{}
}

func newPartition(index int, opts *Options, layout *layoutChecker, calls *rate.Limiter, m *Metrics) *partition {
	return &partition{
		opts:    opts,
		metrics: m,
		log:     newPartitionLog(index, opts, layout, calls, m),
		limiter: rate.NewLimiter(rate.Every(opts.AppendInterval), 1),
		wake:    make(chan struct{}, 1),
	}
}

// submit queues an operation and waits for its reply, or until ctx ends.
func (p *partition) submit(ctx context.Context, op *pb.ClaimOp) reply {
	o := &pendingOp{ctx: ctx, op: op, reply: make(chan reply, 1)}
	if r := p.enqueue(o); r != nil {
		return reply{err: r}
	}
	select {
	case r := <-o.reply:
		return r
	case <-ctx.Done():
		cause := &refusal{code: result.ClaimStoreDown, detail: "the claim operation was not confirmed as durable in time", cause: ctx.Err()}
		return reply{err: cause, maybeDurable: true}
	}
}

func (p *partition) enqueue(o *pendingOp) *refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return &refusal{code: result.EntryDraining, detail: "the claim service is stopping"}
	}
	if len(p.queue) >= p.opts.MaxQueue {
		return &refusal{code: result.ClaimStoreDown, detail: "the queue of claim operations is full"}
	}
	p.queue = append(p.queue, o)
	if urgent(o.op) {
		p.wakeUp()
		return nil
	}
	time.AfterFunc(p.opts.FinishDelay, p.wakeUp)
	return nil
}

// urgent reports whether the operation is appended without delay, since a caller
// waits for it. Outcomes are delayed by Options.FinishDelay, so that they share a
// write with claims.
func urgent(op *pb.ClaimOp) bool {
	return op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM || op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_RELEASE
}

func (p *partition) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *partition) takeQueue() []*pendingOp {
	p.mu.Lock()
	defer p.mu.Unlock()
	ops := p.queue
	p.queue = nil
	return ops
}

// run appends queued operations until ctx ends, and then those that are still queued, within
// Options.DrainTimeout.
func (p *partition) run(ctx context.Context) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(p.opts.DrainTimeout, cancel) })
	defer stop()
	for p.wait(ctx) {
		p.process(work, p.takeQueue())
		p.log.deleteTrimmed(work)
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.process(work, p.takeQueue())
}

// wait blocks until operations are due and the append interval has passed. It returns false once
// ctx has ended.
func (p *partition) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.wake:
		return p.limiter.Wait(ctx) == nil
	}
}

// process replies to all operations, and appends those that need it in as few batches as possible.
func (p *partition) process(ctx context.Context, ops []*pendingOp) {
	if ops = dropCancelled(ops); len(ops) == 0 {
		return
	}
	if err := p.log.load(ctx); err != nil {
		refuse(ops, err)
		return
	}
	upToDate := false
	for range maxRounds {
		ops = dropCancelled(ops)
		batch := p.log.newBatch()
		plan := p.plan(ops, batch, upToDate)
		if len(plan.pending) == 0 {
			return
		}
		ops = plan.pending
		var err error
		switch {
		case len(batch.Ops) > 0:
			err = p.log.append(ctx, batch)
			if errors.Is(err, errUncertain) {
				markMaybeWritten(plan.writes)
			}
		case !upToDate:
			err = p.log.sync(ctx)
		}
		if err != nil && !errors.Is(err, errConflict) {
			p.replyFromMemory(ops, err)
			return
		}
		// After a successful append or sync, the state includes all earlier batches.
		upToDate = err == nil
		if err != nil {
			p.backOff(ctx)
		}
	}
	refuse(ops, errors.New("too many conflicts with appends of other VMs"))
}

// backOff waits for a random time after a conflict, so that VMs which append to one
// partition at the same time don't use up their store calls on conflicts.
func (p *partition) backOff(ctx context.Context) {
	if p.opts.AppendInterval == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(maxBackOffIntervals * p.opts.AppendInterval)):
	}
}

// plan holds the operations without a reply yet (pending), and those of them that go into the
// next batch (writes).
type plan struct{ writes, pending []*pendingOp }

// plan replies to the operations that the log already decides, and adds to the batch those that
// must be appended, as far as they fit. upToDate is set if the known log includes all batches, so that
// provisional verdicts hold.
func (p *partition) plan(ops []*pendingOp, batch *pb.ClaimBatch, upToDate bool) plan {
	var out plan
	size := 0
	for _, o := range ops {
		r, v := p.decide(o.op, batch)
		if v == verdictFinal || v == verdictProvisional && upToDate {
			o.respond(r)
			continue
		}
		out.pending = append(out.pending, o)
		if v != verdictWrite {
			continue
		}
		n := proto.Size(o.op)
		if size+n > maxBatchBytes || len(batch.Ops) >= p.opts.MaxBatch {
			continue
		}
		size += n
		batch.Ops = append(batch.Ops, o.op)
		out.writes = append(out.writes, o)
	}
	return out
}

// decide returns the reply to the operation by the state of the log before the batch.
func (p *partition) decide(op *pb.ClaimOp, batch *pb.ClaimBatch) (reply, verdict) {
	state := p.log.state
	if op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM {
		kind, answer, v := state.decideClaim(op, p.opts.nowMS(), batch.HorizonMs)
		return reply{kind: kind, answer: answer}, v
	}
	ok, v := state.decideUpdate(op, batch.HorizonMs)
	if ok {
		return reply{}, v
	}
	return reply{err: &refusal{code: result.Internal, detail: "the attempt holds no claim"}}, v
}

// replyFromMemory replies after the log could not be read or written: claims on which
// the known log has a provisional verdict get its decision, the others are refused.
func (p *partition) replyFromMemory(ops []*pendingOp, cause error) {
	batch := p.log.newBatch()
	var undecided []*pendingOp
	for _, o := range ops {
		r, v := p.decide(o.op, batch)
		if v == verdictProvisional && r.kind != 0 {
			o.respond(r)
			continue
		}
		undecided = append(undecided, o)
	}
	refuse(undecided, cause)
}

func refuse(ops []*pendingOp, cause error) {
	for _, o := range ops {
		o.respond(reply{err: &refusal{code: result.ClaimStoreDown, detail: "access to the claim log failed", cause: cause}})
	}
}

func markMaybeWritten(ops []*pendingOp) {
	for _, o := range ops {
		o.maybeWritten = true
	}
}

// dropCancelled refuses claims whose context has ended, before they are written, and
// returns the other operations. Outcomes and releases are written even if their
// context has ended, since resends depend on them.
func dropCancelled(ops []*pendingOp) []*pendingOp {
	live := ops[:0]
	for _, o := range ops {
		if o.op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM && o.ctx.Err() != nil {
			o.respond(reply{err: &refusal{code: result.ClaimStoreDown, cause: o.ctx.Err()}})
			continue
		}
		live = append(live, o)
	}
	return live
}
