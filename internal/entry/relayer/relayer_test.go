package relayer

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestAnswers checks the caller's response for each fault of an upstream; runs is
// how often upstreams may receive the request.
func TestAnswers(t *testing.T) {
	good := answersWith(200, "sold")
	cases := []struct {
		name    string
		path    string
		scripts []script
		status  int
		body    string
		runs    int
	}{
		{"success", "/once/x", []script{good}, 200, "sold", 1},
		{"upstream's failure is passed on", "/once/x", []script{answersWith(500, "no"), good}, 500, "no", 1},
		{"idempotent failure is repeated", "/idempotent/x", []script{answersWith(500, "no"), good}, 200, "sold", 2},
		{"failure of a stream that may be resumed is repeated", "/resumable/x", []script{answersWith(500, "no"), good}, 200, "sold", 2},
		{"two failures pass the last on", "/idempotent/x", []script{answersWith(500, "no"), answersWith(502, "neither")}, 502, "neither", 2},
		{"failure, then a refusal", "/idempotent/x", []script{answersWith(500, "no"), refuses}, 500, "no", 2},
		{"failure, then a lost answer", "/idempotent/x", []script{answersWith(500, "no"), closesConnection}, 500, "no", 2},
		{"failure, then no other upstream", "/idempotent/x", []script{answersWith(500, "no")}, 500, "no", 1},
		{"refusal goes elsewhere", "/once/x", []script{refuses, good}, 200, "sold", 2},
		{"refusals by all upstreams", "/once/x", []script{refuses, refuses}, 503, "not_run\n", 2},
		{"refusal by the only upstream", "/once/x", []script{refuses}, 503, "unavailable\n", 1},
		{"lost answer runs once", "/once/x", []script{closesConnection, good}, 502, "upstream_failed\n", 1},
		{"lost answer is repeated", "/idempotent/x", []script{closesConnection, good}, 200, "sold", 2},
		{"lost answer, then a refusal", "/idempotent/x", []script{closesConnection, refuses}, 502, "upstream_failed\n", 2},
		{"answer cut short", "/idempotent/x", []script{writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nContent-Length: 9\r\n\r\nsol"), good}, 200, "sold", 2},
		{"answer without signature", "/once/x", []script{writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nContent-Length: 4\r\n\r\nsold"), good}, 502, "upstream_failed\n", 1},
		{"failure that names no request", "/once/x", []script{writes("HTTP/1.1 500 X\r\nX-Signed: y\r\nContent-Length: 2\r\n\r\nno"), good}, 502, "upstream_failed\n", 1},
		{"bytes that are no answer", "/once/x", []script{writes("sold sold sold\r\n\r\n"), good}, 502, "upstream_failed\n", 1},
		{"answer that ends with its connection", "/once/x", []script{writes("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\n\r\nsold")}, 200, "sold", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, c.scripts...)
			a := r.call(c.path)
			assert.NilError(t, a.broken)
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.body, c.body)
			assert.Equal(t, r.runs(), c.runs)
			signed := a.header.Get("X-Signed") != ""
			assert.Equal(t, signed, a.status < 300 || !strings.HasSuffix(a.body, "\n"))
		})
	}
}

// TestAnswerOfAnotherRequest guards against forwarding the response to an earlier
// request on the same connection: the ID tells them apart.
func TestAnswerOfAnotherRequest(t *testing.T) {
	r := newHarness(t, writes("HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\nsold"))
	assert.Equal(t, r.call("/once/x").status, 502)
}

func TestRefusals(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) {
		r := newHarness(t, answersWith(200, ""))
		assert.Equal(t, r.call("/once/x", "X-Key", "other").status, http.StatusUnauthorized)
		assert.Equal(t, r.runs(), 0)
	})
	t.Run("no route", func(t *testing.T) {
		r := newHarness(t, answersWith(200, ""))
		assert.Equal(t, r.call("/nowhere/x").status, http.StatusNotFound)
	})
	t.Run("configuration not confirmed", func(t *testing.T) {
		r := newHarness(t, answersWith(200, ""))
		r.fresh.Store(false)
		a := r.call("/nowhere/x")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
	})
	t.Run("refused by the scheduler", func(t *testing.T) {
		r := newHarness(t, answersWith(200, ""))
		r.dispatcher.refusal = &dispatcher.RefusedError{Reason: scheduler.Overloaded, RetryAfter: 700 * time.Millisecond}
		a := r.call("/once/x")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.header.Get("Retry-After"), "700ms")
	})
	t.Run("over the organisation's limit", func(t *testing.T) {
		r := newHarness(t, answersWith(200, ""))
		r.dispatcher.refusal = &dispatcher.RefusedError{Reason: scheduler.OverLimit, RetryAfter: time.Second}
		assert.Equal(t, r.call("/once/x").status, http.StatusTooManyRequests)
	})
}

// TestRequestIsPassedOnUnchanged checks that the upstream receives the request as it
// was sent, except for the headers that the system sets.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	r := newHarness(t, answersWith(200, ""))
	assert.Equal(t, r.call("/once/a%2Fb//c?x=1&&y", "X-Own", "kept", "X-Upstream", "forged").status, 200)
	q := r.seen[0]
	assert.Equal(t, q.RequestURI, "/once/a%2Fb//c?x=1&&y")
	assert.Equal(t, q.Host, "shop.example")
	assert.Equal(t, r.body[0], "a request")
	assert.Equal(t, q.Header.Get("X-Own"), "kept")
	assert.Equal(t, q.Header.Get("X-Upstream"), "upstream-1")
	assert.Equal(t, q.Header.Get("X-Organisation"), "coop")
	assert.Equal(t, q.Header.Get("X-Key"), "")
}

