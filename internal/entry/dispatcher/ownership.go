package dispatcher

import (
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// doubtTime is how long a host asks the successor of an owner that it can't reach,
	// and the owner in turn. The successor agrees once it can't reach the owner either.
	doubtTime = 700 * time.Millisecond
	// turnTime is how long the owner has to accept a link in the meantime.
	turnTime = 150 * time.Millisecond
	// actingTime is how long the successor acts as the owner once another host has
	// agreed. The membership names it by then if the owner is lost.
	actingTime = 5 * time.Second
)

// ownership is what this host knows of the owner of the cell beyond the membership,
// which takes 1.5 s and more to notice that a host is lost.
type ownership struct {
	mu sync.Mutex
	// doubted is the owner that could not be reached at since. It counts as lost until
	// the time, which is longer once another host has agreed.
	doubted      registrar.HostName
	since, until time.Time
	agreed       bool
	// reported are the hosts that have told what they hold since this host owns the
	// cell.
	reported map[registrar.HostName]bool
}

// doubt notes that the owner can't be reached.
func (o *ownership) doubt(now time.Time, owner registrar.HostName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.doubted, o.since, o.until, o.agreed = owner, now, now.Add(doubtTime), false
}

// relent notes that the successor does not agree.
func (o *ownership) relent(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.agreed {
		o.until = now
	}
}

// insist doubts again an owner that has not accepted a link after the successor did
// not agree, and reports whether it does.
func (o *ownership) insist(now time.Time, owner registrar.HostName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	end := o.since.Add(doubtTime)
	if o.doubted != owner || o.agreed || !now.Before(end) {
		return false
	}
	o.until = end
	return true
}

// agree notes that another host takes the owner for lost too.
func (o *ownership) agree(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.until) && !o.agreed {
		o.agreed, o.until = true, now.Add(actingTime)
	}
}

// lost reports whether this host takes the owner for lost.
func (o *ownership) lost(now time.Time, owner registrar.HostName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.doubted == owner && now.Before(o.until)
}

// report notes that a host has told what it holds.
func (o *ownership) report(h registrar.HostName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reported == nil {
		o.reported = map[registrar.HostName]bool{}
	}
	o.reported[h] = true
}

// reports counts the hosts that have told what they hold.
func (o *ownership) reports() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reported)
}

// forget drops the reports once this host owns the cell no more.
func (o *ownership) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.reported)
}

// owner names the owner of the cell: the one of the membership, or its successor while
// this host takes it for lost.
func (s Settings) owner() (registrar.HostName, bool) {
	owner, ok := s.Membership.Owner(s.Cell)
	if !ok || owner == s.Host || !s.Local.ownership.lost(s.Clock.Now(), owner) {
		return owner, ok
	}
	return s.Membership.Successor(s.Cell)
}

// reported reports whether all other hosts have told what they hold, but for an owner
// that is lost.
func (s Settings) reported(hosts int) bool {
	others := hosts - 1
	if owner, ok := s.Membership.Owner(s.Cell); ok && owner != s.Host {
		others--
	}
	return s.Local.ownership.reports() >= others
}

// owns reports whether this host is the owner.
func (s Settings) owns() bool {
	owner, ok := s.owner()
	return ok && owner == s.Host
}
