// Package sender sends orders to engines.
//
// Each order is one POST of JSON to /orders at the engine's address, over a
// separate connection: a reused connection could be dead, and an order could wait
// in its buffers after the sender has given up. An order whose lease has ended is
// not sent.
//
// # Usage
//
//	s := sender.New(sender.Options{Report: func(o issuer.OrderResult) { events <- o }})
//	defer s.Close()
//	s.Send(order)
//	s.Abort() // gives up all orders that are being sent
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// Path is the HTTP path at which engines accept orders.
const Path = "/orders"

// maxResponse bounds the bytes that are read of a response body.
const maxResponse = 64 << 10

// maxHead bounds the head of a response in bytes.
const maxHead = 64 << 10

// orderBody is the JSON form of an order.
type orderBody struct {
	ID       issuer.OrderID `json:"id"`
	Fence    issuer.Fence   `json:"fence"`
	Models   []string       `json:"models"`
	Adapters []string       `json:"adapters"`
	Versions []string       `json:"versions"`
	Role     string         `json:"role"`
}

// Options configures a Sender.
type Options struct {
	// Report is called with the outcome of each order, on any goroutine.
	Report func(issuer.OrderResult)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Logger defaults to one that logs nothing.
	Logger *zap.Logger
	// TLS is for engines with https addresses; without it they get no orders.
	TLS dialer.TLS
}

// Sender sends orders. It is safe for concurrent use.
type Sender struct {
	options Options
	client  *http.Client
	group   conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	context context.Context
	cancel  context.CancelFunc
}

// New returns a Sender.
func New(o Options) *Sender {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	s := &Sender{options: o}
	s.client = &http.Client{
		Transport: verifier.New(&http.Transport{DialContext: s.dial, DialTLSContext: s.dialTLS, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead}),
		// A redirect could lead the order to another engine.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// untilKey is the context key of the end of an order's lease.
type untilKey struct{}

var errLeaseEnded = errors.New("the lease of the order has ended")

// dial checks the lease again once the connection is open, as late as possible
// before the order is written.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: issuer.SendTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.checkLease(ctx, c)
}

var errNoTLS = errors.New("this host has no setting tls, so that it can't call an https address")

// dialTLS does the same as dial over TLS; it checks the lease after the handshake.
func (s *Sender) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	if s.options.TLS == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errNoTLS}
	}
	d := net.Dialer{Timeout: issuer.SendTimeout}
	c, err := dialer.DialTLS(ctx, &d, network, address, s.options.TLS(address))
	if err != nil {
		return nil, err
	}
	return s.checkLease(ctx, c)
}

// checkLease closes the connection and returns an error when the lease of the order
// has ended.
func (s *Sender) checkLease(ctx context.Context, c net.Conn) (net.Conn, error) {
	if until, ok := ctx.Value(untilKey{}).(time.Time); ok && !s.options.Clock.Now().Before(until) {
		return nil, errors.Join(errLeaseEnded, c.Close())
	}
	return c, nil
}

// Send starts to send an order and returns. The outcome is reported to
// Options.Report within issuer.SendTimeout. A closed sender drops the order.
func (s *Sender) Send(o issuer.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	parent := s.context
	s.group.Go(func() {
		ctx, cancel := clockwork.WithTimeout(parent, s.options.Clock, issuer.SendTimeout)
		defer cancel()
		outcome, err := s.post(ctx, o)
		if err != nil {
			s.options.Logger.Warn("order was not accepted", zap.String("order", string(o.ID)),
				zap.String("upstream", string(o.Upstream)), zap.Error(err))
		}
		s.options.Report(issuer.OrderResult{ID: o.ID, Upstream: o.Upstream, Outcome: outcome})
	})
}

// Abort gives up all orders that are being sent. Their outcomes are still reported.
func (s *Sender) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.context, s.cancel = context.WithCancel(context.Background())
}

// Close gives up all orders and waits until their outcomes are reported.
func (s *Sender) Close() {
	s.Abort()
	s.mu.Lock()
	s.closed = true
	s.cancel()
	s.mu.Unlock()
	s.group.Wait()
	s.client.CloseIdleConnections()
}

// post sends an order and returns its outcome, with an error unless the engine
// accepted the order.
func (s *Sender) post(ctx context.Context, o issuer.Order) (issuer.Outcome, error) {
	data, err := json.Marshal(orderBody{o.ID, o.Fence, o.State.Models, o.State.Adapters, o.State.Versions, o.State.Role})
	if err != nil {
		return issuer.Failed, fmt.Errorf("encode order: %w", err)
	}
	ctx = context.WithValue(ctx, untilKey{}, o.Until)
	// The body can't be read twice, which keeps the transport from sending an
	// order twice.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, registrar.Upstream{Address: o.Address}.URL()+Path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return issuer.Failed, fmt.Errorf("address of the upstream: %w", err)
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	if !s.options.Clock.Now().Before(o.Until) {
		return issuer.Refused, errLeaseEnded
	}
	response, err := s.client.Do(request)
	if err != nil {
		return outcomeOfError(err), fmt.Errorf("send order: %w", err)
	}
	// An answer that breaks off is none, whatever its status says.
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponse))
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return issuer.Failed, fmt.Errorf("read answer: %w", err)
	}
	switch {
	case response.StatusCode >= 200 && response.StatusCode < 300:
		return issuer.Accepted, nil
	case response.StatusCode == http.StatusConflict:
		return issuer.Stale, fmt.Errorf("the engine has seen a higher fencing number than %d", o.Fence)
	}
	err = fmt.Errorf("the engine answered with status %d", response.StatusCode)
	if rejectsOrder(response.StatusCode) {
		return issuer.Refused, err
	}
	return issuer.Failed, err
}

// outcomeOfError returns Refused when the order was certainly not sent, because the
// connection was never opened or the lease had ended, and Failed otherwise.
func outcomeOfError(err error) issuer.Outcome {
	var failed *net.OpError
	if errors.Is(err, errLeaseEnded) || errors.As(err, &failed) && failed.Op == "dial" {
		return issuer.Refused
	}
	return issuer.Failed
}

// rejectsOrder reports whether the HTTP status means that the engine has not accepted
// the order. Other server errors may occur after the load has begun.
func rejectsOrder(status int) bool {
	return status >= 300 && status < 500 || status == http.StatusNotImplemented || status == http.StatusServiceUnavailable
}
