package target

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

// Query arguments with which a request asks for a size or a duration.
const (
	// ArgBytes is the size of the answer's body.
	ArgBytes = "bytes"
	// ArgWork is the time that the request runs, in milliseconds.
	ArgWork = "work_ms"
)

// workStep separates checks for cancellation while a request runs.
const workStep = 2 * time.Millisecond

var (
	errCancelled = errors.New("the caller left")
	errBodyCut   = errors.New("the body was cut")
)

// request is one parsed request of an entry.
type request struct {
	path           string
	hasGroup       bool
	group          ownership.GroupID
	slot           ownership.Slot
	token          ownership.Token
	requestID      string
	idempotencyKey string
	deadline       time.Duration
	work           time.Duration
	bytes          int
	marked         bool
	conn           *trackedConn
}

// Answer is the JSON body of an answer without a requested size.
type Answer struct {
	Target         ownership.TargetID `json:"target"`
	Pool           string             `json:"pool"`
	Path           string             `json:"path"`
	Group          ownership.GroupID  `json:"group,omitempty"`
	Slot           ownership.Slot     `json:"slot"`
	Token          string             `json:"token"`
	RequestID      string             `json:"request_id"`
	IdempotencyKey string             `json:"idempotency_key,omitempty"`
	// Runs is the number of times this request has run on this target.
	Runs      int   `json:"runs"`
	BodyBytes int64 `json:"body_bytes"`
}

func (s *Server) parseRequest(rc *fasthttp.RequestCtx) (request, error) {
	header := func(name string) string { return string(rc.Request.Header.Peek(name)) }
	r := request{
		path:           string(rc.Path()),
		group:          ownership.GroupID(header(target.HeaderGroup)),
		requestID:      header(target.HeaderRequestID),
		idempotencyKey: header(target.HeaderIdempotencyKey),
		work:           s.opts.Work,
		bytes:          -1,
		marked:         header(HeaderCrash) != "",
	}
	r.conn, _ = rc.Conn().(*trackedConn)
	r.hasGroup = r.group != ""
	if r.hasGroup {
		slot, err := strconv.ParseUint(header(target.HeaderSlot), 10, 32)
		if err != nil {
			return r, errors.Wrap(err, target.HeaderSlot)
		}
		r.slot = ownership.Slot(slot)
		if r.token, err = ownership.ParseToken(header(target.HeaderToken)); err != nil {
			return r, errors.Wrap(err, target.HeaderToken)
		}
	}
	if text := header(target.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return r, errors.Wrap(err, target.HeaderDeadline)
		}
		r.deadline = max(time.Duration(ms)*time.Millisecond, 1)
	}
	s.parseSize(rc, &r)
	return r, nil
}

func (s *Server) parseSize(rc *fasthttp.RequestCtx, r *request) {
	if rc.QueryArgs().Has(ArgWork) {
		r.work = time.Duration(rc.QueryArgs().GetUintOrZero(ArgWork)) * time.Millisecond
	}
	if rc.QueryArgs().Has(ArgBytes) {
		r.bytes = rc.QueryArgs().GetUintOrZero(ArgBytes)
		return
	}
	for _, prefix := range s.opts.BulkPrefixes {
		if strings.HasPrefix(r.path, prefix) {
			r.bytes = s.opts.BulkBytes
			return
		}
	}
}

// handleRequest runs a request of an entry, or refuses it before it runs.
func (s *Server) handleRequest(inc *incarnation, rc *fasthttp.RequestCtx) {
	r, err := s.parseRequest(rc)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	f := s.Faults()
	setRequestID(rc, f.answerID(r.requestID))
	ctx, cancel := f.requestContext(inc.ctx, r)
	defer cancel()
	if reason := s.refusesAll(f); reason != "" {
		refuse(rc, reason)
		return
	}
	if err := inc.slots.acquire(ctx); err != nil {
		refuse(rc, refusal(err))
		return
	}
	release := inc.slots.release
	defer func() { release() }()
	received, err := readBody(rc)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.gate.wait()
	if !s.entitled(inc, r) {
		refuse(rc, target.RefusedNotOwner)
		return
	}
	runs := s.runs.add(r.requestID, r.idempotencyKey)
	if r.crashes(f) {
		s.crash(inc)
		return
	}
	if err := s.work(ctx, inc, r); err != nil {
		rc.Error(err.Error(), fasthttp.StatusGatewayTimeout)
		return
	}
	if r.bytes >= 0 {
		rc.SetBodyStream(s.newBody(r, release), r.bytes)
		release = func() {}
		return
	}
	writeJSON(rc, s.answer(r, runs, received))
}

