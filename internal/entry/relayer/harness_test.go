package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/jonboulle/clockwork"
)

// testProtocol is a minimal Protocol for these tests.
type testProtocol struct{}

func (testProtocol) Intent(q *http.Request) Intent {
	patience, _ := time.ParseDuration(q.Header.Get("X-Patience"))
	return Intent{ID: q.Header.Get("X-Id"), Key: q.Header.Get("X-Key"), LastEventID: q.Header.Get("Last-Event-Id"), MaxWait: patience}
}

func (testProtocol) Prepare(h http.Header, o Instructions) {
	h.Del("X-Key")
	h.Set("X-Upstream", o.Upstream)
	h.Set("X-Left", o.TimeLeft.String())
	h.Set("X-Organisation", string(o.Organisation))
	if o.LastEventID != "" {
		h.Set("Last-Event-Id", o.LastEventID)
	}
}

func (testProtocol) Reply(r *http.Response) Reply {
	pause, _ := time.ParseDuration(r.Header.Get("X-Pause"))
	limit, err := strconv.ParseFloat(r.Header.Get("X-Limit"), 64)
	return Reply{
		Rate: scheduler.Rate(limit), RateUnknown: err != nil && r.Header.Get("X-Limit") != "",
		ID: r.Header.Get("X-Id"), Signed: r.Header.Get("X-Signed") != "", NotRun: r.Header.Get("X-Not-Run") != "",
		Leaving: r.Header.Get("X-Leaving") != "", Pause: pause,
	}
}

func (testProtocol) Refuse(h http.Header, r Refusal) {
	if r.Retry > 0 {
		h.Set("Retry-After", r.Retry.String())
	}
}

// fakeDispatcher always grants the first upstream that isn't to be avoided.
type fakeDispatcher struct {
	mu        sync.Mutex
	upstreams []registrar.Upstream
	refusal   *dispatcher.RefusedError
	// blocksRetries makes retries wait in vain for a slot until their deadline, and
	// blocksAll all requests.
	blocksRetries, blocksAll bool
	// waiting counts the requests that get no slot.
	waiting atomic.Int64
	// preempted preempts all slots when it is closed.
	preempted chan struct{}
	asked     []scheduler.Request
	progress  []int
	outcomes  []scheduler.Outcome
}

func (d *fakeDispatcher) Acquire(ctx context.Context, r scheduler.Request) (dispatcher.Slot, error) {
	if d.blocksAll || d.blocksRetries && r.Retry {
		d.waiting.Add(1)
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = append(d.asked, r)
	if d.refusal != nil {
		return nil, d.refusal
	}
	for _, u := range d.upstreams {
		avoided := false
		for _, a := range r.Avoid {
			avoided = avoided || a == u.Name
		}
		if !avoided {
			return &fakeSlot{dispatcher: d, upstream: u}, nil
		}
	}
	return nil, &dispatcher.RefusedError{Reason: scheduler.NoUpstream, RetryAfter: time.Second}
}

type fakeSlot struct {
	dispatcher *fakeDispatcher
	upstream   registrar.Upstream
}

func (s *fakeSlot) Upstream() registrar.Upstream   { return s.upstream }
func (s *fakeSlot) Priority() int                  { return 1 }
func (s *fakeSlot) Predicted() time.Duration       { return 0 }
func (s *fakeSlot) FirstToken()                    {}
func (s *fakeSlot) Preempted() <-chan struct{}     { return s.dispatcher.preempted }
func (s *fakeSlot) Gone() <-chan struct{}          { return nil }
func (s *fakeSlot) Hedged() <-chan dispatcher.Slot { return nil }
func (s *fakeSlot) Progress(tokens int) {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	s.dispatcher.progress = append(s.dispatcher.progress, tokens)
}

func (s *fakeSlot) Release(o scheduler.Outcome, _ int) {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	s.dispatcher.outcomes = append(s.dispatcher.outcomes, o)
}

// script answers one request at an upstream with raw bytes.
type script func(w io.Writer, q *http.Request)

// harness is a relayer in front of scripted upstreams.
type harness struct {
	t          *testing.T
	dispatcher *fakeDispatcher
	address    string
	relayer    *Relayer
	fresh      atomic.Bool
	// begun counts the requests that usage reports would have.
	begun atomic.Int64
	index atomic.Pointer[validator.Index]

	mu   sync.Mutex
	seen []*http.Request
	body []string
}

// routeTimeout is the timeout of all routes.
const routeTimeout = 2 * time.Second

// maxConnections bounds the callers' connections of a harness.
const maxConnections = 1000

// document returns a configuration with one route for each repetition.
func document() *validator.Document {
	d := &validator.Document{
		Classes:       []validator.Class{{Name: "plain", Total: validator.Duration(300 * time.Millisecond)}},
		Organisations: []validator.Organisation{{Name: "coop", Share: 1, Keys: []string{validator.HashKey("secret")}}},
		Services:      []validator.Service{{Name: "ledger", Class: "plain"}},
	}
	for path, repeat := range map[string]validator.Repetition{"/idempotent/": validator.Idempotent, "/once/": validator.Once, "/resumable/": validator.Resumable} {
		d.Routes = append(d.Routes, validator.Route{
			Name: validator.RouteName(repeat), Host: "shop.example", Path: path, Class: "plain", Repeat: repeat,
			Timeout: validator.Duration(routeTimeout), Attempts: 2, Pools: []validator.PoolShare{{Pool: "ledger", Weight: 1}},
		})
	}
	single := d.Routes[0]
	single.Name, single.Path, single.Repeat, single.Attempts = "single", "/single/", validator.Once, 1
	thrice := d.Routes[0]
	thrice.Name, thrice.Path, thrice.Repeat, thrice.Attempts = "thrice", "/thrice/", validator.Resumable, 3
	every := d.Routes[0]
	every.Name, every.Host, every.Path, every.Repeat = "every", "every.example", "/", validator.Once
	pooled := every
	pooled.Name, pooled.Host, pooled.Repeat = "pooled", "pooled.example", validator.Idempotent
	d.Routes = append(d.Routes, single, thrice, every, pooled)
	return d
}

func newHarness(t *testing.T, scripts ...script) *harness {
	return newHarnessWith(t, ledger.New(0), scripts...)
}

// newHarnessWith returns a harness whose process has the ledger.
func newHarnessWith(t *testing.T, l *ledger.Ledger, scripts ...script) *harness {
	r := &harness{t: t, dispatcher: &fakeDispatcher{}}
	r.fresh.Store(true)
	for _, s := range scripts {
		r.add(r.upstream(s))
	}
	r.index.Store(validator.Compile(document()))
	r.relayer = New(Options{
		Protocol: testProtocol{}, Dispatcher: r.dispatcher, MaxConnections: maxConnections,
		Sender:        forwarder.NewSender(clockwork.NewRealClock(), nil),
		Begun:         func(validator.OrganisationName) { r.begun.Add(1) },
		Configuration: func() (*validator.Index, bool) { return r.index.Load(), r.fresh.Load() },
		Ledger:        l,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := r.relayer.Server()
	done := make(chan struct{})
	go func() { _ = s.Serve(r.relayer.Limit(listener)); close(done) }()
	t.Cleanup(func() { _ = r.relayer.Close(); <-done })
	r.address = listener.Addr().String()
	return r
}

// add adds an upstream at the address.
func (r *harness) add(address string) {
	name := registrar.UpstreamID(fmt.Sprintf("upstream-%d", len(r.dispatcher.upstreams)+1))
	r.dispatcher.upstreams = append(r.dispatcher.upstreams, registrar.Upstream{Name: name, Address: address})
}

// upstream starts a server that answers each request with the script, and returns its
// address.
func (r *harness) upstream(s script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConnection(c, s)
		}
	}()
	return l.Addr().String()
}

// serveConnection reads one request, records it and answers it with the script.
func (r *harness) serveConnection(c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(q.Body)
	r.mu.Lock()
	r.seen = append(r.seen, q)
	r.body = append(r.body, string(body))
	r.mu.Unlock()
	s(c, q)
}

// runs returns the number of requests that reached upstreams.
func (r *harness) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.seen)
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// closes is set when the connection ends after the response.
	closes bool
	// broken is the error of sending the request or reading the body.
	broken error
}

