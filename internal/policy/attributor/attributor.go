// Package attributor finds out which part of their prompts makes requests crash the
// upstreams that answer them.
//
// A part is suspected after a crash of an upstream that had not begun to answer a
// request with it, and sound again as soon as any upstream answers such a request:
// a part that crashes upstreams is never answered. Requests with a suspected part
// run one at a time, on upstreams without another such request. A part that was in
// a second round of crashes is blamed, and requests with it are withheld. A round
// consists of the crashes of attempts that began before the first of them was known,
// so that upstreams that fail at the same moment count once.
//
// Four rules keep sound requests running that share other parts with those that
// crash upstreams:
//   - A part that was answered recently is suspected one round later than others.
//   - While several parts were in the same crashes, only requests with all of them are
//     withheld; a request with some of them runs alone and tells them apart.
//   - The crashes of a blamed part tell nothing about any other part.
//   - Crashes of the requests of a single organisation withhold only its own requests.
//
// A verdict holds for the version of the upstreams that crashed. It ends after a
// time that grows with each further crash, and then one request is tried again.
//
// # Usage
//
// A scheduler asks before it starts an attempt and reports what becomes of it:
//
//	a := attributor.New()
//	if a.Permits(now, attempt) {
//		a.Started(now, &attempt)
//	}
//	a.Sound(now, &attempt)
//	a.Lost(now, &attempt)
//
// Records and Merge exchange what is known between hosts.
package attributor

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

const (
	// MaxParts is the number of parts of a request that are tracked.
	MaxParts = 16
	// lingerTime is how long a withdrawn attempt may still crash its upstream.
	lingerTime = 2 * time.Second
	// recentTime is how long at least an answered part counts as recently answered.
	recentTime = 30 * time.Second
	// maxRecent is the number of parts in one of the two generations of recently
	// answered ones.
	maxRecent = 8192
	// maxRecords bounds the parts on record. A caller can send any number of parts.
	maxRecords = 512
	// lossMemory is how long a lost process is remembered.
	lossMemory = time.Minute
)

// Part identifies a part of the prompts for a pool by its hash.
type Part struct {
	Pool validator.PoolName
	Hash uint64
}

// Version is the hash of the versions that an upstream runs, 0 if it tells none.
type Version uint64

// Verdict tells whether the parts of a request allow it to run.
type Verdict int

// Verdicts on a request.
const (
	// Clean means that nothing is held against the parts of the request.
	Clean Verdict = iota
	// Suspect means that the request may only run alone.
	Suspect
	// Blamed means that the request crashes upstreams and must not run.
	Blamed
)

// Attempt is one attempt of a request on an upstream.
type Attempt struct {
	Parts        []Part
	Organisation validator.OrganisationName
	Process      detector.Process
	Version      Version
	// Granted is when the attempt began, or the zero time if that is not known.
	Granted time.Time
	// Alone is set when the request has to run alone for another reason than its parts.
	Alone bool

	// running is set while the upstream has neither answered nor been lost, and trial if
	// the attempt runs alone.
	running, trial bool
}

// Pending reports whether the upstream has neither begun to answer nor been lost.
func (a *Attempt) Pending() bool { return a.running }

// withdrawn is an attempt that ended without an answer and may still crash its
// upstream.
type withdrawn struct {
	attempt Attempt
	until   time.Time
}

// Attributor holds what is known about the parts of prompts. It is not safe for
// concurrent use.
type Attributor struct {
	records map[Part]*record
	// recent holds two generations of recently answered parts, the current one first.
	recent    [2]map[Part]struct{}
	rotatedAt time.Time
	// pending counts the pending attempts of each part, and trials the pending
	// attempts of suspects on each process.
	pending   map[Part]int
	trials    map[detector.Process]int
	withdrawn []withdrawn
	// losses holds the times at which processes were lost.
	losses map[detector.Process]time.Time
	// explained holds the blamed part that explains the loss of a process.
	explained map[detector.Process]Part
	// blamed holds the parts that are the only explanation of their crashes, and changes
	// the verdicts that have changed since Changes was last called.
	blamed  map[Part]bool
	changes []Change
}

