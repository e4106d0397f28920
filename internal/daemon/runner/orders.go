package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

const (
	// orderInterval is the time between two observations of the cell. Announcements
	// change once a second.
	orderInterval = 500 * time.Millisecond
	// controlTimeout bounds a call to one control host, so that another one can be
	// tried within issuer.CallTimeout.
	controlTimeout = time.Second
)

var errNoControl = errors.New("no control host is known")

// orders runs the issuer of this host's cell. It does nothing while the
// configuration has no placements.
type orders struct {
	entry   *entry
	logger  *zap.Logger
	sender  *sender.Sender
	clients []wireconnect.ControlClient
	group   conc.WaitGroup
	stop    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	issuer    *issuer.Issuer
	revision  uint64
	confirmed bool
	// lastAnswered is the index in clients of the control host that answered last.
	lastAnswered int
}

func newOrders(e *entry) *orders {
	o := &orders{
		entry:  e,
		logger: e.logger.Named("orders"),
		stop:   make(chan struct{}),
		issuer: issuer.New(issuer.Options{Cell: e.settings.Cell, Host: e.settings.Name, NewToken: uuid.NewString}),
	}
	o.sender = sender.New(sender.Options{
		Clock: e.clock, Logger: o.logger, TLS: e.upstreams, Report: func(r issuer.OrderResult) { o.step(r) },
	})
	for _, a := range e.controls() {
		o.clients = append(o.clients, wireconnect.NewControlClient(e.client, dialer.URL(a), dialer.Options()...))
	}
	return o
}

// Start observes the cell every orderInterval until Close.
func (o *orders) Start() {
	o.group.Go(func() {
		ticker := o.entry.clock.NewTicker(orderInterval)
		defer ticker.Stop()
		for {
			select {
			case <-o.stop:
				return
			case <-ticker.Chan():
				o.observe()
			}
		}
	})
}

// Close releases the lease on the cell, stops sending orders and waits for all
// goroutines. Later calls do nothing.
func (o *orders) Close() {
	o.once.Do(func() {
		close(o.stop)
		o.step(issuer.Observe{})
		o.sender.Close()
		o.group.Wait()
	})
}

// observe passes the confirmed configuration and the state of the cell to the issuer.
func (o *orders) observe() {
	e := o.entry
	current, fresh := e.follower.Current()
	fresh = fresh && current.Document != nil
	if fresh != o.confirmed || current.Revision != o.revision {
		o.confirmed, o.revision = fresh, current.Revision
		var wanted issuer.Configure
		if fresh {
			wanted = issuer.Configure{Placements: current.Document.Placements, Loads: current.Document.Loads}
		}
		o.step(wanted)
	}
	view := e.members.Snapshot()
	cell := e.settings.Cell
	seen := issuer.Observe{Owner: view.Owner(cell) == e.settings.Name && e.joined()}
	for _, u := range view.Upstreams(e.leaseClock.Now()) {
		if orderingCell(u) == cell {
			seen.Upstreams = append(seen.Upstreams, u)
		}
	}
	o.step(seen)
}

// orderingCell returns the cell whose issuer sends orders to the upstream. Every
// cell dispatches to an upstream without a cell, but only one may send it orders.
func orderingCell(u registrar.Upstream) registrar.CellName {
	if u.Cell == "" {
		return loader.DefaultCell
	}
	return u.Cell
}

// step passes an event to the issuer and carries out the actions that it returns.
func (o *orders) step(e issuer.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.issuer.Step(o.entry.clock.Now(), e) {
		switch a := a.(type) {
		case issuer.RequestLease:
			o.group.Go(func() { o.requestLease(a) })
		case issuer.Send:
			o.logger.Info("sending an order", zap.String("order", string(a.Order.ID)),
				zap.String("upstream", string(a.Order.Upstream)), zap.Strings("models", a.Order.State.Models),
				zap.Strings("adapters", a.Order.State.Adapters), zap.Strings("versions", a.Order.State.Versions),
				zap.String("role", a.Order.State.Role))
			o.sender.Send(a.Order)
		case issuer.Abort:
			o.sender.Abort()
		}
	}
}

// requestLease requests or releases a lease at control and passes the outcome of a
// request to the issuer.
func (o *orders) requestLease(a issuer.RequestLease) {
	r, err := o.callControl(&wire.LeaseRequest{
		Name: a.Name, Holder: a.Holder, Token: a.Token, Duration: a.Duration.Milliseconds(), Release: a.Release,
	})
	if err != nil {
		o.logger.Warn("control did not answer a request for a lease", zap.String("lease", a.Name), zap.Error(err))
	}
	switch {
	case a.Release:
	case err != nil:
		o.step(issuer.LeaseCallFailed{ID: a.ID})
	default:
		o.step(issuer.LeaseAnswer{
			ID: a.ID, Granted: r.Granted, Fence: issuer.Fence(r.Fence),
			Remaining: time.Duration(r.Remaining) * time.Millisecond,
		})
	}
}

// callControl calls the control hosts in turn, beginning with the one that answered
// last, for issuer.CallTimeout at most. It returns the last error, or errNoControl
// when there is no control host.
func (o *orders) callControl(q *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), o.entry.clock, issuer.CallTimeout)
	defer cancel()
	o.mu.Lock()
	first := o.lastAnswered
	o.mu.Unlock()
	err := errNoControl
	for i := range o.clients {
		n := (first + i) % len(o.clients)
		attempt, cancelAttempt := clockwork.WithTimeout(ctx, o.entry.clock, controlTimeout)
		r, attemptErr := o.clients[n].Lease(attempt, connect.NewRequest(q))
		cancelAttempt()
		if attemptErr == nil {
			o.mu.Lock()
			o.lastAnswered = n
			o.mu.Unlock()
			return r.Msg, nil
		}
		if err = attemptErr; ctx.Err() != nil {
			break
		}
	}
	return nil, err
}
