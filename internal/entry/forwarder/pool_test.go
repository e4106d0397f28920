package forwarder

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// TestDialOptions guards against connections to upstreams that stay open after the peer
// vanished without closing them.
func TestDialOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := newPool(clockwork.NewRealClock(), nil).dial(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	timeout, alive := 0, 0
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		alive, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}))
	assert.Equal(t, time.Duration(timeout)*time.Millisecond, dialer.UnacknowledgedTimeout)
	assert.Equal(t, alive, 1)
}

// TestPool guards against using connections without an age limit, and against an
// unbounded number of transports for addresses that are no longer used.
func TestPool(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, nil)
	old := p.transport("a")
	assert.Equal(t, p.transport("a"), old)
	clock.Advance(maxConnectionAge)
	renewed := p.transport("a")
	assert.Assert(t, renewed != old)
	p.discard("a", old)
	assert.Equal(t, p.transport("a"), renewed, "only the discarded transport goes")
	p.discard("a", renewed)
	assert.Assert(t, p.transport("a") != renewed)
	for i := range 1000 {
		clock.Advance(maxConnectionAge)
		p.transport(string(rune('b' + i)))
	}
	total := 0
	for i := range p.shards {
		total += len(p.shards[i].transports)
	}
	assert.Assert(t, total < 200, "%d transports", total)
}

// TestGapTimer guards against an attempt at a lost upstream that waits for the long
// deadline because the lease ended just before the wait began, and against a deadline
// that passes while the caller is slow.
func TestGapTimer(t *testing.T) {
	const long = time.Hour
	for _, c := range []struct {
		name  string
		steps func(*gapTimer)
		after time.Duration
		cause error
	}{
		{"silence", func(g *gapTimer) { g.arm() }, long, errSilent},
		{"news during the wait", func(g *gapTimer) { g.arm(); g.shorten(leaseEndGrace, errLeaseEnded) }, leaseEndGrace, errLeaseEnded},
		{"news before the wait", func(g *gapTimer) { g.shorten(leaseEndGrace, errLeaseEnded); g.arm() }, leaseEndGrace, errLeaseEnded},
		{"news while the caller is slow", func(g *gapTimer) { g.arm(); g.disarm(); g.shorten(leaseEndGrace, errLeaseEnded) }, long, nil},
		{"slow caller", func(g *gapTimer) { g.arm(); g.disarm() }, long, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			fired := make(chan error, 1)
			g := newGapTimer(clock, long, func(err error) { fired <- err })
			c.steps(g)
			if c.cause == nil {
				clock.Advance(c.after)
				assert.Equal(t, len(fired), 0)
				return
			}
			clock.Advance(c.after - 1)
			assert.Equal(t, len(fired), 0)
			clock.Advance(1)
			assert.ErrorIs(t, <-fired, c.cause)
		})
	}
}
