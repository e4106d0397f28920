package attributor

import (
	"cmp"
	"slices"
	"time"
)

// Change is a new verdict on a part.
type Change struct {
	Part Part
	// Blamed tells whether requests with the part are withheld from now on.
	Blamed bool
	// Crashes are those that the part is blamed for.
	Crashes []Crash
	// Until is when the part is tried again.
	Until time.Time
}

// Changes returns the verdicts that have changed since the last call.
func (a *Attributor) Changes() []Change {
	list := a.changes
	a.changes = nil
	return list
}

// explain finds the parts that alone can be the reason of their crashes. The losses that
// they explain tell nothing about other parts.
func (a *Attributor) explain() {
	clear(a.explained)
	var blamed []Part
	for _, p := range a.blamedParts() {
		r := a.records[p]
		crashes := a.unexplained(p, r)
		until := a.latestBlame(r, crashes)
		if until.IsZero() || a.ambiguous(p, crashes, nil) {
			continue
		}
		for _, c := range crashes {
			a.explained[c.Process] = p
		}
		blamed = append(blamed, p)
		if !a.blamed[p] {
			a.changes = append(a.changes, Change{Part: p, Blamed: true, Crashes: slices.Clone(crashes), Until: until})
		}
	}
	for p := range a.blamed {
		if !slices.Contains(blamed, p) {
			a.changes = append(a.changes, Change{Part: p})
		}
	}
	clear(a.blamed)
	for _, p := range blamed {
		a.blamed[p] = true
	}
}

// blamedParts lists the parts whose crashes are enough to blame them, those with the most
// crashes first.
func (a *Attributor) blamedParts() []Part {
	var list []Part
	for p, r := range a.records {
		if len(r.crashes) >= blamedRounds+r.grace() && !a.latestBlame(r, r.crashes).IsZero() {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(p, q Part) int {
		return cmp.Or(cmp.Compare(len(a.records[q].crashes), len(a.records[p].crashes)),
			cmp.Compare(p.Pool, q.Pool), cmp.Compare(p.Hash, q.Hash))
	})
	return list
}

// latestBlame returns the latest end of the verdicts on the versions that crashed, or the
// zero time if the part is blamed for none.
func (a *Attributor) latestBlame(r *record, crashes []Crash) time.Time {
	var latest time.Time
	for i, c := range crashes {
		if i > 0 && crashes[i-1].Version == c.Version {
			continue
		}
		if until := a.blamedUntil(r, ofVersion(crashes, c.Version)); until.After(latest) {
			latest = until
		}
	}
	return latest
}

// blamedUntil returns the end of the time for which the crashes, all of one version,
// withhold requests with the part, or the zero time if they don't. Crashes at the same
// time as others, which may have another cause, need one more round.
func (a *Attributor) blamedUntil(r *record, crashes []Crash) time.Time {
	all := rounds(crashes)
	further := len(all) - blamedRounds - r.grace()
	if further < 0 {
		return time.Time{}
	}
	if slices.ContainsFunc(all, func(c Crash) bool { return c.Overlaps || a.overlaps(r, c) }) {
		further--
	}
	if further < 0 {
		return time.Time{}
	}
	left := firstBlameTime
	for range further {
		left = min(left*blameGrowth, maxBlameTime)
	}
	return crashes[len(crashes)-1].At.Add(left)
}

// overlaps reports whether a process without a request with the part was lost at about
// the same time as one of the record, for a reason that is not known.
func (a *Attributor) overlaps(r *record, c Crash) bool {
	for p, at := range a.losses {
		if _, known := a.explained[p]; known || p == c.Process || c.At.Sub(at).Abs() > overlapTime {
			continue
		}
		if !slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.Process == p }) {
			return true
		}
	}
	return false
}

// unexplained returns the crashes of a part for which no other part is the reason.
func (a *Attributor) unexplained(p Part, r *record) []Crash {
	if len(a.explained) == 0 {
		return r.crashes
	}
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		reason, known := a.explained[c.Process]
		return known && reason != p
	})
}

// ambiguous reports whether a suspected part outside the given ones was in all of the
// crashes of a part, and so may be their reason in its place.
func (a *Attributor) ambiguous(p Part, crashes []Crash, parts []Part) bool {
	for q, r := range a.records {
		if q == p || len(r.crashes) < len(crashes) || !covers(r.crashes, crashes) || slices.Contains(parts, q) {
			continue
		}
		if other := a.unexplained(q, r); r.suspected(other) && covers(other, crashes) {
			return true
		}
	}
	return false
}
