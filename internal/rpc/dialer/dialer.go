// Package dialer creates HTTP clients and servers for calls between the system's own hosts.
//
// The clients use HTTP/2, over TLS when a configuration is given with WithTLS and
// otherwise without. A silent connection is closed when a ping stays unanswered; a
// caller whose call timed out replaces it earlier with Renew.
//
// # Usage
//
//	c := dialer.New()
//	defer c.Close()
//	peer := wireconnect.NewPeerClient(c, "http://10.0.0.7:7000", dialer.Options()...)
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"

	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// DialTimeout and the constants that follow are the times and limits of a connection.
const (
	// DialTimeout bounds the set-up of a TCP connection. Data centres are a few
	// milliseconds apart; a lost SYN is sent again after a second, and a caller
	// rather tries another host than wait for that.
	DialTimeout = 700 * time.Millisecond
	// PingDelay is the time without data after which a ping is sent.
	PingDelay = time.Second
	// PingTimeout is how long the answer to a ping may take before the connection is
	// closed.
	PingTimeout = 700 * time.Millisecond
	// MaxMessage bounds a message in bytes. A whole view of the largest fleet
	// that a registrar keeps takes a few megabytes.
	MaxMessage = 16 << 20
	// RetireDelay is the time after which replaced connections without calls are
	// closed. The call that showed that a connection is silent has ended by then.
	RetireDelay = 2 * time.Second
	// IdleTimeout is the time without calls after which a connection is closed.
	IdleTimeout = 30 * time.Second
	// UnacknowledgedTimeout closes a connection whose data the other side has not
	// acknowledged for this time, which a keepalive probe does not notice.
	UnacknowledgedTimeout = 3 * time.Second
	// HandshakeTimeout bounds a TLS handshake: a few round trips and the signatures
	// of a busy host.
	HandshakeTimeout = time.Second
	// HeaderTimeout bounds the reading of a request's headers, and the time that a
	// server allows for a TLS handshake.
	HeaderTimeout = 5 * time.Second
)

// MaxHeaderBytes bounds the size in bytes of the headers of a request between hosts.
const MaxHeaderBytes = 64 << 10

// Client makes calls over connections that can be replaced. It implements
// connect.HTTPClient.
type Client struct {
	tls   TLS
	inner atomic.Pointer[http.Client]
}

// TLS returns the configuration for a connection to the address. A nil TLS
// means connections without TLS.
type TLS func(address string) *tls.Config

// Option configures a new Client.
type Option func(*Client)

// WithTLS makes every call use TLS, also to a URL with the scheme http, so that
// nothing can be sent in plain text by mistake.
func WithTLS(t TLS) Option { return func(c *Client) { c.tls = t } }

// New returns a client, which uses no TLS without WithTLS.
func New(options ...Option) *Client {
	c := &Client{}
	for _, o := range options {
		o(c)
	}
	c.inner.Store(c.newHTTPClient())
	return c
}

func (c *Client) newHTTPClient() *http.Client {
	p := new(http.Protocols)
	p.SetHTTP2(c.tls != nil)
	p.SetUnencryptedHTTP2(c.tls == nil)
	d := net.Dialer{Timeout: DialTimeout, KeepAlive: 5 * time.Second, Control: SetUserTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:     d.DialContext,
		DialTLSContext:  c.dialTLS(&d),
		Protocols:       p,
		IdleConnTimeout: IdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  PingDelay,
			PingTimeout:      PingTimeout,
			WriteByteTimeout: PingTimeout,
		},
	}}
}

// dialTLS returns a function that dials with TLS and offers only HTTP/2. It is nil
// without TLS.
func (c *Client) dialTLS(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	if c.tls == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		t := c.tls(address)
		t.NextProtos = []string{"h2"}
		return DialTLS(ctx, d, network, address, t)
	}
}

// HandshakeError is the failure of a TLS handshake.
type HandshakeError struct{ Err error }

// Error describes the failure.
func (e *HandshakeError) Error() string { return "tls handshake: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

// DialTLS opens a connection and completes the handshake within HandshakeTimeout. Its
// errors are a *net.OpError with the operation dial, because no byte of a request has
// been sent; a failed handshake is a *HandshakeError in it.
func DialTLS(ctx context.Context, d *net.Dialer, network, address string, t *tls.Config) (*tls.Conn, error) {
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	c := tls.Client(verifier.WatchEnd(raw), t)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: &HandshakeError{err}}
	}
	return c, nil
}

// Do sends a request over the current connections. It implements connect.HTTPClient.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	if c.tls != nil && r.URL.Scheme != "https" {
		r = r.WithContext(r.Context())
		u := *r.URL
		u.Scheme = "https"
		r.URL = &u
	}
	return c.inner.Load().Do(r)
}

// Renew makes later calls use new connections. Open calls stay on the old ones, which
// take no new calls and are closed once they have none, after RetireDelay at the earliest:
// hundreds of hosts that keep replaced connections to a host for IdleTimeout take up its
// memory and file descriptors when it is late already.
func (c *Client) Renew() {
	old := c.inner.Swap(c.newHTTPClient())
	old.CloseIdleConnections()
	time.AfterFunc(RetireDelay, old.CloseIdleConnections)
}

// Close closes connections that are not in use.
func (c *Client) Close() {
	c.inner.Load().CloseIdleConnections()
}

// Options returns the connect options of calls between hosts. Compression is off, because
// the messages are small and it would cost more processor time than it saves.
func Options() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(MaxMessage)}
}

// Protocols returns the protocols that a server for these clients accepts.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// URL returns the base URL of a host's address, also for a client with TLS, which
// replaces the scheme.
func URL(address string) string { return "http://" + address }

// NewServer returns a server for these clients without a TLS configuration.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         Protocols(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: PingDelay, PingTimeout: PingTimeout},
		ReadHeaderTimeout: HeaderTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Listen opens a TCP listener whose connections are closed when the other side has not
// acknowledged data for UnacknowledgedTimeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{Control: SetUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// SetUserTimeout is a function for net.Dialer.Control and net.ListenConfig.Control. It makes
// the kernel close connections whose data stays unacknowledged for UnacknowledgedTimeout.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	return LimitUnacknowledged(c, UnacknowledgedTimeout)
}

// LimitUnacknowledged makes the kernel close the connection when its data stays
// unacknowledged for d, which is cut to whole milliseconds. Data that waits because the
// buffer of the reader is full counts as well.
func LimitUnacknowledged(c syscall.RawConn, d time.Duration) error {
	var failure error
	set := func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}
	if err := c.Control(set); err != nil {
		return err
	}
	return failure
}
