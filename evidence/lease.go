// Package evidence states what a VM may conclude from what it observes of another process. All
// paths that act on such a conclusion ask it, so that a refused connection or a missing answer means
// the same everywhere.
//
// The rules:
//
//   - A refused or reset connection shows that this call has not reached the process on that connection.
//     It does not show that the process has ended: the path between the two may refuse as well.
//   - A call without an answer may have been carried out, and may yet be. It does not show that the
//     process has ended.
//   - A call without an answer shows that the server may have lost everything that waits at it since
//     before the call failed, on connections that stay open.
//   - A process that acts under a lease may act until the lease ends, unless it has stated that it no
//     longer does, or a later start of it has.
//   - A loop that has ended serves nothing any more, and only a new start of the process brings it
//     back.
package evidence

import "time"

// Sign is what a VM has observed of the holder of a lease.
type Sign int

const (
	// Silence means that the holder has not answered, for whatever reason.
	Silence Sign = iota
	// Refusal means that connections to the holder's address are refused or reset.
	Refusal
	// Resignation means that the holder has given the lease up, after its last act under it.
	Resignation
	// Testimony means that the holder, or a later start of its process on the same VM, has stated that it
	// does not act under the lease any more.
	Testimony
)

// String returns the name used in log lines.
func (s Sign) String() string {
	switch s {
	case Refusal:
		return "refusal"
	case Resignation:
		return "resignation"
	case Testimony:
		return "testimony"
	default:
		return "silence"
	}
}

// EndsLease reports whether the holder has certainly stopped acting under its lease.
func (s Sign) EndsLease() bool { return s == Resignation || s == Testimony }

// ActsUntil returns the last instant at which the holder of a lease may act. confirmed is the
// latest instant at which the lease may have begun, and lease its duration.
func ActsUntil(s Sign, confirmed, lease, now time.Duration) time.Duration {
	if s.EndsLease() {
		return min(now, confirmed+lease)
	}
	return confirmed + lease
}
