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
	// layoutKey holds the ClaimLayout.
	layoutKey   = keyPrefix + "layout"
	ringPart    = "/ring/"
	segmentPart = "/segment/"
)

// Sizes of the records in the object API.
const (
	// maxBatchBytes bounds a batch, maxSegmentBytes a segment; a segment must hold at least one batch.
	maxBatchBytes   = 128 << 10
	maxSegmentBytes = 768 << 10
	nonceBytes      = 16
	// maxContentType bounds the recorded content type in bytes; longer ones are dropped.
	maxContentType = 128
)

// segmentKey is the parsed key of a segment, which holds the batches from From up to, not including, To.
type segmentKey struct{ From, To uint64 }

func partitionPrefix(partition int) string { return fmt.Sprintf("%s%05d", keyPrefix, partition) }

func ringKey(partition, slot int) string {
	return fmt.Sprintf("%s%s%05d", partitionPrefix(partition), ringPart, slot)
}

func (k segmentKey) String(partition int) string {
	return fmt.Sprintf("%s%s%020d-%020d", partitionPrefix(partition), segmentPart, k.From, k.To)
}

// parseRingKey returns the ring slot of the key.
func parseRingKey(key string) (slot int, ok bool) {
	_, tail, found := strings.Cut(key, ringPart)
	if !found {
		return 0, false
	}
	slot, err := strconv.Atoi(tail)
	return slot, err == nil && slot >= 0
}

// parseSegmentKey returns the range of sequences of the segment.
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

// encode marshals a message whose fields the package has set itself.
func encode(m proto.Message) []byte {
	value, err := proto.Marshal(m)
	if err != nil {
		panic(err) // Only invalid UTF-8 in a string field, which toAnswer excludes.
	}
	return value
}

func decodeBatch(value []byte) (*pb.ClaimBatch, error) {
	b := new(pb.ClaimBatch)
	if err := proto.Unmarshal(value, b); err != nil {
		return nil, errors.Wrap(err, "claim batch")
	}
	return b, checkBatch(b)
}

func checkBatch(b *pb.ClaimBatch) error {
	if len(b.Nonce) != nonceBytes {
		return errors.Errorf("claim batch %d: nonce of %d bytes", b.Seq, len(b.Nonce))
	}
	if b.Archived > b.Seq || b.Trimmed > b.Archived {
		return errors.Errorf("claim batch %d: archived %d, trimmed %d", b.Seq, b.Archived, b.Trimmed)
	}
	for i, op := range b.Ops {
		if err := checkOp(op); err != nil {
			return errors.Wrapf(err, "claim batch %d: operation %d", b.Seq, i)
		}
	}
	return nil
}

func checkOp(op *pb.ClaimOp) error {
	switch {
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_UNSPECIFIED:
		return errors.New("no kind")
	case len(op.Id) != len(ID{}):
		return errors.Errorf("id of %d bytes", len(op.Id))
	case len(op.Attempt) != len(Attempt{}):
		return errors.Errorf("attempt of %d bytes", len(op.Attempt))
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM && len(op.Fingerprint) != len(Fingerprint{}):
		return errors.Errorf("fingerprint of %d bytes", len(op.Fingerprint))
	case op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_FINISH && op.Answer == nil:
		return errors.New("finish without an answer")
	default:
		return nil
	}
}

func decodeSegment(value []byte) (*pb.ClaimSegment, error) {
	s := new(pb.ClaimSegment)
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(err, "claim segment")
	}
	for _, b := range s.Batches {
		if err := checkBatch(b); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// toAnswer converts an outcome into its record, with bodies up to maxBody bytes.
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

// fromAnswer converts a record into the answer to replay.
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
