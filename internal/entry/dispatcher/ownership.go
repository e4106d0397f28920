package dispatcher

import (
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// suspicionTime is how long a host that can't reach the owner asks its successor
	// instead, and the owner in turn.
	suspicionTime = 700 * time.Millisecond
	// doubtTime is how long a host counts that can't reach the owner. Such a host tries
	// the owner and the successor in turn, at least once in this time.
	doubtTime = time.Second
	// reconnectTime is how long the owner has to accept a link in the meantime.
	reconnectTime = 150 * time.Millisecond
	// actingOwnerTime is how long the successor acts at most while the owner answers
	// nobody. If it is lost, the membership names the successor by then.
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
	// doubts holds the other hosts that said within doubtTime that they can't reach the
	// owner.
	doubts map[registrar.HostName]doubt
	// followed is the host that has accepted the link of this one as the owner; empty
	// without a link that works.
	followed registrar.HostName
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

// successorDisagreed records that the successor does not act for the owner.
func (o *ownership) successorDisagreed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until, o.confirmed = now, false
}

// ownerHeard records that the owner has answered, so that nobody acts for it any longer.
// It reports whether this host took it for lost.
func (o *ownership) ownerHeard(now time.Time, owner registrar.HostName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := o.suspected == owner && now.Before(o.until)
	if lost {
		o.until, o.confirmed = now, false
	}
	return lost
}

// follow records that another host has accepted the link of this one, or with an empty
// name that there is no link.
func (o *ownership) follow(h registrar.HostName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.followed = h
}

// follows returns the host that acts as the owner on the link of this one.
func (o *ownership) follows() (registrar.HostName, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.followed, o.followed != ""
}

// doubt tells when a host last said that it can't reach the owner, and whether it may own
// the cell itself.
type doubt struct {
	at      time.Time
	standby bool
}

// doubt records that another host can't reach the owner.
func (o *ownership) doubt(now time.Time, h registrar.HostName, standby bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.doubts == nil {
		o.doubts = map[registrar.HostName]doubt{}
	}
	for other, d := range o.doubts {
		if now.Sub(d.at) > doubtTime {
			delete(o.doubts, other)
		}
	}
	o.doubts[h] = doubt{now, standby}
}

// agreed reports whether this host, which takes the owner for lost, may act for it: it
// acts already, or most of the other hosts that may own the cell, or most of all hosts,
// can't reach the owner. A few hosts without a path to the owner change nothing.
func (o *ownership) agreed(now time.Time, schedulers, hosts int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.confirmed {
		return true
	}
	standbys, all := 1, 1
	for _, d := range o.doubts {
		if now.Sub(d.at) > doubtTime {
			continue
		}
		all++
		if d.standby {
			standbys++
		}
	}
	others := schedulers - 1
	return 2*standbys > others && all > 1 || 2*all > hosts
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
// this host takes that one for lost. A host that the membership names doesn't take over
// from one that still acts on its link: signs of life of a busy host may be late in the
// membership.
func (s Settings) owner() (registrar.HostName, bool) {
	owner, ok := s.Membership.Owner(s.Cell)
	if ok && owner == s.Host {
		if other, linked := s.Local.ownership.follows(); linked {
			return other, true
		}
	}
	if !ok || owner == s.Host || !s.Local.ownership.takenForLost(s.Clock.Now(), owner) {
		return owner, ok
	}
	next, ok := s.Membership.Successor(s.Cell)
	if next == s.Host && !s.Local.ownership.agreed(s.Clock.Now(), s.Membership.Schedulers(), s.Membership.Hosts()) {
		return owner, true
	}
	return next, ok
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
