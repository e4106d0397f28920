package authenticator_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
)

var (
	control1  = authenticator.Identity{Role: authenticator.Control, Name: "control-1"}
	entry1    = authenticator.Identity{Role: authenticator.Entry, Name: "entry-1"}
	asha      = authenticator.Identity{Role: authenticator.Operator, Name: "asha"}
	engine1   = authenticator.Identity{Role: authenticator.Upstream, Name: "engine-1"}
	fileNames = authenticator.Files{Certificate: "c", Key: "k", Authority: "a"}
)

// files replaces the files on disk.
type files struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (f *files) read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.data[name]
	if !ok {
		return nil, fmt.Errorf("no file %s", name)
	}
	return d, nil
}

func (f *files) write(p certifier.Pair, authority []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data = map[string][]byte{"c": p.Certificate, "k": p.Key, "a": authority}
}

func newAuthority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.New()
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *certifier.Authority, r certifier.Request, list ...authenticator.Identity) certifier.Pair {
	t.Helper()
	for _, i := range list {
		r.URIs = append(r.URIs, i.URI())
	}
	p, err := a.Issue(r)
	assert.NilError(t, err)
	return p
}

// open returns an Authenticator that accepts control-1 as a server, and its files.
func open(t *testing.T, a *certifier.Authority, list ...authenticator.Identity) (*authenticator.Authenticator, *files) {
	t.Helper()
	f := &files{}
	f.write(issue(t, a, certifier.Request{}, list...), a.PEM())
	x, err := authenticator.Open(authenticator.Options{
		Files: fileNames, Read: f.read, Identities: list,
		Accept: func(string) []authenticator.Identity { return []authenticator.Identity{control1} },
	})
	assert.NilError(t, err)
	return x, f
}

// serve starts a server that answers with the identities of the client until the end of the
// test, and returns its address.
func serve(t *testing.T, c *tls.Config) string {
	t.Helper()
	address, _ := serveLogged(t, c)
	return address
}

func serveLogged(t *testing.T, c *tls.Config) (string, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	l, err := dialer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	s := dialer.NewServer(authenticator.Identify(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Proto, authenticator.FromContext(r.Context()))
	})))
	s.ErrorLog = zap.NewStdLog(zap.New(core))
	s.TLSConfig = c
	var group conc.WaitGroup
	group.Go(func() {
		if c == nil {
			_ = s.Serve(l)
			return
		}
		_ = s.ServeTLS(l, "", "")
	})
	t.Cleanup(func() {
		_ = s.Close()
		group.Wait()
	})
	return l.Addr().String(), logs
}

// waitForLog waits until the server has logged why it refused a connection.
func waitForLog(t *testing.T, logs *observer.ObservedLogs, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if logs.FilterMessageSnippet(text).Len() > 0 {
			return poll.Success()
		}
		return poll.Continue("%q is not among %v", text, logs.All())
	})
}

func get(ctx context.Context, c *dialer.Client, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, dialer.URL(address), nil)
	if err != nil {
		return "", err
	}
	a, err := c.Do(r)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(a.Body)
	return string(data), errors.Join(err, a.Body.Close())
}

