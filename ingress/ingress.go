// Package ingress serves callers' HTTP/1.1 connections.
//
// It reads ahead on a connection, so that it notices at once when the caller disconnects.
// Pipelined idempotent requests are served concurrently, and their answers are written in
// the order of the requests. Requests are parsed by fasthttp. The package does not use
// gnet, because gnet's event loops cannot stop reading from a caller that sends faster
// than its requests are served.
package ingress

import (
	"bufio"
	"context"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/listen"
	"github.com/basiltally/basiltally/routing"
)

// Request is a caller's request.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Received is when the header had been read completely.
	Received time.Time
}

// Response is the answer to a request.
type Response struct {
	Status int
	// Header holds header lines, each with its line end.
	Header []byte
	Body   []byte
	// Abort closes the connection without an answer.
	Abort bool
}

// RefusalCause is why the Server does not pass a request on to the Handler.
type RefusalCause int

const (
	// NoMemory means that the request's body finds no room in memory.
	NoMemory RefusalCause = iota
	// Stopping means that the request arrived so late in a stop that it might not be
	// finished.
	Stopping
)

// Handler serves requests.
type Handler interface {
	// Serve returns the answer to the request. The context is cancelled when the caller
	// disconnects.
	Serve(ctx context.Context, r *Request) *Response
	// Precheck is called before the body of a request is read. It returns the answer if it is
	// already known that the request cannot be served, and otherwise when its body must
	// have arrived.
	Precheck(r *Request) (refusal *Response, bodyUntil time.Time)
	// Refuse returns the answer to a request that is not served because of the cause.
	Refuse(r *Request, cause RefusalCause) *Response
	// MayOverlap reports whether the request may run concurrently with others of its
	// connection.
	MayOverlap(r *Request) bool
}

// Options configures a Server.
type Options struct {
	// Address is the TCP address that Run listens on.
	Address string
	Handler Handler
	// Limits returns the current limits on callers. A connection keeps those that applied
	// when it was accepted.
	Limits func() routing.Limits
	// LameDuck is how long new connections are accepted after a stop has begun, until
	// the balancer has noticed that this VM is not ready.
	LameDuck time.Duration
	// StopLimit bounds the duration of a stop. Connections still open then are closed,
	// and their requests in flight are aborted.
	StopLimit time.Duration
	// MaxConnections bounds the open connections of callers, so that descriptors are left for the process
	// itself. To accept another one, the Server closes those that were idle for longest. Zero is no
	// bound.
	MaxConnections int
	// ConnectionMemory bounds the bytes that the connections take for buffers and goroutines, in addition to
	// MaxConnections. Zero is no bound.
	ConnectionMemory int64
	// Memory bounds the memory that bodies take. Requests whose bodies find no room are refused.
	// Default: up to 256 MiB, of this Server alone.
	Memory *bodies.Memory
	// Registerer is where the metrics are registered. Nil registers none.
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

const (
	// maxPipelined bounds the queue of exchanges of one connection that are in flight.
	maxPipelined = 32
	// lingerTimeout bounds the wait for the caller to close the connection after the last
	// answer. Without the wait, a reset could reach the caller before the answer does.
	lingerTimeout = 500 * time.Millisecond
	// stopPoll is the interval between checks for open connections during a stop.
	stopPoll = 20 * time.Millisecond
	// minIdleBeforeStop is how long a connection must have been idle before a stop closes it.
	minIdleBeforeStop = 150 * time.Millisecond
	// minHeaderBuffer is the minimum size of the buffer for a request header.
	minHeaderBuffer = 4 << 10
	// lateRequestAfter is how long after the listener was closed by a stop further requests are
	// still served. It covers requests that were on their way to an open connection.
	lateRequestAfter = 300 * time.Millisecond
	// defaultMemory is the bound of Options.Memory in bytes if it is not set.
	defaultMemory = 256 << 20
)

// Server accepts and serves callers' connections on one address.
type Server struct {
	opts     Options
	stopping atomic.Bool
	// refusing is set late in a stop, when no further request is served.
	refusing atomic.Bool
	// unread counts the answers that were given up because their callers did not read them.
	unread prometheus.Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// roomMadeAt is when idle connections were last closed to make room.
	roomMadeAt time.Time
}

// New returns a Server that is not listening yet.
func New(opts Options) *Server {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Memory == nil {
		opts.Memory = bodies.NewMemory(defaultMemory)
	}
	s := &Server{opts: opts, conns: map[*conn]struct{}{}, unread: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "basiltally_unread_answers_total", Help: "Answers that were given up because their callers did not read them.",
	})}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(s.unread)
	}
	return s
}

