package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

var errLeft = errors.New("the upstream has left")

// TestUpstreamThatLeftDuringTheDialGetsNothing guards against sending a request to an
// upstream that left while the connection was being made: the request goes to another
// upstream without using up an attempt, and no upstream is blamed.
func TestUpstreamThatLeftDuringTheDialGetsNothing(t *testing.T) {
	for _, path := range []string{"/once/x", "/single/x", "/idempotent/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			r := newHarness(t, answersWith(200, "left"), answersWith(200, "sold"))
			asked := 0
			r.relayer.options.Permit = func(u registrar.Upstream) error {
				asked++
				if u.Name == "upstream-1" {
					return errLeft
				}
				return nil
			}
			a := r.call(path)
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, "sold")
			assert.Equal(t, r.runs(), 1)
			assert.Equal(t, asked, 2)
			assert.DeepEqual(t, r.dispatcher.outcomes, []scheduler.Outcome{scheduler.Abandoned, scheduler.Completed})
		})
	}
}

// TestWithheldRequestIsRefused guards against an answer that promises less than is
// true: a request that was sent to no upstream may be sent again.
func TestWithheldRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			r := newHarness(t, answersWith(200, "left"))
			r.relayer.options.Permit = func(registrar.Upstream) error { return errLeft }
			a := r.call(path)
			assert.Equal(t, a.status, http.StatusServiceUnavailable)
			assert.Equal(t, r.runs(), 0)
		})
	}
}

// TestLeftUpstreamGetsNoSecondSending guards against net/http sending a request again,
// seconds later, to an upstream that has left: the upstream closed a reused connection
// on reading the request.
func TestLeftUpstreamGetsNoSecondSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	var left atomic.Bool
	var requests atomic.Int64
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				if requests.Add(1) > 1 {
					left.Store(true)
					break
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: y\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Id"))
			}
			_ = c.Close()
		}
	}()
	r := newHarness(t)
	r.add(l.Addr().String())
	r.relayer.options.Permit = func(registrar.Upstream) error {
		if left.Load() {
			return errLeft
		}
		return nil
	}
	assert.Equal(t, r.get("/idempotent/x", "id-0"), 200)
	assert.Equal(t, r.get("/idempotent/x", "id-1"), http.StatusBadGateway)
	assert.Equal(t, requests.Load(), int64(2), "the request was sent again")
	assert.NilError(t, l.Close())
	<-served
}
