package relayer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/breaker"
	"github.com/amaranthcart/amaranthcart/internal/stub/certifier"
)

// ownLines are the header lines by which an answer belongs to the request id.
func ownLines(id string) string { return "X-Id: " + id + "\r\nX-Signed: yes\r\n" }

// form is a way to frame the body of an answer.
type form struct {
	name, lines, body string
	// text is the body without its framing.
	text string
	end  breaker.End
}

// forms are all ways to frame a body.
func forms() []form {
	parts := numbered(1, 2)
	text := strings.Join(parts, "")
	return []form{
		{"length", "Content-Length: 4\r\n", "sold", "sold", breaker.Keep},
		{"chunks", "Transfer-Encoding: chunked\r\n", "4\r\nsold\r\n0\r\n\r\n", "sold", breaker.Keep},
		{"end", "", "sold", "sold", breaker.Close},
		{"events", eventLines, chunked(parts...) + "0\r\n\r\n", text, breaker.Keep},
		{"events up to the end", unframedEvents, text, text, breaker.Close},
	}
}

// way is a way on which an answer reaches a caller.
type way struct {
	method, path string
	// kept sends the request on a connection that has carried an answer before.
	kept, secure bool
}

func (w way) String() string {
	s := w.method + w.path
	if w.kept {
		s += ", kept connection"
	}
	if w.secure {
		s += ", TLS"
	}
	return s
}

// repeats reports whether the request may go to another upstream.
func (w way) repeats() bool { return !strings.HasPrefix(w.path, "/once/") }

// ways are all ways: an own connection, a new one and a kept one, plain and over TLS.
func ways() []way {
	var l []way
	for _, secure := range []bool{false, true} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodHead} {
			l = append(l,
				way{method, "/once/x", false, secure},
				way{method, "/idempotent/x", false, secure},
				way{method, "/idempotent/x", true, secure},
				way{method, "/resumable/x", true, secure},
			)
		}
	}
	return l
}

// mainWays are ways whose answers are read by different code.
func mainWays() []way {
	return []way{
		{http.MethodPost, "/once/x", false, false},
		{http.MethodPost, "/idempotent/x", true, false},
		{http.MethodGet, "/resumable/x", false, true},
	}
}

// eachAnswer calls test for the first head on all ways and in all forms, and for the others
// on the main ones.
func eachAnswer(t *testing.T, heads []breaker.Head, test func(*testing.T, way, breaker.Head, form)) {
	for i, h := range heads {
		ways, forms := ways(), forms()
		if i > 0 {
			ways, forms = mainWays(), []form{forms[0], forms[2]}
		}
		for _, w := range ways {
			for _, f := range forms {
				t.Run(fmt.Sprint(h.Name, ", ", w, ", ", f.name), func(t *testing.T) {
					t.Parallel()
					test(t, w, h, f)
				})
			}
		}
	}
}

// authority issues the certificate of upstreams with TLS.
type authority struct {
	server *tls.Config
	pool   *x509.CertPool
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a, err := certifier.New()
	assert.NilError(t, err)
	p, err := a.Issue(certifier.Request{Hosts: []string{"127.0.0.1"}})
	assert.NilError(t, err)
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(a.PEM()))
	return authority{&tls.Config{Certificates: []tls.Certificate{pair}}, pool}
}

// secure makes the harness call upstreams over TLS.
func (r *harness) secure(a authority) {
	r.relayer.options.Sender = forwarder.NewSender(clockwork.NewRealClock(), func(string) *tls.Config {
		return &tls.Config{RootCAs: a.pool, ServerName: "127.0.0.1"}
	})
}

// longTimeout is a time that no answer of these tests takes on a busy machine.
const longTimeout = 30 * time.Second

// lengthenTimeouts makes the routes and their silence bounds last for longTimeout.
func (r *harness) lengthenTimeouts() {
	d := document()
	d.Classes[0].Total = validator.Duration(longTimeout)
	for i := range d.Routes {
		d.Routes[i].Timeout = validator.Duration(longTimeout)
	}
	r.index.Store(validator.Compile(d))
}

// serve adds an upstream with these answers.
func (r *harness) serve(a authority, secure bool, answers ...breaker.Answer) *breaker.Server {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	address := l.Addr().String()
	if secure {
		l = tls.NewListener(l, a.server)
		address = "https://" + address
	}
	s := breaker.Start(l, answers...)
	r.t.Cleanup(func() { _ = s.Close() })
	r.add(address)
	return s
}

// requestBody returns the body of a request with the method.
func requestBody(method string) string {
	if method == http.MethodPost {
		return "a request"
	}
	return ""
}

// secondBody returns the body of the second upstream's answer.
func secondBody(method string) string {
	if method == http.MethodHead {
		return ""
	}
	return "next"
}

