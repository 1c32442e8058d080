package ingress

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
)

const (
	// bodyTimeout bounds the time to receive a body.
	bodyTimeout = 30 * time.Second
	// maxDiscardedBytes is the longest rest of a refused request's body that is read and discarded to
	// keep the connection. With a longer one the connection is closed after the answer.
	maxDiscardedBytes = 64 << 10
)

// receiveBody reads the body of the exchange's request, if it has one. The whole body is read before
// the request is served: a caller that sends slowly, stops half-way or disconnects then holds no slot
// of a target, and no target gets a part of a body. If the request is refused first, the exchange has
// its answer afterwards. An error means that the request could not be read.
func (c *conn) receiveBody(req *fasthttp.Request, x *exchange) error {
	length := req.Header.ContentLength()
	chunked := length == -1
	if length == 0 || length < -1 {
		return nil
	}
	if length > c.limits.BodyBytes {
		return bodies.ErrTooLong
	}
	refusal, until := c.server.opts.Handler.Precheck(x.request)
	if refusal != nil {
		c.refuseWithoutBody(req, x, refusal)
		return nil
	}
	if req.MayContinue() {
		c.awaitDrained()
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	c.bodyUntil = time.Now().Add(bodyTimeout)
	if !until.IsZero() && until.Before(c.bodyUntil) {
		c.bodyUntil = until
	}
	defer func() { c.bodyUntil = time.Time{} }()
	var err error
	if chunked {
		x.body, err = c.server.opts.Memory.ReadChunked(c.reader, c.limits.BodyBytes)
	} else {
		x.body, err = c.server.opts.Memory.ReadLength(c.reader, length, c.limits.BodyBytes)
	}
	if errors.Is(err, bodies.ErrNoMemory) {
		c.refuseWithoutBody(req, x, c.server.opts.Handler.Refuse(x.request, NoMemory))
		return nil
	}
	if err != nil {
		return err
	}
	x.request.Body = x.body.Data
	return nil
}

// bodyReader reads from a caller's connection. While a body is being received, it ends with os.ErrDeadlineExceeded at the
// connection's bodyUntil, or before that if memory is short and nothing arrives for unreadTimeoutShort: the body holds as much
// memory as it will be long.
type bodyReader struct{ c *conn }

func (r bodyReader) Read(p []byte) (int, error) {
	c := r.c
	if c.bodyUntil.IsZero() {
		return c.nc.Read(p)
	}
	for began := time.Now(); ; {
		until := time.Now().Add(unreadCheck)
		if c.bodyUntil.Before(until) {
			until = c.bodyUntil
		}
		if err := c.nc.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := c.nc.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := time.Now()
		if !now.Before(c.bodyUntil) || c.server.opts.Memory.Short() && now.Sub(began) >= unreadTimeoutShort {
			return 0, err
		}
	}
}

// refuseWithoutBody answers the request although its body was not read. A short body is discarded
// afterwards. Otherwise the connection is closed after the answer, also if the caller waits for
// 100 Continue, because it may then send the body or not.
func (c *conn) refuseWithoutBody(req *fasthttp.Request, x *exchange, refusal *Response) {
	if length := req.Header.ContentLength(); length >= 0 && length <= maxDiscardedBytes && !req.MayContinue() {
		x.unread = length
	} else {
		x.closeAfter = true
	}
	x.refuse(refusal)
}

// discardBody reads what is left of the body of a refused request. It returns false if the
// connection cannot be used for another request.
func (c *conn) discardBody(x *exchange) bool {
	if x.unread == 0 {
		return true
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, c.reader, int64(x.unread)); err != nil {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		return false
	}
	return true
}