// New returns an Attributor that knows of no crash.
func New() *Attributor {
	return &Attributor{
		records:   make(map[Part]*record),
		recent:    [2]map[Part]struct{}{{}, {}},
		pending:   make(map[Part]int),
		trials:    make(map[detector.Process]int),
		losses:    make(map[detector.Process]time.Time),
		explained: make(map[detector.Process]Part),
		blamed:    make(map[Part]bool),
	}
}

// Verdict returns what the parts of a request mean on upstreams of a version and, if
// the request is blamed, how long that holds.
func (a *Attributor) Verdict(now time.Time, parts []Part, o validator.OrganisationName, v Version) (Verdict, time.Duration) {
	if len(a.records) == 0 {
		return Clean, 0
	}
	verdict := Clean
	for _, p := range parts {
		switch one, left := a.judge(now, p, parts, o, v); one {
		case Blamed:
			return Blamed, left
		case Suspect:
			verdict = Suspect
		}
	}
	return verdict, 0
}

// judge returns the verdict that one part means for a request.
func (a *Attributor) judge(now time.Time, p Part, parts []Part, o validator.OrganisationName, v Version) (Verdict, time.Duration) {
	r := a.records[p]
	if r == nil {
		return Clean, 0
	}
	crashes := a.unexplained(p, r)
	here := ofVersion(crashes, v)
	if !r.suspected(crashes) || len(here) == 0 && r.soundOn(v) {
		return Clean, 0
	}
	until := a.blamedUntil(r, here)
	if !now.Before(until) || !concerns(here, o) || a.ambiguous(p, crashes, parts) {
		return Suspect, 0
	}
	return Blamed, until.Sub(now)
}

// MustRunAlone reports whether an attempt, if it starts, has to run without other suspects.
func (a *Attributor) MustRunAlone(now time.Time, t Attempt) bool {
	verdict, _ := a.Verdict(now, t.Parts, t.Organisation, t.Version)
	return verdict != Clean || t.Alone
}

// Permits reports whether an attempt may start. An attempt of a suspect may when no
// other pending attempt has its suspected parts, and its process runs no other suspect.
func (a *Attributor) Permits(now time.Time, t Attempt) bool {
	if !a.MustRunAlone(now, t) {
		return true
	}
	if verdict, _ := a.Verdict(now, t.Parts, t.Organisation, t.Version); verdict == Blamed {
		return false
	}
	if a.trials[t.Process] > 0 {
		return false
	}
	for _, p := range t.Parts {
		if one, _ := a.judge(now, p, t.Parts, t.Organisation, t.Version); one == Suspect && a.pending[p] > 0 {
			return false
		}
	}
	return true
}

// Started records the start of an attempt.
func (a *Attributor) Started(now time.Time, t *Attempt) {
	if len(t.Parts) == 0 {
		return
	}
	t.running = true
	for _, p := range t.Parts {
		a.pending[p]++
	}
	if a.MustRunAlone(now, *t) {
		t.trial = true
		a.trials[t.Process]++
	}
}

// Sound records that the upstream has answered an attempt: none of its parts crashes
// upstreams of that version.
func (a *Attributor) Sound(now time.Time, t *Attempt) {
	if !t.running {
		return
	}
	a.end(t)
	a.rotate(now)
	refuted := false
	for _, p := range t.Parts {
		a.recent[0][p] = struct{}{}
		if r := a.records[p]; r != nil {
			r.refute(now, t.Version)
			refuted = true
		}
	}
	if refuted {
		a.explain()
	}
}

// Ended records the end of an attempt that was neither answered nor lost. Its upstream
// may still crash if the attempt was withdrawn.
func (a *Attributor) Ended(now time.Time, t *Attempt, withdrew bool) {
	if !t.running {
		return
	}
	a.end(t)
	if withdrew {
		a.withdrawn = append(a.withdrawn, withdrawn{*t, now.Add(lingerTime)})
	}
}

// Lost records that the upstream of an attempt was lost, or the connection to it. It
// does nothing for an attempt that was answered.
func (a *Attributor) Lost(now time.Time, t *Attempt) {
	a.ProcessLost(now, t.Process)
	if !t.running {
		return
	}
	a.end(t)
	a.accuse(now, *t)
}