// exchange sends a request on the way to an upstream that answers with the head; a second
// upstream answers soundly. It returns what the caller got and the second upstream.
func (r *harness) exchange(a authority, w way, h breaker.Head, f form) (reply, *breaker.Server) {
	r.t.Helper()
	r.lengthenTimeouts()
	if w.secure {
		r.secure(a)
	}
	body := f.body
	if w.method == http.MethodHead {
		body = ""
	}
	answers := []breaker.Answer{{Bytes: h.Answer(ownLines("id-1")+f.lines, body), End: f.end}}
	if w.kept {
		earlier := breaker.Head{}.Answer(ownLines("id-0")+"Content-Length: 0\r\n", "")
		answers = append([]breaker.Answer{{Bytes: earlier}}, answers...)
	}
	server := r.serve(a, w.secure, answers...)
	next := breaker.Head{Line: "X-Second: yes"}.Answer(ownLines("id-1")+"Content-Length: 4\r\n", secondBody(w.method))
	second := r.serve(a, w.secure, breaker.Answer{Bytes: next, End: breaker.Close})
	if w.kept {
		assert.Equal(r.t, r.ask(w.method, w.path, "id-0", requestBody(w.method)).status, http.StatusOK)
	}
	got := r.ask(w.method, w.path, "id-1", requestBody(w.method))
	assert.Equal(r.t, server.Requests(), len(answers))
	assert.Equal(r.t, server.Connections(), 1)
	return got, second
}

// released returns the outcomes of the slots.
func (d *fakeDispatcher) released() []scheduler.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]scheduler.Outcome(nil), d.outcomes...)
}

// testBrokenHeads checks that no answer with one of the heads reaches a caller. The caller
// gets an error, or the answer of another upstream where the request may be repeated.
func testBrokenHeads(t *testing.T, heads []breaker.Head) {
	a := newAuthority(t)
	eachAnswer(t, heads, func(t *testing.T, w way, h breaker.Head, f form) {
		r := newHarness(t)
		got, second := r.exchange(a, w, h, f)
		var outcomes []scheduler.Outcome
		if w.kept {
			outcomes = append(outcomes, scheduler.Completed)
		}
		outcomes = append(outcomes, scheduler.Failed)
		assert.NilError(t, got.broken)
		if w.repeats() {
			outcomes = append(outcomes, scheduler.Completed)
			assert.Equal(t, second.Requests(), 1)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.header.Get("X-Second"), "yes")
		} else {
			assert.Equal(t, second.Requests(), 0)
			assert.Equal(t, got.status, http.StatusBadGateway)
		}
		r.waitUntil(func() bool { return len(r.dispatcher.released()) == len(outcomes) })
		assert.DeepEqual(t, r.dispatcher.released(), outcomes)
	})
}

// TestBrokenStatusIsNoAnswer guards against a caller that gets an answer whose status line
// breaks the protocol, or what follows it as another answer.
func TestBrokenStatusIsNoAnswer(t *testing.T) { testBrokenHeads(t, breaker.BrokenStatuses()) }

// TestBrokenNameIsNoAnswer guards against a caller that gets an answer whose head holds a
// field name that is no token: the line is passed on, or it hides the framing of the body.
func TestBrokenNameIsNoAnswer(t *testing.T) { testBrokenHeads(t, breaker.BrokenNames()) }

// TestBrokenFramingIsNoAnswer guards against a caller that gets the framing of a body as
// the body.
func TestBrokenFramingIsNoAnswer(t *testing.T) { testBrokenHeads(t, breaker.BrokenFraming()) }

// TestOddAnswerIsPassedOn guards against rejecting answers that are unusual but sound. It
// also shows that the answers of the tests above would reach the caller without their
// faults.
func TestOddAnswerIsPassedOn(t *testing.T) {
	a := newAuthority(t)
	eachAnswer(t, breaker.Odd(), func(t *testing.T, w way, h breaker.Head, f form) {
		got, second := newHarness(t).exchange(a, w, h, f)
		assert.NilError(t, got.broken)
		assert.Equal(t, got.status, h.Code())
		assert.Equal(t, second.Requests(), 0)
		if w.method != http.MethodHead {
			assert.Equal(t, got.body, f.text)
		}
		if name, value := h.Field(); name != "" {
			assert.DeepEqual(t, got.header.Values(name), []string{value})
		}
	})
}

// TestEndWithoutClosureAlert guards against a caller that gets a part of an answer as a
// complete one: the answer has no length, and its connection ends without the closure
// alert that TLS has for a regular end (RFC 9112, section 9.8). Where something else shows
// the end of the answer, the alert may be missing.
func TestEndWithoutClosureAlert(t *testing.T) {
	a := newAuthority(t)
	for _, path := range []string{"/once/x", "/idempotent/x", "/resumable/x"} {
		for _, f := range forms() {
			for _, end := range []breaker.End{breaker.Close, breaker.Cut} {
				t.Run(fmt.Sprint(path, " ", f.name, " alert ", end == breaker.Close), func(t *testing.T) {
					t.Parallel()
					r := newHarness(t)
					r.lengthenTimeouts()
					r.secure(a)
					r.serve(a, true, breaker.Answer{Bytes: breaker.Head{}.Answer(ownLines("id-1")+f.lines, f.body), End: end})
					got := r.ask(http.MethodPost, path, "id-1", "a request")
					complete := end == breaker.Close || f.end == breaker.Keep
					assert.Equal(t, got.broken == nil && got.status == http.StatusOK, complete, "%d %v", got.status, got.broken)
				})
			}
		}
	}
}
