package claim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
)

// Keys of the claim logs in the object API.
const (
	// keyPrefix precedes all keys of this package.
	keyPrefix = "claims/"
	// layoutKey is the key of the ClaimLayout.
	layoutKey   = keyPrefix + "layout"
	ringPart    = "/ring/"
	segmentPart = "/segment/"
)

// Sizes of the records in the object API.
const (
	// maxBatchBytes is the largest batch and maxSegmentBytes the largest segment. A segment must
	// be able to hold at least one batch.
	maxBatchBytes   = 128 << 10
	maxSegmentBytes = 768 << 10
	nonceBytes      = 16
	// maxContentType is the longest recorded content type in bytes; longer ones are not recorded.
	maxContentType = 128
)

// segmentKey is the parsed key of a segment, which holds the batches with sequence numbers from
// From up to, but not including, To.
type segmentKey struct{ From, To uint64 }

func partitionPrefix(partition int) string { return fmt.Sprintf("%s%05d", keyPrefix, partition) }

func ringKey(partition, slot int) string {
	return fmt.Sprintf("%s%s%05d", partitionPrefix(partition), ringPart, slot)
}

func (k segmentKey) String(partition int) string {
	return fmt.Sprintf("%s%s%020d-%020d", partitionPrefix(partition), segmentPart, k.From, k.To)
}

// parseRingKey returns the ring slot of the key; ok is false if it is not the key of a ring slot.
func parseRingKey(key string) (slot int, ok bool) {
	_, tail, found := strings.Cut(key, ringPart)
	if !found {
		return 0, false
	}
	slot, err := strconv.Atoi(tail)
	return slot, err == nil && slot >= 0
}

// parseSegmentKey returns the sequence range of the segment, and false if the key is not that of
// a segment.
func parseSegmentKey(key string) (segmentKey, bool) {
	_, tail, found := strings.Cut(key, segmentPart)
	if !found {
		return segmentKey{}, false
	}
	lower, upper, found := strings.Cut(tail, "-")
	from, errFrom := strconv.ParseUint(lower, 10, 64)
	to, errTo := strconv.ParseUint(upper, 10, 64)
	return segmentKey{from, to}, found && errFrom == nil && errTo == nil && from < to
}

// encode marshals a message whose fields were set or checked by this package.
func encode(m proto.Message) []byte {
	value, err := proto.Marshal(m)
	if err != nil {
		panic(err) // Only for invalid UTF-8 in a string field, which encodeAnswer removes.
	}
	return value
}

func decodeBatch(value []byte) (*pb.ClaimBatch, error) {
	b := new(pb.ClaimBatch)
	if err := proto.Unmarshal(value, b); err != nil {
		return nil, errors.Wrap(err, "malformed claim batch")
	}
	return b, checkBatch(b)
}

func checkBatch(b *pb.ClaimBatch) error {
	if len(b.Nonce) != nonceBytes {
		return errors.Errorf("claim batch %d has a nonce of %d bytes", b.Seq, len(b.Nonce))
	}
	if b.Archived > b.Seq || b.Trimmed > b.Archived {
		return errors.Errorf("claim batch %d has an invalid order of archived %d and trimmed %d", b.Seq, b.Archived, b.Trimmed)
	}
	for i, op := range b.Ops {
		if err := checkOp(op); err != nil {
			return errors.Wrapf(err, "claim batch %d has an invalid operation %d", b.Seq, i)
		}
	}
	return nil
}

func checkOp(op *pb.ClaimOp) error {
	switch {
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_UNSPECIFIED:
		return errors.New("operation without a kind")
	case len(op.Id) != len(ID{}):
		return errors.Errorf("operation with an id of %d bytes", len(op.Id))
	case len(op.Attempt) != len(Attempt{}):
		return errors.Errorf("operation with an attempt of %d bytes", len(op.Attempt))
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM && len(op.Fingerprint) != len(Fingerprint{}):
		return errors.Errorf("claim with a fingerprint of %d bytes", len(op.Fingerprint))
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_FINISH && op.Answer == nil:
		return errors.New("finish without an answer")
	default:
		return nil
	}
}

func decodeSegment(value []byte) (*pb.ClaimSegment, error) {
	s := new(pb.ClaimSegment)
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(err, "malformed claim segment")
	}
	for _, b := range s.Batches {
		if err := checkBatch(b); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// encodeAnswer converts an outcome into its stored record, without the body if that is longer than
// maxBody bytes.
func encodeAnswer(o Outcome, maxBody int) *pb.ClaimAnswer {
	a := &pb.ClaimAnswer{
		Status:     uint32(o.Status),
		BodyLength: uint64(len(o.Body)),
		Digest:     digest(o.Body),
	}
	if len(o.ContentType) <= maxContentType {
		a.ContentType = strings.ToValidUTF8(o.ContentType, "")
	}
	if len(o.Body) <= maxBody {
		a.Body = o.Body
	}
	return a
}

func digest(body []byte) []byte {
	d := hashParts(body)
	return d[:]
}

// decodeAnswer converts a stored record into the answer to replay.
func decodeAnswer(a *pb.ClaimAnswer) Answer {
	out := Answer{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
		Length:      int(a.GetBodyLength()),
	}
	copy(out.Digest[:], a.GetDigest())
	return out
}
