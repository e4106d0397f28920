package scheduler

import (
	"slices"
	"time"
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
func (u *upstream) silenceDeadline() time.Time {
	if gap, generates := u.leastGap(); generates {
		return u.lastActivity.Add(max(silenceTimeout, silentGaps*gap))
	}
	if u.readingUntil.Before(u.lastActivity) {
		return u.lastActivity.Add(silenceTimeout)
	}
	return u.readingUntil.Add(silenceTimeout)
}

// leastGap returns the shortest target time between tokens among the answers that
// the upstream generates, and whether it generates any.
func (u *upstream) leastGap() (gap time.Duration, generates bool) {
	for _, a := range u.attempts {
		if a.firstTokenAt.IsZero() {
			continue
		}
		if !generates || a.request.class.gap < gap {
			gap = a.request.class.gap
		}
		generates = true
	}
	return gap, generates
}

// expectsActivity reports whether the upstream runs requests that should show
// activity. Long answers that are not streamed show none.
func (u *upstream) expectsActivity() bool {
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return a.request.Rescue })
}

// checkSilence finds upstreams with work that have fallen silent. Only the
// scheduler sees the requests of all hosts: a single host cannot tell a silent
// engine from a busy one.
func (s *Scheduler) checkSilence(now time.Time) {
	for _, u := range s.upstreams {
		if s.crashSuspected(now, u) {
			s.confirmCrash(now, u)
		}
		if now.Before(u.silenceDeadline()) || u.isSilent(now) || !u.expectsActivity() {
			continue
		}
		s.markSilent(now, u)
		for _, a := range u.attempts {
			s.rescue(a)
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
