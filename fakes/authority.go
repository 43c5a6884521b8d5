package fakes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// Authority is an in-memory certificate authority that issues process
// certificates for tests and the demo.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// certLife is the validity of certificates before and after the current time. It
// is long because the virtual clock of a synctest bubble starts in the year 2000.
const certLife = 100 * 365 * 24 * time.Hour

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	t := template("authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// PEM returns the certificate of the authority in PEM encoding.
func (a *Authority) PEM() []byte { return a.pem }

// Issue issues a client and server certificate for a process and returns it with
// its key, both in PEM encoding.
func (a *Authority) Issue(name string) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", name, err)
	}
	t := template(name)
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	b, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %s: %w", name, err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", b), nil
}

// template returns an unsigned certificate with a random serial number.
func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-certLife), NotAfter: time.Now().Add(certLife),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
