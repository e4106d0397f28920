// Package authenticator loads the certificates of a process and verifies those of
// others.
//
// Each process of the system has a certificate, signed by one private authority, that
// carries its identities as URIs: amaranth://control/NAME, amaranth://entry/NAME,
// amaranth://operator/NAME or amaranth://upstream/NAME. A connection to a
// control host's address succeeds only when the server has that host's name, and
// servers decide by the identity which requests a client may send.
//
// The files are compared with those in use every ReloadInterval. Changed files take
// effect for new connections. A set that is not valid is logged, and the one in use is
// kept. The contents are compared because orchestrators replace files by links
// and renames, which leaves no reliable modification time. There is no signal to reload,
// because whoever renews certificates need not know the process.
//
// # Usage
//
//	a, err := authenticator.Open(authenticator.Options{Files: files, Identities: own, Accept: accept})
//	if err != nil {
//		return err
//	}
//	a.Start()
//	defer a.Close()
//	server.TLSConfig = a.Server(true)
//	client := dialer.New(dialer.WithTLS(a.Client))
package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// ReloadInterval and warnBefore are the times of the checks of files.
const (
	// ReloadInterval is the time between two checks of the files.
	ReloadInterval = 5 * time.Second
	// warnBefore is how long before its expiry a certificate is logged.
	warnBefore = 7 * 24 * time.Hour
)

// ErrNoPeerCertificate reports that the other side presented no certificate.
var ErrNoPeerCertificate = errors.New("the other side presented no certificate")

// Options configures an Authenticator.
type Options struct {
	Files Files
	// Identities lists the identities that the process's own certificate must have.
	Identities []Identity
	// Accept returns the identities of which a server at the address must have one.
	Accept func(address string) []Identity
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Read reads a file; nil means files on disk of at most 1 MiB.
	Read func(name string) ([]byte, error)
}

// Authenticator provides the TLS configurations of a process. It is safe for concurrent
// use.
type Authenticator struct {
	options Options
	current atomic.Pointer[material]
	group   conc.WaitGroup
	stop    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// loaded are the contents of the files in use.
	loaded contents
	// lastFailure is the last logged reason why newer contents were refused; it is empty
	// when the files are those in use.
	lastFailure string
	// warned holds the expiries that have been logged.
	warned map[Expiry]bool
}

// Open reads and checks the files. It returns an error when other processes would refuse
// this one with them.
func Open(o Options) (*Authenticator, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Read == nil {
		o.Read = readFile
	}
	a := &Authenticator{options: o, stop: make(chan struct{}), warned: map[Expiry]bool{}}
	c, err := readAll(o.Files, o.Read)
	if err != nil {
		return nil, err
	}
	m, err := build(o.Files, c, o.Clock.Now(), o.Identities)
	if err != nil {
		return nil, err
	}
	a.loaded = c
	a.current.Store(m)
	a.warn()
	return a, nil
}

// Start checks the files for changes every ReloadInterval until Close.
func (a *Authenticator) Start() {
	a.group.Go(func() {
		ticker := a.options.Clock.NewTicker(ReloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-a.stop:
				return
			case <-ticker.Chan():
				a.Reload()
			}
		}
	})
}

// Close stops the checks of the files and waits for the last one.
func (a *Authenticator) Close() {
	a.once.Do(func() { close(a.stop) })
	a.group.Wait()
}

// Reload reads the files and uses them for new connections when they have changed and are
// valid. A failure is logged once for as long as it stays the same.
func (a *Authenticator) Reload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warn()
	c, err := readAll(a.options.Files, a.options.Read)
	if err == nil && c.equal(a.loaded) && a.lastFailure == "" {
		return
	}
	var m *material
	if err == nil {
		// A set that was refused is tried again: it may become valid with time.
		m, err = build(a.options.Files, c, a.options.Clock.Now(), a.options.Identities)
	}
	if err != nil {
		if a.lastFailure != err.Error() {
			a.options.Logger.Error("new certificates are not valid, so the old ones stay in use", zap.Error(err))
		}
		a.lastFailure = err.Error()
		return
	}
	changed := !c.equal(a.loaded)
	a.loaded, a.lastFailure = c, ""
	if changed {
		a.current.Store(m)
		a.options.Logger.Info("new certificates are in use", zap.Time("until", m.expiries[1].Until))
		a.warn()
	}
}

// warn logs, once each, the certificates that expire within warnBefore and those that have
// expired.
func (a *Authenticator) warn() {
	now := a.options.Clock.Now()
	for _, e := range a.current.Load().expiries {
		left := e.Until.Sub(now)
		ended := Expiry{Use: e.Use + " ended", File: e.File, Until: e.Until}
		switch {
		case left <= 0 && !a.warned[ended]:
			a.warned[ended] = true
			a.options.Logger.Error("a certificate has expired and is refused by others",
				zap.String("use", e.Use), zap.String("file", e.File), zap.Time("until", e.Until))
		case left > 0 && left <= warnBefore && !a.warned[e]:
			a.warned[e] = true
			a.options.Logger.Warn("a certificate expires soon",
				zap.String("use", e.Use), zap.String("file", e.File), zap.Time("until", e.Until))
		}
	}
}

// Expiries returns when the certificates and authorities in use expire.
func (a *Authenticator) Expiries() []Expiry { return a.current.Load().expiries }

// Server returns the configuration of a listener for other processes and operators.
// If required is false, clients without a certificate are admitted, and the handlers
// must check the identity.
func (a *Authenticator) Server(required bool) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return a.current.Load().hosts, nil
		},
		// The authority can change, so VerifyConnection checks the certificate.
		ClientAuth: tls.RequestClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				if required {
					return ErrNoPeerCertificate
				}
				return nil
			}
			return verify(a.current.Load().authority, s.PeerCertificates, a.options.Clock.Now(), x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// Callers returns the configuration of the callers' listener; it is nil when the listener
// uses no TLS.
func (a *Authenticator) Callers() *tls.Config {
	if a.options.Files.CallersCertificate == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return a.current.Load().callers, nil
		},
	}
}

// Client returns the configuration of a connection to the process of the system at the
// address. The handshake fails with an *IdentityError when Options.Accept does not list the
// server.
func (a *Authenticator) Client(address string) *tls.Config {
	accept := a.options.Accept(address)
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: a.clientCertificate,
		// The standard check compares the address, but hosts are identified by
		// their identity. VerifyConnection makes all checks.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verify(a.current.Load().authority, s.PeerCertificates, a.options.Clock.Now(), x509.ExtKeyUsageServerAuth, ""); err != nil {
				return err
			}
			if have := Identities(s.PeerCertificates[0]); !accepted(have, accept) {
				return &IdentityError{have, accept}
			}
			return nil
		},
	}
}

// Upstream returns the configuration of a connection to an upstream. The upstream's
// certificate must be valid for the host in the address.
func (a *Authenticator) Upstream(address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		NextProtos:           []string{"http/1.1"},
		ServerName:           host,
		GetClientCertificate: a.clientCertificate,
		// The authority can change, so VerifyConnection makes all checks.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(a.current.Load().upstreams, s.PeerCertificates, a.options.Clock.Now(), x509.ExtKeyUsageServerAuth, host)
		},
	}
}

func (a *Authenticator) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return a.current.Load().hosts, nil
}
