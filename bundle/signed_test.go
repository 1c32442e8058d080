package bundle

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestKeyFilesAndRotation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	private, public, err := GenerateKey(dir, "anna")
	is.NoErr(err)
	_, _, err = GenerateKey(dir, "anna")
	is.True(err != nil) // a key is never overwritten
	key, err := ReadPrivateKey(private)
	is.NoErr(err)
	s := signed(t, 1, "first", Digest{})
	s.Approvals = nil
	is.NoErr(s.Sign("anna", key))

	// During a rotation the file holds the old and the new key.
	other := t.TempDir()
	_, newPublic, err := GenerateKey(other, "anna")
	is.NoErr(err)
	added, err := os.ReadFile(newPublic)
	is.NoErr(err)
	old, err := os.ReadFile(public)
	is.NoErr(err)
	is.NoErr(os.WriteFile(public, append(added, old...), 0o644))
	policy, err := LoadPolicy(dir, nil, 1)
	is.NoErr(err)
	is.Equal(len(policy.Approvers["anna"]), 2)
	_, err = Verify(s, policy)
	is.NoErr(err)
	is.NoErr(os.WriteFile(public, added, 0o644)) // the old key is removed
	policy, err = LoadPolicy(dir, []string{"anna"}, 1)
	is.NoErr(err)
	_, err = Verify(s, policy)
	is.True(err != nil)

	is.NoErr(os.WriteFile(filepath.Join(dir, "ben.pub"), added, 0o644))
	_, err = LoadPolicy(dir, nil, 1)
	is.True(err != nil) // two approvers have the same key
	_, err = LoadPolicy(other, nil, 2)
	is.True(err != nil) // more approvals required than there are approvers
	is.NoErr(os.Chmod(private, 0o640))
	_, err = ReadPrivateKey(private)
	is.True(err != nil) // other users can read the file
}

func TestSignedFileRoundTrip(t *testing.T) {
	is := is.New(t)
	s := signed(t, 1, "first", Digest{1})
	data, err := s.EncodeFile()
	is.NoErr(err)
	again, err := DecodeFile(data)
	is.NoErr(err)
	is.Equal(again.Encode(), s.Encode())
}

func FuzzDecode(f *testing.F) {
	f.Add(signed(f, 1, "first", Digest{}).Encode())
	f.Add([]byte{0x12, 0x01, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(s.Encode())
		if err != nil || !bytes.Equal(again.Encode(), s.Encode()) {
			t.Fatalf("bundle differs after encoding and decoding: %v", err)
		}
		parsed, err := Verify(s, testPolicy())
		if err == nil && parsed.Version != s.Version {
			t.Fatalf("verified document has version %d, bundle has %d", parsed.Version, s.Version)
		}
	})
}
