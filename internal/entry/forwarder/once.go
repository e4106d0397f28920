package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"

	"github.com/sourcegraph/conc"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// maxInterim bounds the number of 1xx responses before the final one.
const maxInterim = 8

// sendOnce sends a call that must not be repeated. It writes the request on a new
// connection and reads one answer. It does not use net/http's Transport, which by
// itself resends some requests when a pooled connection turns out to be closed, among
// them those with an Idempotency-Key header.
func (t *plainAttempt) sendOnce(ctx context.Context) (*http.Response, error) {
	request, err := t.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	ready := func() error {
		t.sent.Store(true)
		return nil
	}
	return t.forwarder.pool.sendOnNewConnection(ctx, t.slot.Upstream(), request, "", ready)
}

// sendOnNewConnection sends the request on a new connection. A target that isn't
// empty is written in place of the request's own. ready is called before the first byte may
// be sent; if it returns an error, none is.
func (p *pool) sendOnNewConnection(ctx context.Context, u registrar.Upstream, request *http.Request, target string, ready func() error) (*http.Response, error) {
	request.Close = true
	connection, err := p.open(ctx, u)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	stop := context.AfterFunc(ctx, connection.Abort)
	if ctx.Err() != nil {
		connection.Abort()
		return nil, context.Cause(ctx)
	}
	if err := ready(); err != nil {
		stop()
		connection.Abort()
		return nil, err
	}
	connection.Expect()
	x := &exchange{connection: connection, stop: stop}
	// The upstream may answer before it has read the whole body.
	x.group.Go(func() { x.written = request.Write(withTarget(connection, request.Method, target)) })
	head := &io.LimitedReader{R: connection, N: maxAnswerHeader}
	response, err := connection.Verify(readResponse(bufio.NewReaderSize(head, readBuffer), request))
	if err != nil {
		err = errors.Join(err, x.Close())
		return nil, fmt.Errorf("read answer: %w", err)
	}
	head.N = math.MaxInt64
	x.body = response.Body
	response.Body = x
	return response, nil
}

// readResponse reads the final response and skips up to maxInterim 1xx responses.
func readResponse(r *bufio.Reader, q *http.Request) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(r, q)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, fmt.Errorf("%w: no final status", errBadAnswer)
}

// abort closes a connection of the pool at once.
func abort(c net.Conn) {
	if v, ok := c.(*verifier.Conn); ok {
		v.Abort()
		return
	}
	_ = c.Close()
}

// exchange is the body of an answer on a connection that is closed with it.
type exchange struct {
	connection *verifier.Conn
	stop       func() bool
	group      conc.WaitGroup
	written    error
	body       io.ReadCloser
}

// Read reads the answer's body.
func (x *exchange) Read(b []byte) (int, error) {
	return x.body.Read(b)
}

// Close closes the connection and waits for the goroutine that writes the request. It
// returns that goroutine's error.
func (x *exchange) Close() error {
	x.stop()
	x.connection.Abort()
	x.group.Wait()
	return x.written
}
