// Package upstream sends requests to targets over persistent connections and reads their
// complete answers. Its errors state whether the target may have run the request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/httphead"
)

// Headers are the names of the headers between the router and the targets.
type Headers struct {
	// RequestID carries the ID of the request. A target repeats it in its answer.
	RequestID string
	// TimeLeft carries the time that the target may take, in milliseconds.
	TimeLeft string
	// ExpectedTarget carries the ID of the target that the request is for. Any other target
	// refuses the request.
	ExpectedTarget string
	// Target carries the ID of the target that answers, if it is not the expected one.
	Target string
	// Seal is present in an answer that the target itself produced.
	Seal string
	// NotRun is present in an answer of a target that did not run the request.
	NotRun string
	// Load carries the target's load: running requests, waiting requests and slots.
	Load string
	// Limit carries the number of requests a second, a decimal number, that the target takes
	// from all VMs together.
	Limit string
	// Leaving is present with the value 1 in all answers of a target that is about to leave.
	Leaving string
}

// Request is a request to a target.
type Request struct {
	ID     string
	Method string
	// URI is the path with its query, as the caller sent it.
	URI string
	// Header holds the caller's header lines that are forwarded, each with its line end.
	Header []byte
	Body   []byte
	// TargetID is the ID of the target that the request is for.
	TargetID string
	// Deadline bounds the exchange.
	Deadline time.Time
	// MaxWait bounds the wait for a connection while all connections to the target are in
	// use. Zero does not wait.
	MaxWait time.Duration
	// MaxIdle bounds how long the connection may have been idle. Zero sets no limit for
	// this request.
	MaxIdle time.Duration
	// Permit is called once a connection is available, before the first byte is written. If it
	// returns an error, nothing is sent and the error is the cause of the Failure. It may be
	// nil.
	Permit func() error
}

// Load is the number of requests that the target reported as running and as waiting, and its number of slots.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the target's machine at the moment of the answer, in percent of the usual time.
	// Zero if the target does not state it.
	WorkPercent int
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	// Header holds the target's header lines that are forwarded, each with its line end.
	Header []byte
	Body   []byte
	// Load is nil if the target reported none.
	Load *Load
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// OtherTarget is set if another target than the expected one answers at the address.
	OtherTarget bool
	// Sealed is set if the target itself produced the answer.
	Sealed bool
	// Statements is what the target states of itself, or nil if the answer may be that of another
	// target: it misdirects the request or has neither seal nor "not run".
	Statements *Statements
}

// Statements is what a target states of itself in an answer.
type Statements struct {
	// LimitPerSecond is the number of requests a second that the target takes from all VMs
	// together; zero if it names none.
	LimitPerSecond float64
	// LimitUnclear is set if the answer names a limit that could not be understood.
	LimitUnclear bool
	// ReceivedAt is when the header of the answer arrived. Its body may end much later.
	ReceivedAt time.Time
	// Leaving is set if the target is about to leave.
	Leaving bool
	// Pause is how long the target wants no requests from this VM; zero if it states none. Only
	// a refusal states one.
	Pause time.Duration
	// Malformed has the values that could not be understood and are ignored.
	Malformed []string
}

// Failure is the error of an exchange without a usable answer.
type Failure struct {
	// Sent is set if a byte of the request may have reached the target, so that the target
	// may have run the request.
	Sent bool
	// Refused is set if the target's address refused the connection, which does not show that its process has ended.
	Refused bool
	// Reset is set if the connection ended without an answer.
	Reset bool
	// TimedOut is set if the answer, or the rest of it, did not arrive in time.
	TimedOut bool
	// InvalidAnswer is set if the data received is not a valid answer to the request.
	InvalidAnswer bool
	// Cause is the underlying error.
	Cause error
}

// Call returns what the failure shows of the request.
func (f *Failure) Call() evidence.Call {
	if f.Sent {
		return evidence.Unanswered
	}
	return evidence.NotSent
}

