// Package listen keeps the accept loops of a process running while it lacks descriptors, and bounds how
// many of them callers may take.
package listen

import (
	"cmp"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/evidence"
)

const (
	// retryPause is the pause after an accept that failed.
	retryPause = 20 * time.Millisecond
	// logInterval is the least time between two log lines on failed accepts.
	logInterval = time.Second
)

// Options configures a listener of New.
type Options struct {
	// Name is what the listener serves, for log lines.
	Name string
	// OnShortage is called when a connection could not be accepted because this process lacks
	// descriptors or memory. It may be nil.
	OnShortage func()
	// Logger gets a line a second at most while accepts fail. Default slog.Default().
	Logger *slog.Logger
}

// listener is a net.Listener whose Accept goes on after errors that may pass. Libraries end their accept
// loop at such an error, and serve nothing from then on.
type listener struct {
	net.Listener
	opts Options
	// failing is set since the last accept failed. loggedAt is when that was last logged.
	failing  bool
	loggedAt time.Time
}

// New returns a listener that accepts from ln. Its Accept returns an error only after one that ends ln for
// good, such as net.ErrClosed. Accept must not be called concurrently.
func New(ln net.Listener, opts Options) net.Listener {
	opts.Logger = cmp.Or(opts.Logger, slog.Default())
	return &listener{Listener: ln, opts: opts}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if l.failing {
				l.failing = false
				l.opts.Logger.Info("connections are accepted again", "listener", l.opts.Name)
			}
			return conn, nil
		}
		if !evidence.AcceptMayGoOn(err) {
			return nil, err
		}
		l.failing = true
		if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
			l.loggedAt = now
			l.opts.Logger.Warn("cannot accept a connection", "listener", l.opts.Name, "error", err.Error())
		}
		if l.opts.OnShortage != nil && evidence.OwnShortage(err) {
			l.opts.OnShortage()
		}
		time.Sleep(retryPause)
	}
}

// ownShare is the share of the descriptors that are kept for the process itself: its listeners, and
// connections to the store, to other VMs and to targets. minOwn is the least number of them.
const (
	ownShare = 0.25
	minOwn   = 128
)

// CallerConnections returns how many connections callers may take of the given number of descriptors, at
// least 1.
func CallerConnections(descriptors int) int {
	return max(descriptors-max(int(ownShare*float64(descriptors)), minOwn), 1)
}

// Descriptors returns how many descriptors this process may have open.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	return int(min(limit.Cur, 1<<30)), nil
}
