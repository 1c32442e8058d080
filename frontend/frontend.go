// Package frontend serves HTTP to callers: gnet event loops own the connections,
// and fasthttp parses the requests and writes the answers.
package frontend

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/result"
)

// closePoll is the interval at which a stop checks whether connections are still open.
const closePoll = 10 * time.Millisecond

// Options configures a Frontend.
type Options struct {
	// Address is the host:port to listen on.
	Address string
	// Handler is the first filter of the pipeline that serves the requests.
	Handler pipeline.Handler
	// HeaderBytes is the largest request header. Default 8 KiB.
	HeaderBytes int
	// BodyBytes is the largest request body of any class. Default 4 MiB.
	BodyBytes int
	// OutboundBytes bounds the bytes buffered for a slow caller: a write waits while
	// more than these are unsent. Default 128 KiB.
	OutboundBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its header and a short body. Default 5 s.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed.
	// Default 60 s.
	IdleTimeout time.Duration
	// WriteStallTimeout is the time without write progress after which an answer is
	// aborted. Default 30 s.
	WriteStallTimeout time.Duration
	// MaxConnections bounds the open connections; further ones are closed at once.
	// Default 20000.
	MaxConnections int
	// DrainDelay is the time for which requests are still served after a stop has
	// begun. It lets the load balancer see that the entry is not ready before any
	// request is refused. Default 1 s.
	DrainDelay time.Duration
	// DrainLinger is the time after DrainDelay for which idle connections stay open,
	// so that requests already on their way are refused with an answer. Default 2 s.
	DrainLinger time.Duration
	// StopTimeout bounds the last phase of a stop, after DrainLinger: connections that
	// are then still open are closed, and their requests cut off. Zero means no limit.
	StopTimeout time.Duration
	// EventLoops is the number of event loops. Default: one per processor.
	EventLoops int
}

func (o Options) withDefaults() Options {
	o.HeaderBytes = cmp.Or(o.HeaderBytes, 8<<10)
	o.BodyBytes = cmp.Or(o.BodyBytes, 4<<20)
	o.OutboundBytes = cmp.Or(o.OutboundBytes, 128<<10)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, 5*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 60*time.Second)
	o.WriteStallTimeout = cmp.Or(o.WriteStallTimeout, 30*time.Second)
	o.MaxConnections = cmp.Or(o.MaxConnections, 20000)
	o.DrainDelay = cmp.Or(o.DrainDelay, time.Second)
	o.DrainLinger = cmp.Or(o.DrainLinger, 2*time.Second)
	return o
}

// Frontend is the HTTP server of an entry that accepts the callers' connections.
type Frontend struct {
	gnet.BuiltinEventEngine
	opts     Options
	http     *fasthttp.Server
	engine   gnet.Engine
	ready    chan struct{}
	idPrefix string
	sequence atomic.Uint64
	// A stop sets these flags one after the other: stopping closes each connection
	// after its next answer, draining refuses new requests, and closing also refuses
	// new connections.
	stopping, draining, closing atomic.Bool
	openConns                   atomic.Int64
	conns                       sync.Map // set of *conn; the values are nil
	// skipDrainDelay ends the wait for DrainDelay early. Only tests send on it.
	skipDrainDelay chan struct{}
}

// New returns a Frontend; Run starts it.
func New(opts Options) *Frontend {
	f := &Frontend{
		opts:           opts.withDefaults(),
		ready:          make(chan struct{}),
		idPrefix:       newIDPrefix(),
		skipDrainDelay: make(chan struct{}, 1),
	}
	f.http = &fasthttp.Server{
		Handler:                      f.serve,
		ErrorHandler:                 f.serveError,
		ReadBufferSize:               f.opts.HeaderBytes,
		MaxRequestBodySize:           f.opts.BodyBytes,
		ReadTimeout:                  f.opts.HeaderTimeout,
		IdleTimeout:                  f.opts.IdleTimeout,
		Concurrency:                  f.opts.MaxConnections,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		ConnState:                    connState,
		Logger:                       discardLogger{},
	}
	return f
}

// newIDPrefix returns a random prefix for request ids, different for each entry and
// each of its starts.
func newIDPrefix() string {
	var b [8]byte
	rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:]) + "-"
}

// Run serves until ctx ends, then drains: it returns once all connections are closed
// or StopTimeout is reached. It fails if the address cannot be listened on or the
// event loops fail.
func (f *Frontend) Run(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.runEngine() }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	f.drain()
	if err := f.engine.Stop(context.WithoutCancel(ctx)); err != nil {
		return errors.Wrap(err, "stop the event loops")
	}
	return <-stopped
}

func (f *Frontend) runEngine() error {
	err := gnet.Run(f, "tcp://"+f.opts.Address,
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(f.opts.EventLoops),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReuseAddr(true),
		gnet.WithLogger(engineLogger{}),
	)
	return errors.Wrapf(err, "listen on %s", f.opts.Address)
}

// Ready returns a channel that is closed once the listener is open.
func (f *Frontend) Ready() <-chan struct{} { return f.ready }

// Stopping reports whether a stop has begun; the entry is not ready from then on.
func (f *Frontend) Stopping() bool { return f.stopping.Load() }

// drain runs the phases of a stop: after DrainDelay it refuses new requests, after
// DrainLinger it closes idle connections, then it waits until the requests in flight
// are finished and their answers sent.
func (f *Frontend) drain() {
	<-f.ready
	f.stopping.Store(true)
	f.waitDrainDelay()
	f.draining.Store(true)
	slog.Info("entry is draining", "connections", f.openConns.Load())
	time.Sleep(f.opts.DrainLinger)
	f.closing.Store(true)
	f.conns.Range(func(c, _ any) bool {
		c.(*conn).closeWhenIdle()
		return true
	})
	f.waitClosed()
}

