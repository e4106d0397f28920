// Package orderer orders upstreams from the provider while this host holds the duty for it.
//
// The numbers that a sizer decides are kept in the replicated log under the fencing number
// of the lease before the first call that carries them. The next holder goes on from them
// and orders them again under its own number, after which the provider refuses what its
// predecessor may still have under way.
//
// # Usage
//
//	o := orderer.New(orderer.Options{Keeper: k, Store: control, Provider: p, Observe: observe})
//	o.Start()
//	defer o.Close()
//
// Close waits for calls under way. The keeper is closed after it.
package orderer

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/fleet/sizer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// Interval is the time between two looks at the pools. Upstreams announce themselves
	// about once a second.
	Interval = 500 * time.Millisecond
	// keepTimeout bounds a call to control.
	keepTimeout = 2 * time.Second
	// callTimeout bounds a call to the provider. A slow one is repeated with the same
	// content.
	callTimeout = 3 * time.Second
	// settleTime is how long the number of upstreams has to stay the same before a pool
	// without a kept plan gets one. A view that is still filling shows too few.
	settleTime = 2500 * time.Millisecond
)

// Keeper holds the lease of the duty.
type Keeper interface {
	Offer(bool)
	Authority() (provider.Authority, bool)
	Guard(context.Context, provider.Authority) context.Context
	Refused()
	Failed()
	Succeeded()
}

// Store keeps named values: Control.Keep at one of the control hosts.
type Store interface {
	Keep(context.Context, *wire.KeepRequest) (*wire.KeepResponse, error)
}

// Pool is what is seen of a pool that may be ordered.
type Pool struct {
	Name    validator.PoolName
	Scaling *validator.Scaling
	Input   sizer.Input
}

// Observe returns the pools that may be ordered. It reports false on a host that does not
// own the cell or does not know the configuration.
type Observe func() ([]Pool, bool)

// Options are the parts that an Orderer works with.
type Options struct {
	Keeper   Keeper
	Store    Store
	Provider provider.Provider
	Observe  Observe
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Metrics  metrics.Registry
}

// Orderer orders upstreams. It is safe for concurrent use.
type Orderer struct {
	Options
	group  conc.WaitGroup
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc

	// fence is that of the lease under which pools were loaded.
	fence provider.Fence
	pools map[validator.PoolName]*pool
	// found holds the numbers of upstreams, also from before the duty was held.
	found map[validator.PoolName]sighting
}

// sighting is a number of upstreams and since when it has been the same.
type sighting struct {
	count sizer.Count
	since time.Time
}

// New returns an Orderer that does nothing before Start.
func New(o Options) *Orderer {
	r := &Orderer{Options: o, pools: map[validator.PoolName]*pool{}, found: map[validator.PoolName]sighting{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start looks at the pools every Interval until Close.
func (o *Orderer) Start() {
	o.group.Go(func() {
		ticker := o.Clock.NewTicker(Interval)
		defer ticker.Stop()
		for {
			select {
			case <-o.ctx.Done():
				return
			case <-ticker.Chan():
				o.round()
			}
		}
	})
}

// Close stops the calls and waits for them. Later calls do nothing.
func (o *Orderer) Close() {
	o.once.Do(func() {
		o.cancel()
		o.group.Wait()
		o.Keeper.Offer(false)
	})
}

// round looks at the pools once and makes the calls that are due.
func (o *Orderer) round() {
	seen, owner := o.Observe()
	o.Keeper.Offer(owner && len(seen) > 0)
	if !owner || len(seen) == 0 {
		o.forget(0)
		clear(o.found)
		return
	}
	o.look(seen)
	a, held := o.Keeper.Authority()
	if !held {
		o.forget(0)
		return
	}
	if a.Fence != o.fence {
		o.forget(a.Fence)
	}
	for _, p := range seen {
		if !o.pool(p).round(a, p) {
			return
		}
	}
}

// forget drops what was known of the pools, since another host may have ordered meanwhile.
func (o *Orderer) forget(f provider.Fence) {
	o.fence = f
	clear(o.pools)
}

// pool returns the state of a pool under the present lease.
func (o *Orderer) pool(p Pool) *pool {
	known := o.pools[p.Name]
	if known == nil {
		known = newPool(o, p)
		o.pools[p.Name] = known
	}
	if !reflect.DeepEqual(known.scaling, p.Scaling) {
		known.scaling = p.Scaling
		known.sizer.Configure(p.Scaling)
	}
	return known
}

// look notes the numbers of upstreams.
func (o *Orderer) look(seen []Pool) {
	for _, p := range seen {
		count := p.Input.Present.Total()
		if last, known := o.found[p.Name]; !known || last.count != count {
			o.found[p.Name] = sighting{count, o.Clock.Now()}
		}
	}
}

// settled reports whether the number of upstreams has stayed the same for settleTime.
func (o *Orderer) settled(now time.Time, p Pool) bool {
	s := o.found[p.Name]
	return s.count.Total() > 0 && now.Sub(s.since) >= settleTime
}
