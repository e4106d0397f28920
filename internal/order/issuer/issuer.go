// Package issuer decides which orders the engines of one cell get.
//
// It runs on the entry host that owns the cell. It compares what the
// configuration places on each engine with what the engine announces. Where they
// differ, it sends an order with the complete wanted state, so that orders are
// idempotent.
//
// # Stale orders
//
// Only the holder of the lease "cell/<name>" issues orders, each with the
// fencing number of the lease. An engine that checks the numbers refuses the
// orders of an earlier holder. For an engine that ignores them, a new holder first
// waits until the lease has ended by the earlier holder's own count, whatever the
// clocks of control say, and every order sent before that has arrived or was given
// up. An earlier holder that is frozen between the last check of its lease and the
// write to the connection, for longer than that wait, can still reach such an
// engine; the announcement then differs from the wanted state, which is ordered
// again.
//
// # Weight loads
//
// An order that adds something to an engine requires one of the leases "load/1"
// to "load/N". The lease outlasts the longest load that may follow the order,
// so that it also covers loads whose issuer is gone. It is released when the
// announcement shows that the load is done. It isn't released because the engine
// has a new process, because the order may have reached that process.
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
	// RenewalInterval is the time between two renewals of the lease; two calls in a
	// row may fail.
	RenewalInterval = 3 * time.Second
	// ClockMargin is how long before its end the holder counts a lease as ended. It
	// covers clocks that run at different rates.
	ClockMargin = 500 * time.Millisecond
	// CallTimeout is the time after which a call to control that has no answer is
	// repeated.
	CallTimeout = 2500 * time.Millisecond
	// SendTimeout bounds the sending of one order.
	SendTimeout = 3 * time.Second
	// MaxDelivery is the longest time from the sending of an order to its arrival,
	// including what the network still delivers after the sender gave up.
	MaxDelivery = 5 * time.Second
	// MaxLoadTime is the longest time that a weight load takes. An engine that doesn't
	// announce the ordered state by then gets another order.
	MaxLoadTime = 10 * time.Minute
	// loadLeaseDuration is the duration of a load lease. It leaves 5 s between the
	// grant and the order.
	loadLeaseDuration = MaxLoadTime + MaxDelivery + ClockMargin + 5*time.Second
	// loadPollInterval is the time between two rounds of requests for the load leases
	// while all are taken.
	loadPollInterval = 5 * time.Second
	// maxRenewals bounds how often one load lease is extended for another order.
	maxRenewals = 2
	// minBackoff and maxBackoff bound the delay after a failed order. Only one
	// issuer sends to an engine, so that the delay needs no jitter.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// Options configures an Issuer.
type Options struct {
	// Cell is the cell whose engines get the orders.
	Cell registrar.CellName
	// Host is the holder of the leases as operators see it.
	Host registrar.HostName
	// NewToken returns a unique token.
	NewToken func() string
	// Faults is for tests only.
	Faults Faults
}

// Faults switches off single rules, so that tests can show that the checks
// detect an issuer without them.
type Faults struct {
	// SkipGrantDelay sends orders right after a grant, also to engines that ignore
	// fencing numbers.
	SkipGrantDelay bool
	// IgnoreLeaseEnd keeps sending orders after the lease has ended.
	IgnoreLeaseEnd bool
	// ReleaseLoadsWithCell releases load leases once the lease on the cell is lost.
	ReleaseLoadsWithCell bool
}

// Issuer decides which orders are sent. It isn't safe for concurrent use.
type Issuer struct {
	options    Options
	placements []validator.Placement
	maxLoads   int
	owner      bool
	cellLease  cellLease
	targets    map[registrar.UpstreamID]*target
	calls      map[CallID]call
	// lastNumber is the last number used in an ID of a call or an order.
	lastNumber uint64
	// acquiring is the upstream for which a load lease is being acquired.
	acquiring registrar.UpstreamID
	// lastSlot is the number of the load lease at which the last search began.
	lastSlot int
	// actions are those of the current step.
	actions []Action
}

// call is a call to control that has no answer yet.
type call struct {
	upstream registrar.UpstreamID
	token    string
	sent     time.Time
}

// New returns an issuer that knows no engines and no placements.
func New(o Options) *Issuer {
	return &Issuer{options: o, targets: map[registrar.UpstreamID]*target{}, calls: map[CallID]call{}}
}