func (f *Frontend) waitDrainDelay() {
	select {
	case <-time.After(f.opts.DrainDelay):
	case <-f.skipDrainDelay:
	}
}

func (f *Frontend) waitClosed() {
	started := time.Now()
	for f.openConns.Load() > 0 {
		if f.opts.StopTimeout > 0 && time.Since(started) > f.opts.StopTimeout {
			slog.Warn("stop timeout reached, cutting off requests in flight", "connections", f.openConns.Load())
			return
		}
		time.Sleep(closePoll)
	}
}

// connState records on a connection whether it is between requests.
func connState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.setIdle(false)
	case fasthttp.StateIdle:
		c.setIdle(true)
	}
}

// OnBoot implements gnet.EventHandler.
func (f *Frontend) OnBoot(eng gnet.Engine) gnet.Action {
	f.engine = eng
	close(f.ready)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (f *Frontend) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	if f.openConns.Add(1) > int64(f.opts.MaxConnections) || f.closing.Load() {
		return nil, gnet.Close
	}
	c := newConn(gc, limits{
		inbound:           f.opts.HeaderBytes + f.opts.BodyBytes,
		outbound:          f.opts.OutboundBytes,
		writeStallTimeout: f.opts.WriteStallTimeout,
	})
	gc.SetContext(c)
	f.conns.Store(c, nil)
	go func() { _ = f.http.ServeConn(c) }()
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (f *Frontend) OnTraffic(gc gnet.Conn) gnet.Action {
	buf, _ := gc.Next(-1)
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	c.receive(buf)
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (f *Frontend) OnClose(gc gnet.Conn, err error) gnet.Action {
	f.openConns.Add(-1)
	if c, ok := gc.Context().(*conn); ok {
		f.conns.Delete(c)
		c.handleDisconnect(err)
	}
	return gnet.None
}

// serve handles one parsed request.
func (f *Frontend) serve(hc *fasthttp.RequestCtx) {
	req := f.newRequest(hc)
	if e := f.checkRequest(hc); e != nil {
		f.refuse(hc, req, e)
	} else {
		pipeline.Run(f.opts.Handler, req)
	}
	if f.stopping.Load() {
		hc.SetConnectionClose()
	}
}

// checkRequest returns the error with which the request is refused, or nil.
func (f *Frontend) checkRequest(hc *fasthttp.RequestCtx) *result.Error {
	if f.draining.Load() {
		e := result.New(result.EntryDraining, "this entry is stopping")
		e.RetryAfter = time.Second
		return e
	}
	if n := hc.Request.Header.ContentLength(); n > f.opts.BodyBytes {
		return result.New(result.BodyTooLarge, "the body has %d bytes, the limit is %d", n, f.opts.BodyBytes)
	}
	return nil
}

// newRequest returns a request whose context is cancelled with ErrCallerGone when the
// caller's connection ends.
func (f *Frontend) newRequest(hc *fasthttp.RequestCtx) *pipeline.Request {
	ctx, cancel := context.WithCancelCause(context.Background())
	req := &pipeline.Request{
		ID:      f.nextID(),
		Start:   time.Now(),
		HTTP:    &hc.Request,
		Answer:  &hc.Response,
		Context: ctx,
	}
	c, ok := hc.Conn().(*conn)
	if ok {
		c.setOnDisconnect(func() { cancel(pipeline.ErrCallerGone) })
	}
	req.OnEnd(func(error) {
		if ok {
			c.setOnDisconnect(nil)
		}
		cancel(nil)
	})
	return req
}

// refuse answers a request that does not enter the pipeline.
func (f *Frontend) refuse(hc *fasthttp.RequestCtx, req *pipeline.Request, e *result.Error) {
	respond.WriteError(req.Answer, e, req.ID)
	if e.Code == result.BodyTooLarge {
		hc.SetConnectionClose()
		discardInput(hc.Conn())
	}
	req.End(e)
}

// discardInput drops the rest of a refused request that the caller is still sending.
func discardInput(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.discardInput()
	}
}

func (f *Frontend) nextID() string {
	return f.idPrefix + strconv.FormatUint(f.sequence.Add(1), 36)
}

// serveError answers a request that could not be parsed or received.
func (f *Frontend) serveError(hc *fasthttp.RequestCtx, err error) {
	respond.WriteError(&hc.Response, receiveError(err), "")
	hc.SetConnectionClose()
}

func receiveError(err error) *result.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return result.New(result.BodyTooLarge, "the body exceeds the limit of the entry")
	case errors.Is(err, errOverflow):
		return result.New(result.PipeliningLimit, "more bytes were pipelined than the entry buffers")
	case errors.As(err, &small):
		return result.New(result.BadRequest, "the header is too long")
	case errors.As(err, &timeout) && timeout.Timeout():
		return result.New(result.HeaderTimeout, "the request did not arrive in time")
	default:
		return result.Wrap(result.BadRequest, err, "the request cannot be parsed")
	}
}

// discardLogger drops fasthttp's log lines, which concern single connections; counters
// cover these events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// engineLogger logs the warnings and errors of the event loops and drops the rest.
type engineLogger struct{}

// Debugf implements logging.Logger.
func (engineLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (engineLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (engineLogger) Warnf(format string, args ...any) {
	slog.Warn("event loop warning", "message", fmt.Sprintf(format, args...))
}

// Errorf implements logging.Logger.
func (engineLogger) Errorf(format string, args ...any) {
	slog.Error("event loop error", "message", fmt.Sprintf(format, args...))
}

// Fatalf implements logging.Logger. It logs an error and does not end the process.
func (l engineLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
