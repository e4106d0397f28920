package sender_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestSecureEngine guards against an order that is sent to an engine without a
// valid certificate, and against a failed handshake that counts as an order that
// may have arrived.
func TestSecureEngine(t *testing.T) {
	authority, err := certifier.New()
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(authority.PEM()))
	for _, c := range []struct {
		name, host string
		plain      bool
		want       issuer.Outcome
	}{
		{"valid", "127.0.0.1", false, issuer.Accepted},
		{"other host", "127.0.0.2", false, issuer.Refused},
		{"no TLS in the settings", "127.0.0.1", true, issuer.Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := authority.Issue(certifier.Request{Hosts: []string{c.host}})
			assert.NilError(t, err)
			pair, err := tls.X509KeyPair(p.Certificate, p.Key)
			assert.NilError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			engine := responder.New(responder.Options{Name: "a"})
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() { _ = engine.Serve(tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}})) })
			defer func() { assert.NilError(t, engine.Close()) }()
			outcomes := make(chan issuer.OrderResult, 1)
			o := sender.Options{Report: func(o issuer.OrderResult) { outcomes <- o }}
			if !c.plain {
				o.TLS = func(string) *tls.Config { return &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"} }
			}
			s := sender.New(o)
			defer s.Close()
			s.Send(issuer.Order{
				ID: "o", Upstream: "a", Address: "https://" + l.Addr().String(), Fence: 1,
				State: issuer.State{Models: []string{"m"}}, Until: time.Now().Add(generous),
			})
			select {
			case got := <-outcomes:
				assert.Equal(t, got.Outcome, c.want)
			case <-time.After(generous):
				t.Fatal("no outcome was reported")
			}
		})
	}
}
