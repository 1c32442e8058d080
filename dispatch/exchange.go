package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/target"
)

const (
	// chunkedLength and closeDelimited are fasthttp's content lengths of bodies
	// without a stated length.
	chunkedLength  = -1
	closeDelimited = -2
	// writeBufferBytes is the buffer of a request on its way to the target.
	writeBufferBytes = 4 << 10
)

// exchange is one request and its answer on one connection. It holds a slot of
// its lane from acquire to end.
type exchange struct {
	dispatcher *Dispatcher
	lane       *lane
	req        *pipeline.Request
	conn       *conn
	// started is the instant at which the slot was acquired.
	started time.Time
	// sentBefore is Request.MaySent before this exchange.
	mayHaveSentBefore bool
	// stopWatch ends the watch over the request's context; it returns false if
	// the context ended first, which closed the connection.
	stopCancelWatch func() bool
}

func (x *exchange) run() error {
	if err := x.acquire(); err != nil {
		x.end(err)
		return err
	}
	x.closeOnCancel()
	x.mayHaveSentBefore = x.req.MayHaveSent
	if err := x.send(); err != nil {
		return x.fail(err)
	}
	if err := x.receiveHeader(); err != nil {
		return x.fail(err)
	}
	if err := x.checkHeader(); err != nil {
		return x.fail(err)
	}
	return x.receiveBody()
}

// acquire takes a slot and a connection.
func (x *exchange) acquire() error {
	req := x.req
	if err := x.acquireSlot(); err != nil {
		return err
	}
	req.MarkDequeued()
	x.started = time.Now()
	c, err := x.lane.pool.get(req.Context, x.dispatcher.maxIdle(req), req.NewConnection)
	if err != nil {
		return connectError(req, err)
	}
	x.conn = c
	return nil
}

// acquireSlot waits for a slot of the target, but not for one of a target that
// has lost the key meanwhile.
func (x *exchange) acquireSlot() error {
	req := x.req
	if x.lane.gate.TryAcquire() {
		return nil
	}
	if req.WatchOwner == nil {
		return x.lane.gate.Acquire(req.Context, req.Deadline)
	}
	ctx, stop := req.WatchOwner(req.Context)
	defer stop()
	err := x.lane.gate.Acquire(ctx, req.Deadline)
	if err != nil && context.Cause(ctx) == pipeline.ErrOwnerChanged {
		return result.New(result.StaleOwner, "target %s lost the key while the request waited for it", req.Owner.Target.ID)
	}
	return err
}

// end gives the slot back and tells the observer. The error is nil after a whole answer.
func (x *exchange) end(err error) {
	if !x.started.IsZero() {
		x.release(err)
	}
	x.dispatcher.opts.Metrics.countExchange(x.req.Bulk(), err)
	newConnection := x.conn == nil || x.conn.idleSince.IsZero()
	x.dispatcher.opts.Observer.Ended(x.req.Owner.Target.ID, err, newConnection)
}

func (x *exchange) release(err error) {
	if indicatesOverload(err) {
		x.lane.gate.ReduceLimit()
	}
	x.lane.gate.Release(x.serviceTime(err))
}

// overloaded reports whether the error suggests that the target has too much work.
func indicatesOverload(err error) bool {
	e, ok := err.(*result.Error)
	return ok && (e.Code == result.TargetShed || e.Code == result.TargetTimeout)
}

// serviceTime is a sample of the gate's mean, which only whole answers give.
func (x *exchange) serviceTime(err error) time.Duration {
	if err != nil {
		return 0
	}
	return time.Since(x.started)
}

// watch closes the connection when the caller is gone, which cancels the
// request at the target. An at-most-once request runs on until its deadline, so
// that its outcome can be recorded for the caller's resend.
func (x *exchange) closeOnCancel() {
	if x.req.AtMostOnce() {
		x.stopCancelWatch = func() bool { return true }
		return
	}
	x.stopCancelWatch = context.AfterFunc(x.req.Context, func() { x.conn.Close() })
}

