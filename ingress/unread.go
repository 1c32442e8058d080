package ingress

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// unreadTimeout is how long an answer may be written without the caller's taking a byte of it.
	unreadTimeout = 30 * time.Second
	// unreadTimeoutShort is the same while memory is short. Lost packets and short pauses of a caller's process take less.
	unreadTimeoutShort = 3 * time.Second
	// writeTimeoutShort bounds the time to write a whole answer while memory is short, so that a caller that takes a byte
	// now and then does not hold it for ever.
	writeTimeoutShort = 30 * time.Second
	// unreadCheck is the interval at which it is checked how much the caller has taken.
	unreadCheck = 500 * time.Millisecond
)

// errUnread reports that a caller takes its answer too slowly.
var errUnread = errors.New("the caller does not read its answer")

// unread decides when the writing of an answer is given up because the caller does not read it. It does no I/O.
type unread struct {
	began time.Time
	// taken is the number of bytes that the caller had taken at takenAt, when the number last rose.
	taken   int64
	takenAt time.Time
}

// expired records that the caller has taken the given number of bytes and reports whether the answer must be given up.
func (u *unread) expired(now time.Time, taken int64, memoryShort bool) bool {
	if taken > u.taken {
		u.taken, u.takenAt = taken, now
	}
	idle := now.Sub(u.takenAt)
	if memoryShort {
		return idle >= unreadTimeoutShort || now.Sub(u.began) >= writeTimeoutShort
	}
	return idle >= unreadTimeout
}

// writeAll writes the buffers to the connection. It returns errUnread if the caller takes them too slowly; a part of them may
// have been written.
func (c *conn) writeAll(buffers net.Buffers) error {
	now := time.Now()
	// What earlier answers have left in the system's buffer counts as not taken yet, so that the number starts at or below 0.
	u, written := unread{began: now, taken: -int64(queuedBytes(c.nc)), takenAt: now}, int64(0)
	for {
		if err := c.nc.SetWriteDeadline(time.Now().Add(unreadCheck)); err != nil {
			return err
		}
		n, err := buffers.WriteTo(c.nc)
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if u.expired(time.Now(), written-int64(queuedBytes(c.nc)), c.server.opts.Memory.Short()) {
			return errUnread
		}
	}
}

// queuedBytes returns the number of bytes in the system's buffer that the caller's system has not acknowledged. It is zero if
// that is not known. Without it a slow caller seems to take nothing for as long as it takes a third of that buffer,
// which may hold megabytes, since only then the system accepts more.
func queuedBytes(nc net.Conn) int {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return n
}