// Error implements error.
func (f *Failure) Error() string {
	switch {
	case f.Refused:
		return "connection refused: " + f.Cause.Error()
	case !f.Sent:
		return "not sent: " + f.Cause.Error()
	case f.TimedOut:
		return "no answer in time: " + f.Cause.Error()
	case f.InvalidAnswer:
		return "invalid answer: " + f.Cause.Error()
	default:
		return "connection lost: " + f.Cause.Error()
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

const (
	// readBufferBytes bounds the header of an answer.
	readBufferBytes = 16 << 10
	// maxBodyBytes bounds the body of an answer, which is held in memory.
	maxBodyBytes = 64 << 20
	// maxAnswersPerExchange bounds the answers read in one exchange, including answers to
	// other requests.
	maxAnswersPerExchange = 4
	// asyncBodyBytes is the size from which a request body is written while the answer is
	// read, because a target may answer before it has read a long body.
	asyncBodyBytes = 16 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
)

var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errEncoded      = errors.New("the answer has a Content-Encoding header")
	errUnsealed     = errors.New("the answer reports success without the seal of a target")
)

// conn is a connection to a target. One exchange uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// memory bounds what the bodies take, of which this is one while it is received.
	memory            *bodies.Memory
	opened, idleSince time.Time
	// idleLimit is the idle timeout that the target stated, or zero if it stated none.
	idleLimit time.Duration
	// requests is the number of requests that were sent on the connection.
	requests int
	// refused has the IDs of the requests that the target refused on the connection. A faulty
	// target may write a refusal once more, as the answer to the same request sent again.
	refused []string
	// sent receives the result of writing the request, once.
	sent chan error
}

// maxRefused is the number of refusals after which a connection is not reused.
const maxRefused = 16

