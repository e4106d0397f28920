package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// paceTokens is the number of tokens after which an observed time between
	// tokens has a weight of two thirds. A slowdown has to show within a second, in
	// which an upstream with ten streams produces about 400 tokens.
	paceTokens = 100
	// paceMemory is the time constant with which an observation decays when no new
	// one arrives, so that a slow upstream is tried again.
	paceMemory = 10 * time.Second
	// compareInterval is how often the typical time between tokens is updated.
	compareInterval = 200 * time.Millisecond
	// typicalRatio is the ratio of upstreams when no typical time between tokens is
	// known.
	typicalRatio = 1.0
	// slowRatio is the ratio to the typical time between tokens above which an
	// upstream counts as slow.
	slowRatio = 2.0
)

// pace is the observed time between tokens of an upstream. These observations,
// which match what callers see, are used instead of load reports, which lag and do
// not show slowdowns.
type pace struct {
	gap      time.Duration
	observed time.Time
}

// observe adds the mean time between tokens over the given number of tokens.
func (p *pace) observe(now time.Time, gap time.Duration, tokens int) {
	if p.observed.IsZero() {
		p.gap = gap
	}
	weight := 1 - math.Exp(-float64(tokens)/paceTokens)
	p.gap += time.Duration(weight * float64(gap-p.gap))
	p.observed = now
}

// at returns the expected time between tokens. An observation older than a second
// decays towards the typical time.
func (p *pace) at(now time.Time, typical time.Duration) time.Duration {
	if p.observed.IsZero() {
		return typical
	}
	age := now.Sub(p.observed)
	if age < time.Second || typical == 0 {
		return p.gap
	}
	fade := math.Exp(-age.Seconds() / paceMemory.Seconds())
	return typical + time.Duration(fade*float64(p.gap-typical))
}

// ratio returns the expected time between tokens relative to the typical one.
func (p *pace) ratio(now time.Time, typical time.Duration) float64 {
	if typical == 0 {
		return typicalRatio
	}
	return float64(p.at(now, typical)) / float64(typical)
}

// suits reports whether the upstream is fast enough for the class: its time between
// tokens is at most the class's target or 1.5 times the typical one, whichever is
// longer. Where the typical upstream is too slow as well, that is no reason to
// avoid this one.
func (u *upstream) suits(now time.Time, c *class, typical time.Duration) bool {
	return c.gap == 0 || u.pace.at(now, typical) <= max(c.gap, typical*3/2)
}

// updateTypicalGaps updates the typical time between tokens of each pool, at most
// once per compareInterval.
func (s *Scheduler) updateTypicalGaps(now time.Time) {
	for _, p := range s.pools {
		if now.Sub(p.comparedAt) < compareInterval {
			continue
		}
		p.comparedAt = now
		var gaps []time.Duration
		for _, u := range p.upstreams {
			if !u.pace.observed.IsZero() && !u.Leaving {
				gaps = append(gaps, u.pace.at(now, p.typicalGap))
			}
		}
		if len(gaps) > 0 {
			slices.Sort(gaps)
			p.typicalGap = gaps[len(gaps)/2]
		}
	}
}
