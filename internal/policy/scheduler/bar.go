package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// leavingTime is how long a host's report that an upstream is shutting down is
// kept. The announcement that says so, or the end of the process, is known long
// before that.
const leavingTime = registrar.TombstoneRetention

// Bar keeps the requests of one host away from an upstream that has asked for it.
type Bar struct {
	// Host is the host whose requests are kept away. When it is empty, this is the
	// host of the scheduler.
	Host     registrar.HostName
	Upstream registrar.UpstreamID
	// Incarnation is the process that has asked; later processes get requests
	// again. 0 means the process that is currently known.
	Incarnation registrar.Incarnation
	// For is how long the requests are kept away.
	For time.Duration
	// Leaving means that the process is shutting down and accepts no new work from
	// any host. The value of For is then ignored.
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

// bar records that requests of a host, or of all hosts if the upstream is shutting
// down, must not go to an upstream.
func (s *Scheduler) bar(now time.Time, e Bar) {
	u := s.upstreams[e.Upstream]
	if e.Incarnation == 0 && u != nil {
		e.Incarnation = u.Incarnation
	}
	if e.Leaving {
		e.For = leavingTime
		s.noteLeaving(now, e)
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

// noteLeaving records that a process is shutting down. This record outlasts that of
// the upstream, which ends with its lease and may only be created after the report.
func (s *Scheduler) noteLeaving(now time.Time, e Bar) {
	if known, ok := s.leaving[e.Upstream]; !ok || e.Incarnation >= known.incarnation {
		s.leaving[e.Upstream] = bar{e.Incarnation, now.Add(e.For)}
	}
}

// isLeaving reports whether the process is known to be shutting down.
func (s *Scheduler) isLeaving(u registrar.Upstream) bool {
	known, ok := s.leaving[u.Name]
	return ok && u.Incarnation <= known.incarnation
}

// barLeft returns how long requests of the request's host are still kept away from
// the upstream, or 0 when they are not.
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

// allBarred returns the shortest time for which the host of the request is kept
// away from the upstreams that could run it. It returns 0 when the host may use one
// of them, or when none accepts work.
func (s *Scheduler) allBarred(now time.Time, r *request) time.Duration {
	if len(s.bars) == 0 {
		return 0
	}
	var least time.Duration
	for _, u := range r.pool.upstreams {
		if !u.acceptsWork() {
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

// outlasts reports whether a bar with the given time left ends only after the
// maximum wait of the request.
func (r *request) outlasts(now time.Time, left time.Duration) bool {
	return left > 0 && now.Add(left).After(r.queued.Add(r.class.wait))
}

// refuseBarred refuses the waiting requests in pools of u whose host is kept away
// from every upstream for longer than they may wait.
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

// expireBars removes the records of bars and of leaving processes that have ended.
func (s *Scheduler) expireBars(now time.Time) {
	for key, b := range s.bars {
		if !now.Before(b.until) {
			delete(s.bars, key)
		}
	}
	for id, b := range s.leaving {
		if !now.Before(b.until) {
			delete(s.leaving, id)
		}
	}
}
