package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// leavingTime is how long a host's word that an upstream leaves is kept. The
// announcement that says so, or the end of the process, is known long before.
const leavingTime = registrar.TombstoneRetention

// Bar keeps the requests of one host from an upstream that has asked for it.
type Bar struct {
	// Host is the one whose requests stay away; empty means that of the scheduler.
	Host     registrar.HostName
	Upstream registrar.UpstreamID
	// Incarnation is the process that has asked; later ones get requests. 0 means
	// the one that is known.
	Incarnation registrar.Incarnation
	// For is how long the requests stay away.
	For time.Duration
	// Leaving means that the process takes no new work from any host.
	Leaving bool
}

func (Bar) event() {}

type barKey struct {
	host     registrar.HostName
	upstream registrar.UpstreamID
}

type bar struct {
	incarnation registrar.Incarnation
	until       time.Time
}

// bar records that a host's requests, or those of all hosts, keep away from an
// upstream.
func (s *Scheduler) bar(now time.Time, e Bar) {
	u := s.upstreams[e.Upstream]
	if e.Incarnation == 0 && u != nil {
		e.Incarnation = u.Incarnation
	}
	if e.Leaving {
		e.For = leavingTime
		s.leave(now, e)
	}
	key, next := barKey{e.Host, e.Upstream}, bar{e.Incarnation, now.Add(e.For)}
	if known := s.bars[key]; known.incarnation > next.incarnation || known.incarnation == next.incarnation && known.until.After(next.until) {
		return
	}
	s.bars[key] = next
	if u == nil || u.Incarnation > e.Incarnation {
		return
	}
	u.Leaving = u.Leaving || e.Leaving
	s.refuseStranded(now)
	s.refuseBarred(now, u)
}

// leave notes that a process leaves. That outlasts the record of the upstream, which ends
// with a lease and may begin after the news.
func (s *Scheduler) leave(now time.Time, e Bar) {
	if known, ok := s.left[e.Upstream]; !ok || e.Incarnation >= known.incarnation {
		s.left[e.Upstream] = bar{e.Incarnation, now.Add(e.For)}
	}
}

// hasLeft reports whether the process is known to leave.
func (s *Scheduler) hasLeft(u registrar.Upstream) bool {
	known, ok := s.left[u.Name]
	return ok && u.Incarnation <= known.incarnation
}

// barLeft is how long the host of a request still has to stay away from the
// upstream; 0 when it need not.
func (s *Scheduler) barLeft(now time.Time, u *upstream, r *request) time.Duration {
	if len(s.bars) == 0 {
		return 0
	}
	b, ok := s.bars[barKey{r.Host, u.Name}]
	if !ok || b.incarnation < u.Incarnation {
		return 0
	}
	return max(b.until.Sub(now), 0)
}

func (s *Scheduler) barred(now time.Time, u *upstream, r *request) bool {
	return s.barLeft(now, u, r) > 0
}

// allBarred is how long the host of the request has to stay away from every
// upstream that could run it; 0 when there is one that it may use.
func (s *Scheduler) allBarred(now time.Time, r *request) time.Duration {
	if len(s.bars) == 0 {
		return 0
	}
	var least time.Duration
	for _, u := range r.pool.upstreams {
		if !u.takes() {
			continue
		}
		left := s.barLeft(now, u, r)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// outlasts reports whether a bar ends only after the request would be given up.
func (r *request) outlasts(now time.Time, left time.Duration) bool {
	return left > 0 && now.Add(left).After(r.queued.Add(r.class.wait))
}

// refuseBarred refuses the waiting requests for which every upstream is barred for
// longer than they may wait.
func (s *Scheduler) refuseBarred(now time.Time, u *upstream) {
	for _, p := range s.pools {
		if !u.Serves(p.name) {
			continue
		}
		for _, r := range s.waitingIn(p) {
			left := s.allBarred(now, r)
			if !r.outlasts(now, left) {
				continue
			}
			s.dequeue(r)
			s.refuse(r.ID, NoUpstream, left)
			s.settle(r)
		}
	}
}

// expireBars forgets bars that have ended.
func (s *Scheduler) expireBars(now time.Time) {
	for key, b := range s.bars {
		if !now.Before(b.until) {
			delete(s.bars, key)
		}
	}
	for id, b := range s.left {
		if !now.Before(b.until) {
			delete(s.left, id)
		}
	}
}