// TestHandshakes guards against a process that is admitted, or called, without a
// valid certificate of the authority and the identity that its address requires.
func TestHandshakes(t *testing.T) {
	authority, foreign := newAuthority(t), newAuthority(t)
	past := certifier.Request{From: time.Now().Add(-2 * time.Hour), Until: time.Now().Add(-time.Hour)}
	future := certifier.Request{From: time.Now().Add(time.Hour), Until: time.Now().Add(2 * time.Hour)}
	valid := certifier.Request{}
	for _, c := range []struct {
		name           string
		signer         *certifier.Authority
		request        certifier.Request
		list           []authenticator.Identity
		client, server string
	}{
		{"valid", authority, valid, []authenticator.Identity{control1, entry1}, "", ""},
		{"wrong authority", foreign, valid, []authenticator.Identity{control1}, "unknown authority", "unknown authority"},
		{"expired", authority, past, []authenticator.Identity{control1}, "has expired", "has expired"},
		{"not yet valid", authority, future, []authenticator.Identity{control1}, "not yet valid", "not yet valid"},
		{"other control host", authority, valid, []authenticator.Identity{{Role: authenticator.Control, Name: "control-2"}}, "", "identities"},
		{"operator as control host", authority, valid, []authenticator.Identity{asha}, "", "identities"},
		{"upstream as control host", authority, valid, []authenticator.Identity{engine1}, "", "identities"},
		{"name in another role", authority, valid, []authenticator.Identity{{Role: authenticator.Upstream, Name: "control-1"}}, "", "identities"},
		{"no identity", authority, valid, nil, "", "identities"},
	} {
		pair := issue(t, c.signer, c.request, c.list...)
		shown, err := tls.X509KeyPair(pair.Certificate, pair.Key)
		assert.NilError(t, err)
		own, _ := open(t, authority, control1, entry1)
		t.Run("client "+c.name, func(t *testing.T) {
			address, logs := serveLogged(t, own.Server(true))
			other := dialer.New(dialer.WithTLS(func(string) *tls.Config {
				return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{shown}}
			}))
			defer other.Close()
			body, err := get(t.Context(), other, address)
			if c.client != "" {
				assert.Assert(t, err != nil)
				waitForLog(t, logs, c.client)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, "HTTP/2.0"+fmt.Sprint(c.list))
		})
		t.Run("server "+c.name, func(t *testing.T) {
			address := serve(t, &tls.Config{Certificates: []tls.Certificate{shown}})
			client := dialer.New(dialer.WithTLS(own.Client))
			defer client.Close()
			_, err := get(t.Context(), client, address)
			if c.server == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.server)
			var failed *net.OpError
			assert.Assert(t, errors.As(err, &failed) && failed.Op == "dial", "%v", err)
		})
	}
}

// TestUnauthenticated guards against a listener that admits a client without a
// certificate, and against an error that hides that only one side uses TLS.
func TestUnauthenticated(t *testing.T) {
	authority := newAuthority(t)
	own, _ := open(t, authority, control1)
	bare := dialer.New(dialer.WithTLS(func(string) *tls.Config { return &tls.Config{InsecureSkipVerify: true} }))
	secure := dialer.New(dialer.WithTLS(own.Client))
	for _, c := range []struct {
		name   string
		client *dialer.Client
		server *tls.Config
		want   string
	}{
		{"no certificate", bare, own.Server(true), "no certificate"},
		{"no certificate where none is required", bare, own.Server(false), ""},
		{"plain client, TLS listener", dialer.New(), own.Server(true), "first record does not look like a TLS handshake"},
		{"TLS client, plain listener", secure, nil, "first record does not look like a TLS handshake"},
		{"both with TLS", secure, own.Server(true), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer c.client.Close()
			address, logs := serveLogged(t, c.server)
			body, err := get(t.Context(), c.client, address)
			if c.want != "" {
				assert.Assert(t, err != nil)
				if c.server != nil {
					waitForLog(t, logs, c.want)
					return
				}
				assert.ErrorContains(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			if c.client == bare {
				assert.Equal(t, body, "HTTP/2.0[]")
			}
		})
	}
}

// TestIdentities guards against URIs of another form that are treated as identities.
func TestIdentities(t *testing.T) {
	authority := newAuthority(t)
	for _, c := range []struct{ uri, want string }{
		{"amaranth://control/control-1", "[amaranth://control/control-1]"},
		{"amaranth://control/", "[]"},
		{"amaranth://root/control-1", "[]"},
		{"https://control/control-1", "[]"},
		{"amaranth://asha@control/control-1", "[]"},
		{"amaranth://control/control-1?x", "[]"},
		{"amaranth:control/control-1", "[]"},
	} {
		u, err := url.Parse(c.uri)
		assert.NilError(t, err)
		p, err := authority.Issue(certifier.Request{URIs: []*url.URL{u}})
		assert.NilError(t, err)
		pair, err := tls.X509KeyPair(p.Certificate, p.Key)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(authenticator.Identities(pair.Leaf)), c.want, c.uri)
	}
}

