package forwarder

import (
	"bufio"
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
// upstream that accepts no connections, and loses the time of a dial with each.
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
		a := &Attempt{Upstream: u, Request: request, OwnConnection: once}
		_, err = s.Send(context.Background(), a)
		assert.Equal(t, Unsent(err), scheduler.ConnectTimeout)
		assert.Assert(t, !a.Sent.Load())
		assert.DeepEqual(t, s.Avoid([]registrar.UpstreamID{"other"}), []registrar.UpstreamID{"other", "dark"})
		clock.Advance(connectPause)
		assert.DeepEqual(t, s.Avoid(nil), []registrar.UpstreamID(nil))
	}
}

// TestCallerLeavesDuringDial guards against avoiding an upstream because a caller
// didn't wait for the connection.
func TestCallerLeavesDuringDial(t *testing.T) {
	s := NewSender(clockwork.NewFakeClock(), nil)
	defer s.Close()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://127.0.0.1:1/", nil)
	assert.NilError(t, err)
	_, err = s.Send(ctx, &Attempt{Upstream: registrar.Upstream{Name: "u", Address: "127.0.0.1:1"}, Request: request, OwnConnection: true})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.Avoid(nil)), 0)
}

// TestDiscardEndsTheConnection guards against an upstream that continues with a request
// which the host has given up: the connection that returned something other than the
// answer must be closed, even if its transport has been replaced or another request
// already reuses it.
func TestDiscardEndsTheConnection(t *testing.T) {
	for name, between := range map[string]func(s *Sender, u registrar.Upstream, clock *clockwork.FakeClock, next func()){
		"idle": func(*Sender, registrar.Upstream, *clockwork.FakeClock, func()) {},
		"replaced transport": func(s *Sender, u registrar.Upstream, clock *clockwork.FakeClock, _ func()) {
			clock.Advance(maxConnectionAge)
		},
		"in use again": func(_ *Sender, _ registrar.Upstream, _ *clockwork.FakeClock, next func()) { next() },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			second, ended := make(chan struct{}), make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				_, _ = http.ReadRequest(r)
				_, _ = c.Write([]byte("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))
				if _, err := http.ReadRequest(r); err == nil {
					close(second)
				}
				_, err = r.Peek(1)
				ended <- err
			}()
			clock := clockwork.NewFakeClock()
			s := NewSender(clock, nil)
			defer s.Close()
			u := registrar.Upstream{Name: "u", Address: l.Addr().String()}
			attempt := func() *Attempt {
				request, err := http.NewRequest(http.MethodPost, "http://"+u.Address+"/", nil)
				assert.NilError(t, err)
				return &Attempt{Upstream: u, Request: request}
			}
			a := attempt()
			_, err = s.Send(t.Context(), a)
			assert.NilError(t, err)
			between(s, u, clock, func() {
				go func() { _, _ = s.Send(t.Context(), attempt()) }()
				<-second
			})
			s.Discard(a)
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the upstream still has the connection")
			}
		})
	}
}
