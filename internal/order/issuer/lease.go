package issuer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// tenure is the lease on the cell as its holder counts it.
type tenure struct {
	// token is kept until it is released, so that a grant whose answer was
	// lost is found again. A released token is never used again: the release
	// may arrive late.
	token string
	held  bool
	fence Fence
	until time.Time
	// quiet is the time before which engines that ignore fencing numbers get
	// no orders.
	quiet time.Time
	// next is when the lease is asked for again.
	next time.Time
	call CallID
}

// hold is a load lease of one target.
type hold struct {
	token string
	// slot is the number of the lease; first is where the search began.
	slot  int
	tried int
	// until is the end as the holder counts it; zero before the grant.
	until time.Time
	next  time.Time
	call  CallID
	// used is set once an order has been sent under the lease.
	used bool
	// open is set once an order under the lease may have started a load.
	open bool
	// renewals counts the extensions since the first order.
	renewals int
}

// checkLease stops at once when the lease has ended.
func (i *Issuer) checkLease(now time.Time) {
	if i.cell.held && !now.Before(i.cell.until) && !i.options.Faults.TrustLease {
		i.stop()
	}
}

// stop gives up all orders. What they have led to stays unknown.
func (i *Issuer) stop() {
	i.cell.held = false
	sending := false
	for _, t := range i.targets {
		if t.flight != nil {
			t.flight = nil
			t.open()
			sending = true
		}
	}
	if sending {
		i.act(Abort{})
	}
}

// giveUp stops and releases the lease. The next lease has a higher number.
func (i *Issuer) giveUp(now time.Time) {
	if i.cell.token == "" {
		return
	}
	if i.cell.held {
		i.stop()
	}
	i.release(i.cellName(), i.cell.token)
	i.cell = tenure{next: now.Add(Renewal), fence: i.cell.fence}
}

func (i *Issuer) cellName() string { return "cell/" + string(i.options.Cell) }

func loadName(slot int) string { return fmt.Sprintf("load/%d", slot) }

// keepLease acquires, renews or releases the lease on the cell.
func (i *Issuer) keepLease(now time.Time) {
	if !i.wanted() {
		i.giveUp(now)
		return
	}
	if now.Before(i.cell.next) {
		return
	}
	if i.cell.token == "" {
		i.cell.token = i.options.NewToken()
	}
	i.cell.next = now.Add(Renewal)
	i.cell.call = i.ask(now, i.cellName(), i.cell.token, LeaseDuration, "")
}

func (i *Issuer) ask(now time.Time, name, token string, d time.Duration, upstream registrar.UpstreamID) CallID {
	i.number++
	id := CallID(i.number)
	i.calls[id] = call{upstream: upstream, token: token, asked: now}
	for n, c := range i.calls {
		if now.Sub(c.asked) > LeaseDuration {
			delete(i.calls, n)
		}
	}
	i.act(RequestLease{ID: id, Name: name, Holder: string(i.options.Host), Token: token, Duration: d})
	return id
}

func (i *Issuer) release(name, token string) {
	i.act(RequestLease{Name: name, Holder: string(i.options.Host), Token: token, Release: true})
}

func (i *Issuer) leased(now time.Time, e LeaseAnswer) {
	c, found := i.calls[e.ID]
	delete(i.calls, e.ID)
	if !found {
		return
	}
	if c.upstream != "" {
		i.loadLeased(now, c, e)
		return
	}
	if c.token != i.cell.token {
		return
	}
	if !e.Granted {
		if i.cell.held {
			i.stop()
		}
		i.cell.next = now.Add(min(max(e.Remaining, minBackoff), Renewal))
		return
	}
	// The lease is counted from the start of the call, and control counts it
	// from its entry in the log, which is later.
	until := c.asked.Add(min(e.Remaining, LeaseDuration) - Margin)
	if !now.Before(until) {
		return
	}
	if e.Fence != i.cell.fence {
		i.cell.fence = e.Fence
		i.cell.quiet = now.Add(LeaseDuration + Flight)
	}
	i.cell.until = maxTime(i.cell.until, until)
	i.cell.held = true
}