// exchange sends the request and reads its answer. keep reports whether the connection may
// be used again. The error is a *Failure.
func (c *conn) exchange(ctx context.Context, h *Headers, r *Request) (a *Answer, keep bool, err error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, false, &Failure{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// An error means that the connection is already closed.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	c.requests++
	c.sent = make(chan error, 1)
	if err := c.send(h, r); err != nil {
		return nil, false, &Failure{Sent: true, Reset: !isTimeout(err), Cause: err}
	}
	a, reusable, err := c.receive(h, r)
	if err != nil {
		return nil, false, err
	}
	select {
	case sendErr := <-c.sent:
		keep = reusable && sendErr == nil
	default:
		// The target answered before it had received the whole body, or resetBeforeEnd has taken the result. The connection is
		// closed so that the rest is not read as another request.
		keep = false
	}
	return a, keep && stop(), nil
}

// send writes the request. A long body is written in the background.
func (c *conn) send(h *Headers, r *Request) error {
	head := appendHead(make([]byte, 0, 512+len(r.Header)+min(len(r.Body), asyncBodyBytes)), h, r)
	if len(r.Body) < asyncBodyBytes {
		_, err := c.Write(append(head, r.Body...))
		c.sent <- err
		return err
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	sent := c.sent
	go func() {
		_, err := c.Write(r.Body)
		sent <- err
	}()
	return nil
}

func appendHead(b []byte, h *Headers, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, r.Header...)
	b = appendLine(b, h.TimeLeft, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10))
	b = appendLine(b, h.ExpectedTarget, r.TargetID)
	if len(r.Body) > 0 || statesLength(r.Method) {
		b = appendLine(b, fasthttp.HeaderContentLength, strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendLine(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// statesLength reports whether a request with the method has a Content-Length header even
// if its body is empty.
func statesLength(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch
}

// receive reads the answer to the request and skips answers to other requests that arrive
// before it. reusable reports whether the connection is in a known state, so that another
// request may be sent on it.
func (c *conn) receive(h *Headers, r *Request) (a *Answer, reusable bool, err error) {
	reusable = true
	for range maxAnswersPerExchange {
		head, err := c.receiveHead()
		if err != nil {
			return nil, false, err
		}
		headAt := time.Now()
		own := string(head.Peek(h.RequestID)) == r.ID
		body, endStated, err := c.receiveBody(head, r.Method)
		if err != nil {
			return nil, false, receiveFailure(err)
		}
		if own {
			a, err := newAnswer(h, head, body)
			if err != nil {
				return nil, false, &Failure{Sent: true, InvalidAnswer: true, Cause: err}
			}
			c.recordIdleLimit(head)
			if a.Statements != nil {
				a.Statements.ReceivedAt = headAt
			}
			a.OtherTarget = h.namesOtherTarget(head, r)
			if a.NotRun {
				c.refused = append(c.refused, r.ID)
				reusable = reusable && len(c.refused) < maxRefused
			}
			return a, reusable && endStated && !head.ConnectionClose() && c.reader.Buffered() == 0, nil
		}
		if refusedWithoutRequestID(h, head) && c.requests == 1 {
			return &Answer{Status: head.StatusCode(), NotRun: true, OtherTarget: h.namesOtherTarget(head, r)}, false, nil
		}
		if !endStated {
			return nil, false, &Failure{Sent: true, InvalidAnswer: true, Cause: errOtherRequest}
		}
		reusable = false
	}
	return nil, false, &Failure{Sent: true, InvalidAnswer: true, Cause: errOtherRequest}
}

// namesOtherTarget reports whether the answer says that the request was for another target than the one at the address.
func (h *Headers) namesOtherTarget(head *fasthttp.ResponseHeader, r *Request) bool {
	id := head.Peek(h.Target)
	return h.Target != "" && head.StatusCode() == fasthttp.StatusMisdirectedRequest && len(id) > 0 && string(id) != r.TargetID
}

// refusedWithoutRequestID reports whether an answer without a request ID refuses a
// request, as a target does if it is not the expected one. Only on a new connection is it
// certain which request that is: an earlier refusal may be written once more.
func refusedWithoutRequestID(h *Headers, head *fasthttp.ResponseHeader) bool {
	return len(head.Peek(h.RequestID)) == 0 && len(head.Peek(h.Seal)) == 0 &&
		(head.StatusCode() == fasthttp.StatusMisdirectedRequest || len(head.Peek(h.NotRun)) > 0)
}

// receiveHead reads the header of the next final answer and skips 1xx answers. The error
// is a *Failure.
func (c *conn) receiveHead() (*fasthttp.ResponseHeader, error) {
	head := &fasthttp.ResponseHeader{}
	for range maxInformational {
		head.Reset()
		head.SetNoDefaultContentType(true)
		if _, err := c.reader.Peek(1); err != nil {
			// No byte of an answer was received.
			return nil, &Failure{Sent: true, TimedOut: isTimeout(err), Reset: !isTimeout(err), Cause: err}
		}
		if err := httphead.ReadAnswer(c.reader, head); err != nil {
			return nil, receiveFailure(err)
		}
		if head.StatusCode() >= fasthttp.StatusOK {
			return head, nil
		}
	}
	return nil, &Failure{Sent: true, InvalidAnswer: true, Cause: errors.New("too many informational answers")}
}

// receiveFailure returns the Failure for an error that occurred within an answer.
func receiveFailure(err error) *Failure {
	timeout := isTimeout(err)
	return &Failure{Sent: true, InvalidAnswer: !timeout, TimedOut: timeout, Cause: err}
}

// Special values of fasthttp.ResponseHeader.ContentLength.
const (
	chunkedLength  = -1
	unstatedLength = -2
)

// receiveBody reads the complete body. endStated reports whether a length or chunks state
// the end of the body. Otherwise the body ends with the connection.
func (c *conn) receiveBody(head *fasthttp.ResponseHeader, method string) (body []byte, endStated bool, err error) {
	status := head.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil, true, nil
	}
	var b *bodies.Body
	n := head.ContentLength()
	switch n {
	case chunkedLength:
		b, err = c.memory.ReadChunked(c.reader, maxBodyBytes)
	case unstatedLength:
		if b, err = c.memory.ReadAll(c.reader, maxBodyBytes); err == nil {
			err = c.resetBeforeEnd()
		}
	default:
		b, err = c.memory.ReadLength(c.reader, n, maxBodyBytes)
	}
	if err != nil {
		b.Release()
		return nil, false, err
	}
	b.Release()
	return b.Data, n != unstatedLength, nil
}

// resetBeforeEnd returns the error of a connection that was reset while the request was being written, or nil if the target has
// ended the data that was read. The system reports a reset only once: if that was to the write, a read sees the end of the data
// instead. It reports a reset after the target's end of the data as EPIPE.
func (c *conn) resetBeforeEnd() error {
	// The target takes no other request on this connection, so that the rest of the body need not be written.
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	err := <-c.sent
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return errors.Wrap(err, "write of the request")
}

// hopByHop has the headers that apply to a single connection or state the end of the body.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true,
}

// HopByHop reports whether a header must not be forwarded. The name is in lower case.
func HopByHop(name string) bool { return hopByHop[name] }

// newAnswer returns the answer with the header lines to forward. It returns an error if
// the body is encoded, or if the answer reports success without the target's seal.
func newAnswer(h *Headers, head *fasthttp.ResponseHeader, body []byte) (*Answer, error) {
	a := &Answer{
		Status: head.StatusCode(),
		Body:   body,
		Load:   parseLoad(string(head.Peek(h.Load))),
		Sealed: len(head.Peek(h.Seal)) > 0,
	}
	a.NotRun = len(head.Peek(h.NotRun)) > 0 || a.Status == fasthttp.StatusMisdirectedRequest && !a.Sealed
	if a.Status != fasthttp.StatusMisdirectedRequest && (a.Sealed || a.NotRun) {
		a.Statements = parseStatements(h, head, a)
	}
	if len(head.Peek(fasthttp.HeaderContentEncoding)) > 0 {
		return nil, errEncoded
	}
	if a.Status < 300 && !a.Sealed {
		return nil, errUnsealed
	}
	for name, value := range head.All() {
		lower := strings.ToLower(string(name))
		if hopByHop[lower] || strings.EqualFold(lower, h.Load) || strings.EqualFold(lower, h.Limit) || strings.EqualFold(lower, h.Leaving) {
			continue
		}
		a.Header = appendLine(a.Header, string(name), string(value))
	}
	return a, nil
}

const (
	// minLimit is what a lower limit counts as, zero too, in requests a second: one in 20 s, far less than the five in 4 s that
	// each target allows, so that it is noticed when the limit ends.
	minLimit = 0.05
	// maxLimit is the highest limit in requests a second that is taken as one.
	maxLimit = 1e6
)

// maxPauseSeconds is the longest pause that is taken as one.
const maxPauseSeconds = 3600

// maxMalformedBytes bounds a malformed value that is reported.
const maxMalformedBytes = 32

// parseStatements returns what the header states of the target. A value that is repeated or
// malformed states nothing.
func parseStatements(h *Headers, head *fasthttp.ResponseHeader, a *Answer) *Statements {
	s := &Statements{}
	parse := func(name string, into func(string) bool) {
		values := head.PeekAll(name)
		if name == "" || len(values) == 0 {
			return
		}
		if value := string(values[0]); len(values) > 1 || !into(value) {
			s.Malformed = append(s.Malformed, name+": "+value[:min(len(value), maxMalformedBytes)])
		}
	}
	parse(h.Limit, func(value string) bool {
		n, ok := parseDecimal(value)
		if ok = ok && n <= maxLimit; ok {
			s.LimitPerSecond = max(n, minLimit)
		}
		return ok
	})
	s.LimitUnclear = len(s.Malformed) > 0
	parse(h.Leaving, func(value string) bool {
		s.Leaving = value == "1"
		return s.Leaving
	})
	if a.NotRun && a.Status == fasthttp.StatusServiceUnavailable {
		parse(fasthttp.HeaderRetryAfter, func(value string) bool {
			seconds, ok := parseDecimal(value)
			if ok = ok && seconds <= maxPauseSeconds; ok {
				s.Pause = time.Duration(seconds * float64(time.Second))
			}
			return ok
		})
	}
	return s
}

// parseDecimal parses digits with an optional fraction. Signs, exponents and names of numbers,
// which strconv.ParseFloat accepts, are malformed.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

// parseLoad parses "RUNNING,WAITING,SLOTS", or "RUNNING,WAITING,SLOTS,WORK" of targets that share machines with others. It returns
// nil if the text is malformed.
func parseLoad(text string) *Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return nil
	}
	var n [4]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 || i == 3 && v == 0 {
			return nil
		}
		n[i] = v
	}
	return &Load{Running: n[0], Waiting: n[1], Slots: n[2], WorkPercent: n[3]}
}

// recordIdleLimit stores the idle timeout that the target states in its Keep-Alive header.
func (c *conn) recordIdleLimit(head *fasthttp.ResponseHeader) {
	for _, part := range strings.Split(string(head.Peek(fasthttp.HeaderKeepAlive)), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(v); err == nil {
				c.idleLimit = time.Duration(seconds) * time.Second
			}
		}
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
