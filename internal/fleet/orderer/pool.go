package orderer

import (
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/fleet/sizer"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// valuePrefix begins the name of the value under which a plan is kept.
const valuePrefix = "order/"

// pool is a pool under one lease. Only one goroutine uses it, apart from its calls.
type pool struct {
	orderer *Orderer
	name    validator.PoolName
	scaling *validator.Scaling
	sizer   *sizer.Sizer
	logger  *zap.Logger

	// loaded is set once the kept plan was read, and kept is the value that was read or
	// written last.
	loaded bool
	kept   []byte
	// planned is set once there is a plan, kept or not.
	planned bool

	mu    sync.Mutex
	lines map[line]*state
	// superseded is set once control has refused the fencing number.
	superseded bool
}

func newPool(o *Orderer, p Pool) *pool {
	return &pool{
		orderer: o, name: p.Name, scaling: p.Scaling, sizer: sizer.New(p.Scaling),
		logger: o.Logger.With(zap.String("pool", string(p.Name))), lines: map[line]*state{},
	}
}

// round decides, keeps and orders. It returns false once the duty is lost.
func (p *pool) round(a provider.Authority, seen Pool) bool {
	if !p.loaded && !p.load(a) {
		return p.current()
	}
	now := p.orderer.Clock.Now()
	if !p.planned && !p.orderer.settled(now, seen) {
		return true
	}
	p.planned = true
	seen.Input.Unavailable = p.watch(now, seen.Input.Present)
	plan, changed := p.sizer.Step(now, seen.Input)
	p.measure(plan, seen.Input.Present)
	if changed || p.kept == nil {
		if !p.keep(a, plan) {
			return p.current()
		}
		p.logger.Info("upstreams wanted", zap.Any("wanted", plan.Wanted), zap.Any("present", seen.Input.Present),
			zap.Int("size", plan.Size), zap.String("reason", string(plan.Reason)),
			zap.Float64("busy", seen.Input.Load.Busy), zap.Float64("urgent", seen.Input.Load.Urgent))
	}
	p.order(a, now, p.sizer.Due(now, plan, seen.Input.Present))
	return p.current()
}

// load reads the plan of the holder before and writes it under the own fencing number, so
// that this holder, too, has written before its first call.
func (p *pool) load(a provider.Authority) bool {
	r, err := p.call(&wire.KeepRequest{Name: p.valueName(), Read: true, Fence: uint64(a.Fence)})
	if err != nil {
		p.logger.Info("control did not answer a request for a kept plan", zap.Error(err))
		return false
	}
	if len(r.Value) == 0 {
		p.loaded = true
		return true
	}
	if !p.confirm(a, r.Value) {
		return false
	}
	p.loaded = true
	plan := &sizer.Plan{}
	if err := json.Unmarshal(r.Value, plan); err != nil || plan.Wanted == nil {
		p.logger.Error("a kept plan can't be read; a new one is made", zap.Error(err))
		return true
	}
	p.kept, p.planned = r.Value, true
	p.sizer.Restore(plan)
	return true
}

// keep writes the plan. It returns false if the plan must not be acted on.
func (p *pool) keep(a provider.Authority, plan sizer.Plan) bool {
	value, err := json.Marshal(plan)
	if err != nil {
		p.logger.Error("a plan can't be written", zap.Error(err))
		return false
	}
	if !p.confirm(a, value) {
		// The plan is written again in the next round.
		p.kept = nil
		return false
	}
	p.kept = value
	return true
}

// confirm writes the value under the fencing number and reports whether it is kept. A host
// with a higher number writes its plan before its first call: as long as the value can be
// written, the provider has seen no higher one.
func (p *pool) confirm(a provider.Authority, value []byte) bool {
	r, err := p.call(&wire.KeepRequest{Name: p.valueName(), Value: value, Fence: uint64(a.Fence)})
	if err != nil {
		p.logger.Info("control did not answer the keeping of a plan", zap.Error(err))
		return false
	}
	if !r.Kept {
		p.supersede()
		return false
	}
	return true
}

// supersede records that another host has the duty.
func (p *pool) supersede() {
	p.mu.Lock()
	first := !p.superseded
	p.superseded = true
	p.mu.Unlock()
	if first {
		p.logger.Info("another host has the duty")
		p.orderer.Keeper.Refused()
	}
}

// current reports whether no other host is known to have the duty.
func (p *pool) current() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.superseded
}

