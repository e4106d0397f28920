package limiter

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
)

var (
	errHeadTooLong = errors.New("the head of the request is too long")
	errYielded     = errors.New("the connection was idle when room was needed")
	errHeadShort   = errors.New("too little memory is left for the head of the request")
)

// Connection is a connection whose heads are bounded. Its local address refers back to it,
// because that is the only part of it that net/http passes to a handler.
type Connection struct {
	*net.TCPConn
	limiter *Limiter

	mu sync.Mutex
	// inBody is set from the end of a head to the end of its request.
	inBody bool
	// headSize, headLines and headBegan describe the head that is being read.
	headSize, headLines int64
	headBegan           time.Time
	// charged is what is charged for the head.
	charged ledger.Bytes
	closed  bool

	// idlePlace is the place among the idle connections; nil while there is a request. yielded
	// is set once the connection is closed for others. The lock of the limiter protects
	// both.
	idlePlace *list.Element
	yielded   bool
}

// address is a local address with its connection.
type address struct {
	net.Addr
	connection *Connection
}

// LocalAddr returns the local address together with the connection.
func (c *Connection) LocalAddr() net.Addr { return address{c.TCPConn.LocalAddr(), c} }

// Of returns the connection of a request.
func Of(q *http.Request) (*Connection, bool) {
	local, ok := q.Context().Value(http.LocalAddrContextKey).(address)
	return local.connection, ok
}

// Read reads from the connection. It returns an error if the head of a request exceeds its
// bounds; net/http then closes the connection.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := c.noteRead(p[:n]); refusal != nil {
		c.limiter.heads.Inc(1)
		// The bytes stay unread, so that net/http makes nothing of them.
		return 0, refusal
	}
	return n, err
}

// noteRead counts bytes of a head.
func (c *Connection) noteRead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		return nil
	}
	limits := c.limiter.options.Limits()
	if c.headBegan.IsZero() && !c.beginHead(limits) {
		return errYielded
	}
	c.headSize += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte("\n")))
	if limits.Head > 0 && c.headSize > limits.Head+readAhead {
		return errHeadTooLong
	}
	return c.chargeHead()
}

// beginHead starts the time of a head. It returns false if the connection is being closed.
// Deadlines of connections are in real time. The lock must be held.
func (c *Connection) beginHead(limits Limits) bool {
	c.headBegan = time.Now()
	if !c.leaveIdlers() {
		return false
	}
	if limits.HeadTime > 0 {
		_ = c.TCPConn.SetReadDeadline(c.headBegan.Add(limits.HeadTime))
	}
	return true
}

// chargeHead charges what the head takes beyond freeHead. The lock must be held. To make room,
// the ledger may close idle connections and takes their locks, which never wait for that of a
// connection that reads.
func (c *Connection) chargeHead() error {
	if c.headSize <= freeHead {
		return nil
	}
	extra := ledger.Bytes(c.headSize-freeHead)*byteCost + ledger.Bytes(c.headLines)*lineCost - c.charged
	if !c.limiter.options.Ledger.Charge(ledger.Head, extra) {
		return errHeadShort
	}
	c.charged += extra
	return nil
}

// SetReadDeadline sets the end of reading. The time of a head and that of an idle
// connection are bounded by the limits in addition.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody || t.IsZero() {
		return c.TCPConn.SetReadDeadline(t)
	}
	limits := c.limiter.options.Limits()
	last := time.Now().Add(limits.Idle)
	bounded := limits.Idle > 0
	if !c.headBegan.IsZero() {
		last, bounded = c.headBegan.Add(limits.HeadTime), limits.HeadTime > 0
	}
	if bounded && last.Before(t) {
		t = last
	}
	return c.TCPConn.SetReadDeadline(t)
}

// endHead ends the head that was read. What it takes stays charged until the connection is
// idle again, because the request refers to it.
func (c *Connection) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
}

// becomeIdle ends a request.
func (c *Connection) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest()
	m := c.limiter
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.idlePlace == nil && !c.closed {
		c.idlePlace = m.idleList.PushBack(c)
	}
}

// endRequest returns what the request's head took. The lock must be held.
func (c *Connection) endRequest() {
	c.inBody, c.headBegan = false, time.Time{}
	c.headSize, c.headLines = 0, 0
	c.limiter.options.Ledger.Return(ledger.Head, c.charged)
	c.charged = 0
}

// leaveIdlers takes the connection out of the idle ones and reports whether it may be used.
// The lock must be held.
func (c *Connection) leaveIdlers() bool {
	m := c.limiter
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.idlePlace != nil {
		m.idleList.Remove(c.idlePlace)
		c.idlePlace = nil
	}
	return !c.yielded
}

// Close closes the connection and returns what it took.
func (c *Connection) Close() error {
	err := c.TCPConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return err
	}
	c.closed = true
	c.leaveIdlers()
	c.endRequest()
	m := c.limiter
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	m.options.Ledger.Return(ledger.Connection, connectionCost)
	return err
}
