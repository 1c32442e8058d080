package dispatch

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/result"
)

// errTruncated reports that a body ended before its stated length or last chunk.
var errTruncated = errors.New("dispatch: the body ended early")

// progressReader reads from the connection and extends the read deadline before each
// read from the network.
type progressReader struct{ x *exchange }

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	r.extendDeadline()
	return r.x.conn.reader.Read(p)
}

// extendDeadline extends the connection's read deadline, unless bytes are buffered.
func (r progressReader) extendDeadline() {
	if r.x.conn.reader.Buffered() > 0 {
		return
	}
	r.x.conn.SetReadDeadline(r.x.progressDeadline(r.x.bodyTimeout()))
}

// fixedBody reads a body of a stated length.
type fixedBody struct {
	src       io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 {
		return n, io.EOF
	}
	if err == io.EOF {
		err = errTruncated
	}
	return n, err
}

// chunkedBody reads a chunked body up to the end of its trailer.
type chunkedBody struct {
	src    progressReader
	chunks io.Reader
	done   bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	b.src.extendDeadline()
	n, err := b.chunks.Read(p)
	if err == io.ErrUnexpectedEOF {
		return n, errTruncated
	}
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.done = true
	return n, io.EOF
}

// skipTrailer reads up to the empty line that ends the message.
func (b *chunkedBody) skipTrailer() error {
	for {
		b.src.extendDeadline()
		line, err := b.src.x.conn.reader.ReadSlice('\n')
		if err == io.EOF || err == bufio.ErrBufferFull {
			return errTruncated
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

// stream is the body of an answer that is relayed to the caller while it is received.
// If Read returns an error, the server aborts the caller's connection, so that the
// caller cannot mistake a truncated body for a complete one.
type stream struct {
	exchange *exchange
	body     io.Reader
	prefix   []byte
	complete bool
	failure  error
	closed   bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	n, err := s.body.Read(p)
	if err := s.exchange.waitForLink(n); err != nil {
		s.failure = s.exchange.classify(err)
		return n, err
	}
	switch err {
	case nil:
	case io.EOF:
		s.complete = true
	default:
		s.failure = s.exchange.classify(err)
	}
	return n, err
}

// Close implements io.Closer.
func (s *stream) Close() error { return s.CloseWithError(nil) }

// CloseWithError ends the exchange and the request. The argument is the error of
// writing to the caller, or nil.
func (s *stream) CloseWithError(err error) error {
	if s.closed {
		return nil
	}
	s.closed = true
	x := s.exchange
	outcome := s.outcome(err)
	if s.complete {
		x.succeed()
	} else {
		x.discard(outcome)
	}
	if x.req.Streaming() {
		x.req.End(outcome)
	}
	return nil
}

// outcome returns the error with which the exchange ended, or nil if the caller
// received the complete answer.
func (s *stream) outcome(err error) error {
	switch {
	case s.failure != nil:
		return s.failure
	case s.complete && err == nil:
		return nil
	default:
		return result.New(result.CallerGone, "the caller did not receive the complete answer")
	}
}

// waitForLink waits until n received bytes are within the bandwidth limit of the link
// to the target's region. It does not wait for short requests or in this entry's region.
func (x *exchange) waitForLink(n int) error {
	region := x.req.Owner.Target.Region
	if !x.req.Bulk() || region == x.dispatcher.opts.Region {
		return nil
	}
	return x.dispatcher.links.wait(x.req.Context, region, n)
}
