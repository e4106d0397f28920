package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// poisonTime tells callers of a poisonous request when its record expires.
func (s *Scheduler) poisonTime() time.Duration { return detector.DefaultRetention }

// Crashes returns what the cell knows about requests that crash upstreams, to
// be told to other hosts.
func (s *Scheduler) Crashes(now time.Time) []detector.Record { return s.detector.Records(now) }

// lose records that a process crashed and refuses what has become poisonous.
func (s *Scheduler) lose(now time.Time, p detector.Process) {
	s.detector.Crashed(now, p)
	s.refusePoisonous(now)
}

func (s *Scheduler) learn(now time.Time, records []detector.Record) {
	for _, r := range records {
		s.detector.Merge(now, r)
	}
	s.refusePoisonous(now)
}

func (s *Scheduler) refusePoisonous(now time.Time) {
	for _, p := range s.pools {
		for _, r := range s.waitingIn(p) {
			if s.detector.Verdict(now, r.Fingerprint) == detector.Poisonous {
				s.dequeue(r)
				s.refuse(r.ID, Poisonous, s.poisonTime())
				s.settle(r)
			}
		}
	}
}

// end tells the detector what an outcome says about the upstream.
func end(o Outcome) detector.End {
	switch o {
	case Completed:
		return detector.Answered
	case Failed, Preempted, Unreachable, Unconnected:
		return detector.Stopped
	default:
		return detector.Withdrawn
	}
}

func (u *upstream) process() detector.Process {
	return detector.Process{Upstream: u.Name, Incarnation: u.Incarnation}
}

// runs reports whether any attempt is in flight on the process.
func (u *upstream) runs(p detector.Process) bool {
	return slices.ContainsFunc(u.attempts, func(a *attempt) bool { return a.process == p })
}