// ProcessLost records that a process was lost, with the attempts that were withdrawn
// from it a short time before.
func (a *Attributor) ProcessLost(now time.Time, p detector.Process) {
	if _, known := a.losses[p]; !known {
		a.losses[p] = now
	}
	a.withdrawn = slices.DeleteFunc(a.withdrawn, func(w withdrawn) bool {
		if w.attempt.Process != p {
			return false
		}
		a.accuse(now, w.attempt)
		return true
	})
}

// accuse adds the loss of the attempt's process to the records of its parts. An attempt
// that began after its process was known to be lost tells nothing.
func (a *Attributor) accuse(now time.Time, t Attempt) {
	lostAt := a.losses[t.Process]
	if t.Granted.After(lostAt) {
		return
	}
	for _, p := range t.Parts {
		r := a.record(p)
		if r == nil {
			continue
		}
		r.add(Crash{Process: t.Process, Version: t.Version, Organisation: t.Organisation, Granted: t.Granted, At: now})
	}
	a.explain()
}

// record returns the record of a part, which it creates if needed. It returns nil when
// there is no room for another one.
func (a *Attributor) record(p Part) *record {
	if r := a.records[p]; r != nil {
		return r
	}
	if len(a.records) >= maxRecords && !a.evict() {
		return nil
	}
	_, current := a.recent[0][p]
	_, last := a.recent[1][p]
	r := &record{proven: current || last}
	a.records[p] = r
	return r
}

// evict removes the record with the oldest crash among those in a single round, and
// reports whether there was one.
func (a *Attributor) evict() bool {
	var oldest Part
	var found *record
	for p, r := range a.records {
		if len(rounds(r.crashes)) > 1 || found != nil && !r.changed().Before(found.changed()) {
			continue
		}
		oldest, found = p, r
	}
	if found == nil {
		return false
	}
	delete(a.records, oldest)
	return true
}

// MarkAlive withdraws the loss of a process that has proved to be alive.
func (a *Attributor) MarkAlive(p detector.Process) {
	if _, lost := a.losses[p]; !lost {
		return
	}
	delete(a.losses, p)
	for _, r := range a.records {
		r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Process == p })
	}
	a.explain()
}

// Explained lists the lost processes for which a blamed part is the reason.
func (a *Attributor) Explained() []detector.Process {
	return slices.Collect(maps.Keys(a.explained))
}

// Empty reports whether no part is on record.
func (a *Attributor) Empty() bool { return len(a.records) == 0 }

// Blames reports whether any part is blamed.
func (a *Attributor) Blames() bool { return len(a.blamed) > 0 }

// Expire removes what is too old to matter. Call it every few seconds.
func (a *Attributor) Expire(now time.Time) {
	a.rotate(now)
	a.withdrawn = slices.DeleteFunc(a.withdrawn, func(w withdrawn) bool { return !now.Before(w.until) })
	maps.DeleteFunc(a.losses, func(_ detector.Process, at time.Time) bool { return now.Sub(at) > lossMemory })
	before := len(a.records)
	maps.DeleteFunc(a.records, func(_ Part, r *record) bool { return r.expired(now) })
	if len(a.records) != before {
		a.explain()
	}
}

// end removes an attempt from the pending ones.
func (a *Attributor) end(t *Attempt) {
	t.running = false
	for _, p := range t.Parts {
		if a.pending[p]--; a.pending[p] <= 0 {
			delete(a.pending, p)
		}
	}
	if !t.trial {
		return
	}
	if a.trials[t.Process]--; a.trials[t.Process] <= 0 {
		delete(a.trials, t.Process)
	}
}

// rotate starts a new generation of recently answered parts when the current one is
// full or old.
func (a *Attributor) rotate(now time.Time) {
	if len(a.recent[0]) < maxRecent && now.Sub(a.rotatedAt) < recentTime {
		return
	}
	a.recent = [2]map[Part]struct{}{make(map[Part]struct{}), a.recent[0]}
	a.rotatedAt = now
}
