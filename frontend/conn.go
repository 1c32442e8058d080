package frontend

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
)

const (
	// chunkBytes is the largest piece that is passed to the event loop at once, and the
	// largest capacity of an emptied input buffer that is kept for reuse.
	chunkBytes = 32 << 10
	// minOutboundPoll and maxOutboundPoll bound the interval at which a waiting writer
	// checks how many bytes are still buffered for a slow caller. It has to poll because
	// gnet does not signal when buffered bytes are sent.
	minOutboundPoll = time.Millisecond
	maxOutboundPoll = 20 * time.Millisecond
)

// errOverflow is returned by reads when a caller has sent more bytes ahead than the
// input buffer holds.
var errOverflow = errors.New("frontend: the caller sent more bytes ahead than the input buffer holds")

// conn adapts a connection of a gnet event loop to net.Conn, so that a goroutine can
// read and write it. The event loop fills the input buffer; writers wait while too
// many outbound bytes are unsent.
type conn struct {
	gc    gnet.Conn
	limit limits

	mu   sync.Mutex
	cond *sync.Cond
	// in[inStart:] holds the received bytes that have not been read yet.
	in      []byte
	inStart int
	// queued counts the bytes passed to the event loop that it has not processed yet;
	// buffered counts those in its outbound buffer, not yet accepted by the kernel, as
	// of the last check.
	queued, buffered int
	// lastProgress is the time at which buffered last fell or was zero.
	lastProgress time.Time
	readDeadline time.Time
	readTimer    *time.Timer
	closeErr     error
	disconnected chan struct{}
	// onDisconnect is called once when the connection ends, to cancel the request in
	// flight.
	onDisconnect func()
	// idle is set between requests; closeIfIdle is set when a stop closes idle
	// connections.
	idle, closeIfIdle bool
	closing           bool
	// discarding makes the connection drop received bytes on purpose; overflow is set
	// when bytes of a request were dropped because the input buffer was full.
	discarding, overflow bool
}

// limits bounds one connection: the bytes of its input buffer, its unsent outbound
// bytes, and the time without write progress.
type limits struct {
	inbound, outbound int
	writeStallTimeout time.Duration
}

func newConn(gc gnet.Conn, l limits) *conn {
	c := &conn{gc: gc, limit: l, disconnected: make(chan struct{}), idle: true}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// receive appends bytes received by the event loop to the input buffer. The event loop
// cannot pause reading, so bytes above the limit are dropped; Read then returns
// errOverflow after the bytes that were kept.
func (c *conn) receive(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding || c.overflow {
		return
	}
	if room := c.limit.inbound - (len(c.in) - c.inStart); len(p) > room {
		p = p[:room]
		c.overflow = true
	}
	if c.inStart > 0 && len(c.in)+len(p) > cap(c.in) {
		c.in = append(c.in[:0], c.in[c.inStart:]...)
		c.inStart = 0
	}
	c.in = append(c.in, p...)
	c.cond.Broadcast()
}

// handleDisconnect is called by the event loop when the connection has ended.
func (c *conn) handleDisconnect(err error) {
	if err == nil {
		err = net.ErrClosed
	}
	if f := c.markDisconnected(err); f != nil {
		f()
	}
}

// markDisconnected marks the connection as ended and returns the function that the
// caller must then call. It returns nil if there is none or the connection had already
// ended.
func (c *conn) markDisconnected(err error) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return nil
	}
	c.closeErr = err
	close(c.disconnected)
	c.cond.Broadcast()
	return c.onDisconnect
}

// setOnDisconnect sets the function to call when the connection ends; nil removes it.
// If the connection has already ended, the function is called at once.
func (c *conn) setOnDisconnect(f func()) {
	c.mu.Lock()
	c.onDisconnect = f
	ended := c.closeErr != nil
	c.mu.Unlock()
	if ended && f != nil {
		f()
	}
}

// setIdle records whether the connection is between requests.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// discardInput drops the unread input and everything received from now on.
func (c *conn) discardInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discarding = true
	c.resetInLocked()
}

