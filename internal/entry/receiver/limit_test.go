package receiver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
)

// TestUnreadAnswers guards against the kernel aborting an answer because its caller
// reads nothing for a few seconds. The daemon's listeners close connections whose data
// stays unacknowledged for 3 s, which includes data that waits for a slow reader.
func TestUnreadAnswers(t *testing.T) {
	h := newHarness(t, withUpstreams(0))
	l, err := dialer.Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	l = h.receiver.Limit(l)
	defer func() { assert.Check(t, l.Close()) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.Check(t, caller.Close()) }()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	const unread = 16 << 20
	written := make(chan error, 1)
	background(t, func() {
		_, err := c.Write(make([]byte, unread))
		written <- err
	})
	time.Sleep(2 * dialer.UnacknowledgedTimeout)
	buffer := make([]byte, 64<<10)
	for n := 0; n < unread; {
		count, err := caller.Read(buffer)
		assert.NilError(t, err, "after %d bytes", n)
		n += count
	}
	assert.NilError(t, <-written)
}
