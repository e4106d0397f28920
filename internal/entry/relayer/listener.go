package relayer

import (
	"net"
	"net/http"

	"github.com/amaranthcart/amaranthcart/internal/entry/limiter"
)

// Limit bounds the open connections of a listener by MaxConnections and the memory of the
// process, and what callers send before a request. Connections can be reset when a
// response breaks.
func (r *Relayer) Limit(l net.Listener) net.Listener { return r.limiter.Listener(l) }

// headLimits returns the bounds on what callers send before a request.
func (r *Relayer) headLimits() limiter.Limits {
	l := r.limits()
	return limiter.Limits{Head: l.Head, HeadTime: l.HeadTime, Idle: l.Idle}
}

// abort closes the connection before the end of the response. An HTTP/1.0 response has
// no chunked encoding, and its caller would take a regular close for the end of the
// response, so the connection is reset instead.
func (c *call) abort() {
	if connection, ok := limiter.Of(c.request); ok && !c.request.ProtoAtLeast(1, 1) {
		_ = connection.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}
