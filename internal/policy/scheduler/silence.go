package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// silenceTimeout is how long an upstream with work may show no activity. An
	// engine that batches shows activity every few dozen milliseconds while it
	// generates, and hosts report it twice a second.
	silenceTimeout = 1200 * time.Millisecond
	// silentGaps is the same limit as a number of target times between tokens, for
	// engines that only run streams which may pause for longer.
	silentGaps = 2
	// silentPause is how long a silent upstream gets no work while there are
	// others.
	silentPause = 2 * time.Second
	// connectTimeoutLimit is the number of connections that may time out without
	// activity between them before an upstream counts as silent. A single one may
	// mean that one host is cut off: each host avoids the upstream after its own
	// timeout.
	connectTimeoutLimit = 2
	// maxDelay is the delay of a tick from which on the scheduler judges no silence for
	// silenceTimeout: the reports of activity are as late.
	maxDelay = 5 * TickInterval
)

// noteActivity records that something was received from the upstream.
func (s *Scheduler) noteActivity(now time.Time, u *upstream) {
	u.lastActivity = now
	u.silentUntil = time.Time{}
	u.connectTimeouts = 0
	s.refuteCrash(now, u)
}

// isSilent reports whether the upstream is avoided because it showed no activity.
// After connections that timed out it gets one request at a time.
func (u *upstream) isSilent(now time.Time) bool {
	return now.Before(u.silentUntil) || u.connectTimeouts >= connectTimeoutLimit && len(u.attempts) > 0
}

// connectTimedOut records a connection that timed out.
func (s *Scheduler) connectTimedOut(now time.Time, u *upstream) {
	u.connectTimeouts++
	if u.connectTimeouts < connectTimeoutLimit || now.Before(u.silentUntil) {
		return
	}
	s.markSilent(now, u)
}

// markSilent keeps new work from an upstream for silentPause, as long as there are
// others.
func (s *Scheduler) markSilent(now time.Time, u *upstream) {
	u.silentUntil = now.Add(silentPause)
	u.firstTokens = 0
	s.actions = append(s.actions, Silence{Upstream: u.Name, Quiet: now.Sub(u.lastActivity), Pause: silentPause})
}

// silenceDeadline returns the time at which the upstream counts as silent. An
// upstream that generates nothing shows no activity until it has read a prompt, and
// prompts may be long.
func (s *Scheduler) silenceDeadline(now time.Time, u *upstream) time.Time {
	last := u.lastActivity
	if last.Before(s.wholeSince) {
		last = s.wholeSince
	}
	if gap, generates := s.leastGap(now, u); generates {
		return last.Add(max(silenceTimeout, silentGaps*gap))
	}
	if u.readingUntil.Before(last) {
		return last.Add(silenceTimeout)
	}
	return u.readingUntil.Add(silenceTimeout)
}

// leastGap returns the shortest target time between tokens among the answers that
// the upstream generates for hosts that are heard, and whether it generates any.
func (s *Scheduler) leastGap(now time.Time, u *upstream) (gap time.Duration, generates bool) {
	for _, a := range u.attempts {
		if a.firstTokenAt.IsZero() || !s.hears(now, a) {
			continue
		}
		if !generates || a.request.class.gap < gap {
			gap = a.request.class.gap
		}
		generates = true
	}
	return gap, generates
}

// expectsActivity reports whether the upstream runs requests, of hosts that are heard,
// that should show activity. Long answers that are not streamed show none.
func (s *Scheduler) expectsActivity(now time.Time, u *upstream) bool {
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return a.request.Rescue && s.hears(now, a) })
}

// hears reports whether the host of an attempt has been heard for long enough that
// activity of the attempt would have been reported.
func (s *Scheduler) hears(now time.Time, a *attempt) bool {
	if len(s.unheard) == 0 {
		return true
	}
	unheard, ok := s.unheard[a.request.Host]
	return !ok || now.Sub(unheard) >= silenceTimeout
}

// recordUnheard records the hosts that are not heard at present.
func (s *Scheduler) recordUnheard(now time.Time, hosts []registrar.HostName) {
	for _, h := range hosts {
		s.unheard[h] = now
	}
	for h, at := range s.unheard {
		if now.Sub(at) >= silenceTimeout {
			delete(s.unheard, h)
		}
	}
}

// recordDelay records by how much a tick was late.
func (s *Scheduler) recordDelay(now time.Time, late time.Duration) {
	if late > maxDelay {
		s.lateAt = now
	}
}

// wasLate reports whether this scheduler was late within silenceTimeout.
func (s *Scheduler) wasLate(now time.Time) bool {
	return !s.lateAt.IsZero() && now.Sub(s.lateAt) < silenceTimeout
}

// divide sets the number of hosts among which the cell is divided. A scheduler that gets
// the whole cell hears of the activity of running attempts from then on.
func (s *Scheduler) divide(now time.Time, hosts int) {
	if hosts == 1 && s.hosts > 1 {
		s.wholeSince = now
	}
	s.hosts = hosts
	s.divideRetries(hosts)
}

// checkSilence finds upstreams with work that have fallen silent. Only a scheduler of
// the whole cell sees the requests of all hosts: a single host cannot tell a silent
// engine from a busy one. Neither can a scheduler that is late.
func (s *Scheduler) checkSilence(now time.Time) {
	for _, u := range s.upstreams {
		if s.crashSuspected(now, u) {
			s.confirmCrash(now, u)
		}
		if s.hosts > 1 || s.wasLate(now) || now.Before(s.silenceDeadline(now, u)) || u.isSilent(now) || !s.expectsActivity(now, u) {
			continue
		}
		s.markSilent(now, u)
		for _, a := range u.attempts {
			if s.hears(now, a) {
				s.rescue(a)
			}
		}
	}
}

// rescue asks for an attempt to continue on another upstream, if there is one.
func (s *Scheduler) rescue(a *attempt) {
	r := a.request
	if !r.Rescue || a.preempted || r.pool.countAccepting() < 2 {
		return
	}
	if s.ask(a, SilentUpstream, "") {
		a.preempted = true
		r.pool.preempting++
	}
}
