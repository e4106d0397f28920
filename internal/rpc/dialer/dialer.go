// Package dialer makes HTTP clients for calls between the system's own hosts.
//
// The clients use HTTP/2, over TLS when a configuration is given with WithTLS and
// otherwise without. A connection that goes silent is closed after a ping stays
// unanswered; a caller whose call timed out replaces it earlier through Renew.
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
)

// Times and limits of a connection.
const (
	// Dial bounds the set-up of a connection. Data centres are a few
	// milliseconds apart; a lost SYN is sent again after a second, which a
	// caller rather replaces by another host.
	Dial = 700 * time.Millisecond
	// Idle is the time without data after which a connection is probed.
	Idle = time.Second
	// Ping is how long the answer to a probe may take.
	Ping = 700 * time.Millisecond
	// MaxMessage bounds a message in bytes. A whole view of the largest fleet
	// that a registrar keeps takes a few megabytes.
	MaxMessage = 16 << 20
	// Unused is when a connection without calls is closed.
	Unused = 30 * time.Second
	// UnacknowledgedTimeout closes a connection whose data the other side has not
	// acknowledged for this time, which a keepalive probe does not notice.
	UnacknowledgedTimeout = 3 * time.Second
	// HandshakeTimeout bounds a TLS handshake: a few round trips and the signatures
	// of a busy host.
	HandshakeTimeout = time.Second
	// Headers bounds the reading of a request's headers, and a server's part of
	// a TLS handshake.
	Headers = 5 * time.Second
)

// MaxHeaderBytes bounds the headers of a request between hosts.
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

// Option changes a new Client.
type Option func(*Client)

// WithTLS makes every call use TLS, also to a URL with the scheme http, so that
// nothing can be sent in plain text by mistake.
func WithTLS(t TLS) Option { return func(c *Client) { c.tls = t } }

// New makes a client.
func New(options ...Option) *Client {
	c := &Client{}
	for _, o := range options {
		o(c)
	}
	c.inner.Store(c.fresh())
	return c
}

func (c *Client) fresh() *http.Client {
	p := new(http.Protocols)
	p.SetHTTP2(c.tls != nil)
	p.SetUnencryptedHTTP2(c.tls == nil)
	d := net.Dialer{Timeout: Dial, KeepAlive: 5 * time.Second, Control: SetUserTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:     d.DialContext,
		DialTLSContext:  c.dialTLS(&d),
		Protocols:       p,
		IdleConnTimeout: Unused,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  Idle,
			PingTimeout:      Ping,
			WriteByteTimeout: Ping,
		},
	}}
}

// dialTLS returns nil without TLS.
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

// DialTLS opens a connection and makes the handshake. Its errors have the
// operation dial, because no byte of a request has been sent.
func DialTLS(ctx context.Context, d *net.Dialer, network, address string, t *tls.Config) (*tls.Conn, error) {
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	c := tls.Client(raw, t)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: &HandshakeError{err}}
	}
	return c, nil
}

// Do makes a call.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	if c.tls != nil && r.URL.Scheme != "https" {
		r = r.WithContext(r.Context())
		u := *r.URL
		u.Scheme = "https"
		r.URL = &u
	}
	return c.inner.Load().Do(r)
}

// Renew makes later calls use new connections. Calls that are open stay on the
// old ones.
func (c *Client) Renew() {
	c.inner.Swap(c.fresh()).CloseIdleConnections()
}

// Close closes connections that are not in use.
func (c *Client) Close() {
	c.inner.Load().CloseIdleConnections()
}

// Options are the connect options of calls between hosts: the messages are
// small, so that compressing them costs more processor time than it saves.
func Options() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(MaxMessage)}
}

// Protocols returns what a server for these clients accepts.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// URL returns the base URL of a host's address. A client with TLS uses it too.
func URL(address string) string { return "http://" + address }

// NewServer returns a server for these clients.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         Protocols(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: Idle, PingTimeout: Ping},
		ReadHeaderTimeout: Headers,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Listen opens a listener whose connections end when the other side no longer
// acknowledges data.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{Control: SetUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// SetUserTimeout is a net.Dialer.Control that makes the kernel close connections
// whose data stays unacknowledged.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	return LimitUnacknowledged(c, UnacknowledgedTimeout)
}

// LimitUnacknowledged makes the kernel close the connection when its data stays
// unacknowledged for the time. The kernel counts data that waits for a reader
// with a full buffer as well.
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