// TestOpen guards against a start with certificates that every other process
// would refuse, and against an error that does not give the reason.
func TestOpen(t *testing.T) {
	authority, foreign := newAuthority(t), newAuthority(t)
	now := time.Now()
	good := issue(t, authority, certifier.Request{}, control1)
	for _, c := range []struct {
		name      string
		pair      certifier.Pair
		authority []byte
		want      string
	}{
		{"valid", good, authority.PEM(), ""},
		{"key of another pair", certifier.Pair{Certificate: good.Certificate, Key: issue(t, authority, certifier.Request{}).Key}, authority.PEM(), "private key does not match"},
		{"cut off", certifier.Pair{Certificate: good.Certificate[:100], Key: good.Key}, authority.PEM(), "c: "},
		{"empty authority", good, nil, authenticator.ErrNoCertificates.Error()},
		{"other authority", good, foreign.PEM(), "unknown authority"},
		{"other host", issue(t, authority, certifier.Request{}, entry1), authority.PEM(), "identities"},
		{"expired", issue(t, authority, certifier.Request{From: now.Add(-2 * time.Hour), Until: now.Add(-time.Hour)}, control1), authority.PEM(), "expired at"},
		{"not yet valid", issue(t, authority, certifier.Request{From: now.Add(time.Hour)}, control1), authority.PEM(), "not valid before"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &files{}
			f.write(c.pair, c.authority)
			_, err := authenticator.Open(authenticator.Options{Files: fileNames, Read: f.read, Identities: []authenticator.Identity{control1}})
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestRotation guards against requests that fail while certificates and then
// the authority are replaced, and against files that are used before they are
// valid.
func TestRotation(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	both := append(old.PEM(), next.PEM()...)
	server, serverFiles := open(t, old, control1)
	client, clientFiles := open(t, old, entry1)
	address := serve(t, server.Server(true))
	var stop atomic.Bool
	var done atomic.Int64
	failures := make(chan error, 8)
	var group conc.WaitGroup
	for range cap(failures) {
		group.Go(func() {
			for !stop.Load() {
				// Each call makes a new connection.
				c := dialer.New(dialer.WithTLS(client.Client))
				_, err := get(context.Background(), c, address)
				c.Close()
				if err != nil {
					failures <- err
					return
				}
				done.Add(1)
			}
		})
	}
	wait := func() {
		for n := done.Load(); done.Load() < n+20 && len(failures) == 0; {
			time.Sleep(time.Millisecond)
		}
	}
	for _, s := range []struct {
		signer    *certifier.Authority
		authority []byte
	}{{old, old.PEM()}, {old, both}, {next, both}, {next, next.PEM()}} {
		serverFiles.write(issue(t, s.signer, certifier.Request{}, control1), s.authority)
		server.Reload()
		wait()
		clientFiles.write(issue(t, s.signer, certifier.Request{}, entry1), s.authority)
		client.Reload()
		wait()
	}
	stop.Store(true)
	group.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	t.Logf("%d requests, each over a new connection", done.Load())
	// The authority that was removed must no longer be accepted.
	pair := issue(t, old, certifier.Request{}, entry1)
	shown, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	c := dialer.New(dialer.WithTLS(func(string) *tls.Config {
		return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{shown}}
	}))
	defer c.Close()
	_, err = get(t.Context(), c, address)
	assert.Assert(t, err != nil)
}

// TestBrokenRotation guards against a broken set of files that replaces one in
// use, and against one that is logged every few seconds.
func TestBrokenRotation(t *testing.T) {
	authority := newAuthority(t)
	core, logs := observer.New(zap.InfoLevel)
	f := &files{}
	first := issue(t, authority, certifier.Request{}, control1)
	second := issue(t, authority, certifier.Request{Until: time.Now().Add(48 * time.Hour)}, control1)
	f.write(first, authority.PEM())
	a, err := authenticator.Open(authenticator.Options{
		Files: fileNames, Read: f.read, Identities: []authenticator.Identity{control1}, Logger: zap.New(core),
		Accept: func(string) []authenticator.Identity { return []authenticator.Identity{control1} },
	})
	assert.NilError(t, err)
	address := serve(t, a.Server(true))
	before := a.Expiries()
	f.write(certifier.Pair{Certificate: second.Certificate, Key: first.Key}, authority.PEM())
	a.Reload()
	a.Reload()
	assert.Equal(t, logs.FilterMessageSnippet("not valid").Len(), 1)
	assert.DeepEqual(t, a.Expiries(), before)
	c := dialer.New(dialer.WithTLS(a.Client))
	defer c.Close()
	_, err = get(t.Context(), c, address)
	assert.NilError(t, err)
	f.write(second, authority.PEM())
	a.Reload()
	assert.Equal(t, logs.FilterMessageSnippet("are in use").Len(), 1)
	assert.Assert(t, a.Expiries()[1].Until.After(before[1].Until))
}

// TestSilentHandshake guards against connections that send nothing, or too little, and
// are kept open forever or delay others.
func TestSilentHandshake(t *testing.T) {
	own, _ := open(t, newAuthority(t), control1)
	address := serve(t, own.Server(true))
	var group conc.WaitGroup
	for i := range 50 {
		slow := i%2 == 1
		n, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		group.Go(func() {
			begin := time.Now()
			// A record of a handshake that never ends, a byte at a time.
			record := []byte{0x16, 3, 1, 0x20, 0}
			for i := 0; slow && time.Since(begin) < 3*dialer.HeaderTimeout; i++ {
				if _, err := n.Write([]byte{append(record, make([]byte, i)...)[i]}); err != nil {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			assert.Check(t, n.SetReadDeadline(begin.Add(4*dialer.HeaderTimeout)))
			_, err := io.Copy(io.Discard, n)
			var late net.Error
			assert.Check(t, !errors.As(err, &late) || !late.Timeout(), "the connection was still open after %v", time.Since(begin))
			_ = n.Close()
		})
	}
	c := dialer.New(dialer.WithTLS(own.Client))
	defer c.Close()
	begin := time.Now()
	_, err := get(t.Context(), c, address)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < dialer.HeaderTimeout, "another connection waited %v", time.Since(begin))
	group.Wait()
}

// TestSilentServer guards against a call that waits for a server that accepts the
// connection and sends nothing.
func TestSilentServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	own, _ := open(t, newAuthority(t), control1)
	c := dialer.New(dialer.WithTLS(own.Client))
	defer c.Close()
	_, err = get(t.Context(), c, l.Addr().String())
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "tls handshake: "+context.DeadlineExceeded.Error()), "%v", err)
}