func (i *Issuer) loadLeased(now time.Time, c call, e LeaseAnswer) {
	t := i.targets[c.upstream]
	if t == nil || t.hold == nil || t.hold.token != c.token || t.hold.call != e.ID {
		return
	}
	h := t.hold
	h.call = 0
	if e.Granted {
		h.until = c.asked.Add(min(e.Remaining, loadLease) - Margin)
		h.tried = 0
		if h.used {
			h.renewals++
		}
		if i.acquiring == c.upstream {
			i.acquiring = ""
		}
		return
	}
	h.until = time.Time{}
	h.slot = h.slot%max(i.loads, 1) + 1
	h.tried++
	if h.tried >= i.loads {
		h.tried = 0
		h.next = now.Add(loadPoll)
	}
}

// notLeased repeats a call with the same token: the lease may be granted.
func (i *Issuer) notLeased(now time.Time, e LeaseCallFailed) {
	c, found := i.calls[e.ID]
	delete(i.calls, e.ID)
	if !found {
		return
	}
	if c.upstream == "" && c.token == i.cell.token && i.cell.call == e.ID {
		i.cell.next = now.Add(minBackoff)
	}
	if t := i.targets[c.upstream]; t != nil && t.hold != nil && t.hold.call == e.ID {
		t.hold.call = 0
		t.hold.next = now.Add(minBackoff)
	}
}

// granted reports whether the lease was granted; it may have ended.
func (h *hold) granted() bool { return h != nil && !h.until.IsZero() }

// covered reports whether the target holds a load lease that outlasts a load
// ordered now.
func (t *target) covered(now time.Time) bool {
	return t.hold != nil && t.hold.until.Sub(now) >= Load+Flight
}

// renewLoad extends a load lease for another order. After a few orders without
// a result the lease is left to its end, so that other engines get a turn.
func (i *Issuer) renewLoad(now time.Time, id registrar.UpstreamID, h *hold) {
	if h.renewals < maxRenewals {
		i.askLoad(now, id, h)
	}
}

// acquireLoad looks for a load lease for one of the targets, the one that has
// taken the fewest in vain. One target at a time looks, which bounds the calls
// while all leases are taken.
func (i *Issuer) acquireLoad(now time.Time, waiting []registrar.UpstreamID) {
	if len(waiting) == 0 {
		return
	}
	if !slices.Contains(waiting, i.acquiring) {
		i.acquiring = slices.MinFunc(waiting, func(a, b registrar.UpstreamID) int {
			return i.targets[a].takes - i.targets[b].takes
		})
	}
	t := i.targets[i.acquiring]
	if t.hold == nil {
		i.slot = i.slot%i.loads + 1
		t.hold = &hold{token: i.options.NewToken(), slot: i.slot}
		t.takes++
	}
	if t.hold.slot > i.loads {
		t.hold.slot = 1
	}
	i.askLoad(now, i.acquiring, t.hold)
}

func (i *Issuer) askLoad(now time.Time, id registrar.UpstreamID, h *hold) {
	if i.asking(now, h) || now.Before(h.next) {
		return
	}
	h.call = i.ask(now, loadName(h.slot), h.token, loadLease, id)
}

// asking reports whether a call for the load lease is open.
func (i *Issuer) asking(now time.Time, h *hold) bool {
	c, open := i.calls[h.call]
	return open && now.Sub(c.asked) < CallTimeout
}

// settleLoads gives load leases back whose loads are done. It goes on without
// the lease on the cell, because the loads go on too.
func (i *Issuer) settleLoads(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(i.targets)) {
		t := i.targets[id]
		h := t.hold
		if h == nil {
			continue
		}
		if i.options.Faults.DropLoads && !i.cell.held && h.used {
			i.dropHold(id, t)
			continue
		}
		switch {
		case h.used && !now.Before(h.until) && t.flight == nil:
			// The lease has ended by itself.
			t.hold = nil
		case h.used && t.shown(now):
			i.dropHold(id, t)
			t.takes = 0
		case !h.used && !i.asking(now, h) && !i.needsHold(id, t):
			// The release waits for the answer to the request, lest it arrives
			// before the request.
			i.dropHold(id, t)
		}
	}
	if t := i.targets[i.acquiring]; t == nil || t.hold == nil {
		i.acquiring = ""
	}
}

// needsHold reports whether a lease that no order was sent under is still of
// use.
func (i *Issuer) needsHold(id registrar.UpstreamID, t *target) bool {
	p := i.placed(id)
	return i.issuing() && p != nil && t.live && i.loads > 0 && t.differs(*p) && t.loads(wanted(*p))
}

func (i *Issuer) dropHold(id registrar.UpstreamID, t *target) {
	i.release(loadName(t.hold.slot), t.hold.token)
	t.hold = nil
	if i.acquiring == id {
		i.acquiring = ""
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
