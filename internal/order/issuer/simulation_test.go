package issuer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/order/issuer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

const (
	stepTime = 100 * time.Millisecond
	// stepsPerView is the number of steps between two views of the cell.
	stepsPerView = 3
	loadTime     = time.Minute
	// maxViewLag is the longest time that an announcement takes to reach every host.
	maxViewLag = 2 * time.Second
)

// simulation runs issuers against the leases of control and stub engines, with a fake
// clock and a network that delays and loses messages.
type simulation struct {
	t          testing.TB
	random     *rand.Rand
	start      time.Time
	now        time.Time
	control    *applier.State
	index      uint64
	term       uint64
	engines    []*engine
	hosts      []*host
	deliveries []event
	// loss is the probability that an answer is lost, and slow the probability that
	// an order takes up to issuer.MaxDelivery.
	loss, slow float64
	maxLoads   int
	// leases are the grants of control by name.
	leases map[string]grant
	// skipLeaseCheck leaves out the sender's check of the lease; noneCheck means that
	// no engine checks fencing numbers.
	skipLeaseCheck bool
	noneCheck      bool
	faults         []string
	orders         int
	mostLoads      int
	steps          int
}

type grant struct {
	holder string
	until  time.Time
}

type event struct {
	at     time.Time
	handle func()
}

type engine struct {
	name        registrar.UpstreamID
	cell        registrar.CellName
	checks      bool
	engineState *responder.EngineState
	incarnation registrar.Incarnation
	leaving     bool
	// unreachable engines get no orders, refusing ones reject them.
	unreachable bool
	refusing    bool
	fence       uint64
	history     []announcement
}

type announcement struct {
	at       time.Time
	upstream registrar.Upstream
}

type host struct {
	simulation *simulation
	name       string
	cell       registrar.CellName
	issuer     *issuer.Issuer
	owner      bool
	frozen     bool
	// freezeNext freezes the process at its next order.
	freezeNext bool
	cut        bool
	// inbox and outbox wait while the process is frozen.
	inbox   []issuer.Event
	outbox  []issuer.Action
	sending map[registrar.UpstreamID]issuer.OrderID
	seen    map[registrar.UpstreamID]bool
}

func newSimulation(t testing.TB, seed uint64, loads int) *simulation {
	start := time.Unix(1_000_000, 0)
	return &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), start: start, now: start, control: applier.New(), term: 1, maxLoads: loads, leases: map[string]grant{}}
}

func (w *simulation) addEngines(cell registrar.CellName, n int, checks bool) {
	for range n {
		e := &engine{name: registrar.UpstreamID(fmt.Sprint("u", len(w.engines))), cell: cell, checks: checks}
		w.engines = append(w.engines, e)
		e.restart()
	}
}

// restart replaces the process of the engine with one that has loaded nothing and
// knows no fencing number.
func (e *engine) restart() {
	e.incarnation++
	e.engineState = responder.NewEngineState(responder.Order{}, e.checks, loadTime)
	e.fence = 0
}

func (w *simulation) addHost(cell registrar.CellName, f issuer.Faults) *host {
	h := &host{simulation: w, name: fmt.Sprint("h", len(w.hosts)), cell: cell, sending: map[registrar.UpstreamID]issuer.OrderID{}}
	tokens := 0
	h.issuer = issuer.New(issuer.Options{Cell: cell, Host: registrar.HostName(h.name), Faults: f, NewToken: func() string {
		tokens++
		return fmt.Sprint(h.name, "-", tokens)
	}})
	w.hosts = append(w.hosts, h)
	return h
}

// place configures the host to place the model on all engines of its cell.
// Engines count as fenced when they check fencing numbers or when trusted is set.
func (h *host) place(model string, trusted bool) {
	c := issuer.Configure{Loads: h.simulation.maxLoads}
	for _, e := range h.simulation.engines {
		if e.cell == h.cell {
			c.Placements = append(c.Placements, validator.Placement{
				Upstream: validator.UpstreamName(e.name), Models: []validator.PoolName{validator.PoolName(model)},
				Role: "decode", Fenced: e.checks || trusted,
			})
		}
	}
	h.step(c)
}

func (w *simulation) schedule(d time.Duration, f func()) {
	w.deliveries = append(w.deliveries, event{w.now.Add(d), f})
}

