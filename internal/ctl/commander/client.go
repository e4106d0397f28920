package commander

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// maxAnswer bounds the size of an answer in bytes. A history of 1000 entries with 200
// lines each stays below it.
const maxAnswer = 64 << 20

// newTransport returns a transport for HTTP/2, the only protocol of control hosts. It
// uses TLS unless t is nil. The timeout bounds the time to connect.
func newTransport(timeout time.Duration, t dialer.TLS) *http.Transport {
	var p http.Protocols
	p.SetHTTP2(t != nil)
	p.SetUnencryptedHTTP2(t == nil)
	return &http.Transport{
		Protocols:      &p,
		DialContext:    (&net.Dialer{Timeout: timeout}).DialContext,
		DialTLSContext: dialTLS(timeout, t, "h2"),
	}
}

// dialTLS returns a function that opens a TLS connection for the protocol, or nil when
// t is nil.
func dialTLS(timeout time.Duration, t dialer.TLS, protocol string) func(context.Context, string, string) (net.Conn, error) {
	if t == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		config := t(address)
		config.NextProtos = []string{protocol}
		c, err := dialer.DialTLS(ctx, &net.Dialer{Timeout: timeout}, network, address, config)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// secure returns the TLS configuration for hosts with one of the roles, or nil when no
// certificates are configured.
func (c *command) secure(roles ...authenticator.Role) (dialer.TLS, error) {
	if c.certificate == "" && c.authority == "" {
		return nil, nil
	}
	if c.certificate == "" || c.authority == "" || c.key == "" {
		return nil, fail(ExitUsage, "--authority, --certificate and --key are needed together")
	}
	// The value may be an operator key that was meant for hosts without TLS, so an
	// error must not print it as the name of a missing file.
	if _, err := os.Stat(c.key); err != nil {
		return nil, fail(ExitUsage, "with --certificate, --key (or AMARANTH_KEY) must name the file with the private key; no such file can be read")
	}
	var accept []authenticator.Identity
	for _, r := range roles {
		accept = append(accept, authenticator.Identity{Role: r})
	}
	a, err := authenticator.Open(authenticator.Options{
		Files:  authenticator.Files{Certificate: c.certificate, Key: c.key, Authority: c.authority},
		Accept: func(string) []authenticator.Identity { return accept },
	})
	if err != nil {
		return nil, fail(ExitFailed, "%w", err)
	}
	return a.Client, nil
}

// scheme returns the scheme of the URLs of hosts.
func (c *command) scheme() string {
	if c.certificate == "" {
		return "http://"
	}
	return "https://"
}

// try is the failure of one host.
type try struct {
	address string
	err     error
}

// triesError is the error when no control host has answered.
type triesError struct {
	// tries holds the last failure of each host.
	tries []try
	// secure is set when certificates were used.
	secure bool
	// sent is set when at least one host may have received the request.
	sent bool
}

// Error lists the last failure of each host.
func (e *triesError) Error() string {
	l := []string{"no control host answered:"}
	for _, t := range e.tries {
		l = append(l, fmt.Sprintf("  %s: %s", t.address, explainError(t.err, e.secure)))
	}
	return strings.Join(l, "\n")
}

// explainError returns the text of an error, with a hint when the likely cause is a
// wrong address or missing TLS.
func explainError(err error, secure bool) string {
	text := err.Error()
	var e *connect.Error
	if errors.As(err, &e) {
		text = e.Message()
	}
	text = printable(text)
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented:
		return text + " (the host does not serve this request: is this the peers address of a control host, and has it the same version as amaranthctl?)"
	case connect.CodeDeadlineExceeded:
		return "no answer in time"
	}
	if secure && !connect.IsWireError(err) && !undelivered(err) {
		return text + " (the connection broke off: is this the peers address, has the host the setting tls, and does it accept the certificate?)"
	}
	if !connect.IsWireError(err) && !undelivered(err) {
		// A port that speaks HTTP/1 or TLS answers in its own protocol, or
		// closes the connection before its answer is read.
		return text + " (the connection broke off: is this the peers address, which speaks HTTP/2 without TLS?)"
	}
	return text
}

// final reports whether the answer would be the same from any other host.
func final(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodeOutOfRange,
		connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return connect.IsWireError(err)
	}
	return false
}

// undelivered reports whether the request certainly did not reach the host, because no
// connection was made.
func undelivered(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// callControl sends a request to the control hosts in turn until one answers. It makes several
// rounds, because a group without a leader elects one within 2 s.
func callControl[Q, A any](ctx context.Context, c *command, method func(wireconnect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error), message *Q) (*A, error) {
	if len(c.controls) == 0 {
		return nil, fail(ExitUsage, "the addresses of control hosts are required: set --control or AMARANTH_CONTROL")
	}
	t, err := c.secure(authenticator.Control)
	if err != nil {
		return nil, err
	}
	failed := &triesError{tries: make([]try, len(c.controls)), secure: t != nil}
	for round := range rounds {
		if err := c.pause(ctx, round); err != nil {
			return nil, err
		}
		for i, address := range c.controls {
			answer, err := callOne(ctx, c, t, address, method, message)
			if err == nil {
				return answer, nil
			}
			if final(err) {
				return nil, fail(ExitFailed, "%s refused the request: %s", address, explainError(err, failed.secure))
			}
			failed.tries[i] = try{address, err}
			failed.sent = failed.sent || !undelivered(err)
		}
	}
	return nil, &exitError{code: ExitUnreachable, err: failed}
}

// pause waits before every round but the first.
func (c *command) pause(ctx context.Context, round int) error {
	if round == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", ctx.Err())
	case <-time.After(c.Pause):
		return nil
	}
}

// callOne sends a request to one control host and waits at most the timeout of the
// command for the answer.
func callOne[Q, A any](ctx context.Context, c *command, secure dialer.TLS, address string, method func(wireconnect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error), message *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	t := newTransport(c.timeout, secure)
	defer t.CloseIdleConnections()
	client := wireconnect.NewControlClient(&http.Client{Transport: t}, c.scheme()+address, connect.WithReadMaxBytes(maxAnswer))
	request := connect.NewRequest(message)
	c.authorize(request.Header())
	response, err := method(client, ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// authorize adds the operator key. With certificates, key names a file and is not sent.
func (c *command) authorize(h http.Header) {
	if c.key != "" && c.certificate == "" {
		h.Set("Authorization", "Bearer "+c.key)
	}
}
