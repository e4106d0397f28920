package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

const (
	// refuteTime is how long after a lost connection a sign of life tells that the
	// upstream lives: reports from before a crash are still on their way for a
	// moment.
	refuteTime = 50 * time.Millisecond
	// crashTime is how long an upstream with work may show no sign of life after a
	// lost connection before it counts as crashed.
	crashTime = time.Second
)

// loseAnswer notes the lost connection of an attempt. The upstream is out until it
// shows a sign of life or announces itself for some time. Where it crashed, the
// connections of its other attempts end too, nobody listens at its address or it is
// still; where none of this happens only one answer was lost.
func (s *Scheduler) loseAnswer(now time.Time, a *attempt) {
	s.detector.Lost(now, a.request.Fingerprint, a.process)
	if u := a.upstream; a.process == u.process() {
		u.lostAnswer = now
		u.takeOut()
	}
	s.refusePoisonous(now)
}

// refuteCrash takes an upstream in again that shows a sign of life after a connection
// to it was lost, and clears its suspects.
func (s *Scheduler) refuteCrash(now time.Time, u *upstream) {
	if u.lostAnswer.IsZero() || now.Sub(u.lostAnswer) < refuteTime {
		return
	}
	u.lostAnswer = time.Time{}
	u.down = false
	s.detector.Lives(u.process())
}

// takeOut keeps an upstream from new work until it announces itself for some time.
func (u *upstream) takeOut() {
	if !u.down {
		u.down, u.lostAt = true, u.Sequence
	}
}

// crashSeems reports whether an upstream with work has been still since a connection
// to it was lost.
func (s *Scheduler) crashSeems(now time.Time, u *upstream) bool {
	return !u.lostAnswer.IsZero() && len(u.attempts) > 0 && now.Sub(u.lostAnswer) > crashTime
}

// confirmCrash takes an upstream out that was lost, and makes suspects of what is
// still in flight there if a connection was lost before.
func (s *Scheduler) confirmCrash(now time.Time, u *upstream) {
	if !u.lostAnswer.IsZero() {
		u.lostAnswer = time.Time{}
		s.lose(now, u.process())
	}
	u.takeOut()
}

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
	case Failed, Preempted, ConnectionRefused, ConnectTimeout:
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