// TestExpiry guards against a certificate that expires without a log message, and
// against one that fills the log.
func TestExpiry(t *testing.T) {
	authority := newAuthority(t)
	core, logs := observer.New(zap.WarnLevel)
	f := &files{}
	clock := clockwork.NewFakeClockAt(time.Now())
	f.write(issue(t, authority, certifier.Request{}, control1), authority.PEM())
	a, err := authenticator.Open(authenticator.Options{Files: fileNames, Read: f.read, Clock: clock, Logger: zap.New(core)})
	assert.NilError(t, err)
	for range 3 {
		a.Reload()
	}
	assert.Equal(t, logs.FilterMessageSnippet("expires soon").Len(), 2, "one for the certificate and one for the authority")
	clock.Advance(25 * time.Hour)
	for range 3 {
		a.Reload()
	}
	assert.Equal(t, logs.FilterMessageSnippet("has expired").Len(), 2)
	assert.Equal(t, logs.Len(), 4, "%v", logs.All())
	assert.Assert(t, a.Expiries()[1].Until.Before(clock.Now()))
}

// TestSilentConnection guards against a TLS connection that has gone silent and is used for
// later calls.
func TestSilentConnection(t *testing.T) {
	own, _ := open(t, newAuthority(t), control1)
	target := serve(t, own.Server(true))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	var silent atomic.Int32
	accepted := int32(0)
	ctx, cancel := context.WithCancel(context.Background())
	pipe := func(number int32, to, from net.Conn) {
		defer func() {
			// The end of a silent connection is not passed on either.
			if number > silent.Load() {
				_, _ = to.Close(), from.Close()
			}
		}()
		buffer := make([]byte, 1<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if number > silent.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	group.Go(func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", target)
			if err != nil {
				_ = a.Close()
				return
			}
			context.AfterFunc(ctx, func() { _, _ = a.Close(), b.Close() })
			accepted++
			number := accepted
			group.Go(func() { pipe(number, a, b) })
			group.Go(func() { pipe(number, b, a) })
		}
	})
	defer group.Wait()
	defer cancel()
	defer func() { _ = l.Close() }()
	c := dialer.New(dialer.WithTLS(own.Client))
	defer c.Close()
	_, err = get(t.Context(), c, l.Addr().String())
	assert.NilError(t, err)
	silent.Store(1)
	_, err = get(t.Context(), c, l.Addr().String())
	assert.Assert(t, err != nil, "the silent connection gave an answer")
	_, err = get(t.Context(), c, l.Addr().String())
	assert.NilError(t, err)
}