// Stopping reports whether a stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Run listens on Options.Address and serves callers. When the context ends, it stops as
// Serve does. It returns an error if it cannot listen.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	return s.Serve(ctx, ln)
}

// Serve serves callers on the listener. When the context ends, it accepts connections for
// Options.LameDuck more, completes the requests in flight within Options.StopLimit, closes
// all connections and returns nil. Requests that arrive late in the stop, which it might have to cut
// off, are refused.
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

// stop completes the requests in flight and closes the listener and all connections.
func (s *Server) stop(ln net.Listener) {
	started := time.Now()
	s.stopping.Store(true)
	s.opts.Logger.Info("stopping: readiness check now fails", "connections", s.openConnections())
	time.Sleep(s.opts.LameDuck)
	s.closeListener(ln)
	time.AfterFunc(lateRequestAfter, func() { s.refusing.Store(true) })
	for s.openConnections() > 0 && time.Since(started) < s.opts.StopLimit {
		s.forEachConn((*conn).closeWhenIdle)
		time.Sleep(stopPoll)
	}
	if n := s.openConnections(); n > 0 {
		s.opts.Logger.Warn("stop limit reached, closing the remaining connections", "connections", n)
	}
	s.forEachConn(func(c *conn) { c.nc.Close() })
}

// closeListener accepts the connections that wait in the listener's queue and then closes
// the listener.
func (s *Server) closeListener(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok {
		// Accept returns queued connections until the deadline and then fails.
		if err := tcp.SetDeadline(time.Now().Add(finalReadTimeout)); err == nil {
			time.Sleep(2 * finalReadTimeout)
		}
	}
	ln.Close()
}

// openConnections returns the number of open connections.
func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// forEachConn calls f for each open connection, without holding the lock.
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

// accept serves the connections of the listener until the listener is closed or its deadline
// has passed. It then returns nil.
func (s *Server) accept(ln net.Listener) error {
	ln = listen.New(ln, listen.Options{Name: "callers", OnShortage: s.makeRoom, Logger: s.opts.Logger})
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			return errors.Wrap(err, "accept callers' connections")
		}
		if limit := s.maxConnections(); limit > 0 {
			switch open := s.openConnections(); {
			case open >= limit+roomPerPause:
				// No connection is idle. The caller sends the request again on another one.
				nc.Close()
				continue
			case open >= limit:
				s.makeRoom()
			}
		}
		go s.serveConn(nc)
	}
}

// connectionBytes is the memory that an idle connection takes beside its header buffer, mostly for the stacks of its two
// goroutines: 8 KB of 24 KB with a buffer of 16 KB, on x86-64.
const connectionBytes = 8 << 10

// maxConnections returns how many connections callers may have, or zero if that is not bounded.
func (s *Server) maxConnections() int {
	limit := s.opts.MaxConnections
	if s.opts.ConnectionMemory > 0 {
		byMemory := max(int(s.opts.ConnectionMemory/int64(headerBuffer(s.opts.Limits())+connectionBytes)), 1)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// headerBuffer returns the size of the buffer for a request header.
func headerBuffer(l routing.Limits) int { return max(l.HeaderBytes, minHeaderBuffer) }

const (
	// roomPause is the least time between two closings of idle connections, which take finalReadTimeout,
	// and roomPerPause the number of connections that are closed each time.
	roomPause    = 2 * finalReadTimeout
	roomPerPause = 64
)

// makeRoom closes the connections that were idle for longest, at most roomPerPause of them.
func (s *Server) makeRoom() {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.roomMadeAt) < roomPause {
		s.mu.Unlock()
		return
	}
	s.roomMadeAt = now
	open := len(s.conns)
	s.mu.Unlock()
	idle := map[*conn]time.Time{}
	s.forEachConn(func(c *conn) {
		if since, ok := c.idleSince(); ok {
			idle[c] = since
		}
	})
	closing := oldest(idle, roomPerPause)
	for _, c := range closing {
		c.closeWhenIdle()
	}
	s.opts.Logger.Warn("callers take all the connections that they may", "connections", open, "limit", s.maxConnections(),
		"idle", len(idle), "closing", len(closing))
}

// oldest returns the n keys with the earliest instants, or all if there are fewer.
func oldest[K comparable](since map[K]time.Time, n int) []K {
	keys := slices.SortedFunc(maps.Keys(since), func(a, b K) int { return since[a].Compare(since[b]) })
	return keys[:min(n, len(keys))]
}

// serveConn serves a connection until it is closed.
func (s *Server) serveConn(nc net.Conn) {
	limits := s.opts.Limits()
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel, limits: limits,
		queue: make(chan *exchange, maxPipelined), lastActive: time.Now(),
	}
	c.reader = bufio.NewReaderSize(bodyReader{c}, headerBuffer(limits))
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
