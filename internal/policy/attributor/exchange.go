package attributor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxShared is the number of records that a host passes on.
	MaxShared = 32
	// settleTime is the age from which a crash is certain.
	settleTime = 300 * time.Millisecond
)

// Record is what a host knows about a part, as exchanged between hosts.
type Record struct {
	Part    Part
	Crashes []Crash
	Answers []Answer
	// Proven is set when the part was answered recently before its first crash.
	Proven bool
}

// Settled reports whether the crashes of the record are certain, which they are once the
// last one is old enough: a process that has lost only one connection proves to be alive
// before that.
func (r Record) Settled(now time.Time) bool {
	return !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return now.Sub(c.At) < settleTime })
}

// Records returns the records that other hosts should know, those with the most crashes
// first. Once a record was passed on, its refutation is, too.
func (a *Attributor) Records(now time.Time) []Record {
	var list []Record
	for p, r := range a.records {
		if !r.shared && !r.suspected(r.crashes) {
			continue
		}
		out := Record{Part: p, Proven: r.proven, Answers: slices.Clone(r.answers)}
		for _, c := range a.unexplained(p, r) {
			c.Overlaps = c.Overlaps || a.overlaps(r, c)
			out.Crashes = append(out.Crashes, c)
		}
		if len(out.Crashes) > 0 || r.shared {
			list = append(list, out)
		}
	}
	slices.SortFunc(list, func(x, y Record) int {
		return cmp.Or(cmp.Compare(len(y.Crashes), len(x.Crashes)), cmp.Compare(x.Part.Pool, y.Part.Pool), cmp.Compare(x.Part.Hash, y.Part.Hash))
	})
	list = list[:min(len(list), MaxShared)]
	for _, r := range list {
		if r.Settled(now) {
			a.records[r.Part].shared = true
		}
	}
	return list
}

// Merge adds what another host knows.
func (a *Attributor) Merge(now time.Time, news []Record) {
	for _, r := range news {
		a.merge(now, r)
	}
	if len(news) > 0 {
		a.explain()
	}
}

func (a *Attributor) merge(now time.Time, news Record) {
	if a.records[news.Part] == nil && len(news.Crashes) == 0 {
		return
	}
	r := a.record(news.Part)
	if r == nil {
		return
	}
	r.proven = r.proven || news.Proven
	for _, s := range news.Answers {
		r.refute(earlier(s.At, now), s.Version)
	}
	for _, c := range news.Crashes {
		c.At = earlier(c.At, now)
		r.add(c)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
