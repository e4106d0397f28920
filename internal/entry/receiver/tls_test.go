package receiver_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/receiver"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// upstreamAuthority signs the certificates of upstreams in a test.
type upstreamAuthority struct {
	*certifier.Authority
	pool *x509.CertPool
}

func newUpstreamAuthority(t testing.TB) upstreamAuthority {
	t.Helper()
	a, err := certifier.New()
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(a.PEM()))
	return upstreamAuthority{a, pool}
}

func (a upstreamAuthority) issue(t testing.TB, r certifier.Request) *tls.Config {
	t.Helper()
	p, err := a.Issue(r)
	assert.NilError(t, err)
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	assert.NilError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{pair}}
}

// client returns the forwarder's TLS configuration for an address.
func (a upstreamAuthority) client(address string) *tls.Config {
	host, _, _ := net.SplitHostPort(address)
	return &tls.Config{RootCAs: a.pool, ServerName: host}
}

// secure puts a TLS listener in front of an upstream's plain one and returns its
// address.
func secure(t *testing.T, c *tls.Config, plain string) string {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", c)
	assert.NilError(t, err)
	relay(t, l, plain)
	return "https://" + l.Addr().String()
}

// relay copies data in both directions between the listener's connections and an
// address.
func relay(t *testing.T, l net.Listener, address string) {
	group := &conc.WaitGroup{}
	ctx, end := context.WithCancel(context.Background())
	pipe := func(to, from net.Conn) func() {
		return func() {
			_, _ = io.Copy(to, from)
			_ = to.Close()
			_ = from.Close()
		}
	}
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				u, err := net.Dial("tcp", address)
				if err != nil {
					_ = c.Close()
					return
				}
				context.AfterFunc(ctx, func() { _ = u.Close() })
				group.Go(pipe(c, u))
				pipe(u, c)()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		end()
		group.Wait()
	})
}

// silentAddress returns the address of a listener whose connections are never answered.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return "https://" + l.Addr().String()
}

// TestSecureUpstreams guards against sending a call to an upstream whose certificate is
// not valid, against counting a failed handshake as a run or a crash, and against not
// trying another upstream after one.
func TestSecureUpstreams(t *testing.T) {
	authority, foreign := newUpstreamAuthority(t), newUpstreamAuthority(t)
	local := certifier.Request{Hosts: []string{"127.0.0.1"}}
	ended := certifier.Request{Hosts: local.Hosts, From: time.Now().Add(-2 * time.Hour), Until: time.Now().Add(-time.Hour)}
	future := certifier.Request{Hosts: local.Hosts, From: time.Now().Add(time.Hour)}
	for _, c := range []struct {
		name    string
		address func(t *testing.T, plain string) string
		fails   bool
	}{
		{"valid", func(t *testing.T, plain string) string { return secure(t, authority.issue(t, local), plain) }, false},
		{"wrong authority", func(t *testing.T, plain string) string { return secure(t, foreign.issue(t, local), plain) }, true},
		{"expired", func(t *testing.T, plain string) string { return secure(t, authority.issue(t, ended), plain) }, true},
		{"not yet valid", func(t *testing.T, plain string) string { return secure(t, authority.issue(t, future), plain) }, true},
		{"other host", func(t *testing.T, plain string) string {
			return secure(t, authority.issue(t, certifier.Request{Hosts: []string{"127.0.0.2", "upstream.example"}}), plain)
		}, true},
		{"plain listener", func(_ *testing.T, plain string) string { return "https://" + plain }, true},
		{"silent handshake", func(t *testing.T, _ string) string { return silentAddress(t) }, true},
	} {
		for _, call := range []struct{ path, body, run string }{
			{"/svc/ledger/sales", "bale", "POST /sales"},
			{"/svc/ledger/quote", "bale", "POST /quote"},
			{"/v1/chat/completions", chatBody("x [[length=9]]", true, ""), ""},
		} {
			t.Run(c.name+call.path, func(t *testing.T) {
				h := newHarness(t, withTLS(authority.client))
				h.dispatcher.upstreams[0].Address = c.address(t, h.dispatcher.upstreams[0].Address)
				a := h.do(http.MethodPost, call.path, call.body)
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusOK, a.body)
				want := []scheduler.Outcome{scheduler.Completed}
				if c.fails {
					want = []scheduler.Outcome{scheduler.Failed, scheduler.Completed}
				}
				eventually(t, "all slots are released", func() bool { return len(h.dispatcher.outcomes()) == len(want) })
				assert.DeepEqual(t, h.dispatcher.outcomes(), want)
				ran := 0
				for _, r := range h.responders {
					ran += r.Runs()[call.run]
				}
				if call.run != "" {
					assert.Equal(t, ran, 1)
				}
				if !c.fails {
					return
				}
				h = newHarness(t, withTLS(authority.client), withUpstreams(1))
				h.dispatcher.upstreams[0].Address = c.address(t, h.dispatcher.upstreams[0].Address)
				a = h.do(http.MethodPost, call.path, call.body)
				assert.Equal(t, a.run(), "no", a.body)
				assert.Assert(t, len(h.dispatcher.outcomes()) > 0)
			})
		}
	}
	t.Run("without TLS in the settings", func(t *testing.T) {
		h := newHarness(t)
		h.dispatcher.upstreams[0].Address = secure(t, authority.issue(t, local), h.dispatcher.upstreams[0].Address)
		assert.Equal(t, h.do(http.MethodPost, "/svc/ledger/sales", "bale").status, http.StatusOK)
		assert.Equal(t, h.responders[0].Runs()["POST /sales"], 0)
	})
}

