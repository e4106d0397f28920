// Package sender sends orders to engines.
//
// Each order is one POST of JSON to /orders at the engine's address, over a
// connection of its own: a connection that is kept could be silent, and an
// order could wait in its buffers after the sender has given up. An order whose
// lease has ended is not sent.
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
)

// Path is where engines take orders.
const Path = "/orders"

// maxAnswer bounds what is read of an answer.
const maxAnswer = 64 << 10

// body is an order as engines read it.
type body struct {
	ID       issuer.OrderID `json:"id"`
	Fence    issuer.Fence   `json:"fence"`
	Models   []string       `json:"models"`
	Adapters []string       `json:"adapters"`
	Versions []string       `json:"versions"`
	Role     string         `json:"role"`
}

// Options configures a Sender.
type Options struct {
	// Report is called with the outcome of each order, by any goroutine.
	Report func(issuer.OrderResult)
	Clock  clockwork.Clock
	Logger *zap.Logger
	// TLS is for engines with https addresses; without it they get no orders.
	TLS dialer.TLS
}

// Sender sends orders.
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
		Transport: &http.Transport{DialContext: s.dial, DialTLSContext: s.dialTLS, DisableKeepAlives: true},
		// A redirected order could reach an engine that it isn't meant for.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// untilKey is the context key of the end of an order's lease.
type untilKey struct{}

var errEnded = errors.New("the lease of the order has ended")

// dial looks at the lease once more when the connection is open, as late as
// possible before the order is written.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: issuer.SendTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.check(ctx, c)
}

var errNoTLS = errors.New("this host has no setting tls, so that it can't call an https address")

// dialTLS looks at the lease after the handshake.
func (s *Sender) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	if s.options.TLS == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errNoTLS}
	}
	d := net.Dialer{Timeout: issuer.SendTimeout}
	c, err := dialer.DialTLS(ctx, &d, network, address, s.options.TLS(address))
	if err != nil {
		return nil, err
	}
	return s.check(ctx, c)
}

// check closes a connection for an order whose lease has ended.
func (s *Sender) check(ctx context.Context, c net.Conn) (net.Conn, error) {
	if until, ok := ctx.Value(untilKey{}).(time.Time); ok && !s.options.Clock.Now().Before(until) {
		return nil, errors.Join(errEnded, c.Close())
	}
	return c, nil
}

// Send sends an order and reports its outcome later. A closed sender drops it.
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

// Abort gives up all orders that are being sent.
func (s *Sender) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.context, s.cancel = context.WithCancel(context.Background())
}

// Close gives up all orders and waits for the goroutines.
func (s *Sender) Close() {
	s.Abort()
	s.mu.Lock()
	s.closed = true
	s.cancel()
	s.mu.Unlock()
	s.group.Wait()
	s.client.CloseIdleConnections()
}

func (s *Sender) post(ctx context.Context, o issuer.Order) (issuer.Outcome, error) {
	data, err := json.Marshal(body{o.ID, o.Fence, o.State.Models, o.State.Adapters, o.State.Versions, o.State.Role})
	if err != nil {
		return issuer.Failed, fmt.Errorf("encode order: %w", err)
	}
	ctx = context.WithValue(ctx, untilKey{}, o.Until)
	// The body can't be read again, so that the transport never sends an order
	// twice.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, registrar.Upstream{Address: o.Address}.URL()+Path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return issuer.Failed, fmt.Errorf("address of the upstream: %w", err)
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	if !s.options.Clock.Now().Before(o.Until) {
		return issuer.Refused, errEnded
	}
	response, err := s.client.Do(request)
	if err != nil {
		return unsent(err), fmt.Errorf("send order: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
	if err := response.Body.Close(); err != nil {
		return issuer.Failed, fmt.Errorf("read answer: %w", err)
	}
	switch {
	case response.StatusCode >= 200 && response.StatusCode < 300:
		return issuer.Accepted, nil
	case response.StatusCode == http.StatusConflict:
		return issuer.Stale, fmt.Errorf("the engine has seen a higher fencing number than %d", o.Fence)
	}
	err = fmt.Errorf("the engine answered with status %d", response.StatusCode)
	if takesNone(response.StatusCode) {
		return issuer.Refused, err
	}
	return issuer.Failed, err
}

// unsent tells a connection that was never opened from one that failed later.
func unsent(err error) issuer.Outcome {
	var failed *net.OpError
	if errors.Is(err, errEnded) || errors.As(err, &failed) && failed.Op == "dial" {
		return issuer.Refused
	}
	return issuer.Failed
}

// takesNone reports whether an engine that answers with the status has not
// taken the order. Other server errors may come after the load has begun.
func takesNone(status int) bool {
	return status >= 300 && status < 500 || status == http.StatusNotImplemented || status == http.StatusServiceUnavailable
}
