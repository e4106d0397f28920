// Package dialer makes HTTP clients for calls between the system's own hosts.
//
// The clients use HTTP/2 without TLS. A connection that goes silent is closed
// after a ping stays unanswered; a caller whose call timed out replaces it
// earlier through Renew.
//
// # Usage
//
//	c := dialer.New()
//	defer c.Close()
//	peer := wireconnect.NewPeerClient(c, "http://10.0.0.7:7000", dialer.Options()...)
package dialer

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
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
)

// Client makes calls over connections that can be replaced. It implements
// connect.HTTPClient.
type Client struct {
	inner atomic.Pointer[http.Client]
}

// New makes a client.
func New() *Client {
	c := &Client{}
	c.inner.Store(fresh())
	return c
}

func fresh() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	d := net.Dialer{Timeout: Dial, KeepAlive: 5 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:     d.DialContext,
		Protocols:       p,
		IdleConnTimeout: Unused,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  Idle,
			PingTimeout:      Ping,
			WriteByteTimeout: Ping,
		},
	}}
}

// Do makes a call.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	return c.inner.Load().Do(r)
}

// Renew makes later calls use new connections. Calls that are open stay on the
// old ones.
func (c *Client) Renew() {
	c.inner.Swap(fresh()).CloseIdleConnections()
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
	p.SetUnencryptedHTTP2(true)
	return p
}