// refusesAll returns why the target takes no new requests, or nothing.
func (s *Server) refusesAll(f Faults) string {
	switch {
	case s.isDraining():
		return target.RefusedDraining
	case f.Shed:
		return target.RefusedShed
	default:
		return ""
	}
}

// requestContext ends at the request's deadline, if it has one.
func (f Faults) requestContext(ctx context.Context, r request) (context.Context, context.CancelFunc) {
	if r.deadline > 0 && !f.IgnoreDeadline {
		return context.WithTimeout(ctx, r.deadline)
	}
	return context.WithCancel(ctx)
}

// answerID returns the correlation identifier of the answer.
func (f Faults) answerID(id string) string {
	if f.WrongRequestID {
		return id + "-wrong"
	}
	return id
}

// crashes tells whether the request crashes the target.
func (r request) crashes(f Faults) bool {
	return r.marked || (f.CrashMark != "" && strings.Contains(r.path, f.CrashMark))
}

// entitled tells whether the target may run the request.
func (s *Server) entitled(inc *incarnation, r request) bool {
	if s.Faults().IgnoreTokens {
		return true
	}
	if !r.hasGroup {
		return !s.opts.Keyed
	}
	return inc.grants.owns(r.group, r.slot, r.token)
}

// work runs the request until it is done, its deadline passes or the caller leaves.
func (s *Server) work(ctx context.Context, inc *incarnation, r request) error {
	end := time.Now().Add(s.workTime(inc, r))
	for time.Now().Before(end) {
		s.gate.wait()
		if err := ctx.Err(); err != nil {
			return err
		}
		if r.conn.peerClosed() && !s.Faults().IgnoreCancel {
			s.runs.cancelled()
			return errCancelled
		}
		time.Sleep(min(workStep, time.Until(end)))
	}
	return nil
}

func (s *Server) workTime(inc *incarnation, r request) time.Duration {
	f := s.Faults()
	work := r.work + time.Duration(f.ExtraWork)
	if inc.warming(f) {
		work += time.Duration(f.ColdWork)
	}
	return work
}

func (s *Server) answer(r request, runs int, received int64) Answer {
	return Answer{
		Target:         s.opts.ID,
		Pool:           s.opts.Pool,
		Path:           r.path,
		Group:          r.group,
		Slot:           r.slot,
		Token:          r.token.String(),
		RequestID:      r.requestID,
		IdempotencyKey: r.idempotencyKey,
		Runs:           runs,
		BodyBytes:      received,
	}
}

func readBody(rc *fasthttp.RequestCtx) (int64, error) {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return int64(len(rc.PostBody())), nil
	}
	return io.Copy(io.Discard, stream)
}

func refusal(err error) string {
	if errors.Is(err, errQueueFull) {
		return target.RefusedShed
	}
	return target.RefusedDeadline
}

// refuse answers that the request was not run.
func refuse(rc *fasthttp.RequestCtx, reason string) {
	status := fasthttp.StatusServiceUnavailable
	if reason == target.RefusedNotOwner {
		status = fasthttp.StatusMisdirectedRequest
	}
	id := string(rc.Response.Header.Peek(target.HeaderRequestID))
	rc.Error("refused: "+reason, status)
	setRequestID(rc, id)
	rc.Response.Header.Set(target.HeaderResult, reason)
	if reason == target.RefusedShed {
		rc.Response.Header.Set("Retry-After", "1")
	}
}

// setRequestID lets the entry match the answer to its request.
func setRequestID(rc *fasthttp.RequestCtx, id string) {
	if id != "" {
		rc.Response.Header.Set(target.HeaderRequestID, id)
	}
}

// bodyStream is an answer's body of a given size. It releases the slot when
// the body was sent or the connection broke.
type bodyStream struct {
	remaining int
	// cut is the number of bytes after which the body breaks off.
	cut     int
	gate    *gate
	release func()
}

func (s *Server) newBody(r request, release func()) *bodyStream {
	body := &bodyStream{remaining: r.bytes, cut: r.bytes + 1, gate: &s.gate, release: release}
	if cut := s.Faults().CutBody; cut > 0 {
		body.cut = cut
	}
	return body
}

// Read implements io.Reader with the lower-case alphabet, repeated.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.gate.wait()
	if b.remaining <= 0 {
		return 0, io.EOF
	}
	if b.cut <= 0 {
		return 0, errBodyCut
	}
	n := min(len(p), b.remaining, b.cut)
	for i := range n {
		p[i] = 'a' + byte((b.remaining-i)%26)
	}
	b.remaining -= n
	b.cut -= n
	return n, nil
}

// Close implements io.Closer.
func (b *bodyStream) Close() error {
	b.release()
	b.release = func() {}
	return nil
}