func TestStreams(t *testing.T) {
	parts := func(first, last int) string {
		var b strings.Builder
		for i := first; i <= last; i++ {
			b.WriteString("id: " + string(rune('0'+i)) + "\ndata: part " + string(rune('0'+i)) + "\n\n")
		}
		return b.String()
	}
	t.Run("whole", func(t *testing.T) {
		a := newHarness(t, events(1, 4, true)).call("/once/x")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.body, parts(1, 4))
	})
	t.Run("each event is a sign of life", func(t *testing.T) {
		r := newHarness(t, events(1, 4, true))
		r.call("/once/x")
		assert.DeepEqual(t, r.dispatcher.progress, []int{1, 2, 3, 4})
	})
	t.Run("goes on elsewhere after the last whole event", func(t *testing.T) {
		r := newHarness(t, events(1, 3, false), events(4, 6, true))
		a := r.call("/resumable/x")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.body, parts(1, 6))
		assert.Equal(t, r.seen[1].Header.Get("Last-Event-Id"), "3")
	})
	t.Run("events that come again are left out", func(t *testing.T) {
		a := newHarness(t, events(1, 3, false), events(2, 6, true)).call("/resumable/x")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.body, parts(1, 6))
	})
	t.Run("a gap breaks the stream", func(t *testing.T) {
		a := newHarness(t, events(1, 3, false), events(5, 6, true)).call("/resumable/x")
		assert.Assert(t, a.broken != nil)
		assert.Equal(t, a.body, parts(1, 3))
	})
	t.Run("one that can't go on must not look whole", func(t *testing.T) {
		r := newHarness(t, events(1, 3, false), events(4, 6, true))
		a := r.call("/once/x")
		assert.Assert(t, a.broken != nil)
		assert.Equal(t, a.body, parts(1, 3))
		assert.Equal(t, r.runs(), 1)
	})
	t.Run("an answer that is no stream can't continue one", func(t *testing.T) {
		a := newHarness(t, events(1, 3, false), answersWith(500, "no")).call("/resumable/x")
		assert.Assert(t, a.broken != nil)
	})
	t.Run("nothing came and no retry is left", func(t *testing.T) {
		a := newHarness(t, closesConnection, closesConnection).call("/resumable/x")
		assert.NilError(t, a.broken)
		assert.Equal(t, a.status, 502)
	})
}

// TestCallerLeaves checks that the upstream's connection is closed at once when the
// caller disconnects.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	r := newHarness(t, func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, streamHead)
		chunk(w, "id: 1\ndata: x\n\n")
		buffer := make([]byte, 1)
		_, _ = w.(io.Reader).Read(buffer)
		close(left)
	})
	q, err := http.NewRequest(http.MethodPost, "http://"+r.address+"/once/x", strings.NewReader("x"))
	assert.NilError(t, err)
	q.Host = "shop.example"
	q.Header.Set("X-Id", "id-1")
	q.Header.Set("X-Key", "secret")
	response, err := (&http.Transport{}).RoundTrip(q)
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works for a caller that has left")
	}
}

// TestTimeout checks that a request ends at the caller's time limit and is answered
// with 504, because it may have run.
func TestTimeout(t *testing.T) {
	hangs := func(w io.Writer, _ *http.Request) { _, _ = w.(io.Reader).Read(make([]byte, 1)) }
	began := time.Now()
	a := newHarness(t, hangs).call("/once/x", "X-Patience", "200ms")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 700*time.Millisecond)
}

// TestHeldWhileTheConfigurationIsConfirmed guards against callers that are refused by
// all hosts while these start: a request waits until the configuration is confirmed,
// and for a shorter time on a host that was confirmed before.
func TestHeldWhileTheConfigurationIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		before bool
		after  time.Duration
		status int
	}{
		"starting":             {false, 600 * time.Millisecond, 200},
		"confirmation ran out": {true, 100 * time.Millisecond, 200},
		"for too long":         {true, time.Second, 503},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, answersWith(200, "sold"))
			r.relayer.confirmed.Store(c.before)
			r.fresh.Store(false)
			timer := time.AfterFunc(c.after, func() { r.fresh.Store(true) })
			defer timer.Stop()
			began := time.Now()
			assert.Equal(t, r.call("/once/x").status, c.status)
			assert.Assert(t, time.Since(began) < startHold)
		})
	}
}

// TestPlannedStop checks that a planned stop interrupts no request: open requests run
// to their end, connections close after their response, and only then the host is gone.
func TestPlannedStop(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, func(w io.Writer, q *http.Request) {
		<-release
		answersWith(200, "sold")(w, q)
	})
	r.relayer.Unready()
	assert.Assert(t, r.relayer.Draining())
	answers := make(chan reply, 1)
	go func() { answers <- r.call("/once/x") }()
	for r.relayer.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- r.relayer.Drain(t.Context()) }()
	select {
	case <-drained:
		t.Fatal("the stop did not wait for an open request")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	a := <-answers
	assert.NilError(t, a.broken)
	assert.Equal(t, a.body, "sold")
	assert.Assert(t, a.closes)
	assert.NilError(t, <-drained)
	assert.Assert(t, r.call("/once/x").broken != nil, "the listener is still open")
}

// TestUnreachableUpstreamIsNoAttempt checks that a failure to connect doesn't count as
// an attempt: nothing was sent, so even a request that must run at most once goes to
// the next upstream.
func TestUnreachableUpstreamIsNoAttempt(t *testing.T) {
	r := newHarness(t, answersWith(200, "sold"), answersWith(200, "sold"), answersWith(200, "sold"))
	r.unreachable(0)
	r.unreachable(1)
	a := r.call("/single/x")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, r.runs(), 1)
	r.unreachable(2)
	a = r.call("/single/x")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.body, "not_run\n")
}
