package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// paceTokens is the number of tokens after which an observed time between
	// tokens counts for two thirds. A slowdown has to show within a second;
	// an upstream with ten streams makes about 400 tokens in that time.
	paceTokens = 100
	// paceMemory is the time constant with which an observation fades when
	// nothing new comes in, so that a slow upstream is tried again.
	paceMemory = 10 * time.Second
	// compareInterval is how often upstreams are compared with each other.
	compareInterval = 200 * time.Millisecond
	// restarted upstreams and those that did not run anything yet count as
	// typical.
	typicalRatio = 1.0
	// slowRatio is the ratio to the typical time between tokens from which an
	// upstream counts as slow.
	slowRatio = 2.0
)

// pace is the observed time between tokens of an upstream. What callers see is
// trusted over load reports, which lag and do not show slowdowns.
type pace struct {
	gap      time.Duration
	observed time.Time
}

// observe adds the mean time between tokens over a number of them.
func (p *pace) observe(now time.Time, gap time.Duration, tokens int) {
	if p.observed.IsZero() {
		p.gap = gap
	}
	weight := 1 - math.Exp(-float64(tokens)/paceTokens)
	p.gap += time.Duration(weight * float64(gap-p.gap))
	p.observed = now
}

// at is the expected time between tokens. An old observation counts for less
// against the typical one.
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

// ratio compares the upstream with a typical one.
func (p *pace) ratio(now time.Time, typical time.Duration) float64 {
	if typical == 0 {
		return typicalRatio
	}
	return float64(p.at(now, typical)) / float64(typical)
}

// suits reports whether the upstream is fast enough for the class. Where the
// typical upstream is not either, that is no reason to avoid this one.
func (u *upstream) suits(now time.Time, c *class, typical time.Duration) bool {
	return c.gap == 0 || u.pace.at(now, typical) <= max(c.gap, typical*3/2)
}

// compare updates the typical time between tokens of the pools.
func (s *Scheduler) compare(now time.Time) {
	for _, p := range s.pools {
		if now.Sub(p.compared) < compareInterval {
			continue
		}
		p.compared = now
		var gaps []time.Duration
		for _, u := range p.upstreams {
			if !u.pace.observed.IsZero() && !u.Leaving {
				gaps = append(gaps, u.pace.at(now, p.typical))
			}
		}
		if len(gaps) > 0 {
			slices.Sort(gaps)
			p.typical = gaps[len(gaps)/2]
		}
	}
}
