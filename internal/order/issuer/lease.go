package issuer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// cellLease is the lease on the cell, with times as its holder counts them.
type cellLease struct {
	// token is kept until it is released, so that a grant whose answer was lost
	// can be found again. A released token is never reused, because the release
	// may arrive late.
	token string
	held  bool
	fence Fence
	until time.Time
	// unfencedFrom is the time before which engines that ignore fencing numbers get
	// no orders.
	unfencedFrom time.Time
	// next is when control is asked for the lease again.
	next time.Time
	call CallID
}

// loadLease is a load lease of one target.
type loadLease struct {
	token string
	// number is the number of the lease that is held or asked for.
	number int
	// tried counts the leases that were refused in this round.
	tried int
	// until is the end as the holder counts it; zero before the grant.
	until time.Time
	// next is the earliest time of the next call.
	next time.Time
	call CallID
	// used is set once an order has been sent under the lease.
	used bool
	// mayLoad is set once an order sent under the lease may have started a load.
	mayLoad bool
	// renewals counts the extensions since the first order.
	renewals int
}

// stopIfLeaseEnded aborts all orders once the lease on the cell has ended.
func (i *Issuer) stopIfLeaseEnded(now time.Time) {
	if i.cellLease.held && !now.Before(i.cellLease.until) && !i.options.Faults.IgnoreLeaseEnd {
		i.abortOrders()
	}
}

// abortOrders gives up the lease on the cell and all orders that are being sent. Their
// effect stays unknown.
func (i *Issuer) abortOrders() {
	i.cellLease.held = false
	sending := false
	for _, t := range i.targets {
		if t.sending != nil {
			t.sending = nil
			t.markLoading()
			sending = true
		}
	}
	if sending {
		i.emit(Abort{})
	}
}

// releaseCell aborts all orders and releases the lease on the cell. The next lease has a
// higher number.
func (i *Issuer) releaseCell(now time.Time) {
	if i.cellLease.token == "" {
		return
	}
	if i.cellLease.held {
		i.abortOrders()
	}
	i.release(i.cellLeaseName(), i.cellLease.token)
	i.cellLease = cellLease{next: now.Add(RenewalInterval), fence: i.cellLease.fence}
}

func (i *Issuer) cellLeaseName() string { return "cell/" + string(i.options.Cell) }

func loadLeaseName(number int) string { return fmt.Sprintf("load/%d", number) }

// maintainCellLease acquires, renews or releases the lease on the cell.
func (i *Issuer) maintainCellLease(now time.Time) {
	if !i.wantsCellLease() {
		i.releaseCell(now)
		return
	}
	if now.Before(i.cellLease.next) {
		return
	}
	if i.cellLease.token == "" {
		i.cellLease.token = i.options.NewToken()
	}
	i.cellLease.next = now.Add(RenewalInterval)
	i.cellLease.call = i.requestLease(now, i.cellLeaseName(), i.cellLease.token, LeaseDuration, "")
}

func (i *Issuer) requestLease(now time.Time, name, token string, d time.Duration, upstream registrar.UpstreamID) CallID {
	i.lastNumber++
	id := CallID(i.lastNumber)
	i.calls[id] = call{upstream: upstream, token: token, sent: now}
	for n, c := range i.calls {
		if now.Sub(c.sent) > LeaseDuration {
			delete(i.calls, n)
		}
	}
	i.emit(RequestLease{ID: id, Name: name, Holder: string(i.options.Host), Token: token, Duration: d})
	return id
}

func (i *Issuer) release(name, token string) {
	i.emit(RequestLease{Name: name, Holder: string(i.options.Host), Token: token, Release: true})
}

func (i *Issuer) handleLeaseAnswer(now time.Time, e LeaseAnswer) {
	c, found := i.calls[e.ID]
	delete(i.calls, e.ID)
	if !found {
		return
	}
	if c.upstream != "" {
		i.handleLoadLeaseAnswer(now, c, e)
		return
	}
	if c.token != i.cellLease.token {
		return
	}
	if !e.Granted {
		if i.cellLease.held {
			i.abortOrders()
		}
		i.cellLease.next = now.Add(min(max(e.Remaining, minBackoff), RenewalInterval))
		return
	}
	// The lease counts from the start of the call here. Control counts it from
	// the log entry, which is later.
	until := c.sent.Add(min(e.Remaining, LeaseDuration) - ClockMargin)
	if !now.Before(until) {
		return
	}
	if e.Fence != i.cellLease.fence {
		i.cellLease.fence = e.Fence
		i.cellLease.unfencedFrom = now.Add(LeaseDuration + MaxDelivery)
	}
	i.cellLease.until = maxTime(i.cellLease.until, until)
	i.cellLease.held = true
}

