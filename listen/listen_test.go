package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// failingListener returns the errors in turn, and then connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func acceptError(n syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", n)}
}

// A VM that had run out of descriptors for some seconds stayed without its readiness endpoint, followers and
// agent: the libraries' accept loops end at the first error that is not a time-out.
func TestAcceptGoesOnAfterAShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, shortages, began := is.New(t), 0, time.Now()
		ln := New(&failingListener{errs: []error{
			acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ECONNABORTED), acceptError(syscall.ENOBUFS),
		}}, Options{Name: "test", OnShortage: func() { shortages++ }})
		conn, err := ln.Accept()
		is.NoErr(err)
		is.True(conn != nil)
		is.Equal(shortages, 3)
		is.Equal(time.Since(began), 4*retryPause)
	})
}

func TestAcceptEndsWithItsListener(t *testing.T) {
	for _, end := range []error{net.ErrClosed, os.ErrDeadlineExceeded, acceptError(syscall.EBADF), errors.New("other")} {
		_, err := New(&failingListener{errs: []error{end}}, Options{}).Accept()
		is.New(t).Equal(err, end)
	}
}

func TestCallersLeaveDescriptorsForTheProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(CallerConnections(4100), 3075)
	is.Equal(CallerConnections(256), 128)
	is.Equal(CallerConnections(64), 1)
}
