package runner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/duty/keeper"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// groupTimeout bounds a call to one control host on behalf of a duty, so that others can
// be tried before a lease has ended.
const groupTimeout = 500 * time.Millisecond

var errNoControl = errors.New("no control host is known")

// controlGroup calls the control hosts for leases and kept values: those that are known
// now, beginning with the one that answered last, or after a call without an answer with
// the next one. It implements keeper.Leaser.
type controlGroup struct {
	addresses func() []string
	client    connect.HTTPClient
	clock     clockwork.Clock
	// timeout bounds a call to one control host.
	timeout time.Duration

	mu      sync.Mutex
	clients map[string]wireconnect.ControlClient
	// first is the address of the control host that is asked first.
	first string
}

func newControlGroup(e *entry, timeout time.Duration) *controlGroup {
	return &controlGroup{
		addresses: e.controls, client: e.client, clock: e.clock, timeout: timeout,
		clients: map[string]wireconnect.ControlClient{},
	}
}

// Lease implements keeper.Leaser.
func (g *controlGroup) Lease(ctx context.Context, q *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	return askGroup(ctx, g, q, wireconnect.ControlClient.Lease)
}

// Keep reads or writes a named value.
func (g *controlGroup) Keep(ctx context.Context, q *wire.KeepRequest) (*wire.KeepResponse, error) {
	return askGroup(ctx, g, q, wireconnect.ControlClient.Keep)
}

// askGroup calls the control hosts in turn. It returns the last error, or errNoControl if
// there is no control host.
func askGroup[Q, R any](ctx context.Context, g *controlGroup, q *Q,
	call func(wireconnect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*R, error) {
	err := errNoControl
	list := g.order()
	for _, a := range list {
		attempt, cancel := clockwork.WithTimeout(ctx, g.clock, g.timeout)
		r, attemptErr := call(g.control(a), attempt, connect.NewRequest(q))
		cancel()
		if attemptErr == nil {
			g.begin(a)
			return r.Msg, nil
		}
		if err = attemptErr; ctx.Err() != nil {
			break
		}
	}
	if len(list) > 1 {
		g.begin(list[1])
	}
	return nil, err
}

// order lists the addresses of the control hosts, in the order in which they are asked, and
// forgets the clients of others.
func (g *controlGroup) order() []string {
	all := g.addresses()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.clients, func(a string, _ wireconnect.ControlClient) bool { return !slices.Contains(all, a) })
	i := max(slices.Index(all, g.first), 0)
	return slices.Concat(all[i:], all[:i])
}

// begin sets the control host that is asked first.
func (g *controlGroup) begin(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.first = address
}

// control returns the client of a control host.
func (g *controlGroup) control(address string) wireconnect.ControlClient {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clients[address]
	if c == nil {
		c = wireconnect.NewControlClient(g.client, dialer.URL(address), dialer.Options()...)
		g.clients[address] = c
	}
	return c
}

// newKeeper returns a keeper of the duty with the name on this host.
func (e *entry) newKeeper(name string, g *controlGroup, changed func(held bool)) *keeper.Keeper {
	return keeper.New(name, g,
		keeper.WithHolder(e.settings.Name),
		keeper.WithDuration(time.Duration(e.settings.Provider.Lease)),
		keeper.WithClock(e.leaseClock),
		keeper.WithLogger(e.logger.Named("duty")),
		keeper.WithChanged(changed),
	)
}
