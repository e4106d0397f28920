package commander_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/ctl/commander"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
)

// TestCertificates guards against an operator's client that talks to a server which is
// not a host of the deployment, that prints an operator key, or that reports a change as
// sent after a failed handshake.
func TestCertificates(t *testing.T) {
	folder := t.TempDir()
	file := func(name string) string { return filepath.Join(folder, name) }
	authority, err := certifier.New()
	assert.NilError(t, err)
	foreign, err := certifier.New()
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file("authority"), authority.PEM(), 0o600))
	assert.NilError(t, os.WriteFile(file("foreign"), foreign.PEM(), 0o600))
	issue := func(i authenticator.Identity) *authenticator.Authenticator {
		p, err := authority.Issue(certifier.Request{URIs: []*url.URL{i.URI()}})
		assert.NilError(t, err)
		assert.NilError(t, p.Write(file(i.Name), file(i.Name+".key")))
		a, err := authenticator.Open(authenticator.Options{Files: authenticator.Files{
			Certificate: file(i.Name), Key: file(i.Name + ".key"), Authority: file("authority"),
		}})
		assert.NilError(t, err)
		return a
	}
	issue(authenticator.Identity{Role: authenticator.Operator, Name: "asha"})
	g := guardian.New(nil, guardian.WithCertificates(guardian.Certificates{Announce: loader.RequireCertificate}))
	secure := func(c *tls.Config, h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := dialer.NewServer(authenticator.Identify(h))
		s.TLSConfig, s.ErrorLog = c, zap.NewStdLog(zap.NewNop())
		var group conc.WaitGroup
		group.Go(func() { _ = s.ServeTLS(l, "", "") })
		t.Cleanup(func() {
			_ = s.Close()
			group.Wait()
		})
		return l.Addr().String()
	}
	fake := newControl()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlHandler(fake, connect.WithInterceptors(g)))
	mux.Handle(inspector.DrainPath, g.Require(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"host":"entry-1"}`))
	})))
	host := issue(authenticator.Identity{Role: authenticator.Control, Name: "control-1"})
	control := secure(host.Server(true), mux)
	imposter := secure(issue(authenticator.Identity{Role: authenticator.Upstream, Name: "engine-1"}).Server(true), mux)
	plain := serveControl(t, fake)
	full := " --authority " + file("authority") + " --certificate " + file("asha") + " --key " + file("asha.key")
	for _, c := range []struct {
		name, line string
		code       int
		want       string
	}{
		{"apply", "apply small.json --revision 0 --control " + control + full, commander.ExitOK, "revision 1 accepted"},
		{"history", "history --control " + control + full, commander.ExitOK, "asha"},
		{"status", "status --control " + control + full, commander.ExitOK, "leader"},
		{"drain", "drain " + control + full, commander.ExitOK, "entry-1"},
		{"imposter", "apply small.json --revision 1 --control " + imposter + full, commander.ExitUnreachable, "was not sent"},
		{"plain host", "apply small.json --revision 1 --control " + plain + full, commander.ExitUnreachable, "was not sent"},
		{"plain client", "get --control " + control, commander.ExitUnreachable, "connection broke off"},
		{"other authority", "get --control " + control + strings.Replace(full, file("authority"), file("foreign"), 1), commander.ExitFailed, "unknown authority"},
		{"no key", "get --control " + control + " --authority " + file("authority") + " --certificate " + file("asha"), commander.ExitUsage, "no such file"},
		{"no authority", "get --control " + control + " --certificate " + file("asha"), commander.ExitUsage, "needed together"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			code := s.run(t.Context(), c.line)
			text := s.transcript()
			assert.Assert(t, strings.Contains(text, c.want), "%s", text)
			assert.Equal(t, code, c.code, text)
			assert.Assert(t, !strings.Contains(text, operatorKey), "%s", text)
		})
	}
	assert.Equal(t, fake.entries[0].Operator, "asha")
	assert.Equal(t, len(fake.entries), 1)
}
