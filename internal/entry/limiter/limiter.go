// Package limiter bounds what clients may send before and between their requests, on the
// connections of a listener.
//
// net/http reads the heads of requests by itself, into maps that take many times the bytes
// of short lines, and a handler sees a request only after its head. So the bounds are kept
// by the connection: the bytes and the time of a head, the memory of its lines, the idle
// time, and the number of connections. What a connection takes is charged to the ledger of
// the process. A connection that exceeds a bound is closed, its request unread.
//
// If there are too many connections, or the memory of the process is short, the connection
// that has been idle longest is closed.
//
// # Usage
//
//	m := limiter.New(limiter.Options{Ledger: l, Limits: func() limiter.Limits { ... }})
//	server := &http.Server{Handler: m.Handler(h), ConnState: m.State}
//	err := server.Serve(m.Listener(listener))
package limiter

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
)

const (
	// connectionCost is what a connection takes in bytes: the stack of its goroutine, the
	// buffers of net/http, and a head of up to freeHead bytes.
	connectionCost ledger.Bytes = 16 << 10
	// freeHead is the number of bytes of a head that are part of connectionCost. Heads of
	// ordinary requests are shorter.
	freeHead = 4 << 10
	// byteCost and lineCost are what a head takes for each byte and line beyond: the
	// connection's buffer, the text of the line and its entry in the map of headers.
	byteCost ledger.Bytes = 2
	lineCost ledger.Bytes = 160
	// readAhead is how many bytes after a head net/http may read with it.
	readAhead = 4 << 10
)

// Limits bound what a client may send, and how long it may take. A zero value means no
// bound.
type Limits struct {
	// Head bounds the head of a request in bytes, and HeadTime the time from its first
	// byte, or that of an empty line before it, to its end.
	Head     int64
	HeadTime time.Duration
	// Idle bounds the time without a request.
	Idle time.Duration
}

// Options configures a Limiter.
type Options struct {
	// Ledger is the ledger of the process; it must not be nil.
	Ledger *ledger.Ledger
	// Limits returns the limits in force; nil means none.
	Limits func() Limits
	// Connections bounds the open connections; 0 means no bound.
	Connections int
	// Metrics receives the numbers of closed connections; nil means none.
	Metrics metrics.Registry
}

// Limiter bounds the connections of the listeners of one process.
type Limiter struct {
	options Options
	// heads counts the connections that were closed for what they sent before a request,
	// idle those that were idle when room was needed, and refused those for which there
	// was none.
	heads, idle, refused metrics.Counter

	mu   sync.Mutex
	open int
	// idleList are the connections without a request, the one that has been idle longest
	// first.
	idleList *list.List
}

// New returns a Limiter.
func New(o Options) *Limiter {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	m := &Limiter{
		options:  o,
		heads:    metrics.GetOrRegisterCounter("limiter.heads", o.Metrics),
		idle:     metrics.GetOrRegisterCounter("limiter.idle", o.Metrics),
		refused:  metrics.GetOrRegisterCounter("limiter.refused", o.Metrics),
		idleList: list.New(),
	}
	o.Ledger.OnShort(m.closeIdle)
	return m
}

// Listener returns a listener whose connections are bounded.
func (m *Limiter) Listener(l net.Listener) net.Listener { return listener{l, m} }

// listener accepts bounded connections.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for the next connection for which there is room. Others are closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if !l.limiter.admit() {
			_ = t.SetLinger(0)
			_ = t.Close()
			continue
		}
		return l.limiter.track(t), nil
	}
}

// admit reserves the room of a connection and reports whether there is any. It closes idle
// connections for it.
func (m *Limiter) admit() bool {
	for !m.reserve() {
		if !m.closeIdle() {
			m.refused.Inc(1)
			return false
		}
	}
	return true
}

func (m *Limiter) reserve() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.options.Connections > 0 && m.open >= m.options.Connections {
		return false
	}
	if !m.options.Ledger.Charge(ledger.Connection, connectionCost) {
		return false
	}
	m.open++
	return true
}

// track returns the connection, which counts as idle until its first byte.
func (m *Limiter) track(t *net.TCPConn) *Connection {
	c := &Connection{TCPConn: t, limiter: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.idlePlace = m.idleList.PushBack(c)
	return c
}

// closeIdle closes the connection that has been idle longest and reports whether there was
// one.
func (m *Limiter) closeIdle() bool {
	c := m.takeIdle()
	if c == nil {
		return false
	}
	m.idle.Inc(1)
	_ = c.Close()
	return true
}

// takeIdle takes the connection that has been idle longest out of the idle ones. A request
// that it begins from then on is not read.
func (m *Limiter) takeIdle() *Connection {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.idleList.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*Connection)
	m.idleList.Remove(first)
	c.idlePlace, c.yielded = nil, true
	return c
}

// State must be called by the server when the state of a connection changes.
func (m *Limiter) State(c net.Conn, s http.ConnState) {
	if b, ok := c.(*Connection); ok && s == http.StateIdle {
		b.becomeIdle()
	}
}

// Handler returns a handler that ends the head of each request before h serves it.
func (m *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if c, ok := Of(q); ok {
			c.endHead()
		}
		h.ServeHTTP(w, q)
	})
}