// send writes the request.
func (x *exchange) send() error {
	if x.req.BeforeSend != nil {
		if err := x.req.BeforeSend(); err != nil {
			return err
		}
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	x.fillRequest(out)
	x.conn.bytesSent = 0
	x.conn.SetDeadline(x.progressDeadline(x.dispatcher.opts.ProgressTimeout))
	w := bufio.NewWriterSize(progressWriter{x}, writeBufferBytes)
	if err := out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// progressWriter extends the deadline with each write and notes that bytes may have left.
type progressWriter struct{ x *exchange }

// Write implements io.Writer.
func (w progressWriter) Write(p []byte) (int, error) {
	x := w.x
	x.conn.SetWriteDeadline(x.progressDeadline(x.dispatcher.opts.ProgressTimeout))
	before := x.conn.bytesSent
	n, err := x.conn.Write(p)
	if before == 0 && n > 0 {
		x.req.MayHaveSent = true
		x.req.Attempts++
	}
	return n, err
}

// fill copies the caller's request and adds the headers of the target protocol.
func (x *exchange) fillRequest(out *fasthttp.Request) {
	req := x.req
	req.HTTP.Header.CopyTo(&out.Header)
	header := &out.Header
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	header.Set(target.HeaderRequestID, req.ID)
	x.setToken(header)
	remaining := max(time.Until(req.Deadline).Milliseconds(), 1)
	header.Set(target.HeaderDeadline, strconv.FormatInt(remaining, 10))
	if len(header.Host()) == 0 {
		header.SetHost(req.Owner.Target.Address)
	}
	if stream := req.HTTP.BodyStream(); stream != nil {
		req.BodyConsumed = true
		out.SetBodyStream(callerBody{stream}, req.HTTP.Header.ContentLength())
		return
	}
	out.SetBodyRaw(req.HTTP.Body())
}

// setToken adds the fencing token of a keyed request. In other pools every
// target is entitled.
func (x *exchange) setToken(h *fasthttp.RequestHeader) {
	for _, name := range tokenHeaders {
		h.Del(name)
	}
	if !x.req.Keyed() {
		return
	}
	h.Set(target.HeaderGroup, string(x.req.Group))
	h.Set(target.HeaderSlot, strconv.FormatUint(uint64(x.req.Owner.Slot), 10))
	h.Set(target.HeaderToken, x.req.Owner.Token.String())
}

var tokenHeaders = []string{target.HeaderGroup, target.HeaderSlot, target.HeaderToken}

// callerBody marks errors of reading the request body from the caller.
type callerBody struct{ io.Reader }

// Read implements io.Reader.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		err = callerError{err}
	}
	return n, err
}

type callerError struct{ error }

// hopByHop are headers that concern one connection only, and those of the
// caller's that could be taken for the entry's own.
var droppedHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection,
	fasthttp.HeaderTE, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	target.HeaderResult,
}

func (x *exchange) receiveHeader() error {
	x.conn.SetReadDeadline(x.progressDeadline(x.firstByteTimeout()))
	h := &x.req.Answer.Header
	for {
		if err := h.Read(x.conn.reader); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		// Informational answers precede the real one.
		h.Reset()
	}
}

// firstByteTimeout is short only where the request may be sent again and the
// target answers soon after it took it.
func (x *exchange) firstByteTimeout() time.Duration {
	switch {
	case x.req.AtMostOnce():
		return time.Until(x.req.Deadline)
	case x.req.Bulk():
		return x.dispatcher.opts.ProgressTimeout
	default:
		return x.dispatcher.opts.SilenceTimeout
	}
}

// bodyTimeout bounds the time without a byte within the answer's body.
func (x *exchange) bodyTimeout() time.Duration {
	if x.req.AtMostOnce() || x.req.Bulk() {
		return x.dispatcher.opts.ProgressTimeout
	}
	return x.dispatcher.opts.SilenceTimeout
}

// progressDeadline returns the instant after the timeout, at most the request's deadline.
func (x *exchange) progressDeadline(timeout time.Duration) time.Time {
	t := time.Now().Add(timeout)
	if x.req.Deadline.Before(t) {
		return x.req.Deadline
	}
	return t
}

// checkHeader compares the correlation id and recognises refusals.
func (x *exchange) checkHeader() error {
	h := &x.req.Answer.Header
	if id := h.Peek(target.HeaderRequestID); string(id) != x.req.ID {
		return result.New(result.AnswerMismatch, "the answer is to request %q", id)
	}
	refusal := string(h.Peek(target.HeaderResult))
	if refusal == "" {
		return nil
	}
	return x.refusalError(refusal)
}

// refused returns the error for a target that asserts that it did not run the request.
func (x *exchange) refusalError(refusal string) error {
	code, ok := refusalCodes[refusal]
	if !ok {
		return result.New(result.AnswerMismatch, "unknown refusal %q", refusal)
	}
	x.req.MayHaveSent = x.mayHaveSentBefore
	e := result.New(code, "target %s", x.req.Owner.Target.ID)
	if code == result.TargetShed {
		e.RetryAfter = time.Second
	}
	return e
}

