// Package issuer decides which orders the engines of one cell get.
//
// It runs on the entry host that owns the cell. It compares what the
// configuration places on each engine with what the engine announces, and
// orders the whole wanted state where they differ, so that a repeated order
// does no harm.
//
// # Older orders
//
// Only the holder of the lease "cell/<name>" issues orders, each with the
// fencing number of the lease. An engine that checks the numbers refuses the
// orders of an earlier holder. For an engine that ignores them a new holder
// waits until the earlier holder's own count of its lease has ended, whatever
// the clocks of control say, and every order sent before that has arrived or
// was given up. An earlier holder that is frozen between the last look at its
// lease and the write to the connection, for longer than that wait, can still
// reach such an engine; the announcement then differs and is ordered again.
//
// # Weight loads
//
// An order that adds something to an engine needs one of the leases "load/1"
// to "load/N". The lease outlasts the longest load that may follow the order,
// so that it also covers loads whose issuer is gone. It is released when the
// announcement shows the load done. A new process of the engine doesn't release
// it, because the order may have reached that process.
//
// # Usage
//
//	i := issuer.New(issuer.Options{Cell: "main", Host: "entry-1", NewToken: uuid.NewString})
//	for _, a := range i.Step(clock.Now(), issuer.Tick{}) {
//		switch a := a.(type) {
//		case issuer.RequestLease: // call Control.Lease, answer with LeaseAnswer or LeaseCallFailed
//		case issuer.Send: // POST the order, answer with OrderResult
//		case issuer.Abort: // give up all orders that are being sent
//		}
//	}
package issuer

