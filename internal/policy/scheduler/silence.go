package scheduler

import (
	"slices"
	"time"
)

const (
	// silentTime is how long an upstream that has work may show no sign of life.
	// An engine that batches shows one every few dozen milliseconds while it
	// generates, and hosts report them twice a second.
	silentTime = 1200 * time.Millisecond
	// silentGaps is the same in target times between tokens, for engines that run
	// only streams which may pause for longer.
	silentGaps = 2
	// silentPause is how long a silent upstream gets no work while there are
	// others.
	silentPause = 2 * time.Second
	// unconnectedLimit is the number of connections that may time out without a
	// sign of life between them before an upstream counts as silent. One may tell
	// of a single host that is cut off: each host leaves the upstream alone after
	// its own.
	unconnectedLimit = 2
)

// sign notes a sign of life.
func (s *Scheduler) sign(now time.Time, u *upstream) {
	u.heard = now
	u.silent = time.Time{}
	u.unconnected = 0
	s.refuteCrash(now, u)
}

// isSilent reports whether the upstream is left alone because it showed no sign of
// life. After connections that timed out it gets one request at a time.
func (u *upstream) isSilent(now time.Time) bool {
	return now.Before(u.silent) || u.unconnected >= unconnectedLimit && len(u.attempts) > 0
}

// missConnection notes a connection that timed out.
func (s *Scheduler) missConnection(now time.Time, u *upstream) {
	u.unconnected++
	if u.unconnected < unconnectedLimit || now.Before(u.silent) {
		return
	}
	s.silence(now, u)
}

// silence leaves an upstream alone for a time.
func (s *Scheduler) silence(now time.Time, u *upstream) {
	u.silent = now.Add(silentPause)
	u.firsts = 0
	s.actions = append(s.actions, Silence{Upstream: u.Name, Quiet: now.Sub(u.heard), Pause: silentPause})
}

// deadline is when the upstream counts as silent. One that generates nothing shows no
// sign of life until it has read a prompt, and prompts may be long.
func (u *upstream) deadline() time.Time {
	if gap, generates := u.leastGap(); generates {
		return u.heard.Add(max(silentTime, silentGaps*gap))
	}
	if u.reading.Before(u.heard) {
		return u.heard.Add(silentTime)
	}
	return u.reading.Add(silentTime)
}

// leastGap is the tightest target for the time between tokens among the answers that
// the upstream generates, and whether there are any.
func (u *upstream) leastGap() (gap time.Duration, generates bool) {
	for _, a := range u.attempts {
		if a.first.IsZero() {
			continue
		}
		if !generates || a.request.class.gap < gap {
			gap = a.request.class.gap
		}
		generates = true
	}
	return gap, generates
}

// watched reports whether the upstream runs requests that are expected to show
// signs of life. Long answers in one piece show none.
func (u *upstream) watched() bool {
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return a.request.Rescue })
}

// watch finds upstreams that went silent under work. Only the scheduler sees the
// requests of all hosts: a single host can't tell a silent engine from a busy one.
func (s *Scheduler) watch(now time.Time) {
	for _, u := range s.upstreams {
		if s.crashSeems(now, u) {
			s.confirmCrash(now, u)
		}
		if now.Before(u.deadline()) || u.isSilent(now) || !u.watched() {
			continue
		}
		s.silence(now, u)
		for _, a := range u.attempts {
			s.rescue(a)
		}
	}
}

// rescue asks for an attempt to go on at another upstream, if there is one.
func (s *Scheduler) rescue(a *attempt) {
	r := a.request
	if !r.Rescue || a.preempted || r.pool.usable() < 2 {
		return
	}
	a.preempted = true
	r.pool.preempting++
	s.actions = append(s.actions, Preempt{ID: r.ID, Upstream: a.upstream.Name, Cause: SilentUpstream})
}
