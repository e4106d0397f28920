package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// survivalTime is how long an upstream has to live after the first token of an answer
// for the parts of the request to be sound.
const survivalTime = 100 * time.Millisecond

// Withhold reports a new verdict on a part of prompts: whether requests with it are
// refused because they crash upstreams.
type Withhold struct{ attributor.Change }

func (Withhold) action() {}

// beginning is an answer that has begun less than survivalTime ago.
type beginning struct {
	attempt *attempt
	at      time.Time
}

// partsOf returns the parts of a request that may crash upstreams, at most
// attributor.MaxParts. The only block of a prompt is not one of them: it is the request's
// own, and the fingerprint covers it.
func partsOf(r Request) []attributor.Part {
	hashes := r.Parts
	if len(hashes) == 0 && len(r.Prefix) > 1 {
		hashes = r.Prefix
	}
	hashes = hashes[:min(len(hashes), attributor.MaxParts)]
	list := make([]attributor.Part, 0, len(hashes))
	for _, h := range hashes {
		if p := (attributor.Part{Pool: r.Pool, Hash: h}); !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

// versionOf returns the hash of the versions that an upstream runs.
func versionOf(versions []string) attributor.Version {
	if len(versions) == 0 {
		return 0
	}
	return attributor.Version(xxhash.Sum64String(strings.Join(versions, "\n")))
}

// judgeParts returns what the parts of a request mean on the upstreams of a pool: the
// mildest verdict over their versions and, if all refuse it, for how long.
func (s *Scheduler) judgeParts(now time.Time, p *pool, r *Request, parts []attributor.Part) (attributor.Verdict, time.Duration) {
	if p == nil || len(parts) == 0 || s.attributor.Empty() {
		return attributor.Clean, 0
	}
	verdict, after := attributor.Blamed, time.Duration(0)
	var seen []attributor.Version
	for _, u := range p.upstreams {
		if u.Leaving || slices.Contains(seen, u.version) {
			continue
		}
		seen = append(seen, u.version)
		one, left := s.attributor.Verdict(now, parts, r.Organisation, u.version)
		verdict = min(verdict, one)
		if after == 0 || left < after {
			after = left
		}
	}
	if len(seen) == 0 {
		return attributor.Clean, 0
	}
	return verdict, after
}

// condemned returns why and for how long a request is refused that crashes upstreams.
// The reason is empty when the request may run.
func (s *Scheduler) condemned(now time.Time, r *Request, parts []attributor.Part) (reason Reason, after time.Duration) {
	if s.detector.Verdict(now, r.Fingerprint) == detector.Poisonous {
		return Poisonous, s.poisonTime()
	}
	if verdict, left := s.judgeParts(now, s.pools[r.Pool], r, parts); verdict == attributor.Blamed {
		return PoisonousPart, left
	}
	return "", 0
}

// suspect reports whether the request, or a part of it, was in flight at a crash.
func (s *Scheduler) suspect(now time.Time, r *request) bool {
	if s.detector.Verdict(now, r.Fingerprint) != detector.Clean {
		return true
	}
	verdict, _ := s.judgeParts(now, r.pool, &r.Request, r.parts)
	return verdict != attributor.Clean
}

// unrestricted reports whether the crash records allow the request on any upstream.
func (s *Scheduler) unrestricted(now time.Time, r *request) bool {
	return s.detector.Unrestricted(now, r.Fingerprint) && !s.suspect(now, r)
}

// permits reports whether the crash records allow the request on the upstream.
func (s *Scheduler) permits(now time.Time, u *upstream, r *request, hedge bool) bool {
	if !s.detector.Permits(now, r.Fingerprint, u.process(), hedge) {
		return false
	}
	if s.attributor.Empty() {
		return true
	}
	t := s.evidence(now, u, r)
	if !s.attributor.Permits(now, t) {
		return false
	}
	return !s.attributor.MustRunAlone(now, t) || !s.detector.HostsSuspect(now, u.process())
}

// evidence returns an attempt of the request that begins now as the attributor knows it.
func (s *Scheduler) evidence(now time.Time, u *upstream, r *request) attributor.Attempt {
	return attributor.Attempt{
		Parts:        r.parts,
		Organisation: r.Request.Organisation,
		Process:      u.process(),
		Version:      u.version,
		Granted:      now,
		Alone:        s.detector.Verdict(now, r.Fingerprint) != detector.Clean,
	}
}

// reviewCrashes applies what the last crash, or the crashes that other hosts know of,
// mean for all requests: those that crash upstreams are refused, and taken from the
// upstreams that have not begun to answer them.
func (s *Scheduler) reviewCrashes(now time.Time) {
	for _, p := range s.attributor.Explained() {
		s.detector.ClearCrashes(p)
	}
	s.reportVerdicts()
	for _, p := range s.pools {
		for _, r := range s.waitingIn(p) {
			if reason, after := s.condemned(now, &r.Request, r.parts); reason != "" {
				s.dequeue(r)
				s.refuse(r.ID, reason, after)
				s.settle(r)
			}
		}
	}
	s.withdrawBlamed(now)
}

// reportVerdicts reports the parts whose verdict has changed.
func (s *Scheduler) reportVerdicts() {
	for _, c := range s.attributor.Changes() {
		s.actions = append(s.actions, Withhold{c})
	}
}

// withdrawBlamed takes requests with a blamed part from the upstreams that have not
// begun to answer them.
func (s *Scheduler) withdrawBlamed(now time.Time) {
	if !s.attributor.Blames() {
		return
	}
	for _, u := range s.upstreams {
		for _, a := range u.attempts {
			r := a.request
			if a.preempted || !a.evidence.Pending() || !r.Repeatable && !r.Rescue {
				continue
			}
			if verdict, _ := s.attributor.Verdict(now, r.parts, r.Request.Organisation, u.version); verdict != attributor.Blamed {
				continue
			}
			a.preempted = true
			r.pool.preempting++
			s.actions = append(s.actions, Preempt{ID: r.ID, Upstream: u.Name, Cause: BlamedPart})
		}
	}
}

// answerBegun notes that an answer has begun. The parts of its request are sound once
// the upstream has lived for survivalTime after that.
func (s *Scheduler) answerBegun(now time.Time, a *attempt) {
	if a.evidence.Pending() {
		s.beginnings = append(s.beginnings, beginning{a, now})
	}
}

// reviewBeginnings records the answers that began more than survivalTime ago.
func (s *Scheduler) reviewBeginnings(now time.Time) {
	done := 0
	for done < len(s.beginnings) && now.Sub(s.beginnings[done].at) >= survivalTime {
		s.attributor.Sound(now, &s.beginnings[done].attempt.evidence)
		done++
	}
	s.beginnings = slices.Delete(s.beginnings, 0, done)
}

// endEvidence tells the attributor about the end of an attempt without a lost
// connection.
func (s *Scheduler) endEvidence(now time.Time, a *attempt, o Outcome) {
	switch o {
	case Completed:
		s.attributor.Sound(now, &a.evidence)
	case Abandoned, Preempted, Silent:
		s.attributor.Ended(now, &a.evidence, true)
	default:
		s.attributor.Ended(now, &a.evidence, false)
	}
}
