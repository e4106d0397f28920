package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// renewTime is the time after which a report of an unchanged limit is recorded
	// again.
	renewTime = time.Second
	// limitReportPause is the shortest time between two reports that an upstream
	// has got a limit or has none any more, and rateReportPause between two reports
	// of another rate: an upstream may name a new rate in each answer, and every
	// report goes to all hosts.
	limitReportPause = 500 * time.Millisecond
	rateReportPause  = 5 * time.Second
	// limitTime is how long a limit is kept that no answer repeats. withdrawnTime
	// is how long the withdrawal of a limit is remembered, which is longer than
	// older reports can take to arrive.
	limitTime     = time.Hour
	withdrawnTime = time.Minute
)

// MinRate is the lowest limit that is kept, in requests per second. An upstream
// that accepts less, or nothing, still gets a request every ten seconds, because
// only its answers tell that the limit has ended.
const MinRate Rate = 0.1

// Limit reports how many requests per second an upstream accepts from all hosts
// together. Of two reports on a process, the one with the later time counts.
type Limit struct {
	Upstream registrar.UpstreamID
	// Incarnation is the process that named the limit; later processes have none. 0
	// means the process that is currently known.
	Incarnation registrar.Incarnation
	// Rate is 0 when the process does not name a limit any more.
	Rate Rate
	// At is the time up to which the report takes answers into account.
	At time.Time
}

// LimitReport returns the report for an answer that named the limit r and arrived
// at the given time.
func LimitReport(u registrar.Upstream, r Rate, at time.Time) Limit {
	return Limit{Upstream: u.Name, Incarnation: u.Incarnation, Rate: r, At: at}
}

// NoLimitReport returns the report for an answer that named no limit. It is dated
// renewTime before the time at which the request was sent. The answer may have
// begun before the upstream named a limit that another answer has delivered
// meanwhile, and the time of such a limit is recorded up to renewTime late.
func NoLimitReport(u registrar.Upstream, asked time.Time) Limit {
	return Limit{Upstream: u.Name, Incarnation: u.Incarnation, At: asked.Add(-renewTime)}
}

// Portion sets the share of each limit that this scheduler may use, from 0 to 1.
// The shares of all schedulers of a cell add up to at most 1; a scheduler that does
// not decide has 0.
type Portion struct{ Part float64 }

// LimitChanged reports that an upstream named another limit, or that it has none
// any more.
type LimitChanged struct {
	Limit
	// Before is the limit that was reported before, or 0 when there was none.
	Before Rate
	// Part is the share of the limit that this scheduler may use.
	Part float64
}

func (Limit) event()         {}
func (Portion) event()       {}
func (LimitChanged) action() {}

// knownLimit is the scheduler's record of the limit of an upstream.
type knownLimit struct {
	Limit
	// reported is the rate in the last LimitChanged, which was sent at reportedAt.
	reported   Rate
	reportedAt time.Time
}

// supersedes reports whether l replaces the known report.
func (l Limit) supersedes(known Limit) bool {
	switch {
	case l.Incarnation != known.Incarnation:
		return l.Incarnation > known.Incarnation
	case l.Rate == known.Rate:
		return l.At.Sub(known.At) >= renewTime
	}
	return l.At.After(known.At)
}

// limit applies a report on the limit of an upstream.
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
	s.reportLimit(now, known)
	if u == nil {
		return
	}
	s.applyLimit(now, u)
	if u.quota == nil {
		s.dispatchAll(now, u)
	}
}

// reportLimit adds a LimitChanged action if the rate differs from the one that was
// reported last and that report is old enough.
func (s *Scheduler) reportLimit(now time.Time, l *knownLimit) {
	pause := limitReportPause
	if l.Rate > 0 && l.reported > 0 {
		pause = rateReportPause
	}
	if l.Rate == l.reported || now.Sub(l.reportedAt) < pause {
		return
	}
	s.actions = append(s.actions, LimitChanged{Limit: l.Limit, Before: l.reported, Part: s.limitShare})
	l.reported, l.reportedAt = l.Rate, now
}

// applyLimit gives the upstream a quota as long as its process has a limit.
func (s *Scheduler) applyLimit(now time.Time, u *upstream) {
	e := s.limits[u.Name]
	if e == nil || e.Rate == 0 || e.Incarnation < u.Incarnation {
		u.quota = nil
		return
	}
	if u.quota == nil {
		u.quota = &quota{at: now}
	}
	u.quota.set(now, float64(e.Rate), s.limitShare, s.random)
}

// setLimitShare changes the share of the limits that this scheduler may use.
func (s *Scheduler) setLimitShare(now time.Time, part float64) {
	if part == s.limitShare {
		return
	}
	if s.limitShare == 0 {
		s.markCachesUnknown()
	}
	s.limitShare = part
	for id := range s.limits {
		if u := s.upstreams[id]; u != nil {
			s.applyLimit(now, u)
		}
	}
}

// reviewLimits sends reports that were held back, and removes limits that no answer
// has named for a long time.
func (s *Scheduler) reviewLimits(now time.Time) {
	for id, l := range s.limits {
		s.reportLimit(now, l)
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

// Limits returns the latest report on each upstream's limit, in no particular
// order. A withdrawn limit has the rate 0.
func (s *Scheduler) Limits() []Limit {
	list := make([]Limit, 0, len(s.limits))
	for _, l := range s.limits {
		list = append(list, l.Limit)
	}
	return list
}

// LimitOf returns the latest report on an upstream's limit, and false when there is
// none.
func (s *Scheduler) LimitOf(id registrar.UpstreamID) (Limit, bool) {
	l := s.limits[id]
	if l == nil {
		return Limit{}, false
	}
	return l.Limit, true
}
