package issuer

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// State is what an engine shall have loaded. The lists are sorted.
type State struct {
	Models   []string
	Adapters []string
	Versions []string
	// Role is empty when the engine keeps its role.
	Role string
}

func wanted(p validator.Placement) State {
	return State{Models: sortedNames(p.Models), Adapters: sortedNames(p.Adapters), Versions: sortedNames(p.Versions), Role: p.Role}
}

// announced returns the state that an engine announces; announcements don't
// tell the role.
func announced(u registrar.Upstream) State {
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

// equalLists compares everything but the role.
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
	news registrar.Upstream
	live bool
	// flight is the order that is being sent.
	flight *Order
	sent   time.Time
	// last is the last state that was ordered; it may still take effect.
	last *State
	// accepted is set when the engine has taken the last order.
	accepted bool
	// clear is when no earlier order can arrive any more: another state is
	// ordered only then.
	clear time.Time
	// settled is when the announcements that are live were made after the
	// arrival of the last order.
	settled time.Time
	// patience is when an accepted order is repeated although the engine may
	// still be loading.
	patience time.Time
	retry    time.Time
	attempts int
	// role was accepted by the process with the incarnation.
	role        string
	incarnation registrar.Incarnation
	hold        *hold
	// takes counts the load leases taken since a load was last shown done.
	takes int
}

// announce takes the latest announcement.
func (t *target) announce(u registrar.Upstream) {
	if u.Incarnation != t.news.Incarnation {
		// The new process has forgotten what the old one was ordered.
		t.accepted = false
		t.retry = time.Time{}
		t.attempts = 0
	}
	t.news, t.live = u, true
}

// idle reports whether nothing has to be remembered of an engine that is gone.
func (t *target) idle(now time.Time) bool {
	return !t.live && t.flight == nil && t.hold == nil && !now.Before(t.clear)
}

// differs reports whether the engine needs an order.
func (t *target) differs(p validator.Placement) bool {
	w := wanted(p)
	switch {
	case t.last != nil && !t.last.equal(w):
		return true
	case !announced(t.news).equalLists(w):
		return true
	}
	return w.Role != "" && (t.role != w.Role || t.incarnation != t.news.Incarnation)
}

// loads reports whether an order of the state may make the engine load
// something. What the last order drops counts as dropped already.
func (t *target) loads(w State) bool {
	return !announced(t.news).includes(w) || t.last != nil && !t.last.includes(w)
}

// ready reports whether an order may be sent now, apart from leases.
func (t *target) ready(now time.Time, p validator.Placement) bool {
	if !t.live || t.flight != nil || now.Before(t.retry) || !t.differs(p) {
		return false
	}
	if t.last == nil || !t.last.equal(wanted(p)) {
		return !now.Before(t.clear)
	}
	return !t.accepted || !now.Before(t.patience)
}

// finish ends the wait for the result of an order once the announcements show
// it. A difference after that comes from another order, such as a late one of an
// earlier issuer, and is ordered again at once.
func (t *target) finish(now time.Time) {
	if t.accepted && t.shown(now) {
		t.patience = now
	}
}

// shown reports whether the announcement proves that the last order has been
// carried out.
func (t *target) shown(now time.Time) bool {
	return t.live && t.flight == nil && t.last != nil && !now.Before(t.settled) && announced(t.news).equalLists(*t.last)
}

func (t *target) send(now time.Time, o Order) {
	if t.hold != nil {
		t.hold.used = true
	}
	t.flight, t.sent = &o, now
	t.last, t.accepted = &o.State, false
	// An order without an answer may arrive until then.
	t.clear = now.Add(Flight)
	t.settled = now.Add(Flight + registrar.Lease)
}

// open notes that the engine may be loading under the load lease.
func (t *target) open() {
	if t.hold != nil {
		t.hold.open = true
	}
}

func (t *target) accept(now time.Time, o *Order) {
	t.open()
	t.accepted = true
	t.clear = now
	t.settled = now.Add(registrar.Lease)
	t.patience = now.Add(Load)
	t.attempts = 0
	if o.State.Role != "" {
		t.role, t.incarnation = o.State.Role, t.news.Incarnation
	}
}

// fail plans the next attempt.
func (t *target) fail(now time.Time) {
	t.retry = now.Add(min(minBackoff<<min(t.attempts, 16), maxBackoff))
	t.attempts++
}
