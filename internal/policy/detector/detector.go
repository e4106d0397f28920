// Package detector recognises requests that crash the upstreams they run on.
//
// A request is identified by its fingerprint. The first crash makes a suspect of
// every fingerprint that was in flight on the upstream, because nothing tells which
// of them caused it. A suspect runs alone: at most one attempt of it is in flight,
// on an upstream without another suspect. A suspect that completes is cleared; one
// that is in flight at a second crash is poisonous, and does not run again until
// its record expires.
//
// Copies of a request can be submitted at the same moment, before any crash is
// known. Therefore copies of a fingerprint share one upstream until one of them has
// completed, and a hedge may use one more. Such a request costs at most two
// upstreams, whoever sends it and however often.
//
// A crash at about the same time as the loss of an upstream without the request counts
// one less, because both may have another cause, such as a rack that loses power. A
// crash whose reason is known is held against no request.
//
// A lost connection need not be a crash. If the process then proves to be alive,
// only one answer was lost, and nothing is held against its request.
//
// # Usage
//
// The owner of the cell asks before it grants a slot and reports what happens:
//
//	d := detector.New()
//	if d.Permits(now, fingerprint, process, false) {
//		d.Started(fingerprint, process)
//	}
//	d.Ended(now, fingerprint, process, detector.Answered)
//	d.Crashed(now, process)
//
// Records and Merge exchange crash records between hosts.
package detector

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// DefaultRetention is how long a record is kept after its last crash.
	DefaultRetention = time.Hour
	// crashLimit is the number of crashes that makes a fingerprint poisonous.
	crashLimit = 2
	// lingerTime is how long a withdrawn attempt still counts as in flight. An
	// engine may crash shortly after a caller gave up, and a resent request must
	// not reach another upstream before such a crash is known.
	lingerTime = 2 * time.Second
	// overlapTime is the time between two losses that may have a cause in common, and
	// lossMemory how long a loss is remembered.
	overlapTime = 500 * time.Millisecond
	lossMemory  = time.Minute
	// confirmTime is the age from which a crash counts as certain. A process that
	// has lost only one connection proves to be alive before that.
	confirmTime = 300 * time.Millisecond
)

// Process is one run of an upstream.
type Process struct {
	Upstream    registrar.UpstreamID
	Incarnation registrar.Incarnation
}

// Verdict tells what the crash records say about a fingerprint.
type Verdict int

// Verdicts about a fingerprint.
const (
	// Clean means that no crash is on record.
	Clean Verdict = iota
	// Suspect means that the request was in flight at one crash.
	Suspect
	// Poisonous means that the request was in flight at two crashes.
	Poisonous
)

// End tells how an attempt that did not crash ended.
type End int

// Ends of an attempt.
const (
	// Answered means that the upstream completed the request.
	Answered End = iota
	// Stopped means that the upstream survived but did not complete it.
	Stopped
	// Withdrawn means that it is not known whether the upstream survived.
	Withdrawn
)

// Record is the crash record of a fingerprint, as exchanged between hosts.
type Record struct {
	Fingerprint string
	Crashes     []Process
	// Remaining is how much of the record's retention is left.
	Remaining time.Duration
}

// Settled reports whether the crashes of the record are certain, which they are
// once the last one is old enough.
func (r Record) Settled() bool { return r.Remaining <= DefaultRetention-confirmTime }

// crash is the loss of a process. It is cleared when a later attempt of the suspect
// completes or when the process proves to be alive. A cleared crash is kept so that
// merging records does not restore it.
type crash struct {
	process Process
	cleared bool
	// at is zero for a crash that another host reported.
	at time.Time
}

type record struct {
	crashes []crash
	expires time.Time
}

func (r *record) count() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// add records a crash; at is zero when it is not known when it happened.
func (r *record) add(at time.Time, p Process) {
	if !r.includes(p) {
		r.crashes = append(r.crashes, crash{process: p, at: at})
	}
}

func (r *record) includes(p Process) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.process == p })
}

// flight holds the attempts of a fingerprint that are in flight: the number running
// on each process, and the times until which withdrawn attempts linger.
type flight struct {
	running   map[Process]int
	lingering map[Process]time.Time
	answered  bool
}

func (f *flight) expire(now time.Time) {
	for p, until := range f.lingering {
		if !now.Before(until) {
			delete(f.lingering, p)
		}
	}
}

func (f *flight) empty() bool { return len(f.running) == 0 && len(f.lingering) == 0 }

