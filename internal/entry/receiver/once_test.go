package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// closingServer is a server that answers GET requests and closes the connection on
// receiving any other request.
type closingServer struct {
	listener net.Listener
	group    conc.WaitGroup
	mu       sync.Mutex
	received int
}

func newClosingServer(t *testing.T) *closingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &closingServer{listener: l}
	s.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.group.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.group.Wait()
	})
	return s
}

func (s *closingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.Method != http.MethodGet {
			s.mu.Lock()
			s.received++
			s.mu.Unlock()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// TestTransportReplay guards against net/http's transport resending a sale on a pooled
// connection that is closed. The first part shows that a plain client does resend to
// this server.
func TestTransportReplay(t *testing.T) {
	server := newClosingServer(t)
	address := server.listener.Addr().String()
	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	warm, err := plain.Get("http://" + address)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, warm.Body)
	_ = warm.Body.Close()
	q, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader("bale"))
	assert.NilError(t, err)
	q.Header.Set("Idempotency-Key", "k")
	_, err = plain.Do(q)
	assert.Assert(t, err != nil)
	assert.Equal(t, server.count(), 2, "net/http no longer resends; the test needs another server")

	for _, c := range []struct {
		method, body string
		header       []string
	}{
		{"POST", "bale", []string{"Idempotency-Key", "k"}},
		{"POST", "bale", []string{"X-Idempotency-Key", "k"}},
		{"POST", "", nil},
		{"PUT", "", nil},
		{"DELETE", "", nil},
	} {
		t.Run(c.method+fmt.Sprint(c.header), func(t *testing.T) {
			server := newClosingServer(t)
			h := newHarness(t, withUpstreams(1), withClaimer(&fakeClaimer{}))
			h.dispatcher.upstreams[0].Address = server.listener.Addr().String()
			assert.Equal(t, h.do(http.MethodGet, "/svc/ledger/warm", "").body, "ok")
			a := h.do(c.method, "/svc/ledger/sales", c.body, c.header...)
			assert.Equal(t, a.status, http.StatusBadGateway)
			assert.Equal(t, a.run(), "unknown")
			assert.Equal(t, server.count(), 1)
		})
	}
}

// TestDialElsewhere guards against a sale that fails although nothing of it was sent
// and another ledger is up, and against running it twice on the way there.
func TestDialElsewhere(t *testing.T) {
	for _, header := range [][]string{nil, {"Idempotency-Key", "POST /sales"}} {
		h := newHarness(t, withUpstreams(3), withClaimer(&fakeClaimer{}))
		assert.NilError(t, h.responders[0].Close())
		h.dispatcher.upstreams[1].Address = "" // this host doesn't know the address yet
		a := h.do(http.MethodPost, "/svc/ledger/sales", "bale", header...)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.run(), "yes")
		assert.Equal(t, h.responders[2].Runs()["POST /sales"], 1)
		assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.ConnectionRefused, scheduler.Failed, scheduler.Completed})
	}
}

// TestSilentSale guards against a silent upstream that holds up a sale forever, and
// against answering "no" for a sale that it may have run.
func TestSilentSale(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHarness(t, withClock(clock), withUpstreams(2))
	h.responders[0].Set(responder.Behaviour{First: 1 << 60})
	answers := make(chan answer, 1)
	background(t, func() { answers <- h.do(http.MethodPost, "/svc/ledger/sales", "bale") })
	eventually(t, "the sale runs", func() bool { return h.responders[0].Runs()["POST /sales"] == 1 })
	clock.Advance(5 * time.Minute)
	a := <-answers
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Equal(t, a.run(), "unknown")
	assert.Equal(t, len(h.responders[1].Runs()), 0)
}

// TestCallerGone guards against upstream work that continues after its caller has
// disconnected.
func TestCallerGone(t *testing.T) {
	for _, stream := range []bool{true, false} {
		h := newHarness(t, withUpstreams(1))
		h.responders[0].Set(responder.Behaviour{Hang: 3})
		ctx, leave := context.WithCancel(context.Background())
		background(t, func() {
			h.doContext(ctx, http.MethodPost, "/v1/chat/completions", chatBody("x [[length=9]]", stream, ""))
		})
		eventually(t, "three tokens", func() bool {
			slot := h.dispatcher.slot(0)
			return slot != nil && slot.progress.Load() == 3
		})
		leave()
		eventually(t, "the slot is free", func() bool { return len(h.dispatcher.outcomes()) == 1 })
		eventually(t, "the engine is idle", func() bool { return h.responders[0].NextAnnouncement().Load.Running == 0 })
		assert.Equal(t, len(h.dispatcher.requests), 1)
	}
}

// TestCrossing guards against answers, or parts of them, that reach another caller when
// concurrent attempts break, are hedged or end late.
func TestCrossing(t *testing.T) {
	const seed, callers, rounds = 7, 24, 6
	t.Logf("seed %d", seed)
	h := newHarness(t, withUpstreams(3))
	h.dispatcher.hedge = 3
	stop := make(chan struct{})
	background(t, func() {
		random := rand.New(rand.NewSource(seed))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				h.responders[random.Intn(2)].Set(responder.Behaviour{Break: 1 + random.Intn(9), Times: 3})
			}
		}
	})
	defer close(stop)
	p := pool.New().WithErrors()
	for i := range callers {
		p.Go(func() error {
			for j := range rounds {
				s := shapes(fmt.Sprintf("caller %d asks %d [[length=%d]]", i, j, 5+(i+j)%20))[(i+j)%4]
				a := h.do(http.MethodPost, s.path, s.body)
				q, err := http.Post("http://"+h.dispatcher.upstreams[2].Address+s.path, "", strings.NewReader(s.body))
				if err != nil {
					return err
				}
				direct, err := io.ReadAll(q.Body)
				_ = q.Body.Close()
				if err != nil || a.err != nil {
					return fmt.Errorf("%w %w", err, a.err)
				}
				want := readGenerated(t, answer{body: string(direct)}, s.stream).text
				if got := readGenerated(t, a, s.stream).text; got != want {
					return fmt.Errorf("caller %d round %d: got %q, want %q", i, j, got, want)
				}
			}
			return nil
		})
	}
	assert.NilError(t, p.Wait())
}
