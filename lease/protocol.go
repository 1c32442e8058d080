// Package lease implements the time-bounded promises behind exclusive ownership: the
// support that candidate VMs promise to an assigner, and the leases that an
// assigner grants to targets. It does no I/O and reads no clock: clock readings
// are arguments.
//
// The rates of any two clocks are assumed to differ by at most a fraction, the
// rate margin. A duration that one party waits on behalf of another is lengthened
// by it, and a duration that a party relies on is shortened by it. Readings of
// different parties' clocks are never compared.
package lease

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// SupportRequest is a candidate's request for the support of one VM in one group.
type SupportRequest struct {
	Group ownership.GroupID
	// From is the requesting VM.
	From ownership.VMID
	// Incarnation identifies the start of the requesting process.
	Incarnation uint64
	// Term and Round are those in which the requester acts or will act.
	Term  uint64
	Round uint32
	// CandidatesVersion is the version of the candidate list that the requester uses.
	CandidatesVersion uint64
	// Query only checks whether support would be granted; the reply is no promise.
	Query bool
	// Trial requests a promise for TrialTime only, so that candidates can soon try
	// again when the supporters are split between them.
	Trial bool
	// Release ends the requester's support early in favour of Successor. Every other
	// VM still has to wait for the end of the promise.
	Release bool
	// Successor is the VM that may be supported at once after a Release.
	Successor ownership.VMID
}

// SupportReply is a supporter's reply to a SupportRequest.
type SupportReply struct {
	Group ownership.GroupID
	// Granted is a promise to support no other VM for the support time, or for
	// TrialTime if the request was a trial. In the reply to a query it only says
	// that the promise would be given.
	Granted bool
	// Term, Round and CandidatesVersion are the highest that the supporter knows.
	Term              uint64
	Round             uint32
	CandidatesVersion uint64
	// Supported is the VM that holds the supporter's promise, or its named successor.
	Supported ownership.VMID
	// Remaining is the time until the promise ends; zero if there is none.
	Remaining time.Duration
}

// trialDivisor is the ratio of the support time to the duration of a trial promise.
const trialDivisor = 4

// TrialTime returns the duration of a promise given in reply to a trial request.
func TrialTime(supportTime time.Duration) time.Duration { return supportTime / trialDivisor }

// Stretch returns d lengthened by the rate margin, so that at least d has passed on
// every other clock when the result has passed on one.
func Stretch(d time.Duration, margin float64) time.Duration {
	return time.Duration(float64(d)*(1+margin)) + 1
}

// Shrink returns d shortened by the rate margin, so that at most d has passed on
// every other clock when the result has passed on one.
func Shrink(d time.Duration, margin float64) time.Duration {
	return time.Duration(float64(d) / (1 + margin))
}
