package relayer

import (
	"net"
	"net/http"
)

// listener accepts connections that the handler of a request can reset. The only part
// of the connection that net/http passes to a handler is its local address, so that
// address carries the connection.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return connection{t}, nil
	}
	return c, err
}

// connection is a TCP connection whose local address refers back to it.
type connection struct{ *net.TCPConn }

// LocalAddr returns the local address together with the connection.
func (c connection) LocalAddr() net.Addr { return address{c.TCPConn.LocalAddr(), c.TCPConn} }

// address is a local address with its connection.
type address struct {
	net.Addr
	connection *net.TCPConn
}

// abort closes the connection before the end of the response. An HTTP/1.0 response has
// no chunked encoding, and its caller would take a regular close for the end of the
// response, so the connection is reset instead.
func (c *call) abort() {
	local, ok := c.request.Context().Value(http.LocalAddrContextKey).(address)
	if ok && !c.request.ProtoAtLeast(1, 1) {
		_ = local.connection.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}
