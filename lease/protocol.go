// Package lease holds the time-bounded promises behind sole ownership: support
// that candidate VMs give to an assigner, and the leases that an assigner gives
// to targets. It is pure: clock readings come in as arguments.
//
// Every duration that one party waits out for another is stretched, and every
// duration that a party relies on is shrunk, by a clock-rate margin: the rates
// of any two clocks are assumed to differ by at most that fraction. No clock is
// compared with another party's clock.
package lease

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// SupportRequest asks a supporter for support in one group.
type SupportRequest struct {
	Group ownership.GroupID
	// From is the VM that asks, Incarnation its process start.
	From        ownership.VMID
	Incarnation uint64
	// Term and Round are those in which the requester acts or wants to act.
	Term  uint64
	Round uint32
	// CandidatesVersion is the version of the candidate list that the requester uses.
	CandidatesVersion uint64
	// Query asks whether support would be granted, without a promise.
	Query bool
	// Trial asks for a promise of TrialTime only, so that candidates that divide
	// the supporters among them soon try again.
	Trial bool
	// Release ends the requester's support early in favour of Successor; every
	// other VM still has to wait for the end of the promise.
	Release   bool
	Successor ownership.VMID
}

// SupportReply is a supporter's answer.
type SupportReply struct {
	Group ownership.GroupID
	// Granted is a promise to support no other VM for the support time, or for a
	// query the statement that it would be given.
	Granted bool
	// Term, Round and CandidatesVersion are the highest that the supporter knows.
	Term              uint64
	Round             uint32
	CandidatesVersion uint64
	// Supported is the VM that holds the supporter's promise, Remaining its time.
	Supported ownership.VMID
	Remaining time.Duration
}

// trialDivisor is the part of the support time that a trial lasts.
const trialDivisor = 4

// TrialTime returns the duration of a promise given to a trial request.
func TrialTime(supportTime time.Duration) time.Duration { return supportTime / trialDivisor }

// Stretch returns d lengthened by the rate margin: the time to wait on one
// clock until d has certainly passed on another.
func Stretch(d time.Duration, margin float64) time.Duration {
	return time.Duration(float64(d)*(1+margin)) + 1
}

// Shrink returns d shortened by the rate margin: the time to count on one clock
// that has certainly not exceeded d on another.
func Shrink(d time.Duration, margin float64) time.Duration {
	return time.Duration(float64(d) / (1 + margin))
}