// countOthers returns the number of processes other than p that have attempts of
// the fingerprint in flight.
func (f *flight) countOthers(p Process) int {
	n := 0
	for q := range f.running {
		if q != p {
			n++
		}
	}
	for q := range f.lingering {
		if q != p && f.running[q] == 0 {
			n++
		}
	}
	return n
}

// Detector holds the crash records and the attempts in flight. It is not safe for
// concurrent use.
type Detector struct {
	retention time.Duration
	records   map[string]*record
	flights   map[string]*flight
	// losses holds the times at which processes were lost.
	losses map[Process]time.Time
}

// Option configures a new Detector.
type Option func(*Detector)

// WithRetention sets how long a record is kept after its last crash. The default is
// DefaultRetention.
func WithRetention(d time.Duration) Option {
	return func(detector *Detector) { detector.retention = d }
}

// New returns a Detector without records.
func New(options ...Option) *Detector {
	d := &Detector{
		retention: DefaultRetention,
		records:   make(map[string]*record),
		flights:   make(map[string]*flight),
		losses:    make(map[Process]time.Time),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Verdict returns what the crash records say about a fingerprint. An empty
// fingerprint is always Clean.
func (d *Detector) Verdict(now time.Time, fingerprint string) Verdict {
	if fingerprint == "" || len(d.records) == 0 {
		return Clean
	}
	r := d.records[fingerprint]
	if r == nil || !now.Before(r.expires) {
		return Clean
	}
	return Verdict(min(d.count(r), crashLimit))
}

// count returns the number of crashes that count against a record. One less counts when
// a process without the request was lost at about the same time: the reason may be
// another one, such as a rack that loses power.
func (d *Detector) count(r *record) int {
	n := r.count()
	if n >= crashLimit && d.overlaps(r) {
		n--
	}
	return n
}

// overlaps reports whether a process without the request was lost at about the same time
// as one of its crashes.
func (d *Detector) overlaps(r *record) bool {
	for p, at := range d.losses {
		if r.includes(p) {
			continue
		}
		if slices.ContainsFunc(r.crashes, func(c crash) bool { return !c.cleared && c.at.Sub(at).Abs() <= overlapTime }) {
			return true
		}
	}
	return false
}

// Permits reports whether an attempt may start on the process; hedge tells whether
// it is a hedge. An attempt without a fingerprint may always start.
func (d *Detector) Permits(now time.Time, fingerprint string, p Process, hedge bool) bool {
	if fingerprint == "" {
		return true
	}
	f := d.flights[fingerprint]
	if f != nil {
		f.expire(now)
	}
	switch d.Verdict(now, fingerprint) {
	case Poisonous:
		return false
	case Suspect:
		return (f == nil || f.empty()) && !d.HostsSuspect(now, p)
	}
	if f == nil || f.answered {
		return true
	}
	if hedge {
		return f.countOthers(p) < crashLimit
	}
	return f.countOthers(p) == 0
}

// Unrestricted reports whether the fingerprint has neither attempts in flight nor
// crashes on record, so that it may run on any process.
func (d *Detector) Unrestricted(now time.Time, fingerprint string) bool {
	return d.flights[fingerprint] == nil && d.Verdict(now, fingerprint) == Clean
}

// HostsSuspect reports whether a suspect is in flight on the process.
func (d *Detector) HostsSuspect(now time.Time, p Process) bool {
	for fingerprint := range d.records {
		f := d.flights[fingerprint]
		if f == nil || d.Verdict(now, fingerprint) == Clean {
			continue
		}
		if until, ok := f.lingering[p]; f.running[p] > 0 || ok && now.Before(until) {
			return true
		}
	}
	return false
}

// Started records the start of an attempt on the process.
func (d *Detector) Started(fingerprint string, p Process) {
	if fingerprint == "" {
		return
	}
	f := d.flights[fingerprint]
	if f == nil {
		f = &flight{running: make(map[Process]int, 1)}
		d.flights[fingerprint] = f
	}
	f.running[p]++
}

// Ended records the end of an attempt on a process that is not known to have
// crashed.
func (d *Detector) Ended(now time.Time, fingerprint string, p Process, how End) {
	if how == Answered {
		d.clearSuspect(fingerprint)
	}
	f := d.flights[fingerprint]
	if f == nil || f.running[p] == 0 {
		return
	}
	f.endAttempt(p)
	switch how {
	case Answered:
		f.answered = true
		clear(f.lingering)
	case Withdrawn:
		if !f.answered {
			f.linger(p, now.Add(lingerTime))
		}
	}
	if f.empty() {
		delete(d.flights, fingerprint)
	}
}

func (f *flight) endAttempt(p Process) {
	if f.running[p]--; f.running[p] == 0 {
		delete(f.running, p)
	}
}

func (f *flight) linger(p Process, until time.Time) {
	if f.lingering == nil {
		f.lingering = make(map[Process]time.Time, 1)
	}
	f.lingering[p] = until
}

// clearSuspect clears the crashes of a suspect. Poisonous records stay.
func (d *Detector) clearSuspect(fingerprint string) {
	r := d.records[fingerprint]
	if r == nil || d.count(r) >= crashLimit {
		return
	}
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
}

// Crashed records that a process was lost. It adds the crash to the records of all
// fingerprints in flight there at once, before their own attempts are reported, and
// removes these attempts.
func (d *Detector) Crashed(now time.Time, p Process) {
	d.lost(now, p)
	for fingerprint, f := range d.flights {
		f.expire(now)
		if _, lingers := f.lingering[p]; f.running[p] == 0 && !lingers {
			continue
		}
		d.suspect(now, fingerprint, p)
		f.answered = false
		delete(f.running, p)
		delete(f.lingering, p)
		if f.empty() {
			delete(d.flights, fingerprint)
		}
	}
}

// ConnectionLost records that the connection of one attempt on the process was
// lost. This may be a crash: the fingerprint is a suspect until the process proves
// to be alive. The other fingerprints in flight there are not suspects, since their
// connections have not ended.
func (d *Detector) ConnectionLost(now time.Time, fingerprint string, p Process) {
	d.lost(now, p)
	if fingerprint == "" {
		return
	}
	d.suspect(now, fingerprint, p)
	f := d.flights[fingerprint]
	if f == nil {
		return
	}
	f.answered = false
	f.endAttempt(p)
	if f.empty() {
		delete(d.flights, fingerprint)
	}
}

// ClearCrashes clears the crashes that were recorded for a process which has proved to
// be alive, or was lost for a reason that is known.
func (d *Detector) ClearCrashes(p Process) {
	delete(d.losses, p)
	for _, r := range d.records {
		for i := range r.crashes {
			if r.crashes[i].process == p {
				r.crashes[i].cleared = true
			}
		}
	}
}

// lost notes when a process was lost.
func (d *Detector) lost(now time.Time, p Process) {
	if _, known := d.losses[p]; !known {
		d.losses[p] = now
	}
}

func (d *Detector) suspect(now time.Time, fingerprint string, p Process) {
	r := d.record(now, fingerprint)
	r.add(now, p)
	r.expires = now.Add(d.retention)
}

func (d *Detector) record(now time.Time, fingerprint string) *record {
	r := d.records[fingerprint]
	if r == nil || !now.Before(r.expires) {
		r = &record{}
		d.records[fingerprint] = r
	}
	return r
}

// Merge adds the crashes of another host's record.
func (d *Detector) Merge(now time.Time, news Record) {
	expires := now.Add(min(news.Remaining, d.retention))
	if !now.Before(expires) || len(news.Crashes) == 0 || news.Fingerprint == "" {
		return
	}
	r := d.record(now, news.Fingerprint)
	for _, p := range news.Crashes {
		r.add(time.Time{}, p)
	}
	if expires.After(r.expires) {
		r.expires = expires
	}
}

// Records returns the records of suspect and poisonous fingerprints with the
// crashes that are not cleared, ordered by fingerprint.
func (d *Detector) Records(now time.Time) []Record {
	var list []Record
	for fingerprint, r := range d.records {
		if d.Verdict(now, fingerprint) == Clean {
			continue
		}
		out := Record{Fingerprint: fingerprint, Remaining: r.expires.Sub(now)}
		for _, c := range r.crashes {
			if !c.cleared {
				out.Crashes = append(out.Crashes, c.process)
			}
		}
		out.Crashes = out.Crashes[:d.count(r)]
		list = append(list, out)
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Expire removes expired records and attempts. Call it every few seconds.
func (d *Detector) Expire(now time.Time) {
	for fingerprint, r := range d.records {
		if !now.Before(r.expires) {
			delete(d.records, fingerprint)
		}
	}
	for fingerprint, f := range d.flights {
		if f.expire(now); f.empty() {
			delete(d.flights, fingerprint)
		}
	}
	for p, at := range d.losses {
		if now.Sub(at) > lossMemory {
			delete(d.losses, p)
		}
	}
}
