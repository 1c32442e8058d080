package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/routing"
)

// conn is a caller's connection. One goroutine reads the requests, another one writes the
// answers, and each request is served in a goroutine of its own.
type conn struct {
	server *Server
	nc     net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	limits routing.Limits
	// bodyUntil is when the body that is being received must have arrived; zero while none is. Only the reader uses it.
	bodyUntil time.Time
	// queue holds the exchanges whose answers are not written yet, in the order of the
	// requests.
	queue chan *exchange

	mu sync.Mutex
	// pending is the number of requests that were read and are not yet answered.
	pending int
	// drained is signalled when pending becomes zero.
	drained *sync.Cond
	// receiving is set while a request is being received.
	receiving bool
	// finalRead is set during a stop. The connection is then closed unless a request
	// arrives within finalReadTimeout.
	finalRead bool
	// closing is set once no further request is accepted.
	closing bool
	// lastActive is when the connection was accepted or last had a request pending.
	lastActive time.Time
}

// exchange is a request and its answer.
type exchange struct {
	request  *Request
	response *Response
	// done is closed once response is set.
	done chan struct{}
	// closeAfter is set if the connection is closed after the answer.
	closeAfter bool
	// body is the request's body, or nil.
	body *bodies.Body
	// unread is the number of bytes of the request's body that are discarded, since the request was
	// refused before they were read.
	unread int
	// releaseHeader and releaseAnswer end the counting of the request's header and of the answer.
	releaseHeader, releaseAnswer func()
}

// refuse sets the answer to a request that is not served.
func (x *exchange) refuse(r *Response) {
	x.response = r
	close(x.done)
}

// read reads requests and dispatches them until the connection has ended or must be closed.
func (c *conn) read() {
	for {
		if !c.awaitRequest() {
			c.awaitAnswers()
			return
		}
		x, err := c.readRequest()
		if err != nil {
			c.refuseUnreadable(err)
			return
		}
		if !c.dispatch(x) {
			c.awaitAnswers()
			return
		}
		if x.closeAfter {
			c.discardUntilClosed()
			return
		}
		if !c.discardBody(x) {
			c.awaitAnswers()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// has ended or must be closed.
func (c *conn) awaitRequest() bool {
	for {
		if err := c.nc.SetReadDeadline(c.idleDeadline()); err != nil {
			c.cancel()
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReceive()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			// The caller has disconnected, so the answers are no longer needed.
			c.cancel()
			return false
		}
		if c.closeOnIdleTimeout() {
			return false
		}
	}
}

// beginReceive records that a request is being received. It returns false if the
// connection is closing, in which case the request is not accepted.
func (c *conn) beginReceive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = !c.closing
	return c.receiving
}

// idleDeadline returns when to stop waiting for the next request.
func (c *conn) idleDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.finalRead {
		return time.Now().Add(finalReadTimeout)
	}
	return maxTime(c.lastActive, time.Now().Add(-c.limits.IdleTimeout)).Add(c.limits.IdleTimeout + time.Millisecond)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeOnIdleTimeout handles the end of the wait for a request. It reports whether the
// connection must be closed.
func (c *conn) closeOnIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	if c.pending > 0 {
		c.lastActive = time.Now()
		return false
	}
	if c.finalRead {
		c.closing = true
		return true
	}
	if time.Since(c.lastActive) < c.limits.IdleTimeout {
		return false
	}
	c.closing = true
	return true
}

// awaitAnswers watches a closing connection for the caller's disconnect, while the requests
// that were read before are answered.
func (c *conn) awaitAnswers() {
	c.mu.Lock()
	answers := c.closing && c.pending > 0 && c.ctx.Err() == nil
	c.mu.Unlock()
	if answers {
		c.discardUntilClosed()
	}
}

// idleSince returns since when the connection has been idle. It returns false if it is not, is being closed, or has
// been idle for less than minIdleBeforeStop.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.pending == 0 && !c.receiving && !c.closing && !c.finalRead && time.Since(c.lastActive) >= minIdleBeforeStop
	return c.lastActive, idle
}

