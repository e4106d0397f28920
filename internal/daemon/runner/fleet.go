package runner

import (
	"github.com/rcrowley/go-metrics"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/keeper"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/fleet/orderer"
	"github.com/amaranthcart/amaranthcart/internal/fleet/sizer"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// orderDuty is the name of the lease for orders of upstreams.
const orderDuty = "order"

// ordering orders upstreams while this host owns its cell and holds the duty.
type ordering struct {
	entry   *entry
	keeper  *keeper.Keeper
	orderer *orderer.Orderer
}

// newOrdering returns the part that orders upstreams, or nil if the settings call for none,
// or this host may not own a cell or works with other cells: it would know only a part of the
// upstreams and of the load.
func newOrdering(e *entry, p provider.Provider) *ordering {
	settings := e.settings.Provider
	if settings == nil || !settings.Order || p == nil || !e.settings.MayOwnCell() || len(e.settings.Cells) > 0 {
		return nil
	}
	group, registry := newControlGroup(e, groupTimeout), e.reporter.Registry()
	held := metrics.GetOrRegisterGauge("orderer.held", registry)
	changed := func(h bool) {
		held.Update(0)
		if h {
			held.Update(1)
		}
	}
	o := &ordering{entry: e, keeper: e.newKeeper(orderDuty, group, changed)}
	o.orderer = orderer.New(orderer.Options{
		Keeper: o.keeper, Store: group, Provider: p, Observe: o.observe,
		Clock: e.leaseClock, Logger: e.logger.Named("orderer"), Metrics: registry,
	})
	return o
}

func (o *ordering) start() {
	if o != nil {
		o.orderer.Start()
	}
}

// close ends the calls first and releases the duty then.
func (o *ordering) close() {
	if o != nil {
		o.orderer.Close()
		o.keeper.Close()
	}
}

// observe returns the pools whose upstreams may be ordered. It reports false while this
// host doesn't own its cell. A configuration that can't be confirmed at the moment counts: a
// host that is cut off from control loses the duty anyway.
func (o *ordering) observe() ([]orderer.Pool, bool) {
	e := o.entry
	current, _ := e.follower.Current()
	if current.Document == nil || !e.server.Owns() || !e.joined() {
		return nil, false
	}
	var pools []orderer.Pool
	add := func(name validator.PoolName, s *validator.Scaling) {
		if s != nil {
			pools = append(pools, orderer.Pool{Name: name, Scaling: s})
		}
	}
	for _, m := range current.Document.Models {
		add(m.Name, m.Scaling)
	}
	for _, s := range current.Document.Services {
		add(s.Name, s.Scaling)
	}
	if len(pools) == 0 {
		return nil, true
	}
	demands := map[validator.PoolName]scheduler.Demand{}
	for _, d := range e.local.Demands() {
		demands[d.Pool] = d
	}
	upstreams := e.members.Snapshot().Upstreams(e.leaseClock.Now())
	for i := range pools {
		pools[i].Input = o.input(pools[i].Name, demands[pools[i].Name], upstreams)
	}
	return pools, true
}

// input returns what is seen of a pool.
func (o *ordering) input(name validator.PoolName, d scheduler.Demand, all []registrar.Upstream) sizer.Input {
	present, slots, count := sizer.Counts{}, 0, 0
	for _, u := range all {
		if !u.Serves(name) {
			continue
		}
		n := present[u.Centre]
		if u.Spot {
			n.Spot++
		} else {
			n.Firm++
		}
		present[u.Centre] = n
		slots += u.Slots
		count++
	}
	view := o.entry.members.Snapshot()
	centre := func(h registrar.HostName) registrar.DataCentre {
		known, _ := view.Host(h)
		return known.Centre
	}
	return sizer.Input{Load: sizer.Measure(d, slots/max(count, 1), centre), Present: present}
}
