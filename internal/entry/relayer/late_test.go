package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopTime is how long the planned stops of these tests last.
const stopTime = 2 * time.Second

// startStop starts a planned stop that ends after stopTime and then closes the relayer,
// as the daemon does. done is closed at the end.
func (r *harness) startStop() (began time.Time, done chan struct{}) {
	r.relayer.Unready()
	began, done = time.Now(), make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = r.relayer.Drain(ctx)
		_ = r.relayer.Close()
	}()
	return began, done
}

// writeHead sends the head of a request with a time limit and a body of one byte, which
// is not sent.
func (r *harness) writeHead(c net.Conn, path string, patience time.Duration) {
	r.t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\nX-Key: secret\r\nX-Patience: %s\r\nContent-Length: 1\r\n\r\n", path, patience)
	assert.NilError(r.t, err)
}

// readWhole reads a response, which must be complete, and returns its status.
func (r *harness) readWhole(c net.Conn) int {
	r.t.Helper()
	assert.NilError(r.t, c.SetReadDeadline(time.Now().Add(3*stopTime)))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(r.t, err, "the connection ended without an answer")
	_, err = io.ReadAll(a.Body)
	assert.NilError(r.t, err)
	assert.NilError(r.t, a.Body.Close())
	return a.StatusCode
}

// TestLateRequestOfAPlannedStopIsNotCutOff guards against requests that are read late
// in a planned stop, because their bodies arrive late, are forwarded and are cut off
// without a response when the stop ends.
func TestLateRequestOfAPlannedStopIsNotCutOff(t *testing.T) {
	cases := []struct {
		name     string
		patience time.Duration
		status   int
		runs     int
	}{
		{"may outlast the stop", routeTimeout, http.StatusServiceUnavailable, 0},
		{"ends before", stopTime * 7 / 10, http.StatusOK, 1},
	}
	for _, path := range []string{"/once/x", "/idempotent/x", "/resumable/x"} {
		for _, c := range cases {
			t.Run(path+" "+c.name, func(t *testing.T) {
				t.Parallel()
				r := newHarness(t, answersWith(200, "sold"))
				slow, err := net.Dial("tcp", r.address)
				assert.NilError(t, err)
				defer func() { _ = slow.Close() }()
				r.writeHead(slow, path, c.patience)
				for r.relayer.Open() == 0 {
					time.Sleep(time.Millisecond)
				}
				began, done := r.startStop()
				time.Sleep(stopTime / 2)
				_, err = io.WriteString(slow, "x")
				assert.NilError(t, err)
				assert.Equal(t, r.readWhole(slow), c.status)
				assert.Equal(t, r.runs(), c.runs)
				<-done
				assert.Assert(t, time.Since(began) < stopTime+closeTimeout)
			})
		}
	}
}

// TestRequestOnASilentConnectionIsNotPassedOn guards against forwarding a request that
// arrives late in a planned stop on a connection that was idle until then: the
// connection is closed at once.
func TestRequestOnASilentConnectionIsNotPassedOn(t *testing.T) {
	r := newHarness(t, answersWith(200, "sold"))
	silent, err := net.Dial("tcp", r.address)
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	_, done := r.startStop()
	time.Sleep(stopTime / 2)
	r.writeHead(silent, "/once/x", routeTimeout)
	_, _ = io.WriteString(silent, "x")
	sent := time.Now()
	_, err = io.ReadAll(silent)
	assert.Assert(t, time.Since(sent) < stopTime/5, "%v", err)
	assert.Equal(t, r.runs(), 0)
	<-done
}

// TestEndOfAPlannedStopAnswersWhatIsOpen guards against requests that were accepted
// before a planned stop and are cut off without a response when it ends: those that
// were sent get 504, as their outcome is unknown, and the others 503, as they have not
// run.
func TestEndOfAPlannedStopAnswersWhatIsOpen(t *testing.T) {
	for _, c := range []struct {
		path   string
		waits  bool
		status int
	}{
		{"/once/x", false, http.StatusGatewayTimeout},
		{"/idempotent/x", false, http.StatusGatewayTimeout},
		{"/resumable/x", false, http.StatusGatewayTimeout},
		{"/once/x", true, http.StatusServiceUnavailable},
		{"/resumable/x", true, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(c.path, " waits ", c.waits), func(t *testing.T) {
			t.Parallel()
			r := newHarness(t, func(io.Writer, *http.Request) { time.Sleep(3 * stopTime) })
			r.dispatcher.blocksAll = c.waits
			open, err := net.Dial("tcp", r.address)
			assert.NilError(t, err)
			defer func() { _ = open.Close() }()
			r.writeHead(open, c.path, routeTimeout)
			_, err = io.WriteString(open, "x")
			assert.NilError(t, err)
			// The request is at its upstream or waits for a slot.
			for r.runs() == 0 && r.dispatcher.waiting.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			_, done := r.startStop()
			assert.Equal(t, r.readWhole(open), c.status)
			<-done
		})
	}
}
