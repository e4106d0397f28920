// Package authenticator keeps the certificates of a process and checks those of
// others.
//
// Each process of the system has a certificate of one private authority that
// carries its identities as URIs: amaranth://control/NAME, amaranth://entry/NAME,
// amaranth://operator/NAME or amaranth://upstream/NAME. A connection to a
// control host's address is made only with the holder of that host's name, and
// servers tell from the identity what a client may ask for.
//
// The files are compared with the ones in use every few seconds and take effect
// for new connections. A set that could not work is logged and the one in use is
// kept. The contents are compared because orchestrators replace files by links
// and renames, which leaves no reliable modification time; a signal was not
// chosen because whoever renews certificates need not know the process.
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

// Times of the files.
const (
	// Interval is the time between two readings of the files.
	Interval = 5 * time.Second
	// warnBefore is how long before its end a certificate is logged.
	warnBefore = 7 * 24 * time.Hour
)

// ErrNone reports a process that showed no certificate.
var ErrNone = errors.New("the other side presented no certificate")

// Options configures an Authenticator.
type Options struct {
	Files Files
	// Identities must all stand in the own certificate.
	Identities []Identity
	// Accept lists the identities of which a server at the address must have
	// one.
	Accept func(address string) []Identity
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Read replaces the reading of files.
	Read func(name string) ([]byte, error)
}

// Authenticator gives the configurations for TLS. It is safe for concurrent
// use.
type Authenticator struct {
	options Options
	current atomic.Pointer[material]
	group   conc.WaitGroup
	stop    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// used are the contents of the files in use.
	used contents
	// failed is the last logged reason why later contents were not taken.
	failed string
	warned map[Expiry]bool
}

// Open reads the files.
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
	a.used = c
	a.current.Store(m)
	a.warn()
	return a, nil
}

// Start begins to look for changed files.
func (a *Authenticator) Start() {
	a.group.Go(func() {
		ticker := a.options.Clock.NewTicker(Interval)
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

// Close ends the reading of files.
func (a *Authenticator) Close() {
	a.once.Do(func() { close(a.stop) })
	a.group.Wait()
}

// Reload reads the files and takes them when they have changed and are valid.
func (a *Authenticator) Reload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warn()
	c, err := readAll(a.options.Files, a.options.Read)
	if err == nil && c.equal(a.used) && a.failed == "" {
		return
	}
	var m *material
	if err == nil {
		// A set that was refused is tried again: it may become valid with time.
		m, err = build(a.options.Files, c, a.options.Clock.Now(), a.options.Identities)
	}
	if err != nil {
		if a.failed != err.Error() {
			a.options.Logger.Error("new certificates are not valid, so the old ones stay in use", zap.Error(err))
		}
		a.failed = err.Error()
		return
	}
	changed := !c.equal(a.used)
	a.used, a.failed = c, ""
	if changed {
		a.current.Store(m)
		a.options.Logger.Info("new certificates are in use", zap.Time("until", m.expiries[1].Until))
		a.warn()
	}
}

// warn logs certificates that end soon or have ended, each once.
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

// Expiries tells when the certificates in use end.
func (a *Authenticator) Expiries() []Expiry { return a.current.Load().expiries }

// Server is the configuration of a listener for other processes and operators.
// Without required, clients without a certificate are let in, and the handlers
// have to check the identity.
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
					return ErrNone
				}
				return nil
			}
			return verify(a.current.Load().authority, s.PeerCertificates, a.options.Clock.Now(), x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// Callers is the configuration of the callers' listener, nil when it is plain.
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

// Client is the configuration of a connection to another process of the system.
func (a *Authenticator) Client(address string) *tls.Config {
	accept := a.options.Accept(address)
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: a.clientCertificate,
		// The standard check compares the address, but hosts are known by
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

// Upstream is the configuration of a connection to an upstream: the certificate
// must be valid for the host in its address.
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
