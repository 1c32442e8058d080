package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/settings"
)

const (
	// publicSuffix ends the names of public key files: NAME.pub.
	publicSuffix  = ".pub"
	publicType    = "PUBLIC KEY"
	privateType   = "PRIVATE KEY"
	maxKeysPerOne = 4
)

var approverName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Policy tells whose approvals count and how many a bundle needs.
type Policy struct {
	// Approvers maps each name to its public keys; two during a rotation.
	Approvers map[string][]ed25519.PublicKey
	// Needed is the number of different approvers that must have signed.
	RequiredApprovals int
}

// LoadPolicy reads NAME.pub of each approver from dir; no names means every
// file of that form. A key may belong to one approver only.
func LoadPolicy(dir string, names []string, needed int) (*Policy, error) {
	if len(names) == 0 {
		paths, err := filepath.Glob(filepath.Join(dir, "*"+publicSuffix))
		if err != nil {
			return nil, errors.Wrap(err, "approvers")
		}
		for _, p := range paths {
			names = append(names, strings.TrimSuffix(filepath.Base(p), publicSuffix))
		}
	}
	p := &Policy{Approvers: make(map[string][]ed25519.PublicKey), RequiredApprovals: needed}
	owner := make(map[string]string)
	for _, name := range names {
		keys, err := readPublicKeys(filepath.Join(dir, name+publicSuffix))
		if err != nil {
			return nil, errors.Wrapf(err, "approver %q", name)
		}
		for _, k := range keys {
			if other, taken := owner[string(k)]; taken && other != name {
				return nil, errors.Errorf("approvers %q and %q have the same key", other, name)
			}
			owner[string(k)] = name
		}
		p.Approvers[name] = keys
	}
	if needed < 1 || needed > len(p.Approvers) {
		return nil, errors.Errorf("%d approvals needed, but %d approvers known in %s", needed, len(p.Approvers), dir)
	}
	return p, nil
}

// GenerateKey writes a new key pair to NAME.key (mode 0600) and NAME.pub in
// dir. It overwrites neither.
func GenerateKey(dir, name string) (privatePath, publicPath string, err error) {
	if !approverName.MatchString(name) {
		return "", "", errors.Errorf("approver name %q: want lower-case letters, digits, dots and hyphens", name)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", err
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", "", err
	}
	publicDER, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return "", "", err
	}
	privatePath = filepath.Join(dir, name+".key")
	publicPath = filepath.Join(dir, name+publicSuffix)
	if err := writeNew(privatePath, privateType, privateDER, 0o600); err != nil {
		return "", "", err
	}
	return privatePath, publicPath, writeNew(publicPath, publicType, publicDER, 0o644)
}

func writeNew(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// ReadPrivateKey reads a PEM file that only its owner may read.
func ReadPrivateKey(path string) (ed25519.PrivateKey, error) {
	text, err := settings.ReadSecret(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode([]byte(text))
	if block == nil || block.Type != privateType {
		return nil, errors.Errorf("%s: no %s block", path, privateType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s: not an Ed25519 key", path)
	}
	return key, nil
}

func readPublicKeys(path string) ([]ed25519.PublicKey, error) {
	rest, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys []ed25519.PublicKey
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		key, ok := parsed.(ed25519.PublicKey)
		if !ok {
			return nil, errors.Errorf("%s: not an Ed25519 key", path)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeysPerOne {
		return nil, errors.Errorf("%s: %d keys; want 1 to %d", path, len(keys), maxKeysPerOne)
	}
	return keys, nil
}

// Sign adds the approver's signature, in place of an earlier one of the same name.
func (s *Signed) Sign(approver string, key ed25519.PrivateKey) error {
	if !approverName.MatchString(approver) {
		return errors.Errorf("approver name %q: want lower-case letters, digits, dots and hyphens", approver)
	}
	s.Approvals = slices.DeleteFunc(s.Approvals, func(a Approval) bool { return a.Approver == approver })
	s.Approvals = append(s.Approvals, Approval{Approver: approver, Signature: ed25519.Sign(key, s.message())})
	return nil
}

// Verify checks a bundle whole: digest, document, version and approvals. It
// returns the parsed document.
func Verify(s *Signed, policy *Policy) (*config.Bundle, error) {
	if DigestOf(s.Document) != s.Digest {
		return nil, result.New(result.BadSignature, "bundle %d: the document does not match its digest", s.Version)
	}
	if err := policy.check(s); err != nil {
		return nil, err
	}
	parsed, err := config.Parse(documentName(s.Version), s.Document)
	if err != nil {
		return nil, result.Wrap(result.InvalidBundle, err, "bundle %d", s.Version)
	}
	if parsed.Version != s.Version {
		return nil, result.New(result.InvalidBundle, "bundle %d: the document states version %d", s.Version, parsed.Version)
	}
	return parsed, nil
}

func documentName(version uint64) string { return fmt.Sprintf("bundle-%d.ini", version) }

func (p *Policy) check(s *Signed) error {
	if p == nil || p.RequiredApprovals < 1 {
		return result.New(result.BadSignature, "bundle %d: no approvers are configured", s.Version)
	}
	valid := make(map[string]bool)
	var faults []string
	for _, a := range s.Approvals {
		if p.valid(a, s.message()) {
			valid[a.Approver] = true
			continue
		}
		faults = append(faults, a.Approver)
	}
	if len(valid) >= p.RequiredApprovals {
		return nil
	}
	detail := fmt.Sprintf("bundle %d: %d of %d needed approvals are valid", s.Version, len(valid), p.RequiredApprovals)
	if len(faults) > 0 {
		detail += "; not valid or unknown: " + strings.Join(faults, ", ")
	}
	return result.New(result.BadSignature, "%s", detail)
}

func (p *Policy) valid(a Approval, message []byte) bool {
	for _, key := range p.Approvers[a.Approver] {
		if ed25519.Verify(key, message, a.Signature) {
			return true
		}
	}
	return false
}
