// Package ingress serves callers' HTTP/1.1 connections.
//
// It reads ahead on a connection, so that it sees at once when the caller leaves,
// and serves pipelined idempotent requests side by side; the answers go out in
// order. It is not built on gnet, whose event loops cannot stop reading from a
// caller that sends faster than its requests are served; fasthttp parses the
// requests.
package ingress

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/routing"
)

// Request is a caller's request.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Received is the instant at which its header was complete.
	Received time.Time
}

// Response is the answer to a request.
type Response struct {
	Status int
	// Header holds header lines, each with its line end.
	Header []byte
	Body   []byte
	// Abort closes the connection in place of an answer.
	Abort bool
}

// Handler serves a request. The context ends when the caller is gone.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
	// MayOverlap reports whether the request may run beside others of its connection.
	MayOverlap(r *Request) bool
}

// Options of a Server.
type Options struct {
	Address string
	Handler Handler
	// Limits returns the limits in force.
	Limits func() routing.Limits
	// LameDuck is how long new connections are taken after a stop has begun, until
	// the balancer has seen that this VM is not ready.
	LameDuck time.Duration
	// StopLimit bounds a stop; what is then in flight is cut off.
	StopLimit time.Duration
	Logger    *slog.Logger
}

const (
	// maxAhead bounds the requests of one connection that are in flight.
	maxPipelined = 32
	// writeTimeout bounds how long a caller may take none of an answer.
	writeTimeout = 30 * time.Second
	// lingerTimeout bounds the wait for a caller to close after the last answer, so
	// that a reset does not overtake the answer.
	lingerTimeout = 500 * time.Millisecond
	// stopPoll separates the looks for open connections during a stop.
	stopPoll = 20 * time.Millisecond
	// quietBeforeClose is how long a connection must have been idle before a stop closes it.
	minIdleBeforeStop = 150 * time.Millisecond
	// minHeaderBuffer is the least size of the buffer that holds a header.
	minHeaderBuffer = 4 << 10
)

// Server serves callers on one address.
type Server struct {
	opts     Options
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{opts: opts, conns: map[*conn]struct{}{}}
}

// Stopping reports whether a stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Run serves until the context ends and the requests in flight are finished.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return errors.Wrap(err, "callers' address")
	}
	return s.Serve(ctx, ln)
}

// Serve is Run on a listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept(ln) }()
	select {
	case err := <-accepting:
		return err
	case <-ctx.Done():
	}
	s.stop(ln)
	return nil
}

// stop finishes what is in flight and closes the connections.
func (s *Server) stop(ln net.Listener) {
	started := time.Now()
	s.stopping.Store(true)
	s.opts.Logger.Info("stopping: no longer ready", "connections", s.openConnections())
	time.Sleep(s.opts.LameDuck)
	s.closeListener(ln)
	for s.openConnections() > 0 && time.Since(started) < s.opts.StopLimit {
		s.forEachConn((*conn).closeForStop)
		time.Sleep(stopPoll)
	}
	if n := s.openConnections(); n > 0 {
		s.opts.Logger.Warn("limit of the stop reached, connections are cut off", "connections", n)
	}
	s.forEachConn(func(c *conn) { c.nc.Close() })
}

// closeListener takes the connections that wait to be accepted, and closes.
func (s *Server) closeListener(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok {
		// Accept fails once none waits at that instant.
		if err := tcp.SetDeadline(time.Now().Add(finalReadTimeout)); err == nil {
			time.Sleep(2 * finalReadTimeout)
		}
	}
	ln.Close()
}

func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) forEachConn(f func(*conn)) {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (s *Server) accept(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			// For lack of descriptors, say: others may be freed.
			s.opts.Logger.Warn("connection not accepted", "error", err.Error())
			time.Sleep(stopPoll)
			continue
		}
		go s.serveConn(nc)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	limits := s.opts.Limits()
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel, limits: limits,
		reader: bufio.NewReaderSize(nc, max(limits.HeaderBytes, minHeaderBuffer)),
		queue:  make(chan *exchange, maxPipelined), lastActive: time.Now(),
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.queue)
	<-written
	cancel()
	nc.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
