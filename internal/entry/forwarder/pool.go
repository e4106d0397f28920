package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

const (
	// dialTimeout bounds making a connection; hosts are a few milliseconds apart.
	dialTimeout = time.Second
	// idleTimeout is shorter than the 5 s after which common engine servers close an
	// idle connection, so a request rarely gets a connection that is being closed.
	idleTimeout = 4 * time.Second
	// maxConnectionAge bounds how long new requests use the same connections.
	maxConnectionAge = 2 * time.Minute
	// maxIdleConnections bounds the idle connections to one upstream.
	maxIdleConnections = 256
	maxAnswerHeader    = 64 << 10
	poolShards         = 16
	keepAliveIdle      = 5 * time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 3
)

// newDialer returns a dialer whose connections detect a peer that no longer answers.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: dialer.SetUserTimeout,
	}
}

// pool keeps a transport for each upstream address. A transport is replaced when it is
// old or when one of its connections went silent, because its other connections may be
// dead too.
type pool struct {
	clock  clockwork.Clock
	dialer *net.Dialer
	// tls is nil if upstreams with https addresses can't be called.
	tls    dialer.TLS
	shards [poolShards]poolShard
}

// poolShard holds the transports of a part of the addresses.
type poolShard struct {
	mu         sync.Mutex
	transports map[string]*agedTransport
}

// agedTransport is a transport with the time at which it was made.
type agedTransport struct {
	*verifier.Transport
	since time.Time
}

func newPool(c clockwork.Clock, t dialer.TLS) *pool {
	p := &pool{clock: c, dialer: newDialer(), tls: t}
	for i := range p.shards {
		p.shards[i].transports = map[string]*agedTransport{}
	}
	return p
}

func (p *pool) shard(address string) *poolShard {
	return &p.shards[xxhash.Sum64String(address)%poolShards]
}

// transport returns the transport for the address and makes a new one if it is older
// than maxConnectionAge. It also removes old transports of other addresses.
func (p *pool) transport(address string) *agedTransport {
	now := p.clock.Now()
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.transports[address]
	if t != nil && now.Sub(t.since) < maxConnectionAge {
		return t
	}
	if t != nil {
		t.CloseIdleConnections()
	}
	for a, old := range s.transports {
		if now.Sub(old.since) > 2*maxConnectionAge {
			old.CloseIdleConnections()
			delete(s.transports, a)
		}
	}
	t = &agedTransport{Transport: p.newTransport(), since: now}
	s.transports[address] = t
	return t
}

// discard removes the transport, so that the next request makes a new connection.
func (p *pool) discard(address string, t *agedTransport) {
	s := p.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transports[address] == t {
		delete(s.transports, address)
	}
	t.CloseIdleConnections()
}

func (p *pool) close() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for a, t := range s.transports {
			t.CloseIdleConnections()
			delete(s.transports, a)
		}
		s.mu.Unlock()
	}
}

func (p *pool) newTransport() *verifier.Transport {
	return verifier.New(&http.Transport{
		DialContext:            p.dial,
		DialTLSContext:         p.dialTLS,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         readBuffer,
	})
}

func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, network, address)
}

// errNoTLS is returned for an upstream with an https address, of which this host
// learned from another one that has TLS.
var errNoTLS = errors.New("this host has no setting tls, so that it can't call an https address")

// dialTLS makes a connection and completes the handshake before any part of a request
// is sent, so that a failed handshake counts as not run.
func (p *pool) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	if p.tls == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errNoTLS}
	}
	c, err := dialer.DialTLS(ctx, p.dialer, network, address, p.tls(address))
	if err != nil {
		return nil, err
	}
	return c, nil
}

// open makes a connection to an upstream that no other request uses.
func (p *pool) open(ctx context.Context, u registrar.Upstream) (*verifier.Conn, error) {
	address, secure := u.Endpoint()
	dial := p.dial
	if secure {
		dial = p.dialTLS
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return verifier.Wrap(c), nil
}
