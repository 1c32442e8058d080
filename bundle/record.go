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

// Keys of the store.
const (
	// CurrentKey holds the version that is accepted.
	CurrentKey = "bundle-current"
	// VersionPrefix precedes the version, padded so that keys sort by it.
	VersionPrefix = "bundles/"
)

// VersionKey returns the key of a version's object.
func VersionKey(version uint64) string { return fmt.Sprintf("%s%020d", VersionPrefix, version) }

// Write tells who wrote an object, when, and in which attempt.
type WriteInfo struct {
	Operator string
	Time     time.Time
	// Nonce tells apart attempts with the same content.
	Nonce string
}

func (w WriteInfo) toProto() *pb.BundleWrite {
	return &pb.BundleWrite{Operator: w.Operator, UnixNanos: w.Time.UnixNano(), Nonce: w.Nonce}
}

func writeFromProto(m *pb.BundleWrite) WriteInfo {
	return WriteInfo{Operator: m.GetOperator(), Time: time.Unix(0, m.GetUnixNanos()).UTC(), Nonce: m.GetNonce()}
}

// String names the operator and the time.
func (w WriteInfo) String() string {
	return fmt.Sprintf("operator %q at %s", w.Operator, w.Time.Format(time.RFC3339))
}

// Current is the value of CurrentKey; the zero Current means that no bundle was accepted yet.
type Current struct {
	Version uint64
	Digest  Digest
	Write   WriteInfo
	// object is the version of the store object, for conditional updates.
	object store.Version
}

// ReadCurrent returns the accepted version.
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
	c := Current{Version: m.GetVersion(), Write: writeFromProto(m.GetWrite()), object: obj.Version}
	if !setDigest(&c.Digest, m.GetDigest()) {
		return Current{}, result.New(result.InvalidBundle, "%s: digest has %d bytes", CurrentKey, len(m.GetDigest()))
	}
	return c, nil
}

func encodeCurrent(s *Signed, w WriteInfo) ([]byte, error) {
	return proto.Marshal(&pb.BundleCurrent{Version: s.Version, Digest: s.Digest[:], Write: w.toProto()})
}

// ReadVersion returns a version's bundle and who wrote it, or store.ErrNotFound.
// The bundle is not verified.
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
	signed, err := fromProto(m.GetSigned())
	return signed, writeFromProto(m.GetWrite()), err
}

func encodeVersion(s *Signed, w WriteInfo) ([]byte, error) {
	return proto.Marshal(&pb.BundleObject{Signed: s.toProto(), Write: w.toProto()})
}

// HistoryEntry is one version in the store.
type HistoryEntry struct {
	Signed *Signed
	Write  WriteInfo
	// Accepted is set for the current version and those it descends from.
	Accepted bool
}

// History lists the versions in the store, oldest first.
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
