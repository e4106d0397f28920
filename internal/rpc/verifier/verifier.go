// Package verifier keeps HTTP/1 answers that break the protocol away from those who read
// them.
//
// net/http reads more than RFC 9110 and RFC 9112 allow. The checks stand in front of it,
// at the bytes of the connection, so that each answer is checked in the same way, whoever
// asked for it: its status line, the field names of its head and of the interim answers
// before it, and what its head says of its framing. An answer that fails a check ends like
// a connection that breaks off, with an error that wraps ErrBroken.
//
// An answer with neither a length nor chunks ends with its connection. It is complete only
// if the connection ended regularly: with a FIN, and over TLS with a closure alert.
//
// # Usage
//
//	client := &http.Client{Transport: verifier.New(&http.Transport{...})}
//
// A connection for a single request needs no transport:
//
//	c := verifier.Wrap(connection)
//	c.Expect()
//	... // write the request
//	response, err := c.Verify(http.ReadResponse(bufio.NewReader(c), request))
package verifier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// ErrBroken is wrapped by the errors of answers that break the protocol.
var ErrBroken = errors.New("the answer breaks HTTP/1.1")

// ErrEarly is wrapped by the errors of answers that arrived before their requests, such as a
// second copy of the answer before. They tell nothing about the upstream's answer.
var ErrEarly = errors.New("the answer arrived before its request")

// errNoTLS is returned for https addresses by a transport that has no function for them.
var errNoTLS = errors.New("https addresses need a DialTLSContext")

// dial opens a connection, as the functions of an http.Transport do.
type dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport for HTTP/1 that rejects broken answers.
type Transport struct{ *http.Transport }

// New returns a Transport with the settings of base, which must not be used itself any
// more. Addresses with https need a DialTLSContext that completes the handshake, see
// WatchEnd.
func New(base *http.Transport) *Transport {
	plain, secure := dial(base.DialContext), dial(base.DialTLSContext)
	if plain == nil {
		plain = new(net.Dialer).DialContext
	}
	if secure == nil {
		secure = func(context.Context, string, string) (net.Conn, error) { return nil, errNoTLS }
	}
	base.DialContext = plain.wrapped
	base.DialTLSContext = secure.wrapped
	return &Transport{base}
}

// wrapped opens a connection whose answers are checked.
func (d dial) wrapped(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

// RoundTrip sends a request and checks the answer.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	// net/http may send the request again on another connection.
	var last atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c := i.Conn.(*Conn)
			c.Expect()
			last.Store(c)
		},
		GotFirstResponseByte: func() { last.Load().begun() },
	}
	response, err := t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	c := last.Load()
	if c == nil {
		return nil, err
	}
	return c.Verify(response, err)
}
