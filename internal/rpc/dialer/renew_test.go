package dialer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestReplacedConnectionsEnd guards against connections that stay open for IdleTimeout
// after they were replaced: a control host that answered late had 4,028 of its 4,096 file
// descriptors in use and ended.
func TestReplacedConnectionsEnd(t *testing.T) {
	var open atomic.Int64
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, http.NewResponseController(w).Flush())
		<-r.Context().Done()
	}))
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	served := make(chan struct{})
	go func() { _ = s.Serve(l); close(served) }()
	defer func() { _ = s.Close(); <-served }()
	c := New()
	defer c.Close()
	for range 5 {
		ctx, cancel := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, URL(l.Addr().String()), nil)
		assert.NilError(t, err)
		response, err := c.Do(r)
		assert.NilError(t, err)
		c.Renew()
		cancel()
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, open.Load(), int64(5))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := open.Load(); n > 0 {
			return poll.Continue("%d connections", n)
		}
		return poll.Success()
	}, poll.WithTimeout(2*RetireDelay))
}
