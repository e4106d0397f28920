package issuer

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// State is what an engine should have loaded. The lists are sorted.
type State struct {
	Models   []string
	Adapters []string
	Versions []string
	// Role is empty when the engine keeps its role.
	Role string
}

func wantedState(p validator.Placement) State {
	return State{Models: sortedNames(p.Models), Adapters: sortedNames(p.Adapters), Versions: sortedNames(p.Versions), Role: p.Role}
}

// announcedState returns the state that an engine announces; announcements don't
// contain the role.
func announcedState(u registrar.Upstream) State {
	return State{Models: sortedNames(u.Models), Adapters: sortedNames(u.Adapters), Versions: sortedNames(u.Versions)}
}

func sortedNames[S ~string](l []S) []string {
	n := make([]string, 0, len(l))
	for _, s := range l {
		n = append(n, string(s))
	}
	slices.Sort(n)
	return n
}

// equalLists reports whether everything but the role is equal.
func (s State) equalLists(o State) bool {
	return slices.Equal(s.Models, o.Models) && slices.Equal(s.Adapters, o.Adapters) && slices.Equal(s.Versions, o.Versions)
}

func (s State) equal(o State) bool { return s.equalLists(o) && s.Role == o.Role }

// includes reports whether everything in o is loaded in s.
func (s State) includes(o State) bool {
	return subset(o.Models, s.Models) && subset(o.Adapters, s.Adapters) && subset(o.Versions, s.Versions)
}

func subset(part, whole []string) bool {
	for _, p := range part {
		if !slices.Contains(whole, p) {
			return false
		}
	}
	return true
}

// target is one engine of the cell.
type target struct {
	// announcement is the latest one; live is true while the cell contains the engine.
	announcement registrar.Upstream
	live         bool
	// sending is the order that is being sent, or nil.
	sending *Order
	// sent is when the last order was sent.
	sent time.Time
	// lastState is the state of the last order, which may still take effect; nil
	// before the first order.
	lastState *State
	// accepted is set once the engine has accepted the last order.
	accepted bool
	// deliveredBy is the time after which no earlier order can arrive. Another state
	// is ordered only then.
	deliveredBy time.Time
	// shownFrom is the time from which on all live announcements were made after the
	// arrival of the last order.
	shownFrom time.Time
	// repeatAt is when an accepted order is repeated, although the engine may still
	// be loading.
	repeatAt time.Time
	// retryAt is the earliest time of the next order after a failed one; attempts
	// counts the failed ones in a row.
	retryAt  time.Time
	attempts int
	// role is the last role accepted, by the process with the incarnation.
	role        string
	incarnation registrar.Incarnation
	loadLease   *loadLease
	// leasesTaken counts the load leases taken since a load was last announced as done.
	leasesTaken int
}

// setAnnouncement stores the latest announcement and marks the target as live.
func (t *target) setAnnouncement(u registrar.Upstream) {
	if u.Incarnation != t.announcement.Incarnation {
		// The new process doesn't know the orders that the old one got.
		t.accepted = false
		t.retryAt = time.Time{}
		t.attempts = 0
	}
	t.announcement, t.live = u, true
}

// forgettable reports whether the engine is gone and nothing about it matters any more.
func (t *target) forgettable(now time.Time) bool {
	return !t.live && t.sending == nil && t.loadLease == nil && !now.Before(t.deliveredBy)
}

// differs reports whether the engine needs an order.
func (t *target) differs(p validator.Placement) bool {
	w := wantedState(p)
	switch {
	case t.lastState != nil && !t.lastState.equal(w):
		return true
	case !announcedState(t.announcement).equalLists(w):
		return true
	}
	return w.Role != "" && (t.role != w.Role || t.incarnation != t.announcement.Incarnation)
}

// needsLoad reports whether an order of the state may make the engine load
// something. What the last order drops counts as dropped already.
func (t *target) needsLoad(w State) bool {
	return !announcedState(t.announcement).includes(w) || t.lastState != nil && !t.lastState.includes(w)
}

// ready reports whether an order may be sent now, apart from leases.
func (t *target) ready(now time.Time, p validator.Placement) bool {
	if !t.live || t.sending != nil || now.Before(t.retryAt) || !t.differs(p) {
		return false
	}
	if t.lastState == nil || !t.lastState.equal(wantedState(p)) {
		return !now.Before(t.deliveredBy)
	}
	return !t.accepted || !now.Before(t.repeatAt)
}

// endWait ends the wait for the effect of an order once the announcements show it.
// A difference after that comes from another order, such as a late one of an earlier
// issuer, and leads to a new order at once.
func (t *target) endWait(now time.Time) {
	if t.accepted && t.carriedOut(now) {
		t.repeatAt = now
	}
}

// carriedOut reports whether the announcement proves that the last order has been
// carried out.
func (t *target) carriedOut(now time.Time) bool {
	return t.live && t.sending == nil && t.lastState != nil && !now.Before(t.shownFrom) && announcedState(t.announcement).equalLists(*t.lastState)
}

func (t *target) send(now time.Time, o Order) {
	if t.loadLease != nil {
		t.loadLease.used = true
	}
	t.sending, t.sent = &o, now
	t.lastState, t.accepted = &o.State, false
	// An order without an answer may still arrive until deliveredBy.
	t.deliveredBy = now.Add(MaxDelivery)
	t.shownFrom = now.Add(MaxDelivery + registrar.Lease)
}

// markLoading records that the engine may be loading under the load lease.
func (t *target) markLoading() {
	if t.loadLease != nil {
		t.loadLease.mayLoad = true
	}
}

func (t *target) accept(now time.Time, o *Order) {
	t.markLoading()
	t.accepted = true
	t.deliveredBy = now
	t.shownFrom = now.Add(registrar.Lease)
	t.repeatAt = now.Add(MaxLoadTime)
	t.attempts = 0
	if o.State.Role != "" {
		t.role, t.incarnation = o.State.Role, t.announcement.Incarnation
	}
}

// scheduleRetry sets the time of the next attempt, with exponential backoff.
func (t *target) scheduleRetry(now time.Time) {
	t.retryAt = now.Add(min(minBackoff<<min(t.attempts, 16), maxBackoff))
	t.attempts++
}