// TestTransportReplayTLS guards against resending a sale over TLS when its connection
// is closed after the request, and against answering "no" for it. The first part shows
// that a plain client does resend to this server.
func TestTransportReplayTLS(t *testing.T) {
	authority := newUpstreamAuthority(t)
	local := certifier.Request{Hosts: []string{"127.0.0.1"}}
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			server := newClosingServer(t)
			address := secure(t, authority.issue(t, local), server.listener.Addr().String())
			plain := &http.Client{Transport: &http.Transport{TLSClientConfig: authority.client("127.0.0.1:0")}}
			defer plain.CloseIdleConnections()
			warm, err := plain.Get(address)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, warm.Body)
			_ = warm.Body.Close()
			q, err := http.NewRequest(http.MethodPost, address, http.NoBody)
			assert.NilError(t, err)
			q.Header.Set("Idempotency-Key", "k")
			_, err = plain.Do(q)
			assert.Assert(t, err != nil)
			assert.Equal(t, server.count(), 2, "net/http no longer resends; the test needs another server")

			server = newClosingServer(t)
			h := newHarness(t, withUpstreams(2), withClaimer(&fakeClaimer{}), withTLS(authority.client))
			h.dispatcher.upstreams[0].Address = secure(t, authority.issue(t, local), server.listener.Addr().String())
			assert.Equal(t, h.do(http.MethodGet, "/svc/ledger/warm", "").body, "ok")
			a := h.do(method, "/svc/ledger/sales", "", "X-Idempotency-Key", "k")
			assert.Equal(t, a.status, http.StatusBadGateway)
			assert.Equal(t, a.run(), "unknown")
			assert.Equal(t, server.count(), 1)
			assert.Equal(t, len(h.responders[1].Runs()), 0)
		})
	}
}

// TestRefusedClientCertificate guards against answering "no" for a sale that an
// upstream refused after the handshake had ended on this side and bytes had been sent.
func TestRefusedClientCertificate(t *testing.T) {
	authority := newUpstreamAuthority(t)
	server := authority.issue(t, certifier.Request{Hosts: []string{"127.0.0.1"}})
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = authority.pool
	h := newHarness(t, withTLS(authority.client))
	h.dispatcher.upstreams[0].Address = secure(t, server, h.dispatcher.upstreams[0].Address)
	a := h.do(http.MethodPost, "/svc/ledger/sales", "bale")
	assert.Equal(t, a.status, http.StatusBadGateway, a.body)
	assert.Equal(t, a.run(), "unknown")
	assert.Equal(t, h.responders[0].Runs()["POST /sales"]+h.responders[1].Runs()["POST /sales"], 0)
}

