package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

const (
	// staleReportTime is the time after a lost connection from which activity shows
	// that the upstream is alive. Reports sent before a crash can still arrive for
	// a moment.
	staleReportTime = 50 * time.Millisecond
	// crashTimeout is how long after a lost connection an upstream with work may
	// show no activity before it counts as crashed.
	crashTimeout = time.Second
)

// connectionLost records the lost connection of an attempt. The upstream gets no
// new work until it shows activity or has announced itself for some time. After a
// crash, the connections of its other attempts end too, its address refuses
// connections, or it shows no activity; when none of this happens, only one answer
// was lost.
func (s *Scheduler) connectionLost(now time.Time, a *attempt) {
	s.detector.ConnectionLost(now, a.request.Fingerprint, a.process)
	s.attributor.Lost(now, &a.evidence)
	if u := a.upstream; a.process == u.process() {
		u.connectionLostAt = now
		u.markDown()
	}
	s.reviewCrashes(now)
}

// refuteCrash returns an upstream to service that shows activity after a connection
// to it was lost, and clears the requests that were suspects because of it.
func (s *Scheduler) refuteCrash(now time.Time, u *upstream) {
	if u.connectionLostAt.IsZero() || now.Sub(u.connectionLostAt) < staleReportTime {
		return
	}
	u.connectionLostAt = time.Time{}
	u.down = false
	s.detector.ClearCrashes(u.process())
	s.attributor.MarkAlive(u.process())
}

// markDown keeps new work from an upstream until it has announced itself for some
// time.
func (u *upstream) markDown() {
	if !u.down {
		u.down, u.downSequence = true, u.Sequence
	}
}

// crashSuspected reports whether an upstream with work has shown no activity for
// longer than crashTimeout after a connection to it was lost.
func (s *Scheduler) crashSuspected(now time.Time, u *upstream) bool {
	return !u.connectionLostAt.IsZero() && len(u.attempts) > 0 && now.Sub(u.connectionLostAt) > crashTimeout
}

// confirmCrash marks a lost upstream as down. If a connection was lost before, all
// requests still in flight there become suspects.
func (s *Scheduler) confirmCrash(now time.Time, u *upstream) {
	if !u.connectionLostAt.IsZero() {
		u.connectionLostAt = time.Time{}
		s.processCrashed(now, u.process())
	}
	u.markDown()
}

// poisonTime returns the retry time for callers of a poisonous request: how long
// its crash record is kept.
func (s *Scheduler) poisonTime() time.Duration { return detector.DefaultRetention }

// Crashes returns the crash records of this cell's requests, to be sent to other
// hosts.
func (s *Scheduler) Crashes(now time.Time) []detector.Record { return s.detector.Records(now) }

// processCrashed records the crash of a process and refuses the requests that have
// become poisonous.
func (s *Scheduler) processCrashed(now time.Time, p detector.Process) {
	s.detector.Crashed(now, p)
	s.attributor.ProcessLost(now, p)
	if u := s.upstreams[p.Upstream]; u != nil {
		for _, a := range u.attempts {
			if a.process == p {
				s.attributor.Lost(now, &a.evidence)
			}
		}
	}
	s.reviewCrashes(now)
}

// PartRecords returns what this scheduler knows about parts of prompts that crash
// upstreams, to be sent to other hosts.
func (s *Scheduler) PartRecords(now time.Time) []attributor.Record { return s.attributor.Records(now) }

func (s *Scheduler) learn(now time.Time, e Learn) {
	for _, r := range e.Records {
		s.detector.Merge(now, r)
	}
	s.attributor.Merge(now, e.Parts)
	s.reviewCrashes(now)
}

// detectorEnd translates an outcome into what it tells the detector about the
// upstream.
func detectorEnd(o Outcome) detector.End {
	switch o {
	case Completed:
		return detector.Answered
	case Failed, Preempted, ConnectionRefused, ConnectTimeout, Misdirected:
		return detector.Stopped
	default:
		return detector.Withdrawn
	}
}

func (u *upstream) process() detector.Process {
	return detector.Process{Upstream: u.Name, Incarnation: u.Incarnation}
}

// hasAttemptsOn reports whether an attempt is in flight on the process.
func (u *upstream) hasAttemptsOn(p detector.Process) bool {
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return a.process == p })
}
