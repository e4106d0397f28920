package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// renewTime is how often a limit that stays the same is noted anew.
	renewTime = time.Second
	// tellTime is the shortest time between two reports that an upstream has a limit or
	// has none, and numberTime between those of another number: an upstream may name one
	// in each answer, and all hosts are told.
	tellTime   = 500 * time.Millisecond
	numberTime = 5 * time.Second
	// limitTime is how long a limit is kept that no answer names again, and
	// withdrawnTime how long it is known that one was withdrawn, which outlasts older
	// news on its way.
	limitTime     = time.Hour
	withdrawnTime = time.Minute
)

// MinRate is the least limit that is kept. An upstream that takes less, or nothing, is sent
// a request every ten seconds: only its answer tells that the limit has ended.
const MinRate Rate = 0.1

// Limit reports how many requests a second an upstream takes from all hosts together.
// Of two reports on a process the one with the later time counts.
type Limit struct {
	Upstream registrar.UpstreamID
	// Incarnation is the process that has said so; later ones have no limit. 0 means
	// the one that is known.
	Incarnation registrar.Incarnation
	// Rate is 0 when the process names no limit any more.
	Rate Rate
	// At is the time up to which answers are covered.
	At time.Time
}

// LimitReport is the report of an answer that came at the time and names a limit.
func LimitReport(u registrar.Upstream, r Rate, at time.Time) Limit {
	return Limit{Upstream: u.Name, Incarnation: u.Incarnation, Rate: r, At: at}
}

// NoLimitReport is the report of an answer without a limit. The time at which its request
// was sent counts: the answer may have begun before the upstream named the limit that
// another answer has brought meanwhile, which is noted up to renewTime late.
func NoLimitReport(u registrar.Upstream, asked time.Time) Limit {
	return Limit{Upstream: u.Name, Incarnation: u.Incarnation, At: asked.Add(-renewTime)}
}

// Portion sets the part of each limit that this scheduler may use. The parts of all
// schedulers of a cell add up to 1 at most; one that decides nothing has none.
type Portion struct{ Part float64 }

// LimitChanged reports that an upstream names another limit, or none any more.
type LimitChanged struct {
	Limit
	// Before is the limit that was known, or 0.
	Before Rate
	// Part is the part of it that this scheduler may use.
	Part float64
}

func (Limit) event()         {}
func (Portion) event()       {}
func (LimitChanged) action() {}

// knownLimit is what is known of the limit of an upstream.
type knownLimit struct {
	Limit
	// told is the rate that was reported last, at toldAt.
	told   Rate
	toldAt time.Time
}

// supersedes reports whether the report tells anything beyond what is known.
func (l Limit) supersedes(known Limit) bool {
	switch {
	case l.Incarnation != known.Incarnation:
		return l.Incarnation > known.Incarnation
	case l.Rate == known.Rate:
		return l.At.Sub(known.At) >= renewTime
	}
	return l.At.After(known.At)
}

// limit takes a report on the limit of an upstream.
func (s *Scheduler) limit(now time.Time, e Limit) {
	u := s.upstreams[e.Upstream]
	if e.Incarnation == 0 && u != nil {
		e.Incarnation = u.Incarnation
	}
	known := s.limits[e.Upstream]
	switch {
	case known == nil && e.Rate == 0:
		return
	case known == nil:
		known = &knownLimit{}
		s.limits[e.Upstream] = known
	case !e.supersedes(known.Limit):
		return
	}
	known.Limit = e
	s.tellLimit(now, known)
	if u == nil {
		return
	}
	s.applyLimit(now, u)
	if u.quota == nil {
		s.dispatchAll(now, u)
	}
}

// tellLimit reports a limit that has changed since it was reported last, if that was long
// enough ago.
func (s *Scheduler) tellLimit(now time.Time, l *knownLimit) {
	pause := tellTime
	if l.Rate > 0 && l.told > 0 {
		pause = numberTime
	}
	if l.Rate == l.told || now.Sub(l.toldAt) < pause {
		return
	}
	s.actions = append(s.actions, LimitChanged{Limit: l.Limit, Before: l.told, Part: s.part})
	l.told, l.toldAt = l.Rate, now
}

// applyLimit gives the upstream a quota while its process has a limit.
func (s *Scheduler) applyLimit(now time.Time, u *upstream) {
	e := s.limits[u.Name]
	if e == nil || e.Rate == 0 || e.Incarnation < u.Incarnation {
		u.quota = nil
		return
	}
	if u.quota == nil {
		u.quota = &quota{at: now}
	}
	u.quota.set(now, float64(e.Rate), s.part, s.random)
}

// apportion changes the part of the limits that this scheduler may use.
func (s *Scheduler) apportion(now time.Time, part float64) {
	if part == s.part {
		return
	}
	if s.part == 0 {
		s.doubtCaches()
	}
	s.part = part
	for id := range s.limits {
		if u := s.upstreams[id]; u != nil {
			s.applyLimit(now, u)
		}
	}
}

// reviewLimits reports changes that were held back, and forgets limits that nobody has
// named for long.
func (s *Scheduler) reviewLimits(now time.Time) {
	for id, l := range s.limits {
		s.tellLimit(now, l)
		kept := limitTime
		if l.Rate == 0 {
			kept = withdrawnTime
		}
		if now.Sub(l.At) < kept {
			continue
		}
		delete(s.limits, id)
		if u := s.upstreams[id]; u != nil {
			u.quota = nil
		}
	}
}

// Limits lists what is known of the upstreams' limits.
func (s *Scheduler) Limits() []Limit {
	list := make([]Limit, 0, len(s.limits))
	for _, l := range s.limits {
		list = append(list, l.Limit)
	}
	return list
}

// LimitOf returns what is known of an upstream's limit.
func (s *Scheduler) LimitOf(id registrar.UpstreamID) (Limit, bool) {
	l := s.limits[id]
	if l == nil {
		return Limit{}, false
	}
	return l.Limit, true
}
