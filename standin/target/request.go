package target

import (
	"context"
	"io"
	"net"
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
	conn           net.Conn
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
		idempotencyKey: header(target.HeaderIdempotency),
		work:           s.opts.Work,
		bytes:          -1,
		conn:           rc.Conn(),
	}
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
func (s *Server) handleRequest(rc *fasthttp.RequestCtx) {
	r, err := s.parseRequest(rc)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	setRequestID(rc, r.requestID)
	ctx, cancel := s.requestContext(r)
	defer cancel()
	if s.draining.Load() {
		refuse(rc, target.RefusedDraining)
		return
	}
	if err := s.slots.acquire(ctx); err != nil {
		refuse(rc, refusal(err))
		return
	}
	release := s.slots.release
	defer func() { release() }()
	if !s.entitled(r) {
		refuse(rc, target.RefusedNotOwner)
		return
	}
	received, err := readBody(rc)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	runs := s.runs.add(r.requestID, r.idempotencyKey)
	if err := s.work(ctx, r); err != nil {
		rc.Error(err.Error(), fasthttp.StatusGatewayTimeout)
		return
	}
	if r.bytes >= 0 {
		rc.SetBodyStream(&bodyStream{remaining: r.bytes, release: release}, r.bytes)
		release = func() {}
		return
	}
	writeJSON(rc, s.answer(r, runs, received))
}

// requestContext ends at the request's deadline, if it has one.
func (s *Server) requestContext(r request) (context.Context, context.CancelFunc) {
	if r.deadline > 0 {
		return context.WithTimeout(s.ctx, r.deadline)
	}
	return context.WithCancel(s.ctx)
}

// entitled tells whether the target may run the request.
func (s *Server) entitled(r request) bool {
	if !s.checksTokens.Load() {
		return true
	}
	if !r.hasGroup {
		return !s.opts.Keyed
	}
	return s.grants.owns(r.group, r.slot, r.token)
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
	release   func()
}

// Read implements io.Reader with the lower-case alphabet, repeated.
func (b *bodyStream) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.remaining)
	for i := range n {
		p[i] = 'a' + byte((b.remaining-i)%26)
	}
	b.remaining -= n
	return n, nil
}

// Close implements io.Closer.
func (b *bodyStream) Close() error {
	b.release()
	b.release = func() {}
	return nil
}