func (i *Issuer) handleLoadLeaseAnswer(now time.Time, c call, e LeaseAnswer) {
	t := i.targets[c.upstream]
	if t == nil || t.loadLease == nil || t.loadLease.token != c.token || t.loadLease.call != e.ID {
		return
	}
	h := t.loadLease
	h.call = 0
	if e.Granted {
		h.until = c.sent.Add(min(e.Remaining, loadLeaseDuration) - ClockMargin)
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
	h.number = h.number%max(i.maxLoads, 1) + 1
	h.tried++
	if h.tried >= i.maxLoads {
		h.tried = 0
		h.next = now.Add(loadPollInterval)
	}
}

// handleLeaseCallFailed schedules another call with the same token, because the lease may
// have been granted.
func (i *Issuer) handleLeaseCallFailed(now time.Time, e LeaseCallFailed) {
	c, found := i.calls[e.ID]
	delete(i.calls, e.ID)
	if !found {
		return
	}
	if c.upstream == "" && c.token == i.cellLease.token && i.cellLease.call == e.ID {
		i.cellLease.next = now.Add(minBackoff)
	}
	if t := i.targets[c.upstream]; t != nil && t.loadLease != nil && t.loadLease.call == e.ID {
		t.loadLease.call = 0
		t.loadLease.next = now.Add(minBackoff)
	}
}

// granted reports whether the lease was granted; it may have ended.
func (h *loadLease) granted() bool { return h != nil && !h.until.IsZero() }

// coversLoad reports whether the target holds a load lease that outlasts a load
// ordered now.
func (t *target) coversLoad(now time.Time) bool {
	return t.loadLease != nil && t.loadLease.until.Sub(now) >= MaxLoadTime+MaxDelivery
}

// renewLoadLease extends a load lease for another order. After maxRenewals extensions
// the lease is left to expire, so that other engines get a turn.
func (i *Issuer) renewLoadLease(now time.Time, id registrar.UpstreamID, h *loadLease) {
	if h.renewals < maxRenewals {
		i.requestLoadLease(now, id, h)
	}
}

// acquireLoadLease requests a load lease for one of the targets, the one with the fewest
// leases that led to no load. It serves one target at a time, which bounds the calls
// while all leases are taken.
func (i *Issuer) acquireLoadLease(now time.Time, waiting []registrar.UpstreamID) {
	if len(waiting) == 0 {
		return
	}
	if !slices.Contains(waiting, i.acquiring) {
		i.acquiring = slices.MinFunc(waiting, func(a, b registrar.UpstreamID) int {
			return i.targets[a].leasesTaken - i.targets[b].leasesTaken
		})
	}
	t := i.targets[i.acquiring]
	if t.loadLease == nil {
		i.lastSlot = i.lastSlot%i.maxLoads + 1
		t.loadLease = &loadLease{token: i.options.NewToken(), number: i.lastSlot}
		t.leasesTaken++
	}
	if t.loadLease.number > i.maxLoads {
		t.loadLease.number = 1
	}
	i.requestLoadLease(now, i.acquiring, t.loadLease)
}

func (i *Issuer) requestLoadLease(now time.Time, id registrar.UpstreamID, h *loadLease) {
	if i.callPending(now, h) || now.Before(h.next) {
		return
	}
	h.call = i.requestLease(now, loadLeaseName(h.number), h.token, loadLeaseDuration, id)
}

// callPending reports whether a call for the load lease is open.
func (i *Issuer) callPending(now time.Time, h *loadLease) bool {
	c, open := i.calls[h.call]
	return open && now.Sub(c.sent) < CallTimeout
}

// releaseFinishedLoads releases the load leases whose loads are done or that are no longer
// needed. It does so without the lease on the cell too, because the loads go on.
func (i *Issuer) releaseFinishedLoads(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(i.targets)) {
		t := i.targets[id]
		h := t.loadLease
		if h == nil {
			continue
		}
		if i.options.Faults.ReleaseLoadsWithCell && !i.cellLease.held && h.used {
			i.releaseLoadLease(id, t)
			continue
		}
		switch {
		case h.used && !now.Before(h.until) && t.sending == nil:
			// The lease has ended by itself.
			t.loadLease = nil
		case h.used && t.carriedOut(now):
			i.releaseLoadLease(id, t)
			t.leasesTaken = 0
		case !h.used && !i.callPending(now, h) && !i.needsLoadLease(id, t):
			// The release waits for the answer to the request, so that it doesn't
			// arrive before the request.
			i.releaseLoadLease(id, t)
		}
	}
	if t := i.targets[i.acquiring]; t == nil || t.loadLease == nil {
		i.acquiring = ""
	}
}

// needsLoadLease reports whether a load lease under which no order was sent is still
// needed.
func (i *Issuer) needsLoadLease(id registrar.UpstreamID, t *target) bool {
	p := i.placement(id)
	return i.mayIssue() && p != nil && t.live && i.maxLoads > 0 && t.differs(*p) && t.needsLoad(wantedState(*p))
}

func (i *Issuer) releaseLoadLease(id registrar.UpstreamID, t *target) {
	i.release(loadLeaseName(t.loadLease.number), t.loadLease.token)
	t.loadLease = nil
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