// closeWhenIdle begins to close the connection if it is idle. A stop calls it repeatedly, and makeRoom once. On
// a connection with pending requests no further ones are accepted, so the caller has to
// send again what it sent after them.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 && !c.receiving && !c.closing {
		c.closing = true
		// The deadline wakes the reader. An error means that the connection has ended.
		_ = c.nc.SetReadDeadline(time.Now())
		return
	}
	if c.pending > 0 || c.receiving || c.closing || c.finalRead || time.Since(c.lastActive) < minIdleBeforeStop {
		return
	}
	c.finalRead = true
	// A request that has arrived but was not read yet is still accepted. An error means
	// that the connection has ended.
	_ = c.nc.SetReadDeadline(time.Now().Add(finalReadTimeout))
}

// readRequest reads one request and checks its header.
func (c *conn) readRequest() (*exchange, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(c.limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	req := &fasthttp.Request{}
	if err := req.Header.Read(c.reader); err != nil {
		return nil, err
	}
	if err := checkHeader(&req.Header); err != nil {
		return nil, err
	}
	x := &exchange{
		request: &Request{Header: &req.Header, Received: time.Now()}, done: make(chan struct{}), closeAfter: req.Header.ConnectionClose(),
	}
	if err := c.receiveBody(req, x); err != nil {
		return nil, err
	}
	return x, nil
}

const (
	// finalReadTimeout is how long a stop still waits for a request on an idle connection
	// before it closes the connection, and for connections in the listener's queue.
	finalReadTimeout = 20 * time.Millisecond
	// lastAnswerTimeout bounds how long a connection that accepts no further request is
	// watched while its last answers are produced.
	lastAnswerTimeout = 5 * time.Minute
)

// dispatch starts to serve the request. If the request must not overlap others, dispatch
// first waits until all earlier requests are answered. It returns false if the connection
// is closing, in which case the request is not accepted.
func (c *conn) dispatch(x *exchange) bool {
	refused := x.response != nil
	if !refused && !c.server.opts.Handler.MayOverlap(x.request) {
		c.awaitDrained()
	}
	c.mu.Lock()
	if c.closing || c.ctx.Err() != nil {
		c.mu.Unlock()
		x.body.Release()
		return false
	}
	if !refused && c.server.refusing.Load() {
		refused = true
		x.refuse(c.server.opts.Handler.Refuse(x.request, Stopping))
	}
	c.pending++
	c.receiving = false
	c.closing = x.closeAfter
	c.mu.Unlock()
	if refused {
		x.body.Release()
		c.queue <- x
		return true
	}
	// A caller may have maxPipelined requests in flight, each with a header of the longest allowed length.
	x.releaseHeader = c.server.opts.Memory.Hold(len(x.request.Header.RawHeaders()))
	c.queue <- x
	go func() {
		x.response = c.server.opts.Handler.Serve(c.ctx, x.request)
		x.body.Release()
		x.releaseAnswer = c.server.opts.Memory.Hold(len(x.response.Header) + len(x.response.Body))
		close(x.done)
	}()
	return true
}

// awaitDrained waits until all requests that were read are answered. Meanwhile a disconnect
// of the caller is not noticed, but the wait lasts no longer than the requests in flight.
func (c *conn) awaitDrained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 {
		c.drainedCondLocked().Wait()
	}
}

// drainedCondLocked returns c.drained and creates it at the first call. c.mu must be held.
func (c *conn) drainedCondLocked() *sync.Cond {
	if c.drained == nil {
		c.drained = sync.NewCond(&c.mu)
	}
	return c.drained
}

