// Package bundle signs configuration bundles, makes a new version the accepted
// one in the store, which is called rolling it forward, and holds the bundle in
// force in each process.
//
// Versions never decrease. A bundle is accepted by two conditional writes to the
// store, and every process refuses a version lower than the one it holds,
// whatever the source. See docs/design/bundles.md.
package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
)

// Digest is the SHA-256 of a bundle document.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first twelve hexadecimal digits of the digest.
func (d Digest) Short() string { return d.String()[:12] }

// IsZero reports whether d is the zero Digest, which is the predecessor of the first bundle.
func (d Digest) IsZero() bool { return d == Digest{} }

// Approval is one approver's signature.
type Approval struct {
	Approver  string
	Signature []byte
}

// Signed is one version of the configuration with its approvals.
type Signed struct {
	// Version equals the version that the document states.
	Version uint64
	// Digest is the digest of Document.
	Digest Digest
	// Predecessor is the digest of the bundle that this one replaces; zero for the
	// first bundle.
	Predecessor Digest
	// Document is the INI document, see config.Parse.
	Document  []byte
	Approvals []Approval
}

// signatureContext starts the signed bytes, so that a signature made with the
// same key for another purpose is not valid for a bundle.
const signatureContext = "basiltally bundle approval v1\x00"

// maxEncodedBytes is the largest size of an encoded bundle, which must fit in one store object.
const maxEncodedBytes = config.MaxDocumentBytes + 64<<10

// New returns a bundle without approvals for a document. It returns
// InvalidBundle if the document is not valid; name is its name in the error.
func New(name string, document []byte, predecessor Digest) (*Signed, error) {
	parsed, err := config.Parse(name, document)
	if err != nil {
		return nil, result.Wrap(result.InvalidBundle, err, "%s", name)
	}
	return &Signed{
		Version:     parsed.Version,
		Digest:      DigestOf(document),
		Predecessor: predecessor,
		Document:    slices.Clone(document),
	}, nil
}

// signedMessage returns the bytes that an approval signs: signatureContext,
// version, digest and predecessor.
func (s *Signed) signedMessage() []byte {
	m := []byte(signatureContext)
	m = binary.BigEndian.AppendUint64(m, s.Version)
	m = append(m, s.Digest[:]...)
	return append(m, s.Predecessor[:]...)
}

// Encode returns the binary form that is stored and sent between processes.
func (s *Signed) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.toProto())
	if err != nil {
		panic(err) // the only cause is invalid UTF-8 in an approver name, which Sign refuses
	}
	return data
}

// Decode parses the form that Encode returns. It checks the encoding only; use
// Verify for the content.
func Decode(data []byte) (*Signed, error) {
	if len(data) > maxEncodedBytes {
		return nil, result.New(result.InvalidBundle, "encoded bundle of %d bytes exceeds the limit of %d", len(data), maxEncodedBytes)
	}
	var m pb.SignedBundle
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, result.Wrap(result.InvalidBundle, err, "encoded bundle")
	}
	return signedFromProto(&m)
}

// EncodeFile returns the form in which operators hand a signed bundle to each
// other: JSON with the document and signatures in base64.
func (s *Signed) EncodeFile() ([]byte, error) {
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(s.toProto())
	return append(data, '\n'), err
}

// DecodeFile parses the form that EncodeFile returns.
func DecodeFile(data []byte) (*Signed, error) {
	if len(data) > 2*maxEncodedBytes {
		return nil, result.New(result.InvalidBundle, "signed bundle file of %d bytes exceeds the limit of %d", len(data), 2*maxEncodedBytes)
	}
	var m pb.SignedBundle
	if err := protojson.Unmarshal(data, &m); err != nil {
		return nil, result.Wrap(result.InvalidBundle, err, "signed bundle file")
	}
	return signedFromProto(&m)
}

func (s *Signed) toProto() *pb.SignedBundle {
	m := &pb.SignedBundle{Version: s.Version, Digest: s.Digest[:], Document: s.Document}
	if !s.Predecessor.IsZero() {
		m.Predecessor = s.Predecessor[:]
	}
	for _, a := range s.Approvals {
		m.Approvals = append(m.Approvals, &pb.Approval{Approver: a.Approver, Signature: a.Signature})
	}
	return m
}

func signedFromProto(m *pb.SignedBundle) (*Signed, error) {
	s := &Signed{Version: m.GetVersion(), Document: m.GetDocument()}
	if !setDigest(&s.Digest, m.GetDigest()) {
		return nil, result.New(result.InvalidBundle, "digest has %d bytes", len(m.GetDigest()))
	}
	if len(m.GetPredecessor()) > 0 && !setDigest(&s.Predecessor, m.GetPredecessor()) {
		return nil, result.New(result.InvalidBundle, "predecessor digest has %d bytes", len(m.GetPredecessor()))
	}
	for _, a := range m.GetApprovals() {
		s.Approvals = append(s.Approvals, Approval{Approver: a.GetApprover(), Signature: a.GetSignature()})
	}
	return s, nil
}

func setDigest(d *Digest, b []byte) bool {
	return copy(d[:], b) == len(d) && len(b) == len(d)
}

// matches reports whether s has this version and digest.
func (s *Signed) matches(version uint64, digest Digest) bool {
	return s.Version == version && s.Digest == digest
}