// call calls control.
func (p *pool) call(q *wire.KeepRequest) (*wire.KeepResponse, error) {
	ctx, cancel := clockwork.WithTimeout(p.orderer.ctx, p.orderer.Clock, keepTimeout)
	defer cancel()
	return p.orderer.Store.Keep(ctx, q)
}

func (p *pool) valueName() string { return valuePrefix + string(p.name) }

// order makes the calls that are due, those of different data centres at the same time.
func (p *pool) order(a provider.Authority, now time.Time, due []sizer.Order) {
	centres := map[registrar.DataCentre][]sizer.Order{}
	for _, o := range due {
		if p.state(o).due(now, o, p.startTime()) {
			centres[o.Centre] = append(centres[o.Centre], o)
		}
	}
	var group conc.WaitGroup
	for _, list := range centres {
		group.Go(func() {
			for _, o := range list {
				if !p.send(a, o) {
					return
				}
			}
		})
	}
	group.Wait()
}

// state returns what is known of the orders of one kind in a data centre.
func (p *pool) state(o sizer.Order) *state {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := line{o.Centre, o.Spot}
	s := p.lines[l]
	if s == nil {
		s = &state{restored: p.sizer.Restored()}
		p.lines[l] = s
	}
	return s
}

// send makes one call and records how it ended. It returns false if the next call would
// probably have no answer either.
func (p *pool) send(a provider.Authority, o sizer.Order) bool {
	clock := p.orderer.Clock
	ctx, cancel := clockwork.WithTimeout(p.orderer.Keeper.Guard(p.orderer.ctx, a), clock, callTimeout)
	defer cancel()
	err := p.orderer.Provider.OrderUpstreams(ctx, a, provider.Order{Pool: p.name, Centre: o.Centre, Spot: o.Spot, Count: o.Count})
	outcome := p.classify(a, err)
	s := p.state(o)
	s.ended(clock.Now(), o, outcome)
	if outcome == lost {
		return false
	}
	p.logger.Info("ordered upstreams", zap.String("centre", string(o.Centre)), zap.Bool("spot", o.Spot), zap.Int("count", o.Count),
		zap.Bool("missing", o.Missing), zap.String("outcome", string(outcome)), zap.Uint64("fence", uint64(a.Fence)), zap.Error(err))
	return outcome != unclear
}

// watch notes the upstreams that have come and gone, and returns the data centres in which no
// spot upstreams are to be had.
func (p *pool) watch(now time.Time, present sizer.Counts) map[registrar.DataCentre]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	dry := map[registrar.DataCentre]bool{}
	for l, s := range p.lines {
		if !l.spot {
			continue
		}
		s.watch(now, present[l.centre].Spot)
		if now.Before(s.unavailableUntil) {
			dry[l.centre] = true
		}
	}
	return dry
}

// startTime returns the time that an upstream takes to start.
func (p *pool) startTime() time.Duration { return time.Duration(p.scaling.Start) }

// measure updates the metrics of the pool.
func (p *pool) measure(plan sizer.Plan, present sizer.Counts) {
	for c, w := range plan.Wanted {
		have := present[c]
		for _, g := range []struct {
			name  string
			value int
		}{
			{"firm.wanted", w.Firm}, {"firm.present", have.Firm}, {"spot.wanted", w.Spot}, {"spot.present", have.Spot},
		} {
			name := "orderer." + string(p.name) + "." + string(c) + "." + g.name
			metrics.GetOrRegisterGauge(name, p.orderer.Metrics).Update(int64(g.value))
		}
	}
}

// classify tells what an answer means and reports it to the keeper.
func (p *pool) classify(a provider.Authority, err error) outcome {
	o := p.outcome(a, err)
	switch o {
	case taken, none, busy:
		p.orderer.Keeper.Succeeded()
	case unclear:
		p.orderer.Keeper.Failed()
	case lost:
	}
	return o
}

// outcome tells what an answer means.
func (p *pool) outcome(a provider.Authority, err error) outcome {
	switch {
	case err == nil:
		return taken
	case p.orderer.ctx.Err() != nil, errors.Is(err, provider.ErrNotPermitted):
		return lost
	case isBusy(err):
		return busy
	case !isRefused(err):
		return unclear
	case p.confirm(a, p.kept):
		return none
	case !p.current():
		return lost
	}
	// Control did not answer, so that it is open why the provider refused.
	return busy
}