// closeWhenIdle makes reads return io.EOF between requests, so that the server closes
// the connection.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdle = true
	c.cond.Broadcast()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n := c.takeLocked(p); n > 0 || len(p) == 0 {
			return n, nil
		}
		if c.overflow {
			return 0, errOverflow
		}
		if c.closeErr != nil || c.closeIfIdle && c.idle {
			return 0, io.EOF
		}
		if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.cond.Wait()
	}
}

func (c *conn) takeLocked(p []byte) int {
	n := copy(p, c.in[c.inStart:])
	c.inStart += n
	if c.inStart == len(c.in) {
		c.resetInLocked()
	}
	return n
}

// resetInLocked empties the input buffer, and frees it if a large request has grown it.
func (c *conn) resetInLocked() {
	c.inStart = 0
	c.in = c.in[:0]
	if cap(c.in) > chunkBytes {
		c.in = nil
	}
}

// Write implements net.Conn. It waits for room in the outbound buffer and returns once
// the bytes are queued there, not when the caller has received them.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), chunkBytes)]
		if err := c.reserve(len(piece)); err != nil {
			return written, err
		}
		if err := c.enqueue(piece); err != nil {
			return written, err
		}
		written += len(piece)
		p = p[len(piece):]
	}
	return written, nil
}

// enqueue passes a copy of the piece to the event loop.
func (c *conn) enqueue(piece []byte) error {
	buf := bytebufferpool.Get()
	buf.Set(piece)
	return c.gc.AsyncWrite(buf.B, func(gc gnet.Conn, err error) error {
		n := buf.Len()
		bytebufferpool.Put(buf)
		c.dequeued(gc, n, err)
		return nil
	})
}

// dequeued runs on the event loop after it has processed a piece of n bytes.
func (c *conn) dequeued(gc gnet.Conn, n int, err error) {
	left := 0
	if err == nil {
		left = gc.OutboundBuffered()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued -= n
	c.setBufferedLocked(left)
}

func (c *conn) setBufferedLocked(left int) {
	if left < c.buffered || left == 0 {
		c.lastProgress = time.Now()
	}
	c.buffered = left
	c.cond.Broadcast()
}

// reserve waits until the unsent bytes are within the outbound limit, then counts n
// more bytes as queued.
func (c *conn) reserve(n int) error {
	if err := c.waitOutbound(c.limit.outbound); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued += n
	return nil
}

// waitOutbound waits until at most limit bytes are unsent. It fails with net.ErrClosed
// when the connection ends, and with os.ErrDeadlineExceeded when there is no progress
// for writeStallTimeout.
func (c *conn) waitOutbound(limit int) error {
	poll := minOutboundPoll
	started := time.Now()
	for {
		c.mu.Lock()
		err := c.closeErr
		pending := c.queued + c.buffered
		lastProgress := c.lastProgress
		c.mu.Unlock()
		if err != nil {
			return net.ErrClosed
		}
		if pending <= limit {
			return nil
		}
		if lastProgress.Before(started) {
			lastProgress = started
		}
		if time.Since(lastProgress) > c.limit.writeStallTimeout {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(poll)
		poll = min(2*poll, maxOutboundPoll)
		c.refreshBuffered()
	}
}

// refreshBuffered updates buffered from the event loop; it waits for the reply or the
// end of the connection.
func (c *conn) refreshBuffered() {
	done := make(chan struct{})
	err := c.gc.AsyncWrite(nil, func(gc gnet.Conn, err error) error {
		c.dequeued(gc, 0, err)
		close(done)
		return nil
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-c.disconnected:
	}
}

// Close implements net.Conn. It first waits until all written bytes are sent, because
// on closing the event loop drops the bytes that the kernel does not accept at once.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil
	}
	c.closing = true
	c.mu.Unlock()
	_ = c.waitOutbound(0)
	return c.gc.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.gc.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.gc.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if t.IsZero() {
		if c.readTimer != nil {
			c.readTimer.Stop()
		}
		return nil
	}
	if c.readTimer == nil {
		c.readTimer = time.AfterFunc(time.Until(t), c.cond.Broadcast)
		return nil
	}
	c.readTimer.Reset(time.Until(t))
	return nil
}

// SetWriteDeadline implements net.Conn. It does nothing: writes fail only when they
// make no progress, so that a slow caller may take any time to receive a long answer.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
