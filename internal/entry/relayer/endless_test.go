package relayer

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"
)

// endless writes a head and then the same bytes until the connection is closed, which
// it counts. It pauses after each block of 4 KiB.
func endless(head, more string, pause time.Duration, closed *atomic.Int64) script {
	block := strings.Repeat(more, max(1, (4<<10)/len(more)))
	return func(w io.Writer, _ *http.Request) {
		_, err := io.WriteString(w, head)
		for err == nil {
			_, err = io.WriteString(w, block)
			time.Sleep(pause)
		}
		closed.Add(1)
	}
}

const (
	plainHead   = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: yes\r\n"
	chunkedHead = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	eventsHead  = plainHead + "Content-Type: text/event-stream\r\n\r\n"
)

// endlessAnswers are endless bytes that form no response, by where they occur. passed
// is set when a caller receives a part of them before the failure.
var endlessAnswers = []struct {
	name       string
	head, more string
	passed     bool
}{
	{"status line", "", "sold ", false},
	{"header without an end of line", plainHead + "X-More: ", "y", false},
	{"header lines", plainHead, "X-More: y\r\n", false},
	{"interim answers", "", "HTTP/1.1 103 X\r\nX-More: y\r\n\r\n", false},
	{"body up to the end of the connection", plainHead + "\r\n", "sold", true},
	{"chunks", chunkedHead, "4\r\nsold\r\n", true},
	{"chunk size", chunkedHead, "0", false},
	{"chunk extension", chunkedHead + "4;", "x", false},
	{"trailer", chunkedHead + "4\r\nsold\r\n0\r\n", "X-More: y\r\n", false},
	{"event", eventsHead + "id: 1\ndata: ", "y", false},
	{"lines of an event", eventsHead + "id: 1\n", "data: y\n", false},
}

// TestEndlessAnswers guards against a caller that takes endless bytes for a response,
// or waits for longer than its route allows, and against keeping the upstream's
// connection open.
func TestEndlessAnswers(t *testing.T) {
	for _, c := range endlessAnswers {
		for _, path := range []string{"/once/x", "/idempotent/x", "/resumable/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				t.Parallel()
				var closed atomic.Int64
				r := newHarness(t, endless(c.head, c.more, 0, &closed), answersWith(200, "sold"))
				began := time.Now()
				a := r.callDiscarding(path)
				took := time.Since(began)
				assert.Assert(t, took < 3*time.Second, "took %s", took)
				switch {
				case c.passed && a.broken != nil:
					assert.Equal(t, a.status, http.StatusOK)
				case c.passed:
					// The timeout came before the first maxBuffered bytes were read.
					assert.Equal(t, a.status, http.StatusGatewayTimeout)
					assert.Assert(t, took >= routeTimeout, "took %s", took)
				case path == "/once/x":
					assert.NilError(t, a.broken)
					assert.Equal(t, a.status, http.StatusBadGateway)
				default:
					assert.NilError(t, a.broken)
					assert.Equal(t, a.status, http.StatusOK)
				}
				for end := time.Now().Add(time.Second); closed.Load() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, closed.Load(), int64(1), "the upstream's connection is still open")
			})
		}
	}
}

// TestEndlessBytesAfterAnAnswer checks that bytes after a complete response are not
// taken for the next one: the caller has its response, and the next request uses
// another connection.
func TestEndlessBytesAfterAnAnswer(t *testing.T) {
	var closed atomic.Int64
	r := newHarness(t, endless(plainHead+"Content-Length: 4\r\n\r\nsold", "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\nfake", 0, &closed))
	for range 20 {
		a := r.callDiscarding("/idempotent/x")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.status, 200)
	}
}

// TestManyEndlessAnswers guards against memory use that grows with the number of
// misbehaving upstreams: a host has 112 MB in total.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		callers = 150
		bound   = 64 << 20
	)
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			var closed atomic.Int64
			r := newHarness(t, endless(c.head, c.more, blockPause, &closed))
			peak := watchMemory(t)
			calls := pool.New()
			for range callers {
				calls.Go(func() { r.callDiscarding("/once/x") })
			}
			calls.Wait()
			t.Logf("the heap grew by %d bytes", peak())
			assert.Assert(t, peak() < bound, "the heap grew by %d bytes", peak())
		})
	}
}

// TestRequestsBesideEndlessAnswers guards against requests that are held up by others
// whose upstreams send endlessly. Together these send 20 times what the link of a host
// can carry, but far less than the test machine can, so that a slow request is slow
// because of the host.
func TestRequestsBesideEndlessAnswers(t *testing.T) {
	const callers = 30
	for _, c := range endlessAnswers {
		t.Run(c.name, func(t *testing.T) {
			var closed atomic.Int64
			var sound atomic.Bool
			bad := endless(c.head, c.more, blockPause, &closed)
			r := newHarness(t, func(w io.Writer, q *http.Request) {
				if sound.Load() {
					answersWith(200, "sold")(w, q)
					return
				}
				bad(w, q)
			})
			calls := pool.New()
			for range callers {
				calls.Go(func() { r.callDiscarding("/once/x") })
			}
			for r.runs() < callers {
				time.Sleep(time.Millisecond)
			}
			sound.Store(true)
			for range 20 {
				began := time.Now()
				assert.Equal(t, r.call("/once/x").status, 200)
				assert.Assert(t, time.Since(began) < time.Second, "a request beside took %s", time.Since(began))
			}
			calls.Wait()
		})
	}
}

// blockPause is the time between two blocks of an upstream, which makes 0.8 MB/s.
const blockPause = 5 * time.Millisecond

// liveHeap runs a garbage collection and returns the remaining heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// watchMemory returns a function that tells the peak growth of the live heap in bytes.
func watchMemory(t *testing.T) func() uint64 {
	before := liveHeap()
	var mu sync.Mutex
	var most uint64
	stop := make(chan struct{})
	group := pool.New()
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := liveHeap()
			mu.Lock()
			most = max(most, now-min(now, before))
			mu.Unlock()
		}
	})
	t.Cleanup(func() { close(stop); group.Wait() })
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return most
	}
}

// callDiscarding sends a request and discards the body of the response.
func (r *harness) callDiscarding(path string) reply {
	q, err := http.NewRequest(http.MethodPost, "http://"+r.address+path, strings.NewReader("a request"))
	if err != nil {
		return reply{broken: err}
	}
	q.Host = "shop.example"
	q.Header.Set("X-Id", "id-1")
	q.Header.Set("X-Key", "secret")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(q)
	if err != nil {
		return reply{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		err = fmt.Errorf("after %d bytes: %w", n, err)
	}
	return reply{status: response.StatusCode, header: response.Header, broken: err}
}
