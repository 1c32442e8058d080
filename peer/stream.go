// Package peer exchanges protobuf messages between the system's own processes
// over yamux sessions on TCP.
//
// Each stream starts with a Hello and then carries length-prefixed Envelopes.
// Unknown fields and message kinds are ignored, so that processes of consecutive
// versions can communicate.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
)

// ProtocolVersion is sent in the Hello of each stream.
const ProtocolVersion = 1

// MaxMessageBytes is the largest encoded Envelope that is sent or received.
const MaxMessageBytes = 4 << 20

const lengthBytes = 4

// Stream carries Envelopes in both directions. Send is safe for concurrent use;
// Recv must be called by one goroutine at a time.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buf    []byte
	// RemoteHello is the Hello of the other side on accepted streams; else nil.
	RemoteHello *pb.Hello
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes one Envelope. It returns an error, and writes nothing, if the
// Envelope is larger than MaxMessageBytes.
func (s *Stream) Send(m *pb.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = append(s.buf[:0], 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(s.buf, m)
	if err != nil {
		return errors.Wrap(err, "encode envelope")
	}
	s.buf = b
	size := len(b) - lengthBytes
	if size > MaxMessageBytes {
		return errors.Errorf("envelope of %d bytes exceeds %d", size, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(size))
	_, err = s.conn.Write(b)
	return errors.Wrap(err, "send envelope")
}

// Recv reads one Envelope. It returns an error if the Envelope is larger than
// MaxMessageBytes.
func (s *Stream) Recv() (*pb.Envelope, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, prefix[:]); err != nil {
		return nil, errors.Wrap(err, "receive envelope length")
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageBytes {
		return nil, errors.Errorf("envelope of %d bytes exceeds %d", size, MaxMessageBytes)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(s.reader, b); err != nil {
		return nil, errors.Wrap(err, "receive envelope")
	}
	m := new(pb.Envelope)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode envelope")
	}
	return m, nil
}

// SetReadDeadline sets the time at which current and later calls of Recv fail; the
// zero time means never.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes the stream.
func (s *Stream) Close() error { return s.conn.Close() }
