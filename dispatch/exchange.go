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

	"github.com/basiltally/basiltally/httphead"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/target"
)

const (
	// chunkedLength and closeDelimited are the values of fasthttp's ContentLength for
	// bodies without a stated length.
	chunkedLength  = -1
	closeDelimited = -2
	// writeBufferBytes is the size of the buffer through which a request is sent.
	writeBufferBytes = 4 << 10
)

// exchange is one request and its answer on one connection. It occupies a slot of
// its lane from acquire to end.
type exchange struct {
	dispatcher *Dispatcher
	lane       *lane
	req        *pipeline.Request
	conn       *conn
	// started is the instant at which the slot was acquired.
	started time.Time
	// mayHaveSentBefore is the value of Request.MayHaveSent before this exchange.
	mayHaveSentBefore bool
	// stopCancelWatch reverts closeOnCancel. It returns false if the request's context
	// has ended already, in which case the connection is closed.
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

// acquire acquires a slot and a connection.
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

// acquireSlot waits for a slot of the target. It returns StaleOwner as soon as the
// target no longer owns the request's key.
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
		return result.New(result.StaleOwner,
			"target %s lost ownership of the key while the request waited for a slot", req.Owner.Target.ID)
	}
	return err
}

// end releases the slot, counts the exchange and notifies the observer. The error is
// nil after a complete answer.
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

// indicatesOverload reports whether the error suggests that the target is overloaded.
func indicatesOverload(err error) bool {
	e, ok := err.(*result.Error)
	return ok && (e.Code == result.TargetShed || e.Code == result.TargetTimeout)
}

// serviceTime returns the service time to report to the gate: the time since the slot
// was acquired, or 0 unless the answer is complete.
func (x *exchange) serviceTime(err error) time.Duration {
	if err != nil {
		return 0
	}
	return time.Since(x.started)
}

// closeOnCancel makes the connection close when the request's context ends, e.g.
// because the caller disconnected. This cancels the request at the target. An
// at-most-once request keeps running until its deadline, so that its outcome can be
// recorded for a resend by the caller.
func (x *exchange) closeOnCancel() {
	if x.req.AtMostOnce() {
		x.stopCancelWatch = func() bool { return true }
		return
	}
	x.stopCancelWatch = context.AfterFunc(x.req.Context, func() { x.conn.Close() })
}

// send sends the request to the target.
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

// progressWriter extends the write deadline before each write and records when the
// first byte of the request may have been sent.
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

// fillRequest copies the caller's request to out and adds the headers of the target
// protocol.
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

// setToken sets the headers with the fencing token of a keyed request. In a pool
// without keys every target may run the request, so no token is sent.
func (x *exchange) setToken(header *fasthttp.RequestHeader) {
	for _, name := range tokenHeaders {
		header.Del(name)
	}
	if !x.req.Keyed() {
		return
	}
	header.Set(target.HeaderGroup, string(x.req.Group))
	header.Set(target.HeaderSlot, strconv.FormatUint(uint64(x.req.Owner.Slot), 10))
	header.Set(target.HeaderToken, x.req.Owner.Token.String())
}

// tokenHeaders are the headers of the fencing token. The caller's are not passed on.
var tokenHeaders = []string{target.HeaderGroup, target.HeaderSlot, target.HeaderToken}

// callerBody reads the request body from the caller and returns errors as callerError.
type callerBody struct{ io.Reader }

// Read implements io.Reader.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		err = callerError{err}
	}
	return n, err
}

// callerError is an error of reading the request body from the caller.
type callerError struct{ error }

// droppedHeaders are not relayed in either direction: the headers that apply to one
// connection only, and HeaderResult, which a caller must not be able to set.
var droppedHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection,
	fasthttp.HeaderTE, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
	target.HeaderResult,
}

// receiveHeader reads the header of the final answer and skips informational ones.
func (x *exchange) receiveHeader() error {
	x.conn.SetReadDeadline(x.progressDeadline(x.firstByteTimeout()))
	h := &x.req.Answer.Header
	for {
		if err := httphead.ReadAnswer(x.conn.reader, h); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		// An informational answer precedes the final one.
		h.Reset()
	}
}

// firstByteTimeout returns the longest wait for the answer's header. It is the short
// SilenceTimeout only for requests that may be sent again and are answered quickly.
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

// bodyTimeout returns the longest time without a byte within the answer's body.
func (x *exchange) bodyTimeout() time.Duration {
	if x.req.AtMostOnce() || x.req.Bulk() {
		return x.dispatcher.opts.ProgressTimeout
	}
	return x.dispatcher.opts.SilenceTimeout
}

// progressDeadline returns the instant at which the timeout ends, or the request's
// deadline if that is earlier.
func (x *exchange) progressDeadline(timeout time.Duration) time.Time {
	t := time.Now().Add(timeout)
	if x.req.Deadline.Before(t) {
		return x.req.Deadline
	}
	return t
}

