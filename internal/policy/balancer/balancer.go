// Package balancer chooses upstreams by news of their load that is old, while other
// choosers decide by the same news at the same moment.
//
// Choosers that all take the upstream which was the least loaded at the last report send
// everything there until the next one, and overrun upstreams in turns. A Balancer compares a
// few random candidates instead, in proportion to their capacity, by what it sent itself and
// by a report that counts for less the older it is. docs/design/load.md has the comparison
// that led to this.
//
// # Usage
//
//	b := balancer.New(random)
//	i := b.Choose([]balancer.Candidate{
//		{Capacity: 64, Reported: 20, Age: 300 * time.Millisecond, Since: 2},
//		{Capacity: 35, Reported: 9, Age: 300 * time.Millisecond},
//	})
//
// A Speed learns how fast an upstream is in the long run, for Capacity.
package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// choices is the number of candidates that are compared. With more, choosers follow old
	// news together; with one, the load isn't compared at all.
	choices = 2
	// newsTime is the time constant with which a report loses its weight. The requests that
	// it counted have ended and others have come by then.
	newsTime = 300 * time.Millisecond
)

// Candidate is what a chooser knows of an upstream.
type Candidate struct {
	// Capacity is the number of requests that the upstream runs at once, times its speed
	// relative to others. An upstream without capacity is never chosen while there is
	// another.
	Capacity float64
	// Reported is the number of requests that the upstream had at the last report from
	// whatever source, and Age the age of that report.
	Reported float64
	Age      time.Duration
	// Since is the number of requests that the chooser has sent there since the report and
	// that have not ended. Without a report these are all that have not ended.
	Since float64
	// Cost is added to the load, as a part of the capacity, for what else speaks against the
	// upstream, such as the way to another data centre.
	Cost float64
}

// load returns the estimated load as a part of the capacity, with one more request. The mean
// is the reported load of all candidates, to which an old report returns.
func (c Candidate) load(mean float64) float64 {
	if c.Capacity <= 0 {
		return math.Inf(1)
	}
	weight := math.Exp(-c.Age.Seconds() / newsTime.Seconds())
	reported := mean + weight*(c.Reported/c.Capacity-mean)
	return reported + (c.Since+1)/c.Capacity + c.Cost
}

// Balancer chooses among candidates. It is not safe for concurrent use.
type Balancer struct{ random *rand.Rand }

// New returns a Balancer that draws from the given source. Choosers must draw from
// different ones.
func New(r *rand.Rand) *Balancer { return &Balancer{random: r} }

// Choose returns the index of the candidate to use, or -1 when there are none.
func (b *Balancer) Choose(list []Candidate) int {
	if len(list) == 0 {
		return -1
	}
	mean := meanLoad(list)
	best, least := -1, 0.0
	for range choices {
		i := b.draw(list)
		if load := list[i].load(mean); best < 0 || load < least {
			best, least = i, load
		}
	}
	return best
}

// draw returns the index of a random candidate, in proportion to the capacities.
func (b *Balancer) draw(list []Candidate) int {
	sum := 0.0
	for _, c := range list {
		sum += max(c.Capacity, 0)
	}
	if sum == 0 {
		return b.random.IntN(len(list))
	}
	at, last := b.random.Float64()*sum, 0
	for i, c := range list {
		if c.Capacity <= 0 {
			continue
		}
		last = i
		if at -= c.Capacity; at < 0 {
			return i
		}
	}
	return last
}

// meanLoad returns the reported load of all candidates together.
func meanLoad(list []Candidate) float64 {
	reported, capacity := 0.0, 0.0
	for _, c := range list {
		if c.Capacity > 0 {
			reported += c.Reported
			capacity += c.Capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return reported / capacity
}
