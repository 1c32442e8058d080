// Package bodies reads the bodies of HTTP messages into memory. All bodies of a VM, those of callers'
// requests and those of targets' answers, share one bound, which follows from the VM's memory. A
// body that finds no room is given up, so that the process never ends for lack of memory.
package bodies

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrTooLong reports that a body is longer than allowed.
	ErrTooLong = errors.New("the body is too long")
	// ErrNoMemory reports that all bodies together take too much memory.
	ErrNoMemory = errors.New("the bodies held in memory take too much of it")
	// ErrEnded reports that the data ended before the body did.
	ErrEnded = errors.New("the body ended early")
)

const (
	// pieceBytes is the size of the pieces in which a body of unknown length is read.
	pieceBytes = 64 << 10
	// maxTrailerLines bounds the trailer of a chunked body.
	maxTrailerLines = 64
	// knownShare is the share of a Memory that bodies without a stated length may not take beyond their first
	// pieceBytes. Some bodies of a faulty sender that have no end then leave room for the others.
	knownShare = 0.25
	// shortShare is the share of a Memory from which it is short. Bodies of unknown length find no room from there on.
	shortShare = 1 - knownShare
	// shortFor is how long a Memory counts as short after a body found no room that would have found it in an empty one.
	shortFor = 5 * time.Second
)

// Memory counts the bytes that bodies take. It is safe for concurrent use.
type Memory struct {
	max  int64
	used atomic.Int64
	// refusedAt is when a body last found no room, in nanoseconds since the Unix epoch.
	refusedAt atomic.Int64
}

// NewMemory returns a Memory that holds up to max bytes.
func NewMemory(max int64) *Memory { return &Memory{max: max} }

// Used returns the number of bytes that bodies take at present.
func (m *Memory) Used() int64 { return m.used.Load() }

// Short reports whether bodies find no room, or soon will.
func (m *Memory) Short() bool {
	return float64(m.Used()) >= shortShare*float64(m.max) || time.Since(time.Unix(0, m.refusedAt.Load())) < shortFor
}

// reserve adds n bytes. It returns false, and adds nothing, if more than bound would then be used.
func (m *Memory) reserve(n int, bound int64) bool {
	if m.used.Add(int64(n)) > bound {
		m.used.Add(int64(-n))
		if int64(n) <= bound {
			m.refusedAt.Store(time.Now().UnixNano())
		}
		return false
	}
	return true
}

// Hold counts a body of n bytes that is in memory already, even beyond the bound: no further body is
// then read. The returned function ends that and must be called once.
func (m *Memory) Hold(n int) (release func()) {
	m.used.Add(int64(n))
	return func() { m.used.Add(int64(-n)) }
}

// Body is a complete body. It counts as held until Release is called.
type Body struct {
	Data     []byte
	memory   *Memory
	reserved int
}

// Release ends the counting of the body. Data may still be used. The Body may be nil.
func (b *Body) Release() {
	if b != nil {
		b.memory.used.Add(int64(-b.reserved))
		b.reserved = 0
	}
}

// ReadLength reads a body of n bytes. It returns ErrEnded if there are fewer, ErrTooLong if n exceeds
// max, or ErrNoMemory; in the last two cases nothing was read.
func (m *Memory) ReadLength(r io.Reader, n, max int) (*Body, error) {
	if n > max {
		return nil, ErrTooLong
	}
	if !m.reserve(n, m.max) {
		return nil, ErrNoMemory
	}
	b := &Body{Data: make([]byte, n), memory: m, reserved: n}
	if _, err := io.ReadFull(r, b.Data); err != nil {
		b.Release()
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			err = ErrEnded
		}
		return nil, err
	}
	return b, nil
}

// ReadAll reads a body up to the end of the data, which a faulty sender may never reach. It returns
// ErrTooLong beyond max bytes, or ErrNoMemory.
func (m *Memory) ReadAll(r io.Reader, max int) (*Body, error) {
	var data bytes.Buffer
	b := &Body{memory: m}
	for bound := m.max; ; bound = m.max - int64(knownShare*float64(m.max)) {
		if !m.reserve(pieceBytes, bound) {
			b.Release()
			return nil, ErrNoMemory
		}
		b.reserved += pieceBytes
		_, err := io.CopyN(&data, r, pieceBytes)
		if err == nil && data.Len() > max || err == io.EOF && data.Len() > max {
			err = ErrTooLong
		}
		switch {
		case err == io.EOF:
			// The buffer, which grows by doubling, may be longer than the body.
			m.used.Add(int64(data.Cap() - b.reserved))
			b.reserved = data.Cap()
			b.Data = data.Bytes()
			return b, nil
		case err != nil:
			b.Release()
			return nil, err
		}
	}
}

// ReadChunked reads a chunked body with its trailer, which it discards. Errors are those of ReadAll,
// ErrEnded if the data ends before the body, and those of malformed chunks.
func (m *Memory) ReadChunked(r *bufio.Reader, max int) (*Body, error) {
	b, err := m.ReadAll(httputil.NewChunkedReader(r), max)
	if err != nil {
		return nil, err
	}
	// The trailer ends with an empty line.
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			b.Release()
			return nil, ErrEnded
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return b, nil
		}
	}
	b.Release()
	return nil, ErrTooLong
}