import (
	"fmt"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Times of orders and leases.
const (
	// LeaseDuration is the duration of the lease on a cell. A cell whose owner was
	// lost gets no orders for about this long.
	LeaseDuration = 10 * time.Second
	// Renewal is how often the lease is renewed; two calls may fail.
	Renewal = 3 * time.Second
	// Margin is how much earlier the holder takes its lease for ended. It
	// covers clocks that run at different rates.
	Margin = 500 * time.Millisecond
	// CallTimeout is when a call to control without an answer is repeated.
	CallTimeout = 2500 * time.Millisecond
	// SendTimeout bounds the sending of one order.
	SendTimeout = 3 * time.Second
	// Flight is the longest time from the sending of an order to its arrival,
	// including what the network still delivers after the sender gave up.
	Flight = 5 * time.Second
	// Load is the longest weight load; an engine that has not shown the
	// ordered state by then is ordered again.
	Load = 10 * time.Minute
	// loadLease leaves a few seconds between the grant and the order.
	loadLease = Load + Flight + Margin + 5*time.Second
	// loadPoll separates rounds over the load leases when all are taken.
	loadPoll = 5 * time.Second
	// maxRenewals bounds the orders that one load lease is extended for.
	maxRenewals = 2
	// minBackoff and maxBackoff bound the wait after a failed order. One
	// issuer sends to each engine, so that the wait needs no random part.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// Options configures an Issuer.
type Options struct {
	Cell registrar.CellName
	// Host names the holder of the leases to operators.
	Host registrar.HostName
	// NewToken returns a unique token.
	NewToken func() string
	Faults   Faults
}

// Faults switches off single rules, so that tests can show that the checks
// detect an issuer without them.
type Faults struct {
	// SkipQuiet orders at once after a grant.
	SkipQuiet bool
	// TrustLease goes on although the lease has ended.
	TrustLease bool
	// DropLoads releases load leases together with the lease on the cell.
	DropLoads bool
}

// Issuer decides orders. It isn't safe for concurrent use.
type Issuer struct {
	options    Options
	placements []validator.Placement
	loads      int
	owner      bool
	cell       tenure
	targets    map[registrar.UpstreamID]*target
	calls      map[CallID]call
	number     uint64
	acquiring  registrar.UpstreamID
	slot       int
	actions    []Action
}

// call is a call to control that has no answer yet.
type call struct {
	upstream registrar.UpstreamID
	token    string
	asked    time.Time
}

// New returns an issuer that knows no engines and wants nothing.
func New(o Options) *Issuer {
	return &Issuer{options: o, targets: map[registrar.UpstreamID]*target{}, calls: map[CallID]call{}}
}

// Step takes an event and returns what follows from it.
func (i *Issuer) Step(now time.Time, e Event) []Action {
	i.actions = nil
	// A process that was frozen must not act on a lease that has ended.
	i.checkLease(now)
	switch e := e.(type) {
	case Configure:
		i.placements = slices.Clone(e.Placements)
		i.loads = e.Loads
	case Observe:
		i.observe(now, e)
	case LeaseAnswer:
		i.leased(now, e)
	case LeaseCallFailed:
		i.notLeased(now, e)
	case OrderResult:
		i.ordered(now, e)
	case Tick:
	}
	i.checkLease(now)
	i.keepLease(now)
	i.settleLoads(now)
	if i.issuing() {
		i.issue(now)
	}
	return i.actions
}

func (i *Issuer) act(a Action) { i.actions = append(i.actions, a) }

func (i *Issuer) observe(now time.Time, e Observe) {
	i.owner = e.Owner
	for _, t := range i.targets {
		t.live = false
	}
	for _, u := range e.Upstreams {
		if u.Leaving {
			continue
		}
		t := i.targets[u.Name]
		if t == nil {
			t = &target{}
			i.targets[u.Name] = t
		}
		t.announce(u)
		t.finish(now)
	}
	for id, t := range i.targets {
		if t.idle(now) {
			delete(i.targets, id)
		}
	}
}

func (i *Issuer) ordered(now time.Time, e OrderResult) {
	t := i.targets[e.Upstream]
	if t == nil || t.flight == nil || t.flight.ID != e.ID {
		return
	}
	o := t.flight
	t.flight = nil
	switch e.Outcome {
	case Accepted:
		t.accept(now, o)
	case Stale:
		i.refused(now, e.Upstream, t)
		// The engine has seen a higher number. A lease with a yet higher one is
		// granted only if no other issuer holds it.
		i.giveUp(now)
	case Refused:
		i.refused(now, e.Upstream, t)
	case Failed:
		t.fail(now)
		t.open()
	}
}

// refused gives the load lease back at once, so that an engine that takes no
// orders doesn't keep others from loading.
func (i *Issuer) refused(now time.Time, id registrar.UpstreamID, t *target) {
	t.fail(now)
	t.clear = now
	if t.hold != nil && !t.hold.open {
		i.dropHold(id, t)
	}
}

// issue orders the wanted state wherever it differs and nothing stands against
// an order now.
func (i *Issuer) issue(now time.Time) {
	var waiting []registrar.UpstreamID
	for _, p := range i.placements {
		id := registrar.UpstreamID(p.Upstream)
		t := i.targets[id]
		if t == nil || !t.ready(now, p) {
			continue
		}
		if !p.Fenced && now.Before(i.cell.quiet) && !i.options.Faults.SkipQuiet {
			continue
		}
		w := wanted(p)
		if t.loads(w) && i.loads > 0 && !t.covered(now) {
			if t.hold.granted() {
				i.renewLoad(now, id, t.hold)
				continue
			}
			waiting = append(waiting, id)
			continue
		}
		i.number++
		o := Order{
			ID:       OrderID(fmt.Sprintf("%s/%d-%d", i.options.Cell, i.cell.fence, i.number)),
			Upstream: id, Address: t.news.Address, Fence: i.cell.fence, State: w, Until: i.cell.until,
		}
		if i.options.Faults.TrustLease {
			o.Until = now.Add(LeaseDuration)
		}
		t.send(now, o)
		i.act(Send{Order: o})
	}
	i.acquireLoad(now, waiting)
}

// issuing reports whether orders may be sent.
func (i *Issuer) issuing() bool { return i.wanted() && i.cell.held }

// wanted reports whether this host should hold the lease on the cell.
func (i *Issuer) wanted() bool { return i.owner && len(i.placements) > 0 }

// placed returns the placement of the upstream, or nil.
func (i *Issuer) placed(id registrar.UpstreamID) *validator.Placement {
	for n := range i.placements {
		if registrar.UpstreamID(i.placements[n].Upstream) == id {
			return &i.placements[n]
		}
	}
	return nil
}
