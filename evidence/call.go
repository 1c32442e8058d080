package evidence

import (
	"syscall"

	"github.com/pkg/errors"
)

// Call is what the end of a call shows of it.
type Call int

const (
	// Answered means that an answer was received.
	Answered Call = iota
	// NotSent means that no byte of the call has left this process: no connection could be opened, or
	// the call ended before it was sent.
	NotSent
	// Unanswered means that a byte was sent and no complete answer was received.
	Unanswered
)

// MayBeDone reports whether the call may have been carried out, or may yet be.
func (c Call) MayBeDone() bool { return c != NotSent }

// Refused reports whether the error of a dial means that the address refused the connection. It shows
// neither that the process at the address has ended nor that it runs.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// LosesWaitingCalls reports whether the error of a call to a server means that the call had no answer
// in its time. The server may then have lost all calls that wait at it, on connections that stay open.
func LosesWaitingCalls(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// MayHaveCrashed reports whether a process that broke a connection off, or left a call unanswered, may have
// crashed: its address refuses connections, or a later start of it is known. A cut that refuses
// connections looks the same, so that nothing should rest on a single case.
func MayHaveCrashed(refused, laterStart bool) bool { return refused || laterStart }
