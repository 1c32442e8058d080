package target

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/basiltally/basiltally/standin"
)

// connSet is the listener of one incarnation, together with its open connections.
type connSet struct {
	net.Listener
	faults func() Faults

	mu      sync.Mutex
	open    map[*trackedConn]struct{}
	closed  bool
	crashed bool
}

func newConnSet(faults func() Faults) *connSet {
	return &connSet{faults: faults, open: make(map[*trackedConn]struct{})}
}

// listen sets the listener and must be called before Accept. It closes the listener at
// once if the set has already been closed.
func (s *connSet) listen(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Listener = ln
	if s.closed {
		_ = ln.Close()
	}
}

// Close implements net.Listener. It stops accepting connections, even if listen is called
// later. Closing again has no effect.
func (s *connSet) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.Listener == nil {
		return nil
	}
	return s.Listener.Close()
}

// Accept implements net.Listener. It resets connections above Faults.MaxConnections.
func (s *connSet) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked, ok := s.add(conn); ok {
			return tracked, nil
		}
		reset(conn)
	}
}

func (s *connSet) add(conn net.Conn) (*trackedConn, bool) {
	limit := s.faults().MaxConnections
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || limit > 0 && len(s.open) >= limit {
		return nil, false
	}
	tracked := &trackedConn{Conn: conn, set: s}
	s.open[tracked] = struct{}{}
	return tracked, true
}

func (s *connSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connSet) list() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*trackedConn
	for c := range s.open {
		conns = append(conns, c)
	}
	return conns
}

// silence makes the open connections drop all bytes from now on, without closing them. With
// answersOnly, requests on them still arrive and only the answers are dropped.
func (s *connSet) silence(answersOnly bool) {
	for _, c := range s.list() {
		c.dropWrites.Store(true)
		c.dropReads.Store(!answersOnly)
	}
}

// crash closes the listener and resets all connections.
func (s *connSet) crash() {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	_ = s.Close()
	for _, c := range s.list() {
		reset(c.Conn)
	}
}

// trackedConn is an open connection that can be made silent, so that it drops bytes.
type trackedConn struct {
	net.Conn
	set *connSet
	// dropReads drops the bytes that arrive; dropWrites drops the bytes that are written.
	dropReads, dropWrites atomic.Bool
	costSpent             atomic.Bool
}

// Read implements net.Conn. The first read spends Faults.ConnectCost.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.costSpent.CompareAndSwap(false, true) {
		standin.Spin(time.Duration(c.set.faults().ConnectCost))
	}
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropReads.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open as seen by its peer.
func (c *trackedConn) Close() error {
	c.set.remove(c)
	if c.dropWrites.Load() {
		go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
		return nil
	}
	return c.Conn.Close()
}

// peerClosed reports whether the peer has closed the connection. It reads nothing from it.
func (c *trackedConn) peerClosed() bool {
	if c == nil || c.dropReads.Load() {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekClosed(int(fd)) })
	return closed || err != nil
}

func peekClosed(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return false
	}
	return err != nil || n == 0
}

// reset closes the connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
