package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// LoadTLS builds the configuration by which both sides of a session prove
// themselves: each certificate must be signed by an authority of the file.
// Peers are addressed by IP number, so names are not checked; any certificate
// of the authority may talk as a peer. Three empty names turn TLS off.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	if certificateFile == "" && keyFile == "" && authorityFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("peer authorities: %s holds no certificate", authorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The name check is replaced by the chain check in VerifyConnection.
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
		return errors.Wrap(err, "peer certificate")
	}
}