var refusalCodes = map[string]result.Code{
	target.RefusedNotOwner: result.StaleOwner,
	target.RefusedShed:     result.TargetShed,
	target.RefusedDraining: result.TargetLeaving,
	target.RefusedDeadline: result.DeadlineTooShort,
}

// receiveBody reads a short body whole and makes a longer one a stream.
func (x *exchange) receiveBody() error {
	b, err := x.body()
	if err != nil {
		return x.fail(err)
	}
	x.removeConnectionHeaders()
	limit := x.dispatcher.opts.MaxBufferedBody
	prefix, err := readBodyPrefix(b, x.req.Answer.Header.ContentLength(), limit)
	if err != nil {
		return x.fail(err)
	}
	if len(prefix) <= limit {
		x.req.Answer.SetBodyRaw(prefix)
		x.succeed()
		return nil
	}
	s := &stream{exchange: x, body: b, prefix: prefix}
	x.req.BeginStream()
	x.req.Answer.SetBodyStream(s, x.req.Answer.Header.ContentLength())
	return nil
}

// readUpTo reads the whole body, or one byte more than the limit. The length is
// the stated one, or negative.
func readBodyPrefix(body io.Reader, length, limit int) ([]byte, error) {
	if length < 0 || length > limit {
		return io.ReadAll(io.LimitReader(body, int64(limit)+1))
	}
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(body)
	return buf.Bytes(), err
}

// body returns a reader that ends with io.EOF only after the whole body.
func (x *exchange) body() (io.Reader, error) {
	h := &x.req.Answer.Header
	src := progressReader{x}
	if x.req.HTTP.Header.IsHead() || hasNoBody(h.StatusCode()) {
		return &fixedBody{src: src}, nil
	}
	switch n := h.ContentLength(); n {
	case chunkedLength:
		return &chunkedBody{src: src, chunks: httputil.NewChunkedReader(x.conn.reader)}, nil
	case closeDelimited:
		return nil, result.New(result.ShortBody, "the answer states no length")
	default:
		return &fixedBody{src: src, remaining: int64(n)}, nil
	}
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// cleanHeader removes what concerns the target's connection only.
func (x *exchange) removeConnectionHeaders() {
	h := &x.req.Answer.Header
	x.conn.closing = h.ConnectionClose()
	h.ResetConnectionClose()
	for _, name := range droppedHeaders {
		h.Del(name)
	}
}

// fail closes the connection, which tells the target to cancel, and returns the
// error with the code that follows from what may have been sent.
func (x *exchange) fail(err error) error {
	resultError, isResultError := err.(*result.Error)
	failure := resultError
	if !isResultError {
		failure = x.classify(err)
	}
	if failure.Code == result.TargetTimeout && !x.conn.idleSince.IsZero() {
		// Others that were idle as long may be silent too.
		x.dispatcher.opts.Metrics.silent.Inc()
		x.lane.pool.closeIdle(0)
	}
	x.discard(failure)
	x.req.Answer.Reset()
	return failure
}

func (x *exchange) classify(err error) *result.Error {
	id := x.req.Owner.Target.ID
	switch {
	case x.conn.bytesSent == 0 && x.req.Context.Err() != nil:
		return result.Wrap(result.QueueDeadline, err, "target %s", id)
	case x.conn.bytesSent == 0:
		return result.Wrap(result.ConnectFailed, err, "target %s", id)
	case context.Cause(x.req.Context) == pipeline.ErrCallerGone:
		return result.Wrap(result.CallerGone, err, "target %s", id)
	case errors.As(err, new(callerError)):
		return result.Wrap(result.CallerGone, err, "the request body ended early")
	case x.req.Context.Err() != nil || isTimeout(err):
		return result.Wrap(result.TargetTimeout, err, "target %s", id)
	case errors.Is(err, errTruncated):
		return result.Wrap(result.ShortBody, err, "target %s", id)
	default:
		return result.Wrap(result.TargetLost, err, "target %s", id)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// discard ends the exchange and closes the connection.
func (x *exchange) discard(err error) {
	x.stopCancelWatch()
	x.conn.Close()
	x.end(err)
}

// succeed ends the exchange and keeps the connection if nothing is left on it.
func (x *exchange) succeed() {
	open := x.stopCancelWatch()
	x.end(nil)
	if !open || x.conn.closing || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.lane.pool.put(x.conn)
}
