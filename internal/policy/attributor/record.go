package attributor

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

const (
	// blamedRounds is the number of rounds of crashes from which a part is blamed, and
	// suspectedRounds that from which it is suspected. Both are one more for a part that
	// was answered recently before its first crash.
	blamedRounds    = 2
	suspectedRounds = 1
	// overlapTime is the time between the losses of two processes that may have a cause
	// in common, such as a rack that loses power.
	overlapTime = 500 * time.Millisecond
	// firstBlameTime is how long a part is blamed at first. Each further round of
	// crashes multiplies the time by blameGrowth, up to maxBlameTime.
	firstBlameTime = 15 * time.Second
	blameGrowth    = 4
	maxBlameTime   = 24 * time.Hour
	// suspicionTime is how long a part that is not blamed stays suspected.
	suspicionTime = 5 * time.Minute
	// refutedTime is how long the record of a refuted part is kept, so that older
	// records of other hosts don't restore it.
	refutedTime = 30 * time.Second
	// MaxCrashes is the number of crashes that the record of a part keeps.
	MaxCrashes = 8
	// MaxVersions is the number of versions for which a record tells that a part is
	// sound.
	MaxVersions = 4
)

// Crash is the loss of a process that had not begun to answer a request with a part.
type Crash struct {
	Process      detector.Process
	Version      Version
	Organisation validator.OrganisationName
	// Granted is when the attempt began and At when the loss was known.
	Granted, At time.Time
	// Overlaps is set by another host when a process without such a request was lost at
	// the same time.
	Overlaps bool
}

// Answer tells when upstreams of a version last answered a request with a part.
type Answer struct {
	Version Version
	At      time.Time
}

// record holds the crashes of one part that no answer has refuted.
type record struct {
	crashes []Crash
	answers []Answer
	// proven is set when the part was answered recently before its first crash.
	proven bool
	// shared is set once the record was passed to other hosts.
	shared bool
}

// add records a crash, unless its process is known or the part was answered since.
func (r *record) add(c Crash) {
	if slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.Process == c.Process }) {
		return
	}
	for _, s := range r.answers {
		if s.Version == c.Version && !c.At.After(s.At) {
			return
		}
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if extra := len(r.crashes) - MaxCrashes; extra > 0 {
		r.crashes = slices.Delete(r.crashes, 0, extra)
	}
}

// refute records an answer, which clears the crashes of the same version before it.
func (r *record) refute(at time.Time, v Version) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Version == v && !c.At.After(at) })
	if len(r.crashes) == 0 {
		r.proven = true
	}
	for i := range r.answers {
		if r.answers[i].Version == v {
			if at.After(r.answers[i].At) {
				r.answers[i].At = at
			}
			return
		}
	}
	r.answers = append(r.answers, Answer{v, at})
	if len(r.answers) > MaxVersions {
		r.answers = slices.Delete(r.answers, 0, 1)
	}
}

// soundOn reports whether upstreams of the version have answered the part.
func (r *record) soundOn(v Version) bool {
	return slices.ContainsFunc(r.answers, func(s Answer) bool { return s.Version == v })
}

// suspected reports whether the crashes make the part a suspect.
func (r *record) suspected(crashes []Crash) bool {
	return len(rounds(crashes)) >= suspectedRounds+r.grace()
}

// grace is the number of rounds that the record forgives.
func (r *record) grace() int {
	if r.proven {
		return 1
	}
	return 0
}

// rounds returns the first crash of each round, in order. The attempts of a round began
// before the round before it was known.
func rounds(crashes []Crash) []Crash {
	var first []Crash
	for _, c := range crashes {
		if len(first) == 0 || c.Granted.After(first[len(first)-1].At) {
			first = append(first, c)
		}
	}
	return first
}

// changed returns the time of the last crash or answer.
func (r *record) changed() time.Time {
	var last time.Time
	for _, s := range r.answers {
		if s.At.After(last) {
			last = s.At
		}
	}
	if n := len(r.crashes); n > 0 && r.crashes[n-1].At.After(last) {
		last = r.crashes[n-1].At
	}
	return last
}

func (r *record) expired(now time.Time) bool {
	age := now.Sub(r.changed())
	switch {
	case len(r.crashes) == 0:
		return age > refutedTime
	case len(rounds(r.crashes)) < blamedRounds+r.grace():
		return age > suspicionTime
	}
	return age > maxBlameTime
}

// ofVersion returns the crashes of upstreams of one version.
func ofVersion(crashes []Crash, v Version) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return c.Version != v })
}

// concerns reports whether the crashes withhold the requests of an organisation: some of
// its own, or those of several organisations, caused them.
func concerns(crashes []Crash, o validator.OrganisationName) bool {
	for _, c := range crashes {
		if c.Organisation == o || c.Organisation != crashes[0].Organisation {
			return true
		}
	}
	return false
}

// covers reports whether all processes of some were lost in crashes, too.
func covers(crashes, some []Crash) bool {
	return !slices.ContainsFunc(some, func(c Crash) bool {
		return !slices.ContainsFunc(crashes, func(o Crash) bool { return o.Process == c.Process })
	})
}
