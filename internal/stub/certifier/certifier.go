// Package certifier implements a certificate authority for tests.
//
// # Usage
//
//	authority, err := certifier.New()
//	pair, err := authority.Issue(certifier.Request{URIs: []*url.URL{identity.URI()}})
//	err = pair.Write("host.pem", "host.key")
//
// New generates a new key for each authority. Nothing outside the tests may trust it.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"time"
)

// serialBits is the length of serial numbers in bits.
const serialBits = 120

// skew is how long before its creation a certificate is valid by default, so that
// clocks may differ.
const skew = time.Hour

// lifetime is the default lifetime of certificates and the lifetime of authorities.
const lifetime = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Request describes a certificate to issue.
type Request struct {
	URIs []*url.URL
	// Hosts are IP addresses and DNS names.
	Hosts []string
	// From and Until bound the validity; by default it begins an hour ago and ends
	// in a day.
	From, Until time.Time
}

// Pair is a certificate and its key in PEM form.
type Pair struct{ Certificate, Key []byte }

// Write writes the certificate and the key to the two named files, created with mode
// 0600.
func (p Pair) Write(certificate, key string) error {
	const mode = 0o600
	return errors.Join(os.WriteFile(certificate, p.Certificate, mode), os.WriteFile(key, p.Key, mode))
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make the key of the authority: %w", err)
	}
	t, err := template(Request{})
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage, t.ExtKeyUsage = x509.KeyUsageCertSign, nil
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("make the certificate of the authority: %w", err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("read the certificate of the authority: %w", err)
	}
	return &Authority{c, key}, nil
}

// PEM returns the authority's certificate in PEM form.
func (a *Authority) PEM() []byte { return encode("CERTIFICATE", a.certificate.Raw) }

// Issue returns a new key and a certificate for use by clients and by servers.
func (a *Authority) Issue(r Request) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("make a key: %w", err)
	}
	t, err := template(r)
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, key.Public(), a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("make a certificate: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode a key: %w", err)
	}
	return Pair{encode("CERTIFICATE", der), encode("PRIVATE KEY", private)}, nil
}

func template(r Request) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make a serial number: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "amaranthcart test " + serial.String()},
		NotBefore: r.From, NotAfter: r.Until, URIs: r.URIs,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if t.NotBefore.IsZero() {
		t.NotBefore = time.Now().Add(-skew)
	}
	if t.NotAfter.IsZero() {
		t.NotAfter = time.Now().Add(lifetime)
	}
	for _, h := range r.Hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
			continue
		}
		t.DNSNames = append(t.DNSNames, h)
	}
	return t, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
