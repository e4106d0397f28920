package verifier

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errUnended is the error of a body that ends with its connection where that has broken
// off.
var errUnended = fmt.Errorf("the answer has no length and its connection broke off: %w", io.ErrUnexpectedEOF)

// Conn is a connection to a server whose answers are checked. As for any net.Conn, one
// goroutine may read while another one writes.
type Conn struct {
	net.Conn

	// mu guards the fields from head to broken.
	mu   sync.Mutex
	head head
	// received is set once bytes have arrived after Expect, and early if an answer began
	// before that.
	received, early bool
	// broken is the first fault of an answer.
	broken error

	// writing is held during a write. It guards failure.
	writing sync.Mutex
	// failure is the error of the first write that failed because the connection broke.
	failure error

	// over is closed when nothing more is read.
	over chan struct{}
	once sync.Once
}

// Wrap returns a Conn that reads from c and writes to it. A *tls.Conn must have completed
// its handshake.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c, over: make(chan struct{})} }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.finish()
	return c.Conn.Close()
}

// Abort closes the TCP connection, which ends reads and writes at once, while closing a TLS
// connection first tries to write.
func (c *Conn) Abort() {
	c.finish()
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}

// finish lets a failed write return.
func (c *Conn) finish() { c.once.Do(func() { close(c.over) }) }

// Expect makes the next bytes that arrive the head of an answer. It is called before a
// request is written.
func (c *Conn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	c.received, c.early = false, false
}

// begun notes that the reader has the first byte of an answer.
func (c *Conn) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.early || !c.received
}

// Read implements net.Conn. It ends with an error behind the first fault of a head.
func (c *Conn) Read(p []byte) (int, error) {
	if fault := c.fault(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.finish()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The bytes up to the fault are returned, as net/http takes an error in place of the
	// first byte for a connection that was closed before the answer, and may repeat the
	// request.
	c.received = c.received || n > 0
	checked, broken := c.head.check(p[:n])
	if broken != nil {
		c.broken = broken
		return checked, nil
	}
	return n, err
}

// fault returns the first fault of an answer, or nil.
func (c *Conn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// verdict returns the error of an answer for what reading its head has returned, or nil.
func (c *Conn) verdict(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.early, err == nil && c.head.phase != ended:
		return ErrEarly
	case err != nil && c.broken != nil:
		return c.broken
	}
	return err
}

// Write implements net.Conn. A write that fails returns once nothing more can be read: a
// complete answer may have arrived before the connection broke, and net/http gives it up
// at the error.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.failure == nil && breaksOff(err) {
		c.failure = err
	}
	<-c.over
	return n, err
}

// breaksOff reports whether the error of a write shows that the connection broke. EPIPE
// doesn't: it follows a FIN, or a read or write that has returned the reason.
func breaksOff(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed)
}

// Verify takes the result of reading the head of an answer. It returns the fault of the
// answer in place of the error that net/http makes of it, and ErrEarly for a head that did
// not arrive after Expect; in case of an error it closes the connection. The body is
// replaced where its end has to be checked.
func (c *Conn) Verify(response *http.Response, err error) (*http.Response, error) {
	if failed := c.verdict(err); failed != nil {
		c.Abort()
		if response != nil {
			_ = response.Body.Close()
		}
		return nil, failed
	}
	if isUnframed(response) {
		response.Body = unframed{response.Body, c}
	}
	return response, nil
}

// isUnframed reports whether the body of the response ends with its connection.
func isUnframed(r *http.Response) bool {
	return r.Close && r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// end returns nil if the connection, whose end has been read, has ended regularly.
//
// The kernel returns the reason for which a connection broke only once. If a write took it,
// the read that follows finds a regular end.
func (c *Conn) end() error {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return endTLS(t)
	}
	// A write that waits for the other side returns. The request is of no use any more.
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return fmt.Errorf("%w: %w", errUnended, c.failure)
	}
	return nil
}

// endTLS returns nil if the connection ended with a closure alert.
func endTLS(t *tls.Conn) error {
	if w, ok := t.NetConn().(*watched); ok && w.ended.Load() {
		return fmt.Errorf("%w: there was no closure alert", errUnended)
	}
	return nil
}

// unframed is a body that ends with its connection.
type unframed struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (u unframed) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if broken := u.conn.end(); broken != nil {
		return n, broken
	}
	return n, io.EOF
}

// watched is a TCP connection below TLS that remembers its regular end.
type watched struct {
	net.Conn
	ended atomic.Bool
}

// WatchEnd returns a connection for tls.Client that tells the end of a TCP connection from a
// closure alert. Between two records crypto/tls reports the same error for both.
func WatchEnd(c net.Conn) net.Conn { return &watched{Conn: c} }

// Read implements net.Conn.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if err == io.EOF {
		w.ended.Store(true)
	}
	return n, err
}
