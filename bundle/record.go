package bundle

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

// Keys of the objects in the store.
const (
	// CurrentKey is the key of the object that names the accepted version.
	CurrentKey = "bundle-current"
	// VersionPrefix is followed by the version, padded with zeros so that the keys
	// sort by version.
	VersionPrefix = "bundles/"
)

// VersionKey returns the key of the object that holds a version.
func VersionKey(version uint64) string { return fmt.Sprintf("%s%020d", VersionPrefix, version) }

// WriteInfo states which operator wrote an object, when, and in which attempt.
type WriteInfo struct {
	Operator string
	Time     time.Time
	// Nonce distinguishes attempts to write the same content.
	Nonce string
}

func (w WriteInfo) toProto() *pb.BundleWrite {
	return &pb.BundleWrite{Operator: w.Operator, UnixNanos: w.Time.UnixNano(), Nonce: w.Nonce}
}

func writeFromProto(m *pb.BundleWrite) WriteInfo {
	return WriteInfo{Operator: m.GetOperator(), Time: time.Unix(0, m.GetUnixNanos()).UTC(), Nonce: m.GetNonce()}
}

// String returns the operator and the time.
func (w WriteInfo) String() string {
	return fmt.Sprintf("operator %q at %s", w.Operator, w.Time.Format(time.RFC3339))
}

// Current is the decoded object of CurrentKey. The zero Current means that no
// bundle has been accepted yet.
type Current struct {
	Version uint64
	Digest  Digest
	Write   WriteInfo
	// objectVersion is the version of the store object, for conditional updates.
	objectVersion store.Version
}

// ReadCurrent returns the accepted version, or the zero Current if there is none.
func ReadCurrent(ctx context.Context, s store.Store) (Current, error) {
	obj, err := s.Get(ctx, CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	return decodeCurrent(obj)
}

func decodeCurrent(obj store.Object) (Current, error) {
	var m pb.BundleCurrent
	if err := proto.Unmarshal(obj.Value, &m); err != nil {
		return Current{}, result.Wrap(result.InvalidBundle, err, "%s", CurrentKey)
	}
	c := Current{Version: m.GetVersion(), Write: writeFromProto(m.GetWrite()), objectVersion: obj.Version}
	if !setDigest(&c.Digest, m.GetDigest()) {
		return Current{}, result.New(result.InvalidBundle, "%s: digest has %d bytes", CurrentKey, len(m.GetDigest()))
	}
	return c, nil
}

func encodeCurrent(s *Signed, w WriteInfo) ([]byte, error) {
	return proto.Marshal(&pb.BundleCurrent{Version: s.Version, Digest: s.Digest[:], Write: w.toProto()})
}

// ReadVersion returns the bundle of a version and who wrote it, or
// store.ErrNotFound. The bundle is not verified.
func ReadVersion(ctx context.Context, s store.Store, version uint64) (*Signed, WriteInfo, error) {
	obj, err := s.Get(ctx, VersionKey(version))
	if err != nil {
		return nil, WriteInfo{}, err
	}
	return decodeVersion(obj)
}

func decodeVersion(obj store.Object) (*Signed, WriteInfo, error) {
	var m pb.BundleObject
	if err := proto.Unmarshal(obj.Value, &m); err != nil {
		return nil, WriteInfo{}, result.Wrap(result.InvalidBundle, err, "%s", obj.Key)
	}
	signed, err := signedFromProto(m.GetSigned())
	return signed, writeFromProto(m.GetWrite()), err
}

func encodeVersion(s *Signed, w WriteInfo) ([]byte, error) {
	return proto.Marshal(&pb.BundleObject{Signed: s.toProto(), Write: w.toProto()})
}

// HistoryEntry is one version in the store.
type HistoryEntry struct {
	Signed *Signed
	Write  WriteInfo
	// Accepted is set for the current version, its predecessor, the predecessor of
	// that one and so on.
	Accepted bool
}

// History returns the versions in the store, oldest first.
func History(ctx context.Context, s store.Store) ([]HistoryEntry, error) {
	current, err := ReadCurrent(ctx, s)
	if err != nil {
		return nil, err
	}
	objects, _, err := s.List(ctx, VersionPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(objects))
	for _, obj := range objects {
		signed, write, err := decodeVersion(obj)
		if err != nil {
			return nil, err
		}
		entries = append(entries, HistoryEntry{Signed: signed, Write: write})
	}
	want := current.Digest
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Signed.Version <= current.Version && entries[i].Signed.Digest == want && !want.IsZero() {
			entries[i].Accepted = true
			want = entries[i].Signed.Predecessor
		}
	}
	return entries, nil
}
