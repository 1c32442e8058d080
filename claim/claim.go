// Package claim records callers' idempotency keys durably before a request is
// dispatched, so that an at-most-once request runs at most once even if its
// caller sends it again through any VM.
//
// Keys hash to a fixed number of partitions. Each partition is a log of batches
// in the object API, appended by conditional writes; the order of the log alone
// decides which attempt may run a request. A Service appends batches, and a Router
// sends each operation to the VM that is preferred for its partition, so that many
// operations share one write. Two VMs that both append to a partition are slower,
// but still correct. See docs/design/claims.md.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/basiltally/basiltally/result"
)

// Claimer claims idempotency keys. Service and Router implement it; an entry process uses a Router.
type Claimer interface {
	// Claim decides whether the request may run. Only the kind Run allows the
	// caller of Claim to dispatch it, once. An error is a *result.Error whose
	// outcome is NotRun: the request must be refused and not dispatched.
	Claim(ctx context.Context, req Request) (Decision, error)
	// Finish records the outcome of a request that was dispatched. It returns nil
	// once the record is durable. If the outcome is lost, the claim stays in doubt.
	Finish(ctx context.Context, ref Ref, outcome Outcome) error
	// Release withdraws a claim whose request certainly did not run and will not be
	// dispatched any more, so that a resend may run. It returns nil once the
	// release is durable, and may be repeated.
	Release(ctx context.Context, ref Ref) error
}

// Fingerprint is a hash of the content of a request; a resend has the same fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the hash of the parts of a request that a resend must repeat.
func FingerprintOf(parts ...[]byte) Fingerprint {
	return Fingerprint(hashParts(parts...))
}

// ID identifies an idempotency key within its tenant and class.
type ID [16]byte

// Attempt identifies one call of Claim by one entry process. Only the process that made
// the attempt may dispatch its request.
type Attempt [16]byte

// NewAttempt returns a random Attempt.
func NewAttempt() Attempt {
	var a Attempt
	rand.Read(a[:]) // Never fails.
	return a
}

// Request is an at-most-once request for which a claim is sought.
type Request struct {
	// Tenant, Class and Key together identify the idempotency key.
	Tenant, Class, Key string
	// Fingerprint identifies the content of the request. A different fingerprint
	// under the same key gives Mismatch.
	Fingerprint Fingerprint
	// MaxRunTime is the longest time that the request may run. After it, a resend
	// gets InDoubt instead of InProgress.
	MaxRunTime time.Duration
	// Attempt identifies this attempt. If it is zero, Claim generates one.
	Attempt Attempt
}

// ID returns the hash of tenant, class and key.
func (r *Request) ID() ID {
	return ID(hashParts([]byte(r.Tenant), []byte(r.Class), []byte(r.Key)))
}

// hashParts hashes the parts with their lengths, so that different lists of parts with the same
// concatenation hash differently.
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

// Ref identifies a durable claim, whose request the holder of the Ref may dispatch once.
type Ref struct {
	ID      ID
	Attempt Attempt
	// DispatchBy is the latest time of the dispatch by the local clock, see MayDispatch.
	DispatchBy time.Time
}

// MayDispatch reports whether the request may still be dispatched. It must be
// checked right before the first byte is sent: a process that was suspended for
// as long as claims are kept must not run a request whose claim has expired.
// DispatchBy holds a wall clock and a monotonic clock reading; now must be before both.
func (r Ref) MayDispatch(now time.Time) bool {
	return now.Before(r.DispatchBy) && now.Round(0).Before(r.DispatchBy.Round(0))
}

// DecisionKind is the kind of a Decision. It determines what the caller of Claim must do.
type DecisionKind uint8

// Kinds of decisions.
const (
	// Run allows the caller to dispatch the request once, under the Ref.
	Run DecisionKind = iota + 1
	// Replay means that the request ran before; the Decision has the recorded Answer.
	Replay
	// InDoubt means that the outcome of an earlier run is unknown.
	InDoubt
	// InProgress means that an earlier run may still be executing.
	InProgress
	// Mismatch means that the key was used for a request with other content; this one did not run.
	Mismatch
	// Abandoned means that this attempt was released before; it did not run.
	Abandoned
)

// String returns the kind as the value of a metric label.
func (k DecisionKind) String() string {
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

// Decision is the result of Claimer.Claim.
type Decision struct {
	Kind DecisionKind
	// Ref is set for Run.
	Ref Ref
	// Answer is set for Replay.
	Answer Answer
}

// Code returns the result code with which an entry process reports the decision to
// its caller: OK for Run and Replay.
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
	// Unknown is set if the request may or may not have run; resends then get
	// InDoubt, and the other fields are ignored.
	Unknown bool
	// Status, ContentType and Body are the complete answer of the target.
	Status      int
	ContentType string
	Body        []byte
}

// Answer is the recorded answer of a finished request.
type Answer struct {
	Status      int
	ContentType string
	// Body is nil if it was longer than Options.MaxBody, see BodyRecorded.
	Body []byte
	// Length in bytes and Digest describe the body, even if it was not recorded.
	Length int
	Digest [16]byte
}

// BodyRecorded reports whether the answer can be replayed with its body. Otherwise
// the caller gets only its status and the digest, and the fact that the request is done.
func (a *Answer) BodyRecorded() bool { return len(a.Body) == a.Length }