func (w *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// run advances the simulation until the given time after its start.
func (w *simulation) run(until time.Duration) {
	for w.now.Sub(w.start) < until {
		w.now = w.now.Add(stepTime)
		due := w.deliveries
		w.deliveries = nil
		for _, m := range due {
			if m.at.After(w.now) {
				w.deliveries = append(w.deliveries, m)
				continue
			}
			m.handle()
		}
		loading := 0
		for _, e := range w.engines {
			o, busy := e.engineState.State(w.now)
			if busy {
				loading++
			}
			e.history = append(e.history, announcement{w.now, registrar.Upstream{
				Name: e.name, Cell: e.cell, Incarnation: e.incarnation, Models: o.Models, Leaving: e.leaving, Address: string(e.name),
			}})
			if keep := int(2 * maxViewLag / stepTime); len(e.history) > 2*keep {
				e.history = append([]announcement(nil), e.history[keep:]...)
			}
		}
		w.mostLoads = max(w.mostLoads, loading)
		if w.maxLoads > 0 && loading > w.maxLoads {
			w.fault("%d weight loads run", loading)
		}
		if w.steps++; w.steps%stepsPerView != 0 {
			continue
		}
		for _, h := range w.hosts {
			h.step(h.view())
		}
	}
}

func (w *simulation) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// view returns the announcements as of up to maxViewLag ago. The lag differs from
// view to view, so that older announcements may even follow newer ones.
func (h *host) view() issuer.Observe {
	o := issuer.Observe{Owner: h.owner}
	at := h.simulation.now.Add(-h.simulation.between(0, maxViewLag))
	for _, e := range h.simulation.engines {
		n := len(e.history) - 1
		for n > 0 && e.history[n].at.After(at) {
			n--
		}
		if e.cell == h.cell && !e.history[n].upstream.Leaving {
			o.Upstreams = append(o.Upstreams, e.history[n].upstream)
		}
	}
	return o
}

// step passes the event to the issuer, or queues it while the process is frozen.
func (h *host) step(e issuer.Event) {
	if h.frozen {
		if _, ok := e.(issuer.Observe); !ok {
			h.inbox = append(h.inbox, e)
		}
		return
	}
	switch e := e.(type) {
	case issuer.Observe:
		h.seen = map[registrar.UpstreamID]bool{}
		for _, u := range e.Upstreams {
			h.seen[u.Name] = true
		}
	case issuer.OrderResult:
		delete(h.sending, e.Upstream)
	}
	for _, a := range h.issuer.Step(h.simulation.now, e) {
		h.carryOut(a)
	}
}

// wake resumes a frozen process: it performs the actions that were pending, then
// handles the events that have arrived since.
func (h *host) wake() {
	h.frozen = false
	actions, events := h.outbox, h.inbox
	h.outbox, h.inbox = nil, nil
	for _, a := range actions {
		if a, ok := a.(issuer.Send); ok {
			h.send(a.Order)
			continue
		}
		h.carryOut(a)
	}
	for _, e := range events {
		h.step(e)
	}
}

func (h *host) carryOut(a issuer.Action) {
	if h.frozen {
		h.outbox = append(h.outbox, a)
		return
	}
	switch a := a.(type) {
	case issuer.RequestLease:
		h.requestLease(a)
	case issuer.Abort:
		clear(h.sending)
	case issuer.Send:
		o := a.Order
		if id, busy := h.sending[o.Upstream]; busy {
			h.simulation.fault("%s sends %s while %s is on its way", h.name, o.ID, id)
		}
		if !h.seen[o.Upstream] {
			h.simulation.fault("%s sends an order to %s, which has left", h.name, o.Upstream)
		}
		h.sending[o.Upstream] = o.ID
		h.simulation.checkLoad(h, o)
		if h.freezeNext {
			// The process freezes between its decision and the sending.
			h.frozen, h.freezeNext = true, false
			h.outbox = append(h.outbox, a)
			return
		}
		h.send(o)
	}
}

func (h *host) requestLease(a issuer.RequestLease) {
	w := h.simulation
	failed := func() { h.step(issuer.LeaseCallFailed{ID: a.ID}) }
	if h.cut {
		w.schedule(issuer.CallTimeout, failed)
		return
	}
	w.schedule(w.between(0, 2*stepTime), func() {
		r := w.lease(&wire.LeaseRequest{
			Name: a.Name, Holder: a.Holder, Token: a.Token, Duration: a.Duration.Milliseconds(), Release: a.Release,
		})
		if a.Release {
			return
		}
		if w.random.Float64() < w.loss {
			w.schedule(issuer.CallTimeout, failed)
			return
		}
		w.schedule(w.between(0, 2*stepTime), func() {
			h.step(issuer.LeaseAnswer{ID: a.ID, Granted: r.Granted, Fence: issuer.Fence(r.Fence), Remaining: time.Duration(r.Remaining) * time.Millisecond})
		})
	})
}

// lease applies the request to the replicated state. Every 20th request first
// restores the state from a snapshot and changes to a leader whose clock is another
// hour ahead.
func (w *simulation) lease(q *wire.LeaseRequest) *wire.LeaseResponse {
	w.index++
	data, err := proto.Marshal(&record.Command{Change: &record.Command_Lease{Lease: q}})
	assert.NilError(w.t, err)
	if w.index%20 == 0 {
		w.term++
		snapshot, err := w.control.Encode()
		assert.NilError(w.t, err)
		w.control, err = applier.Decode(snapshot)
		assert.NilError(w.t, err)
	}
	skew := time.Duration(w.term) * time.Hour
	r := w.control.Apply(&record.Entry{
		Index: w.index, Term: w.term, Kind: record.Entry_KIND_COMMAND, Data: data, Time: w.now.Add(skew).UnixNano(),
	}).Lease
	w.leases[q.Name] = grant{r.Holder, w.now.Add(time.Duration(r.Remaining) * time.Millisecond)}
	return r
}

// checkLoad records a fault when the order starts a weight load and the host holds
// no load lease that outlasts the longest load.
func (w *simulation) checkLoad(h *host, o issuer.Order) {
	for _, e := range w.engines {
		loaded, _ := e.engineState.State(w.now)
		if e.name != o.Upstream || len(loaded.Models) > 0 && string(loaded.Models[0]) == o.State.Models[0] {
			continue
		}
		for n := range w.maxLoads {
			g := w.leases[fmt.Sprint("load/", n+1)]
			if g.holder == h.name && g.until.Sub(w.now) >= issuer.MaxLoadTime+issuer.MaxDelivery {
				return
			}
		}
		if w.maxLoads > 0 {
			w.fault("%s orders a load on %s without a load lease for it", h.name, e.name)
		}
	}
}

// send does what the sender does: it checks the lease, then writes the order, which
// arrives within issuer.MaxDelivery whether or not it was given up.
func (h *host) send(o issuer.Order) {
	w := h.simulation
	answer := func(d time.Duration, outcome issuer.Outcome) {
		w.schedule(d, func() { h.step(issuer.OrderResult{ID: o.ID, Upstream: o.Upstream, Outcome: outcome}) })
	}
	if !w.now.Before(o.Until) && !w.skipLeaseCheck {
		answer(0, issuer.Refused)
		return
	}
	w.orders++
	delay := w.between(0, 2*stepTime)
	if w.random.Float64() < w.slow {
		delay = w.between(0, issuer.MaxDelivery-stepTime)
	}
	if delay > issuer.SendTimeout {
		answer(issuer.SendTimeout, issuer.Failed)
	}
	w.schedule(delay, func() {
		outcome := w.deliver(o)
		if delay > issuer.SendTimeout {
			return
		}
		if w.random.Float64() < w.loss {
			answer(issuer.SendTimeout-delay, issuer.Failed)
			return
		}
		answer(0, outcome)
	})
}

// deliver passes the order to the engine and records a fault when the engine obeys
// an older issuer after a newer one.
func (w *simulation) deliver(o issuer.Order) issuer.Outcome {
	for _, e := range w.engines {
		if e.name != o.Upstream {
			continue
		}
		if e.refusing {
			return issuer.Refused
		}
		if e.unreachable {
			return issuer.Failed
		}
		q := responder.Order{ID: string(o.ID), Fence: uint64(o.Fence), Role: o.State.Role}
		for _, m := range o.State.Models {
			q.Models = append(q.Models, validator.PoolName(m))
		}
		if !e.engineState.Apply(w.now, q) {
			return issuer.Stale
		}
		if q.Fence < e.fence {
			w.fault("%s obeys issuer %d after issuer %d", e.name, q.Fence, e.fence)
		}
		e.fence = max(e.fence, q.Fence)
	}
	return issuer.Accepted
}

// checkConverged records a fault for each engine of the cell that should have the model
// but hasn't.
func (w *simulation) checkConverged(cell registrar.CellName, model string) {
	for _, e := range w.engines {
		o, busy := e.engineState.State(w.now)
		done := !busy && len(o.Models) == 1 && string(o.Models[0]) == model && o.Role == "decode"
		if e.cell == cell && !e.leaving && !e.refusing && !e.unreachable && !done {
			w.fault("%s has %v (loading: %v), not %s", e.name, o.Models, busy, model)
		}
	}
}
