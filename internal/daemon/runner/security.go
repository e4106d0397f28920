package runner

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/entry/receiver"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// openSecurity reads the certificates, if the settings name any, and creates the
// guardian. It returns an error when the certificates cannot be used.
func (d *Daemon) openSecurity() error {
	settings := d.settings
	if settings.TLS == nil {
		var options []guardian.Option
		if d.trustControl {
			options = append(options, guardian.WithTrustedPeers())
		}
		d.guardian = guardian.New(settings.Operators, options...)
		return nil
	}
	files := authenticator.Files{
		Certificate: settings.TLS.Certificate, Key: settings.TLS.Key, Authority: settings.TLS.Authority,
		Upstreams: settings.TLS.Upstreams.Authority,
	}
	if c := settings.TLS.Callers; c != nil {
		files.CallersCertificate, files.CallersKey = c.Certificate, c.Key
	}
	a, err := authenticator.Open(authenticator.Options{
		Files: files, Identities: identities(settings), Accept: accept(settings), Clock: d.clock, Logger: d.logger.Named("certificates"),
	})
	if err != nil {
		return err
	}
	a.Start()
	d.security = a
	var controls []registrar.HostName
	for _, m := range settings.Control {
		controls = append(controls, m.Name)
	}
	d.guardian = guardian.New(settings.Operators, guardian.WithCertificates(guardian.Certificates{
		Controls: controls, Announce: settings.TLS.Upstreams.Announce,
	}))
	return nil
}

// identities returns the identities of this host, one for each of its roles.
func identities(s *loader.Settings) []authenticator.Identity {
	var list []authenticator.Identity
	if s.HasRole(loader.Control) {
		list = append(list, authenticator.Identity{Role: authenticator.Control, Name: string(s.Name)})
	}
	if s.HasRole(loader.Entry) {
		list = append(list, authenticator.Identity{Role: authenticator.Entry, Name: string(s.Name)})
	}
	return list
}

// accept returns a function that lists who may serve at an address: at the address of a
// control host only that host, and at any other address any entry host.
func accept(s *loader.Settings) func(string) []authenticator.Identity {
	controls := make(map[string]authenticator.Identity)
	for _, m := range s.Control {
		controls[m.Address] = authenticator.Identity{Role: authenticator.Control, Name: string(m.Name)}
	}
	return func(address string) []authenticator.Identity {
		if i, ok := controls[address]; ok {
			return []authenticator.Identity{i}
		}
		return []authenticator.Identity{{Role: authenticator.Entry}}
	}
}

// tls returns the client configuration for calls to other hosts; it is nil without TLS.
func (d *Daemon) tls() dialer.TLS {
	if d.security == nil {
		return nil
	}
	return d.security.Client
}

// upstreamTLS returns the client configuration for upstreams; it is nil without TLS.
func (d *Daemon) upstreamTLS() dialer.TLS {
	if d.security == nil {
		return nil
	}
	return d.security.Upstream
}

func (d *Daemon) peersServer(h http.Handler) *http.Server {
	s := dialer.NewServer(authenticator.Identify(d.guardian.Admit(h)))
	if d.security != nil {
		s.TLSConfig = d.security.Server(d.settings.TLS.Upstreams.Announce == loader.RequireCertificate)
		s.ErrorLog = zap.NewStdLog(d.logger.Named("peers"))
	}
	return s
}

// adminServer returns the server of the admin address. It admits clients without a
// certificate, because those that read metrics and health have none.
func (d *Daemon) adminServer() *http.Server {
	s := dialer.NewServer(authenticator.Identify(d.adminHandler()))
	if d.security != nil {
		s.TLSConfig = d.security.Server(false)
		s.ErrorLog = zap.NewStdLog(d.logger.Named("admin"))
	}
	return s
}

func (d *Daemon) callersServer(r *receiver.Receiver) *http.Server {
	s := r.Server(r.Handler())
	if d.security != nil {
		s.TLSConfig = d.security.Callers()
	}
	return s
}

// certificates lists the certificates in use with the times at which they expire.
func (d *Daemon) certificates() []reporter.Certificate {
	if d.security == nil {
		return nil
	}
	var list []reporter.Certificate
	for _, e := range d.security.Expiries() {
		list = append(list, reporter.Certificate{Use: e.Use, Until: e.Until})
	}
	return list
}