// checkHeader returns an error if the answer has another request's id or is a refusal.
func (x *exchange) checkHeader() error {
	h := &x.req.Answer.Header
	if id := h.Peek(target.HeaderRequestID); string(id) != x.req.ID {
		return result.New(result.AnswerMismatch, "the answer has the request id %q instead of the request's", id)
	}
	refusal := string(h.Peek(target.HeaderResult))
	if refusal == "" {
		return nil
	}
	return x.refusalError(refusal)
}

// refusalError returns the error for an answer in which the target asserts that it did
// not run the request. An unknown refusal is an AnswerMismatch.
func (x *exchange) refusalError(refusal string) error {
	code, ok := refusalCodes[refusal]
	if !ok {
		return result.New(result.AnswerMismatch, "the answer has the unknown refusal %q", refusal)
	}
	x.req.MayHaveSent = x.mayHaveSentBefore
	e := result.New(code, "target %s refused the request", x.req.Owner.Target.ID)
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

// receiveBody reads a body of up to MaxBufferedBody bytes completely and sets a longer
// one as a stream.
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

// readBodyPrefix reads the whole body, or limit+1 bytes of a body that is longer than
// the limit. length is the stated length of the body, negative if there is none.
func readBodyPrefix(body io.Reader, length, limit int) ([]byte, error) {
	if length < 0 || length > limit {
		return io.ReadAll(io.LimitReader(body, int64(limit)+1))
	}
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(body)
	return buf.Bytes(), err
}

// body returns a reader that returns io.EOF only at the end of the complete body. An
// answer that states no length is a ShortBody error, since its end cannot be recognised.
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
		return nil, result.New(result.ShortBody, "the answer neither states a length nor is chunked")
	default:
		return &fixedBody{src: src, remaining: int64(n)}, nil
	}
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// removeConnectionHeaders removes the headers that apply only to the connection to the
// target.
func (x *exchange) removeConnectionHeaders() {
	h := &x.req.Answer.Header
	x.conn.closing = h.ConnectionClose()
	h.ResetConnectionClose()
	for _, name := range droppedHeaders {
		h.Del(name)
	}
}

// fail closes the connection, which cancels the request at the target. It returns the
// error with a code that depends on whether a byte may have been sent.
func (x *exchange) fail(err error) error {
	resultError, isResultError := err.(*result.Error)
	failure := resultError
	if !isResultError {
		failure = x.classify(err)
	}
	if failure.Code == result.TargetTimeout && !x.conn.idleSince.IsZero() {
		// The target may not answer on the other idle connections either.
		x.dispatcher.opts.Metrics.silent.Inc()
		x.lane.pool.closeIdle(0)
	}
	x.discard(failure)
	x.req.Answer.Reset()
	return failure
}

// classify returns the result error for an error of the connection, of the caller's
// body or of the request's context.
func (x *exchange) classify(err error) *result.Error {
	targetID := x.req.Owner.Target.ID
	switch {
	case x.conn.bytesSent == 0 && x.req.Context.Err() != nil:
		return result.Wrap(result.QueueDeadline, err,
			"the request ended before it was sent to target %s", targetID)
	case x.conn.bytesSent == 0:
		return result.Wrap(result.ConnectFailed, err, "no byte could be sent to target %s", targetID)
	case context.Cause(x.req.Context) == pipeline.ErrCallerGone:
		return result.Wrap(result.CallerGone, err,
			"the caller disconnected during the exchange with target %s", targetID)
	case errors.As(err, new(callerError)):
		return result.Wrap(result.CallerGone, err, "reading the request body from the caller failed")
	case x.req.Context.Err() != nil || isTimeout(err):
		return result.Wrap(result.TargetTimeout, err, "target %s did not answer in time", targetID)
	case errors.Is(err, httphead.ErrInvalid):
		return result.Wrap(result.AnswerMismatch, err, "target %s gave no valid answer", targetID)
	case errors.Is(err, errTruncated):
		return result.Wrap(result.ShortBody, err, "the answer of target %s ended early", targetID)
	default:
		return result.Wrap(result.TargetLost, err, "the connection to target %s broke", targetID)
	}
}

func isTimeout(err error) bool {
	var timeouter interface{ Timeout() bool }
	return errors.As(err, &timeouter) && timeouter.Timeout()
}

// discard ends the exchange and closes the connection.
func (x *exchange) discard(err error) {
	x.stopCancelWatch()
	x.conn.Close()
	x.end(err)
}

// succeed ends the exchange after a complete answer. It returns the connection to the
// pool, unless it is closed or closing or has unread bytes.
func (x *exchange) succeed() {
	open := x.stopCancelWatch()
	x.end(nil)
	if !open || x.conn.closing || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.lane.pool.put(x.conn)
}
