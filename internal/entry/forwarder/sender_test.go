package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// TestConnectionTimesOut guards against a host that sends request after request to an
// upstream that doesn't take connections, and loses the time of a dial with each.
func TestConnectionTimesOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewSender(clock, nil)
	defer s.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	s.pool.dialer.Timeout = time.Nanosecond
	u := registrar.Upstream{Name: "dark", Address: l.Addr().String()}

	for _, once := range []bool{true, false} {
		request, err := http.NewRequest(http.MethodGet, "http://"+u.Address+"/", nil)
		assert.NilError(t, err)
		a := &Attempt{Upstream: u, Request: request, Once: once}
		_, err = s.Send(context.Background(), a)
		assert.Equal(t, Unsent(err), scheduler.Unconnected)
		assert.Assert(t, !a.Sent.Load())
		assert.DeepEqual(t, s.Avoid([]registrar.UpstreamID{"other"}), []registrar.UpstreamID{"other", "dark"})
		clock.Advance(connectPause)
		assert.DeepEqual(t, s.Avoid(nil), []registrar.UpstreamID(nil))
	}
}

// TestCallerLeavesDuringDial guards against an upstream that is avoided because a
// caller didn't wait for the connection.
func TestCallerLeavesDuringDial(t *testing.T) {
	s := NewSender(clockwork.NewFakeClock(), nil)
	defer s.Close()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://127.0.0.1:1/", nil)
	assert.NilError(t, err)
	_, err = s.Send(ctx, &Attempt{Upstream: registrar.Upstream{Name: "u", Address: "127.0.0.1:1"}, Request: request, Once: true})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.Avoid(nil)), 0)
}
