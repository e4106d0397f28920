package dispatcher

import (
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// suspicionTime is how long a host that can't reach the owner asks its successor
	// instead, and the owner in turn. The successor agrees once it can't reach the owner
	// either.
	suspicionTime = 700 * time.Millisecond
	// reconnectTime is how long the owner has to accept a link in the meantime.
	reconnectTime = 150 * time.Millisecond
	// actingOwnerTime is how long the successor acts as the owner once another host has
	// agreed that the owner is lost. If it is, the membership names the successor by
	// then.
	actingOwnerTime = 5 * time.Second
)

// ownership is what this host knows about the owner of the cell beyond the membership,
// which takes 1.5 s or more to notice that a host is lost.
type ownership struct {
	mu sync.Mutex
	// suspected is the owner that could not be reached at the time since. It counts as
	// lost up to the time until, which is later once another host has confirmed the loss.
	suspected    registrar.HostName
	since, until time.Time
	confirmed    bool
	// reported lists the hosts that have reported the slots they hold since this host
	// owns the cell.
	reported map[registrar.HostName]bool
}

// suspect records that the owner can't be reached.
func (o *ownership) suspect(now time.Time, owner registrar.HostName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspected, o.since, o.until, o.confirmed = owner, now, now.Add(suspicionTime), false
}

// successorDisagreed records that the successor does not take the owner for lost.
func (o *ownership) successorDisagreed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.confirmed {
		o.until = now
	}
}

// suspectAgain suspects an owner once more that has not accepted a link after the
// successor disagreed. It reports false, and changes nothing, when suspicionTime has
// passed since the first suspicion, the loss is confirmed or another owner is suspected.
func (o *ownership) suspectAgain(now time.Time, owner registrar.HostName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	end := o.since.Add(suspicionTime)
	if o.suspected != owner || o.confirmed || !now.Before(end) {
		return false
	}
	o.until = end
	return true
}

// confirmLoss records that another host takes the owner for lost, too. It has no effect
// unless this host does.
func (o *ownership) confirmLoss(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.until) && !o.confirmed {
		o.confirmed, o.until = true, now.Add(actingOwnerTime)
	}
}

// takenForLost reports whether this host takes the owner for lost.
func (o *ownership) takenForLost(now time.Time, owner registrar.HostName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspected == owner && now.Before(o.until)
}

// report records that a host has reported the slots it holds.
func (o *ownership) report(h registrar.HostName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reported == nil {
		o.reported = map[registrar.HostName]bool{}
	}
	o.reported[h] = true
}

// reports counts the hosts that have reported the slots they hold.
func (o *ownership) reports() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reported)
}

// clearReports removes the reports while this host doesn't own the cell.
func (o *ownership) clearReports() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.reported)
}

// owner returns the owner of the cell: the one of the membership, or its successor while
// this host takes that one for lost.
func (s Settings) owner() (registrar.HostName, bool) {
	owner, ok := s.Membership.Owner(s.Cell)
	if !ok || owner == s.Host || !s.Local.ownership.takenForLost(s.Clock.Now(), owner) {
		return owner, ok
	}
	return s.Membership.Successor(s.Cell)
}

// allReported reports whether all other hosts, except for an owner that is lost, have
// reported the slots they hold.
func (s Settings) allReported(hosts int) bool {
	others := hosts - 1
	if owner, ok := s.Membership.Owner(s.Cell); ok && owner != s.Host {
		others--
	}
	return s.Local.ownership.reports() >= others
}

// owns reports whether this host is the owner of the cell.
func (s Settings) owns() bool {
	owner, ok := s.owner()
	return ok && owner == s.Host
}