// TestCallersTLS guards against a callers' listener that supports HTTP/1.1 or HTTP/2
// over TLS only in part, and against silent handshakes that keep other callers out.
func TestCallersTLS(t *testing.T) {
	authority := newUpstreamAuthority(t)
	config := authority.issue(t, certifier.Request{Hosts: []string{"127.0.0.1"}})
	h := newHarness(t, withCallersTLS(config), withLimits(receiver.Limits{Connections: 64}))
	ends := make(chan error, 32)
	for range cap(ends) {
		c, err := net.Dial("tcp", h.url[len("https://"):])
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		background(t, func() {
			_, err := io.Copy(io.Discard, c)
			ends <- errors.Join(err, c.Close())
		})
	}
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		transport := &http.Transport{TLSClientConfig: authority.client("127.0.0.1:0"), ForceAttemptHTTP2: proto == "HTTP/2.0"}
		h.client = &http.Client{Transport: transport}
		for _, stream := range []bool{true, false} {
			a := h.do(http.MethodPost, "/v1/chat/completions", chatBody("x [[length=9]]", stream, ""))
			assert.NilError(t, a.err)
			assert.Equal(t, len(readGenerated(t, a, stream).text) > 0, true)
		}
		a := h.do(http.MethodPost, "/svc/ledger/sales", "bale")
		assert.Equal(t, fmt.Sprintf("%d %s %v", a.status, a.run(), a.err), "200 yes <nil>")
		// A broken answer must not look complete.
		for _, r := range h.responders {
			r.Set(responder.Behaviour{Break: 3})
		}
		a = h.do(http.MethodPost, "/v1/chat/completions", chatBody("x [[length=9]]", true, `,"tools":[{}]`))
		assert.Assert(t, a.err != nil, "%s", a.body)
		for _, r := range h.responders {
			r.Set(responder.Behaviour{})
		}
		q, err := h.client.Get(h.url + "/ready")
		assert.NilError(t, err)
		assert.Equal(t, q.Proto, proto)
		assert.NilError(t, q.Body.Close())
		transport.CloseIdleConnections()
	}
	q, err := http.Get("http" + h.url[len("https"):] + "/ready")
	assert.NilError(t, err)
	assert.Equal(t, q.StatusCode, http.StatusBadRequest)
	assert.NilError(t, q.Body.Close())
	for range cap(ends) {
		assert.Assert(t, !errors.Is(<-ends, os.ErrDeadlineExceeded), "a silent handshake was not ended")
	}
}

// BenchmarkTLS measures the cost of TLS on one side at a time. A sale uses a new
// connection, a quote a pooled one; caller, entry host and responder share the process.
func BenchmarkTLS(b *testing.B) {
	authority := newUpstreamAuthority(b)
	config := authority.issue(b, certifier.Request{Hosts: []string{"127.0.0.1"}})
	for _, c := range []struct {
		name              string
		callers, upstream bool
	}{{"plain", false, false}, {"callers", true, false}, {"upstream", false, true}} {
		for _, path := range []string{"/svc/ledger/quote", "/svc/ledger/sales"} {
			b.Run(c.name+path, func(b *testing.B) {
				options := []harnessOption{withUpstreams(1), withTLS(authority.client)}
				if c.callers {
					options = append(options, withCallersTLS(config))
				}
				h := newHarness(b, options...)
				h.dispatcher.recordsNothing = true
				if c.callers {
					h.client = &http.Client{Transport: &http.Transport{TLSClientConfig: authority.client("127.0.0.1:0"), MaxIdleConnsPerHost: 256}}
				}
				if c.upstream {
					l, err := tls.Listen("tcp", "127.0.0.1:0", config)
					assert.NilError(b, err)
					r := responder.New(responder.Options{Name: "secure", Services: []validator.PoolName{"ledger"}, Slots: 512})
					background(b, func() { _ = r.Serve(l) })
					b.Cleanup(func() { _ = r.Close() })
					h.dispatcher.upstreams[0].Address = "https://" + l.Addr().String()
				}
				b.SetParallelism(8)
				b.ResetTimer()
				before := processorTime()
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						if _, err := benchCall(h.client, http.MethodPost, h.url+path, "bale"); err != nil {
							b.Error(err)
							return
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}

// TestDistrust guards against an upstream with a bad certificate that gets the first
// attempt of every request, because it is idle, until the retry budget is used up.
func TestDistrust(t *testing.T) {
	authority, foreign := newUpstreamAuthority(t), newUpstreamAuthority(t)
	for _, call := range []struct{ path, body string }{
		{"/svc/ledger/sales", "bale"},
		{"/svc/ledger/quote", "bale"},
		{"/v1/chat/completions", chatBody("x [[length=9]]", true, "")},
	} {
		t.Run(call.path, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			h := newHarness(t, withTLS(authority.client), withClock(clock))
			bad := foreign.issue(t, certifier.Request{Hosts: []string{"127.0.0.1"}})
			h.dispatcher.upstreams[0].Address = secure(t, bad, h.dispatcher.upstreams[0].Address)
			for _, want := range []int{1, 2} {
				for range 10 {
					a := h.do(http.MethodPost, call.path, call.body)
					assert.Equal(t, a.status, http.StatusOK, a.body)
				}
				failed := 0
				eventually(t, "all slots are released", func() bool { return len(h.dispatcher.outcomes()) >= 10*want+want })
				for _, o := range h.dispatcher.outcomes() {
					if o == scheduler.Failed {
						failed++
					}
				}
				assert.Equal(t, failed, want, "%v", h.dispatcher.outcomes())
				clock.Advance(5 * time.Second)
			}
		})
	}
}
