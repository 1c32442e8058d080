package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// LoadTLS returns the configuration by which both sides of a session authenticate
// each other: each certificate must be signed by an authority in authorityFile.
// Peers are addressed by IP address, so names are not checked: the holder of any
// certificate signed by the authority is accepted as a peer. LoadTLS returns nil,
// which turns TLS off, if all three file names are empty.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	if certificateFile == "" && keyFile == "" && authorityFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate and key")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("peer authorities: %s contains no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// VerifyConnection verifies the certificate chain without the name check.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyChain(authorities),
	}, nil
}

func verifyChain(authorities *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		o := x509.VerifyOptions{
			Roots: authorities, Intermediates: x509.NewCertPool(),
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		}
		for _, c := range state.PeerCertificates[1:] {
			o.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(o)
		return errors.Wrap(err, "verify peer certificate")
	}
}
