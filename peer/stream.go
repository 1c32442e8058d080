// Package peer carries protobuf messages between the system's own processes
// over yamux sessions on TCP.
//
// Each stream starts with a Hello and then carries length-prefixed Envelopes.
// Unknown fields and message kinds are tolerated, so that processes of
// neighbouring versions work together.
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

// MaxMessageBytes is the largest accepted Envelope.
const MaxMessageBytes = 4 << 20

const lengthBytes = 4

// Stream is a sequence of Envelopes in both directions. Send is safe for
// concurrent use; Recv is for one reader.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	buf    []byte
	// Remote is the Hello of the other side; set on accepted streams.
	RemoteHello *pb.Hello
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes one Envelope.
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

// Recv reads one Envelope.
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

// SetReadDeadline bounds the next Recv.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes the stream.
func (s *Stream) Close() error { return s.conn.Close() }
