package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
)

// Limits of a Router.
const (
	// maxRemoteVMs is the largest number of other VMs called before the local Service.
	maxRemoteVMs = 2
	// maxPendingReleases is the largest number of refused claims queued for their release.
	maxPendingReleases = 4096
	// releaseWorkers is the number of concurrent releases of refused claims.
	releaseWorkers = 8
	// releaseTimeout bounds one attempt to release a refused claim.
	releaseTimeout = 5 * time.Second
	// Delays between repeated attempts to update one claim.
	minUpdateDelay = 50 * time.Millisecond
	maxUpdateDelay = 2 * time.Second
)

// Router is the Claimer of an entry process: it sends each operation to the VM
// preferred for its partition, then to the next one, and last to the local Service.
//
// All of them get the same Attempt. If the answer of one is lost after it made the
// claim, the next finds the claim under the same Attempt and decides Run again. Only
// this entry process knows the Attempt, and it dispatches the request once.
type Router struct {
	opts            Options
	local           *Service
	peers           Peers
	membership      Membership
	metrics         *Metrics
	pendingReleases chan Ref

	mu       sync.Mutex
	suspects map[ownership.VMID]time.Time
}

// NewRouter returns a Router that calls other VMs through peers and falls back to local.
func NewRouter(local *Service, peers Peers, membership Membership) *Router {
	return &Router{
		opts:            local.opts,
		local:           local,
		peers:           peers,
		membership:      membership,
		metrics:         local.metrics,
		pendingReleases: make(chan Ref, maxPendingReleases),
		suspects:        make(map[ownership.VMID]time.Time),
	}
}

// Claim implements Claimer. If the decision is not Run although the claim may be
// durable, or may become durable on a VM whose answer was lost, it is released in
// the background, so that a resend can run.
func (r *Router) Claim(ctx context.Context, req Request) (Decision, error) {
	start := time.Now()
	c, err := r.opts.newClaim(req)
	if err != nil {
		return Decision{}, err
	}
	response := r.send(ctx, c.op)
	if response.err == nil && ctx.Err() != nil && response.kind == Run {
		response = reply{err: &refusal{code: result.DeadlineTooShort, detail: "the request ended before its idempotency key was claimed"}, maybeDurable: true}
	}
	r.observe(req, response, start)
	if response.kind != Run && response.kind != Replay && response.maybeDurable {
		r.queueRelease(c.ref)
	}
	if response.err != nil {
		return Decision{}, response.err.asError()
	}
	return c.decision(response), nil
}

func (r *Router) observe(req Request, response reply, start time.Time) {
	decision := "refused"
	if response.err == nil {
		decision = response.kind.String()
	}
	r.metrics.claims.WithLabelValues(req.Tenant, req.Class, decision).Observe(time.Since(start).Seconds())
}

// Finish implements Claimer. It retries the update until ctx ends.
func (r *Router) Finish(ctx context.Context, ref Ref, outcome Outcome) error {
	return r.update(ctx, r.opts.finishOp(ref, outcome))
}

// Release implements Claimer. It retries the update until ctx ends, and then in the
// background.
func (r *Router) Release(ctx context.Context, ref Ref) error {
	err := r.update(ctx, releaseOp(ref))
	if err != nil {
		r.queueRelease(ref)
	}
	return err
}

// update sends the operation until it is confirmed, refused permanently or ctx ends.
func (r *Router) update(ctx context.Context, op *pb.ClaimOp) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minUpdateDelay
	delay.MaxInterval = maxUpdateDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		response := r.send(ctx, op)
		switch {
		case response.err == nil:
			return struct{}{}, nil
		case response.err.code == result.Internal || response.err.code == result.BadRequest:
			return struct{}{}, backoff.Permanent(response.err.asError())
		default:
			return struct{}{}, response.err.asError()
		}
	}, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(0))
	return err
}

// Run releases the queued claims, which were refused but may be durable, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range releaseWorkers {
		wg.Go(func() { r.runReleases(ctx) })
	}
	wg.Wait()
	return nil
}

func (r *Router) runReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ref := <-r.pendingReleases:
			r.metrics.pendingReleases.Set(float64(len(r.pendingReleases)))
			r.releaseClaim(ctx, ref)
		}
	}
}

// releaseClaim releases one claim, and queues it again if that times out because the store is down.
func (r *Router) releaseClaim(ctx context.Context, ref Ref) {
	attempt, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := r.update(attempt, releaseOp(ref))
	if err != nil && ctx.Err() == nil && attempt.Err() != nil {
		r.queueRelease(ref)
	}
}

// queueRelease queues the release of the claim. If the queue is full, the claim isn't released and
// its key stays in doubt.
func (r *Router) queueRelease(ref Ref) {
	select {
	case r.pendingReleases <- ref:
	default:
	}
	r.metrics.pendingReleases.Set(float64(len(r.pendingReleases)))
}

// send sends the operation to the preferred VMs in turn and last to the local
// Service, until one of them handles it, and returns that reply.
func (r *Router) send(ctx context.Context, op *pb.ClaimOp) reply {
	partition := r.opts.partitionOf(ID(op.Id))
	call := &pb.ClaimCall{Partition: uint32(partition), Op: op}
	maybeDurable := false
	for _, vm := range r.route(partition) {
		response, err := r.call(ctx, vm, call)
		maybeDurable = maybeDurable || err != nil || response.maybeDurable
		if err == nil && response.err == nil {
			response.maybeDurable = maybeDurable
			return response
		}
	}
	r.metrics.calls.WithLabelValues("local").Inc()
	response := r.local.submit(ctx, op)
	response.maybeDurable = response.maybeDurable || maybeDurable
	return response
}

// route returns the VMs to call before the local Service, the most preferred first.
func (r *Router) route(partition int) []ownership.VMID {
	var route []ownership.VMID
	for _, vm := range rank(partition, r.membership.LiveVMs()) {
		if vm == r.opts.Self || len(route) == maxRemoteVMs {
			break
		}
		if !r.isSuspect(vm) {
			route = append(route, vm)
		}
	}
	return route
}

func (r *Router) call(ctx context.Context, vm ownership.VMID, call *pb.ClaimCall) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	m, err := r.peers.Call(ctx, vm, call)
	if err != nil {
		r.markSuspect(vm)
		r.metrics.calls.WithLabelValues("failed").Inc()
		return reply{}, errors.Wrapf(err, "claim: call to VM %s failed", vm)
	}
	response := fromMessage(m)
	if response.err != nil {
		r.metrics.calls.WithLabelValues("refused").Inc()
		return response, nil
	}
	r.metrics.calls.WithLabelValues("ok").Inc()
	return response, nil
}

func (r *Router) markSuspect(vm ownership.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[vm] = time.Now().Add(r.opts.SuspectTime)
}

func (r *Router) isSuspect(vm ownership.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.suspects[vm]
	if ok && !time.Now().Before(until) {
		delete(r.suspects, vm)
		return false
	}
	return ok
}
