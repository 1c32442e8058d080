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
	// chunkBytes is the largest piece handed to the event loop at once.
	chunkBytes = 32 << 10
	// minDrainPoll and maxDrainPoll bound the interval at which a writer looks
	// whether a slow caller has taken buffered bytes; gnet gives no signal for it.
	minOutboundPoll = time.Millisecond
	maxOutboundPoll = 20 * time.Millisecond
)

// errOverflow reports that a caller sent more than is buffered ahead.
var errOverflow = errors.New("frontend: the caller sent more bytes than are buffered")

// conn makes a connection of a gnet event loop a net.Conn, on which a goroutine
// reads and writes. The event loop feeds the inbound buffer; the outbound bytes
// are bounded by making the writer wait.
type conn struct {
	gc    gnet.Conn
	limit limits

	mu   sync.Mutex
	cond *sync.Cond
	// in holds received bytes from inStart on.
	in      []byte
	inStart int
	// queued counts bytes handed to the event loop that it has not taken yet,
	// buffered those that the kernel has not taken yet when last seen.
	queued, buffered int
	// drained is the instant at which buffered last fell.
	lastProgress time.Time
	readDeadline time.Time
	readTimer    *time.Timer
	closeErr     error
	disconnected chan struct{}
	// onGone is called once when the connection ends; it concerns the request in flight.
	onDisconnect func()
	// idle is set between requests, lastCall once the entry wants idle
	// connections to end.
	idle, closeIfIdle bool
	closing           bool
	// deaf drops received bytes; overflow tells that bytes were dropped that
	// belong to a request.
	discarding, overflow bool
}

// limits of one connection in bytes and time.
type limits struct {
	inbound, outbound int
	writeStallTimeout time.Duration
}

func newConn(gc gnet.Conn, l limits) *conn {
	c := &conn{gc: gc, limit: l, disconnected: make(chan struct{}), idle: true}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// feed is called by the event loop with received bytes. The event loop cannot
// pause reading, so bytes above the limit are dropped, and reads fail after
// those that were kept.
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

// closed is called by the event loop when the connection has ended.
func (c *conn) handleDisconnect(err error) {
	if err == nil {
		err = net.ErrClosed
	}
	if f := c.markDisconnected(err); f != nil {
		f()
	}
}

// end marks the connection as ended and returns the function to call then.
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

// notifyGone sets the function to call when the connection ends; nil takes it
// back. It calls the function at once if the connection has ended.
func (c *conn) setOnDisconnect(f func()) {
	c.mu.Lock()
	c.onDisconnect = f
	ended := c.closeErr != nil
	c.mu.Unlock()
	if ended && f != nil {
		f()
	}
}

// setIdle notes whether the connection is between requests.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// discardInput drops what was received and what is received from now on.
func (c *conn) discardInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discarding = true
	c.resetInLocked()
}

// finish lets reads end between requests, so that the connection is closed.
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

// resetInLocked drops a buffer that a large request has grown.
func (c *conn) resetInLocked() {
	c.inStart = 0
	c.in = c.in[:0]
	if cap(c.in) > chunkBytes {
		c.in = nil
	}
}

// Write implements net.Conn. It returns when the event loop's buffer for the
// connection has room, not when the caller has the bytes.
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

// hand passes a copy of the piece to the event loop.
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

// taken runs on the event loop after it took a piece.
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

// reserve waits until n more bytes may be handed to the event loop.
func (c *conn) reserve(n int) error {
	if err := c.waitOutbound(c.limit.outbound); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued += n
	return nil
}

// waitOutbound waits until at most limit bytes are on their way, and fails when
// the caller takes none for the duration of the write stall.
func (c *conn) waitOutbound(limit int) error {
	poll := minOutboundPoll
	started := time.Now()
	for {
		c.mu.Lock()
		err := c.closeErr
		pending := c.queued + c.buffered
		since := c.lastProgress
		c.mu.Unlock()
		if err != nil {
			return net.ErrClosed
		}
		if pending <= limit {
			return nil
		}
		if since.Before(started) {
			since = started
		}
		if time.Since(since) > c.limit.writeStallTimeout {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(poll)
		poll = min(2*poll, maxOutboundPoll)
		c.refreshBuffered()
	}
}

// observe asks the event loop how many bytes are still buffered.
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

// Close implements net.Conn. It lets the caller take what was written first,
// because the event loop drops what the kernel does not take at once.
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

// SetWriteDeadline implements net.Conn. Writes are bounded by progress instead,
// because a slow caller may take a long answer for as long as it proceeds.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
