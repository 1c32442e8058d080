package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxConcurrency  = 64 << 10
	maxRequestBytes = 1 << 30
	// listenRetryInterval is the pause between attempts to listen again after a crash.
	listenRetryInterval = 10 * time.Millisecond
)

// incarnation is the state of the target from one start to the next; a crash loses it.
type incarnation struct {
	clock   *clock
	grants  *grants
	slots   *slots
	conns   *connSet
	http    *fasthttp.Server
	ctx     context.Context
	cancel  context.CancelFunc
	crashed atomic.Bool
}

func (s *Server) newIncarnation(number uint64) *incarnation {
	c := newClock(number)
	ctx, cancel := context.WithCancel(context.Background())
	inc := &incarnation{
		clock:  c,
		grants: newGrants(c),
		slots:  newSlots(s.opts.Slots, s.opts.Queue),
		conns:  newConnSet(s.Faults),
		ctx:    ctx,
		cancel: cancel,
	}
	inc.http = &fasthttp.Server{
		Handler:               func(rc *fasthttp.RequestCtx) { s.handle(inc, rc) },
		Concurrency:           maxConcurrency,
		MaxRequestBodySize:    maxRequestBytes,
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return inc
}

// discardLogger drops the HTTP server's log lines, since faults break connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// warming reports whether Faults.ColdStart has not passed yet since the start.
func (inc *incarnation) warming(f Faults) bool {
	return inc.clock.nanos() < int64(f.ColdStart)
}

// Serve answers requests on the listener until Shutdown. After each crash it starts a new
// incarnation on the same address.
func (s *Server) Serve(ln net.Listener) error {
	address := ln.Addr()
	for {
		inc := s.current()
		if s.stopped.Load() {
			return ln.Close()
		}
		inc.conns.listen(ln)
		err := inc.http.Serve(inc.conns)
		if s.stopped.Load() || !inc.crashed.Load() {
			return err
		}
		if !s.restart() {
			return nil
		}
		time.Sleep(time.Duration(s.Faults().RestartAfter))
		if ln = s.listenAgain(address); ln == nil {
			return nil
		}
	}
}

// restart makes a new incarnation the current one. It returns false if the server was shut
// down.
func (s *Server) restart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped.Load() {
		return false
	}
	s.restarts++
	s.inc = s.newIncarnation(s.opts.Incarnation + s.restarts)
	return true
}

// listenAgain listens on the address, and retries until it succeeds. It returns nil once
// the server was shut down.
func (s *Server) listenAgain(address net.Addr) net.Listener {
	for !s.stopped.Load() {
		ln, err := net.Listen(address.Network(), address.String())
		if err == nil {
			return ln
		}
		time.Sleep(listenRetryInterval)
	}
	return nil
}

// crash ends the incarnation at once, and its requests receive no answer.
func (s *Server) crash(inc *incarnation) {
	if !inc.crashed.CompareAndSwap(false, true) {
		return
	}
	s.crashes.Add(1)
	inc.conns.crash()
	inc.cancel()
}

func (s *Server) current() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inc
}
