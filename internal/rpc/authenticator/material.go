package authenticator

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// Files names the files, which are in PEM form. Files with an empty name are not read.
type Files struct {
	// Certificate and Key identify the process to other processes.
	Certificate, Key string
	// Authority holds the authorities that sign the certificates of all processes and
	// operators.
	Authority string
	// CallersCertificate and CallersKey identify the process to callers.
	CallersCertificate, CallersKey string
	// Upstreams holds the authorities that sign the certificates of upstreams with https
	// addresses; without it, Authority does.
	Upstreams string
}

func (f Files) list() []string {
	return []string{f.Certificate, f.Key, f.Authority, f.CallersCertificate, f.CallersKey, f.Upstreams}
}

// contents are the bytes of the files in the order of Files.list.
type contents [][]byte

func readAll(f Files, read func(string) ([]byte, error)) (contents, error) {
	var c contents
	for _, name := range f.list() {
		if name == "" {
			c = append(c, nil)
			continue
		}
		data, err := read(name)
		if err != nil {
			return nil, fmt.Errorf("read a file of tls: %w", err)
		}
		c = append(c, data)
	}
	return c, nil
}

func (c contents) equal(d contents) bool {
	return slices.EqualFunc(c, d, func(a, b []byte) bool { return bytes.Equal(a, b) })
}

// material holds the certificates and authorities of one reading of the files.
type material struct {
	hosts, callers       *tls.Certificate
	authority, upstreams *x509.CertPool
	expiries             []Expiry
}

// Expiry describes when a certificate in use, or the first one of an authority file,
// expires.
type Expiry struct {
	// Use is hosts, authority, callers or upstreams.
	Use   string
	File  string
	Until time.Time
}

// ErrNoCertificates reports that an authority file contains no certificates.
var ErrNoCertificates = errors.New("the file holds no certificate in PEM form")

// build parses and checks the contents. It returns an error for whatever would make every
// other process refuse this one: a certificate and a key that do not match, a certificate
// that has expired or is not yet valid, one signed by another authority, and one without
// the identities.
func build(f Files, c contents, now time.Time, identities []Identity) (*material, error) {
	m := &material{}
	var err error
	if m.authority, err = m.loadPool("authority", f.Authority, c[2]); err != nil {
		return nil, err
	}
	if m.hosts, err = m.loadPair("hosts", f.Certificate, c[0], c[1], now); err != nil {
		return nil, err
	}
	chain, err := parseChain(m.hosts)
	if err != nil {
		return nil, err
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if slices.ContainsFunc(identities, func(i Identity) bool { return i.Role != Operator }) {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	for _, u := range usages {
		if err := verify(m.authority, chain, now, u, ""); err != nil {
			return nil, fmt.Errorf("%s: %w", f.Certificate, err)
		}
	}
	for _, i := range identities {
		if have := Identities(m.hosts.Leaf); !accepted(have, []Identity{i}) {
			return nil, fmt.Errorf("%s: %w", f.Certificate, &IdentityError{have, []Identity{i}})
		}
	}
	if f.CallersCertificate != "" {
		if m.callers, err = m.loadPair("callers", f.CallersCertificate, c[3], c[4], now); err != nil {
			return nil, err
		}
	}
	m.upstreams = m.authority
	if f.Upstreams != "" {
		if m.upstreams, err = m.loadPool("upstreams", f.Upstreams, c[5]); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *material) loadPair(use, file string, certificate, key []byte, now time.Time) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if now.After(pair.Leaf.NotAfter) {
		return nil, fmt.Errorf("%s: the certificate expired at %s", file, pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(pair.Leaf.NotBefore) {
		return nil, fmt.Errorf("%s: the certificate is not valid before %s", file, pair.Leaf.NotBefore.Format(time.RFC3339))
	}
	m.expiries = append(m.expiries, Expiry{use, file, pair.Leaf.NotAfter})
	return &pair, nil
}

// loadPool parses all certificates of an authority file. The file expires with the first
// of them. A file without certificates is refused with ErrNoCertificates.
func (m *material) loadPool(use, file string, data []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	e := Expiry{Use: use, File: file}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		pool.AddCert(c)
		if e.Until.IsZero() || c.NotAfter.Before(e.Until) {
			e.Until = c.NotAfter
		}
	}
	if e.Until.IsZero() {
		return nil, fmt.Errorf("%s: %w", file, ErrNoCertificates)
	}
	m.expiries = append(m.expiries, e)
	return pool, nil
}

func parseChain(pair *tls.Certificate) ([]*x509.Certificate, error) {
	var chain []*x509.Certificate
	for _, der := range pair.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("parse the certificate chain: %w", err)
		}
		chain = append(chain, c)
	}
	return chain, nil
}

// verify checks the certificate chain that a process has presented. The host is not
// checked when it is empty. An empty chain gives ErrNoPeerCertificate.
func verify(roots *x509.CertPool, chain []*x509.Certificate, now time.Time, usage x509.ExtKeyUsage, host string) error {
	if len(chain) == 0 {
		return ErrNoPeerCertificate
	}
	o := x509.VerifyOptions{
		Roots: roots, Intermediates: x509.NewCertPool(), CurrentTime: now, DNSName: host,
		KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, c := range chain[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(o)
	if err != nil {
		return fmt.Errorf("certificate of %s %v: %w", chain[0].Subject, Identities(chain[0]), err)
	}
	return nil
}

// readFile reads a regular file of at most 1 MiB, so that a wrong name does not exhaust
// memory. It returns an error for any other file.
func readFile(name string) ([]byte, error) {
	const maxFile = 1 << 20
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a file of at most %d bytes", name, maxFile)
	}
	return os.ReadFile(name)
}