// discardUntilClosed reads and discards data until the caller closes the connection, and
// then cancels the requests in flight. It gives up after lastAnswerTimeout.
func (c *conn) discardUntilClosed() {
	if err := c.nc.SetReadDeadline(time.Now().Add(lastAnswerTimeout)); err != nil {
		return
	}
	_, err := io.Copy(io.Discard, c.reader)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// write writes the answers in the order of the requests. After a failed or aborted answer,
// it closes the connection and discards the answers that follow.
func (c *conn) write() {
	broken := false
	for x := range c.queue {
		<-x.done
		if broken {
			c.markAnswered(x)
			continue
		}
		last := c.closesAfter(x)
		if x.response.Abort || !c.writeResponseOrLog(x, last) {
			c.cancel()
			c.nc.Close()
			broken = true
		}
		c.markAnswered(x)
		if last && !broken {
			c.linger()
			broken = true
		}
	}
}

// writeResponseOrLog writes the answer of the exchange. It returns false if that failed.
func (c *conn) writeResponseOrLog(x *exchange, closeAfter bool) bool {
	err := c.writeResponse(x, closeAfter)
	if errors.Is(err, errUnread) {
		c.server.unread.Inc()
		c.server.opts.Logger.Warn("gave up an answer that its caller does not read", "remote", c.nc.RemoteAddr().String(),
			"uri", string(x.request.Header.RequestURI()), "bytes", len(x.response.Body), "memory_short", c.server.opts.Memory.Short())
	}
	return err == nil
}

// closesAfter reports whether the connection is closed after the answer: either the caller
// asked for it, or the connection is closing or the server stops, and no further request
// has been read.
func (c *conn) closesAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closeAfter || c.closing && c.pending == 1 {
		return true
	}
	if c.server.stopping.Load() && c.pending == 1 && !c.receiving {
		c.closing = true
		return true
	}
	return false
}

// markAnswered records that the answer of the exchange was written or discarded.
func (c *conn) markAnswered(x *exchange) {
	for _, release := range []func(){x.releaseHeader, x.releaseAnswer} {
		if release != nil {
			release()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.lastActive = time.Now()
	if c.pending == 0 && c.drained != nil {
		c.drained.Broadcast()
	}
}

// writeResponse writes the answer of the exchange. If it fails, the connection must be closed, so that the caller sees that
// the answer is not complete.
func (c *conn) writeResponse(x *exchange, closeAfter bool) error {
	r := x.response
	b := make([]byte, 0, 256+len(r.Header))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(r.Status)...)
	b = append(b, "\r\n"...)
	b = append(b, r.Header...)
	if bodyAllowed(r.Status) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	body := r.Body
	if x.request.Header.IsHead() || !bodyAllowed(r.Status) {
		body = nil
	}
	return c.writeAll(net.Buffers{b, body})
}

// bodyAllowed reports whether an answer with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// linger closes the write side and lets the reader wait up to lingerTimeout for the caller
// to close, so that the caller receives the complete last answer.
func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// refuseUnreadable answers a request that could not be read, after the earlier requests are
// answered, and closes the connection.
func (c *conn) refuseUnreadable(err error) {
	status := statusOfReadError(err)
	if status == 0 {
		c.cancel()
		return
	}
	x := &exchange{
		request:  &Request{Header: &fasthttp.RequestHeader{}, Received: time.Now()},
		response: &Response{Status: status, Body: []byte(fasthttp.StatusMessage(status) + "\n")},
		done:     make(chan struct{}), closeAfter: true,
	}
	close(x.done)
	c.mu.Lock()
	c.pending++
	c.closing = true
	c.mu.Unlock()
	c.server.opts.Logger.Warn("could not read a request", "remote", c.nc.RemoteAddr().String(), "status", status, "error", err.Error())
	c.queue <- x
	c.discardUntilClosed()
}

// statusOfReadError returns the HTTP status for a request that could not be read, or zero
// if the connection has ended.
func statusOfReadError(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, bodies.ErrTooLong):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, bodies.ErrEnded), errors.As(err, new(*net.OpError)):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}
