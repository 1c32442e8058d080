package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
)

// authority signs certificates for tests.
type authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	is.New(t).NoErr(err)
	a.certificate, err = x509.ParseCertificate(der)
	is.New(t).NoErr(err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.New(t).NoErr(err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	is.New(a.t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the paths of a new certificate and its private key.
func (a *authority) issue(name string) (certificate, key string) {
	is := is.New(a.t)
	privateKey := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, privateKey.Public(), a.key)
	is.NoErr(err)
	encoded, err := x509.MarshalPKCS8PrivateKey(privateKey)
	is.NoErr(err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "PRIVATE KEY", encoded)
}

func (a *authority) authorityFile() string { return filepath.Join(a.dir, "authority.pem") }

func TestPeersAuthenticateEachOther(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	certificate, key := ours.issue("vm1")
	serverTLS, err := LoadTLS(certificate, key, ours.authorityFile())
	is.NoErr(err)
	handler := func(_ context.Context, s *Stream) {
		if m, err := s.Recv(); err == nil {
			_ = s.Send(m)
		}
	}
	server, err := Listen(ServerOptions{Address: "127.0.0.1:0", TLS: serverTLS, Handler: handler})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-done)
	}()

	call := func(certificate, key, authorityFile string) error {
		clientTLS, err := LoadTLS(certificate, key, authorityFile)
		is.NoErr(err)
		c := NewClient(ClientOptions{VM: "vm2", TLS: clientTLS})
		defer c.Close()
		limited, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err = c.Call(limited, server.Addr(), &pb.Envelope{Body: &pb.Envelope_ProbeRequest{ProbeRequest: &pb.ProbeRequest{}}})
		return err
	}
	certificate, key = ours.issue("vm2")
	is.NoErr(call(certificate, key, ours.authorityFile()))
	is.True(call(certificate, key, theirs.authorityFile()) != nil) // the client refuses the server
	certificate, key = theirs.issue("vm3")
	is.True(call(certificate, key, ours.authorityFile()) != nil) // the server refuses the client
	is.True(call("", "", "") != nil)                             // the client uses no TLS
}

func TestLoadTLSRefusesUnusableFiles(t *testing.T) {
	is := is.New(t)
	none, err := LoadTLS("", "", "")
	is.NoErr(err)
	is.True(none == nil)
	a := newAuthority(t)
	certificate, key := a.issue("vm1")
	_, err = LoadTLS(certificate, key, key)
	is.True(err != nil) // the authority file contains no certificate
	_, err = LoadTLS(certificate, "", a.authorityFile())
	is.True(err != nil)
}
