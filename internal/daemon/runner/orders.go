package runner

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/order/sender"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
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

// orders runs the issuer of this host's cell. It does nothing while the
// configuration has no placements.
type orders struct {
	entry   *entry
	logger  *zap.Logger
	sender  *sender.Sender
	control *controlGroup
	group   conc.WaitGroup
	stop    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	issuer    *issuer.Issuer
	revision  uint64
	confirmed bool
}

func newOrders(e *entry) *orders {
	o := &orders{
		entry:   e,
		logger:  e.logger.Named("orders"),
		stop:    make(chan struct{}),
		control: newControlGroup(e, controlTimeout),
		issuer:  issuer.New(issuer.Options{Cell: e.settings.Cell, Host: e.settings.Name, NewToken: uuid.NewString}),
	}
	o.sender = sender.New(sender.Options{
		Clock: e.clock, Logger: o.logger, TLS: e.upstreams, Report: func(r issuer.OrderResult) { o.step(r) },
	})
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
	ctx, cancel := clockwork.WithTimeout(context.Background(), o.entry.clock, issuer.CallTimeout)
	defer cancel()
	r, err := o.control.Lease(ctx, &wire.LeaseRequest{
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
