package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// TLSConfig returns a TLS configuration for mutual authentication. The
// certificate of each side must be signed by the authority and hold the name of
// its process as a DNS name. The arguments are in PEM format.
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
		// Resuming a session would skip the check whether the certificate has
		// expired.
		SessionTicketsDisabled: true,
	}, nil
}
