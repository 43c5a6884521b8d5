package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// TLSConfig returns the configuration that authenticates both sides: each
// certificate must be signed by the authority and name its process. The
// arguments are PEM text.
func TLSConfig(authority, certificate, key []byte) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("the certificate authority holds no PEM certificate")
	}
	cert, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key of this process: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session skips the check of the certificate's lifetime.
		SessionTicketsDisabled: true,
	}, nil
}
