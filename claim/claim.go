// Package claim makes callers' idempotency keys durable before a request is
// dispatched, so that an at-most-once request runs once although its caller
// sends it again through any VM.
//
// Keys hash to a fixed number of partitions. Each partition is a log of batches
// in the object API, appended by conditional writes; the order of the log alone
// decides who may run a request. A Service appends batches, and a Router sends
// each operation to the VM that is preferred for its partition, so that many
// operations share one write. Two VMs that both append to a partition are slower,
// never wrong. See docs/design/claims.md.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/basiltally/basiltally/result"
)

// Claimer claims idempotency keys. Service and Router implement it; an entry uses a Router.
type Claimer interface {
	// Claim decides whether the request may run. Only the Kind Run allows a
	// dispatch, once, by the caller of Claim. An error is a *result.Error that
	// asserts not run: the request must be refused and not dispatched.
	Claim(ctx context.Context, req Request) (Decision, error)
	// Finish records the outcome of a request that was dispatched. It returns nil
	// once the record is durable. A lost outcome leaves the claim in doubt.
	Finish(ctx context.Context, ref Ref, outcome Outcome) error
	// Release gives up a claim whose request was certainly not run and will not be
	// dispatched any more, so that a resend may run. It returns nil once the
	// release is durable; repeating it is harmless.
	Release(ctx context.Context, ref Ref) error
}

// Fingerprint identifies the content of a request: a resend has the same one.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request that a resend must repeat.
func FingerprintOf(parts ...[]byte) Fingerprint {
	return Fingerprint(hashParts(parts...))
}

// ID identifies an idempotency key within its tenant and class.
type ID [16]byte

// Attempt identifies one call of Claim by one entry. Only the entry that made
// the attempt may dispatch it.
type Attempt [16]byte

// NewAttempt returns a random Attempt.
func NewAttempt() Attempt {
	var a Attempt
	rand.Read(a[:]) // Never fails.
	return a
}

// Request is an at-most-once request that asks to be run.
type Request struct {
	// Tenant, Class and Key name the idempotency key.
	Tenant, Class, Key string
	// Fingerprint of the request; another one under the same key is a Mismatch.
	Fingerprint Fingerprint
	// Run is the longest time that the request may run; after it, a resend is
	// told in doubt rather than in progress.
	MaxRunTime time.Duration
	// Attempt identifies this attempt; zero chooses one.
	Attempt Attempt
}

// ID returns the hash of tenant, class and key.
func (r *Request) ID() ID {
	return ID(hashParts([]byte(r.Tenant), []byte(r.Class), []byte(r.Key)))
}

// hashParts hashes the parts with their lengths, so that no two lists of parts run together.
func hashParts(parts ...[]byte) [16]byte {
	h := xxh3.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:]) // Never fails.
		h.Write(p)
	}
	return h.Sum128().Bytes()
}

// Ref names a durable claim that the holder may dispatch once.
type Ref struct {
	ID      ID
	Attempt Attempt
	// DispatchBy bounds the dispatch by the local clock, see MayDispatch.
	DispatchBy time.Time
}

// MayDispatch reports whether the request may still be dispatched. It must be
// checked right before the first byte is sent: a process that was frozen for as
// long as claims are kept must not run a request whose claim is forgotten.
// DispatchBy carries the wall clock and the monotonic clock; both must agree.
func (r Ref) MayDispatch(now time.Time) bool {
	return now.Before(r.DispatchBy) && now.Round(0).Before(r.DispatchBy.Round(0))
}

// Kind is what a caller of Claim must do.
type Kind uint8

// Kinds of decisions.
const (
	// Run allows the caller to dispatch the request once, under the Ref.
	Run Kind = iota + 1
	// Replay returns the recorded Answer of an earlier run.
	Replay
	// InDoubt means that an earlier run's outcome is not known.
	InDoubt
	// InProgress means that an earlier run may still be executing.
	InProgress
	// Mismatch means that the key was used for a different request; not run.
	Mismatch
	// Abandoned means that this very attempt was released before; not run.
	Abandoned
)

// String returns the kind in the form used by metrics.
func (k Kind) String() string {
	switch k {
	case Run:
		return "run"
	case Replay:
		return "replay"
	case InDoubt:
		return "in-doubt"
	case InProgress:
		return "in-progress"
	case Mismatch:
		return "mismatch"
	case Abandoned:
		return "abandoned"
	default:
		return "none"
	}
}

// Decision is the answer to a Claim.
type Decision struct {
	Kind Kind
	// Ref is set for Run.
	Ref Ref
	// Answer is set for Replay.
	Answer Answer
}

// Code returns the result code with which an entry reports the decision: OK for
// Run and Replay.
func (d Decision) Code() result.Code {
	switch d.Kind {
	case Run, Replay:
		return result.OK
	case InProgress:
		return result.ClaimInProgress
	case Mismatch:
		return result.ClaimMismatch
	case Abandoned:
		return result.ClaimStoreDown
	default:
		return result.ClaimInDoubt
	}
}

// Outcome is what is known after a dispatch.
type Outcome struct {
	// Unknown tells that the request may or may not have run; resends are told
	// in doubt from then on. The other fields are then ignored.
	Unknown bool
	// Status, ContentType and Body are the target's whole answer.
	Status      int
	ContentType string
	Body        []byte
}

// Answer is the recorded answer of a finished request.
type Answer struct {
	Status      int
	ContentType string
	// Body is nil if it was longer than Options.MaxBody, see Whole.
	Body []byte
	// Length and Digest describe the body, also if it was not kept.
	Length int
	Digest [16]byte
}

// Whole reports whether the answer can be replayed with its body. Otherwise the
// caller can only be told that the request is done, with the status and the digest.
func (a *Answer) BodyRecorded() bool { return len(a.Body) == a.Length }
