package evidence

import (
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// ownShortages are errors of a lack in this process or on this VM.
var ownShortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// connectionErrors are errors that accept reports of a single connection.
var connectionErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
	syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT,
}

// OwnShortage reports whether the error is due to a lack in this process or on this VM, such as of
// descriptors. It says nothing of the other side of the connection, and may pass.
func OwnShortage(err error) bool { return isErrno(err, ownShortages) }

// AcceptMayGoOn reports whether a listener that has returned the error may accept later connections: it is
// the error of a single connection, or of a lack that may pass. After any other error the loop that
// accepts has ended.
func AcceptMayGoOn(err error) bool { return OwnShortage(err) || isErrno(err, connectionErrors) }

func isErrno(err error, list []syscall.Errno) bool {
	var n syscall.Errno
	return errors.As(err, &n) && slices.Contains(list, n)
}