// Step handles an event and returns the actions that follow from it, in order.
func (i *Issuer) Step(now time.Time, e Event) []Action {
	i.actions = nil
	// A process that was frozen must not act on a lease that ended meanwhile.
	i.stopIfLeaseEnded(now)
	switch e := e.(type) {
	case Configure:
		i.placements = slices.Clone(e.Placements)
		i.maxLoads = e.Loads
	case Observe:
		i.observe(now, e)
	case LeaseAnswer:
		i.handleLeaseAnswer(now, e)
	case LeaseCallFailed:
		i.handleLeaseCallFailed(now, e)
	case OrderResult:
		i.handleOrderResult(now, e)
	case Tick:
	}
	i.stopIfLeaseEnded(now)
	i.maintainCellLease(now)
	i.releaseFinishedLoads(now)
	if i.mayIssue() {
		i.issue(now)
	}
	return i.actions
}

func (i *Issuer) emit(a Action) { i.actions = append(i.actions, a) }

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
		t.setAnnouncement(u)
		t.endWait(now)
	}
	for id, t := range i.targets {
		if t.forgettable(now) {
			delete(i.targets, id)
		}
	}
}

func (i *Issuer) handleOrderResult(now time.Time, e OrderResult) {
	t := i.targets[e.Upstream]
	if t == nil || t.sending == nil || t.sending.ID != e.ID {
		return
	}
	o := t.sending
	t.sending = nil
	switch e.Outcome {
	case Accepted:
		t.accept(now, o)
	case Stale:
		i.handleRefusal(now, e.Upstream, t)
		// The engine has seen a higher number. A lease with an even higher one is
		// granted only if no other issuer holds it.
		i.releaseCell(now)
	case Refused:
		i.handleRefusal(now, e.Upstream, t)
	case Failed:
		t.scheduleRetry(now)
		t.markLoading()
	}
}

// handleRefusal releases the load lease at once, so that an engine that rejects
// orders doesn't keep others from loading.
func (i *Issuer) handleRefusal(now time.Time, id registrar.UpstreamID, t *target) {
	t.scheduleRetry(now)
	t.deliveredBy = now
	if t.loadLease != nil && !t.loadLease.mayLoad {
		i.releaseLoadLease(id, t)
	}
}

// issue sends an order to each engine that needs one and may get it now, and asks
// for a load lease for those that lack only that.
func (i *Issuer) issue(now time.Time) {
	var waiting []registrar.UpstreamID
	for _, p := range i.placements {
		id := registrar.UpstreamID(p.Upstream)
		t := i.targets[id]
		if t == nil || !t.ready(now, p) {
			continue
		}
		if !p.Fenced && now.Before(i.cellLease.unfencedFrom) && !i.options.Faults.SkipGrantDelay {
			continue
		}
		w := wantedState(p)
		if t.needsLoad(w) && i.maxLoads > 0 && !t.coversLoad(now) {
			if t.loadLease.granted() {
				i.renewLoadLease(now, id, t.loadLease)
				continue
			}
			waiting = append(waiting, id)
			continue
		}
		i.lastNumber++
		o := Order{
			ID:       OrderID(fmt.Sprintf("%s/%d-%d", i.options.Cell, i.cellLease.fence, i.lastNumber)),
			Upstream: id, Address: t.announcement.Address, Fence: i.cellLease.fence, State: w, Until: i.cellLease.until,
		}
		if i.options.Faults.IgnoreLeaseEnd {
			o.Until = now.Add(LeaseDuration)
		}
		t.send(now, o)
		i.emit(Send{Order: o})
	}
	i.acquireLoadLease(now, waiting)
}

// mayIssue reports whether orders may be sent.
func (i *Issuer) mayIssue() bool { return i.wantsCellLease() && i.cellLease.held }

// wantsCellLease reports whether this host should hold the lease on its cell.
func (i *Issuer) wantsCellLease() bool { return i.owner && len(i.placements) > 0 }

// placement returns the placement of the upstream, or nil.
func (i *Issuer) placement(id registrar.UpstreamID) *validator.Placement {
	for n := range i.placements {
		if registrar.UpstreamID(i.placements[n].Upstream) == id {
			return &i.placements[n]
		}
	}
	return nil
}
