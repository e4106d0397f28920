// Package dialer makes the HTTP/2 clients and servers that amaranthcart's own
// processes use between each other.
//
// # Usage
//
//	client := dialer.NewClient()
//	defer client.CloseIdleConnections()
//	peer := wireconnect.NewPeerClient(client, dialer.URL("127.0.0.1:7000"))
//
//	server := dialer.NewServer(handler)
package dialer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection; hosts are at most a few
	// milliseconds apart.
	dialTimeout = time.Second
	// pingAfter is the silence after which a connection is probed.
	pingAfter = time.Second
	// pingTimeout is how long a probe may stay unanswered before the
	// connection is closed and replaced.
	pingTimeout = time.Second
	// userTimeout closes a connection whose data stays unacknowledged, which
	// a keepalive probe alone does not notice.
	userTimeout = 3 * time.Second
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of a request between processes.
	maxHeaderBytes = 64 << 10
)

// URL returns the base URL of a process's address.
func URL(address string) string {
	return "http://" + address
}

// NewClient returns a client that speaks HTTP/2 without TLS and replaces
// connections that have gone silent.
func NewClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	d := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		DialContext: d.DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// NewServer returns a server that speaks HTTP/1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Listen opens a listener whose connections time out when the other side
// stops acknowledging data.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	set := func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}
	if err := c.Control(set); err != nil {
		return err
	}
	return failure
}