// get sends a request without a body, which net/http may send again, on a connection
// that may be reused, and returns the status of the response.
func (r *harness) get(path, id string) int {
	r.t.Helper()
	q, err := http.NewRequest(http.MethodGet, "http://"+r.address+path, nil)
	assert.NilError(r.t, err)
	q.Host = "shop.example"
	q.Header.Set("X-Id", id)
	q.Header.Set("X-Key", "secret")
	response, err := http.DefaultTransport.RoundTrip(q)
	assert.NilError(r.t, err)
	assert.NilError(r.t, response.Body.Close())
	return response.StatusCode
}

// call sends a request with a body on a new connection; headers are names and values in
// turn.
func (r *harness) call(path string, headers ...string) reply {
	r.t.Helper()
	return r.ask(http.MethodPost, path, "id-1", "a request", headers...)
}

// ask sends a request with the ID and the body on a new connection; headers are names and
// values in turn.
func (r *harness) ask(method, path, id, body string, headers ...string) reply {
	r.t.Helper()
	q, err := http.NewRequest(method, "http://"+r.address+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	q.Host = "shop.example"
	q.Header.Set("X-Id", id)
	q.Header.Set("X-Key", "secret")
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(q)
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), closes: response.Close, broken: err}
}

// unreachable gives upstream i an address on which nothing listens.
func (r *harness) unreachable(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.dispatcher.upstreams[i].Address = l.Addr().String()
	assert.NilError(r.t, l.Close())
}

// answersWith answers with a status, headers and a body with its length.
func answersWith(status int, body string, headers ...string) script {
	return func(w io.Writer, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nX-Id: id-1\r\nX-Signed: yes\r\nContent-Length: %d\r\n", status, len(body))
		for i := 0; i < len(headers); i += 2 {
			_, _ = fmt.Fprintf(w, "%s: %s\r\n", headers[i], headers[i+1])
		}
		_, _ = fmt.Fprintf(w, "\r\n%s", body)
	}
}

// writes answers with raw bytes and closes the connection.
func writes(text string) script {
	return func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// closesConnection closes the connection without a response.
func closesConnection(io.Writer, *http.Request) {}

// refuses answers that the request has not run.
func refuses(w io.Writer, _ *http.Request) {
	_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// events sends numbered events; if whole is false, the stream breaks within another
// event.
func events(first, last int, whole bool) script {
	return func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, streamHead)
		for i := first; i <= last; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i))
		}
		if whole {
			_, _ = io.WriteString(w, "0\r\n\r\n")
			return
		}
		chunk(w, fmt.Sprintf("id: %d\ndata: pa", last+1))
	}
}

// chunk writes the text as one chunk of a chunked body.
func chunk(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
}
