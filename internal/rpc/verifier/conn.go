package verifier

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// errEarly is the error of an answer that came before its request.
var errEarly = fmt.Errorf("%w: it came before its request", ErrBroken)

// Conn is a connection to a server whose answers are checked. As for any net.Conn, one
// goroutine may read while another one writes.
type Conn struct {
	net.Conn

	// mu guards head and broken.
	mu   sync.Mutex
	head head
	// broken is the first fault of an answer.
	broken error
}

// Wrap returns a Conn that reads from c and writes to it. A *tls.Conn must have completed
// its handshake.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// Abort closes the TCP connection, which ends reads and writes at once, while closing a TLS
// connection first tries to write.
func (c *Conn) Abort() {
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}

// Expect makes the next bytes that arrive the head of an answer. It is called before a
// request is written.
func (c *Conn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
}

// Read implements net.Conn. It ends with an error behind the first fault of a head.
func (c *Conn) Read(p []byte) (int, error) {
	if _, fault := c.state(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	// The bytes up to the fault are returned, as net/http takes an error in place of the
	// first byte for a connection that was closed before the answer, and may repeat the
	// request.
	checked, broken := c.head.check(p[:n])
	if broken != nil {
		c.broken = broken
		return checked, nil
	}
	return n, err
}

// state returns whether the head of the final answer has arrived, and the first fault of an
// answer.
func (c *Conn) state() (arrived bool, fault error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.phase == ended, c.broken
}

// Accept takes the result of reading the head of an answer. It returns the fault of the
// answer in place of the error that net/http makes of it. The head must have arrived after
// Expect; otherwise Accept closes the connection and returns an error.
func (c *Conn) Accept(response *http.Response, err error) (*http.Response, error) {
	arrived, fault := c.state()
	switch {
	case err != nil && fault != nil:
		return nil, fault
	case err != nil:
		return nil, err
	case !arrived:
		c.Abort()
		_ = response.Body.Close()
		return nil, errEarly
	}
	return response, nil
}
