package relayer

import (
	"net"
	"net/http"
)

// listener accepts connections that the handler of a request can reset. The server
// hands a handler the local address of its connection, and nothing else of it.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return connection{t}, nil
	}
	return c, err
}

// connection is a connection whose local address leads to it.
type connection struct{ *net.TCPConn }

// LocalAddr returns the local address.
func (c connection) LocalAddr() net.Addr { return address{c.TCPConn.LocalAddr(), c.TCPConn} }

type address struct {
	net.Addr
	connection *net.TCPConn
}

// abort closes the connection before the end of the answer. HTTP/1.0 has no chunks, so
// that its callers would take the regular end of a connection for that of the answer:
// it is reset.
func (c *call) abort() {
	local, ok := c.request.Context().Value(http.LocalAddrContextKey).(address)
	if ok && !c.request.ProtoAtLeast(1, 1) {
		_ = local.connection.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}
