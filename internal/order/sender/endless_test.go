package sender_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
)

// TestEndlessHeadOfAnOrder guards against an engine that answers an order with a head
// without end, of which 10 MiB were kept. The bound has room for the buffers of the
// connection.
func TestEndlessHeadOfAnOrder(t *testing.T) {
	const most = 5 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	written := 0
	var group conc.WaitGroup
	group.Go(func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		block := []byte(strings.Repeat("X-More: and more\r\n", 256))
		for {
			n, err := c.Write(block)
			if written += n; err != nil {
				return
			}
		}
	})
	outcomes := make(chan issuer.OrderResult, 1)
	s := sender.New(sender.Options{Report: func(o issuer.OrderResult) { outcomes <- o }})
	defer s.Close()
	s.Send(issuer.Order{ID: "o", Upstream: "a", Address: listener.Addr().String(), Fence: 1, Until: time.Now().Add(generous)})
	assert.Equal(t, (<-outcomes).Outcome, issuer.Failed)
	group.Wait()
	assert.NilError(t, listener.Close())
	assert.Assert(t, written <= most, "%d bytes were read", written)
}
