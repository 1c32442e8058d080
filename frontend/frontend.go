// Package frontend serves the callers' HTTP: connections live on gnet event
// loops, fasthttp parses the requests and writes the answers.
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
	"github.com/basiltally/basiltally/pipeline/relay"
	"github.com/basiltally/basiltally/result"
)

// drainPoll is the interval at which a stop looks for open connections.
const drainPoll = 10 * time.Millisecond

// Options of a Frontend.
type Options struct {
	// Address is the host:port to listen on.
	Address string
	// Handler serves the requests: the first filter of the pipeline.
	Handler pipeline.Handler
	// HeaderBytes bounds the header of a request. Default 8 KiB.
	HeaderBytes int
	// BodyBytes bounds the body of a request, whatever its class. Default 4 MiB.
	BodyBytes int
	// OutboundBytes bounds what is buffered for a slow caller. Default 128 KiB.
	OutboundBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its header and a short body. Default 5 s.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without a request. Default 60 s.
	IdleTimeout time.Duration
	// WriteStall aborts an answer of which the caller takes no byte for so long.
	// Default 30 s.
	WriteStallTimeout time.Duration
	// MaxConnections refuses further connections. Default 20000.
	MaxConnections int
	// DrainNotice is the time for which requests are still served after a stop has
	// begun, so that the balancer can see that the entry is not ready and
	// nothing is refused meanwhile. Default 1 s.
	DrainDelay time.Duration
	// DrainLinger keeps idle connections open after a stop has begun, so that
	// requests on their way are refused with an answer. Default 2 s.
	DrainLinger time.Duration
	// HardLimit bounds a stop: what is then in flight is cut off. Zero waits
	// without a limit.
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

// Frontend is the callers' side of an entry.
type Frontend struct {
	gnet.BuiltinEventEngine
	opts     Options
	http     *fasthttp.Server
	engine   gnet.Engine
	booted   chan struct{}
	idPrefix string
	sequence atomic.Uint64
	// stopping ends connections after their next answer, draining refuses new
	// requests, closing also new connections.
	stopping, draining, closing atomic.Bool
	open                        atomic.Int64
	conns                       sync.Map // of *conn to nothing
	// notice ends the wait of DrainNotice early.
	notice chan struct{}
}

// New returns a Frontend that is not serving yet.
func New(opts Options) *Frontend {
	f := &Frontend{
		opts:     opts.withDefaults(),
		booted:   make(chan struct{}),
		idPrefix: newPrefix(),
		notice:   make(chan struct{}, 1),
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

// newPrefix returns the part of request ids that tells entries and their starts apart.
func newPrefix() string {
	var b [8]byte
	rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:]) + "-"
}

// Run serves until the context ends and all requests in flight are finished.
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

// Ready is closed once the listener is open.
func (f *Frontend) Ready() <-chan struct{} { return f.booted }

// Stopping reports whether a stop has begun; the entry is not ready from then on.
func (f *Frontend) Stopping() bool { return f.stopping.Load() }

// drain refuses new requests, lets those in flight finish and waits until the
// callers have taken their answers.
func (f *Frontend) drain() {
	<-f.booted
	f.stopping.Store(true)
	f.waitNotice()
	f.draining.Store(true)
	slog.Info("entry is draining", "connections", f.open.Load())
	time.Sleep(f.opts.DrainLinger)
	f.closing.Store(true)
	f.conns.Range(func(c, _ any) bool {
		c.(*conn).finish()
		return true
	})
	f.waitClosed()
}

func (f *Frontend) waitNotice() {
	select {
	case <-time.After(f.opts.DrainDelay):
	case <-f.notice:
	}
}

func (f *Frontend) waitClosed() {
	started := time.Now()
	for f.open.Load() > 0 {
		if f.opts.StopTimeout > 0 && time.Since(started) > f.opts.StopTimeout {
			slog.Warn("hard limit of the stop reached, requests are cut off", "connections", f.open.Load())
			return
		}
		time.Sleep(drainPoll)
	}
}

// connState follows which connections are between requests.
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
	close(f.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (f *Frontend) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	if f.open.Add(1) > int64(f.opts.MaxConnections) || f.closing.Load() {
		return nil, gnet.Close
	}
	c := newConn(gc, limits{
		inbound:    f.opts.HeaderBytes + f.opts.BodyBytes,
		outbound:   f.opts.OutboundBytes,
		writeStall: f.opts.WriteStallTimeout,
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
	c.feed(buf)
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (f *Frontend) OnClose(gc gnet.Conn, err error) gnet.Action {
	f.open.Add(-1)
	if c, ok := gc.Context().(*conn); ok {
		f.conns.Delete(c)
		c.closed(err)
	}
	return gnet.None
}

// serve handles one parsed request.
func (f *Frontend) serve(hc *fasthttp.RequestCtx) {
	req := f.newRequest(hc)
	if e := f.check(hc); e != nil {
		f.refuse(hc, req, e)
	} else {
		pipeline.Run(f.opts.Handler, req)
	}
	if f.stopping.Load() {
		hc.SetConnectionClose()
	}
}

// check returns the reason to refuse the request, or nil.
func (f *Frontend) check(hc *fasthttp.RequestCtx) *result.Error {
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

// newRequest returns a request whose context ends with the caller's connection.
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
		c.notifyGone(func() { cancel(pipeline.ErrCallerGone) })
	}
	req.OnEnd(func(error) {
		if ok {
			c.notifyGone(nil)
		}
		cancel(nil)
	})
	return req
}

// refuse answers a request that does not enter the pipeline.
func (f *Frontend) refuse(hc *fasthttp.RequestCtx, req *pipeline.Request, e *result.Error) {
	relay.WriteError(req.Answer, e, req.ID)
	if e.Code == result.BodyTooLarge {
		hc.SetConnectionClose()
		discardInput(hc.Conn())
	}
	req.End(e)
}

// discardInput drops what the caller still sends of a refused request.
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
	relay.WriteError(&hc.Response, receiveError(err), "")
	hc.SetConnectionClose()
}

func receiveError(err error) *result.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return result.New(result.BodyTooLarge, "the body exceeds the limit of the entry")
	case errors.Is(err, errOverflow):
		return result.New(result.PipeliningLimit, "more bytes were sent ahead than the entry buffers")
	case errors.As(err, &small):
		return result.New(result.BadRequest, "the header is too long")
	case errors.As(err, &timeout) && timeout.Timeout():
		return result.New(result.HeaderTimeout, "the request did not arrive in time")
	default:
		return result.Wrap(result.BadRequest, err, "the request cannot be parsed")
	}
}

// discardLogger drops fasthttp's lines on single connections; counters tell of them.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// engineLogger passes the event loops' warnings on and drops the rest.
type engineLogger struct{}

// Debugf implements logging.Logger.
func (engineLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (engineLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (engineLogger) Warnf(format string, args ...any) {
	slog.Warn("event loop", "message", fmt.Sprintf(format, args...))
}

// Errorf implements logging.Logger.
func (engineLogger) Errorf(format string, args ...any) {
	slog.Error("event loop", "message", fmt.Sprintf(format, args...))
}

// Fatalf implements logging.Logger. It does not end the process.
func (l engineLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
