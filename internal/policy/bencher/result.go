package bencher

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// shortTokens and longTokens tell short from long work where waits of
	// short work behind long work are measured.
	shortTokens = 256
	longTokens  = 1024
)

// Result is what one run measured.
type Result struct {
	Workload string
	Policy   string
	Seed     uint64
	Classes  []ClassResult
	// Goodput is the tokens a second of answers within their targets.
	Goodput float64
	// Answers is the answers a second within their targets.
	Answers float64
	// Wasted is the part of the generated tokens that no answer contains.
	Wasted float64
	// Blocking is the 95th percentile of the time from arrival to the batch
	// for answers of at most shortTokens that arrive while one of at least
	// longTokens runs.
	Blocking time.Duration
	// Top is the 99th percentile of the time to the first token of tier 0.
	Top time.Duration
	// Lowest is the longest wait of the lowest class to its start or refusal.
	Lowest time.Duration
	// Recovery is the longest time from the end of a crest to the last
	// arrival of tier 0 or 1 that misses its target before the next crest.
	Recovery time.Duration
	Counts   Counts
}

// ClassResult is the attainment of a class.
type ClassResult struct {
	Class   validator.ClassName
	Tier    validator.Tier
	Calls   int
	Met     int
	Refused int
	// CrestCalls and CrestMet count what arrives in crests.
	CrestCalls int
	CrestMet   int
}

// Attainment is the part of the calls that met their target.
func (c ClassResult) Attainment() float64 { return ratio(c.Met, c.Calls) }

// Crest is the attainment of the calls that arrived in crests.
func (c ClassResult) Crest() float64 { return ratio(c.CrestMet, c.CrestCalls) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// result evaluates the calls.
func (s *system) result() Result {
	var r Result
	useful, good, answers := 0, 0, 0
	var top, blocked []time.Duration
	long := s.long()
	for _, d := range s.workload.Demands {
		r.Classes = append(r.Classes, ClassResult{Class: d.Class.Name, Tier: d.Class.Tier})
	}
	for _, c := range s.calls {
		k := &r.Classes[slices.IndexFunc(r.Classes, func(k ClassResult) bool { return k.Class == c.demand.Class.Name })]
		k.count(c)
		if c.done > 0 {
			useful += c.output
		} else if !c.ended() {
			useful += c.emitted
			for _, q := range c.runs {
				useful += q.tokens
			}
		}
		if c.met() && c.done <= s.workload.Duration {
			good += c.output
			answers++
		}
		if tier(c) == 0 {
			top = append(top, c.latency())
		}
		if tier(c) == validator.LowestTier {
			r.Lowest = max(r.Lowest, s.wait(c))
		}
		if c.output <= shortTokens && long.runs(c.arrived) {
			blocked = append(blocked, s.wait(c))
		}
	}
	seconds := s.workload.Duration.Seconds()
	r.Goodput, r.Answers = float64(good)/seconds, float64(answers)/seconds
	r.Wasted = ratio(s.made()-useful, max(s.made(), 1))
	r.Blocking = quantile(blocked, 0.95)
	r.Top = quantile(top, 0.99)
	r.Recovery = s.recovery()
	if c, ok := s.router.(*cell); ok {
		r.Counts = c.counts
	}
	return r
}

func (c *ClassResult) count(one *call) {
	met := 0
	if one.met() {
		met = 1
	}
	c.Calls++
	c.Met += met
	if one.refused {
		c.Refused++
	}
	if one.crest {
		c.CrestCalls++
		c.CrestMet += met
	}
}

// wait is the time from arrival to an engine's batch or to the end.
func (s *system) wait(c *call) time.Duration {
	switch {
	case c.started:
		return c.begun - c.arrived
	case c.refused:
		return c.refusedAt - c.arrived
	case c.left:
		return c.demand.Patience
	default:
		return s.now - c.arrived
	}
}

// spans are times in which long answers ran.
type spans [][2]time.Duration

func (s *system) long() spans {
	var list spans
	for _, c := range s.calls {
		if c.output >= longTokens && c.started {
			end := c.done
			if end == 0 {
				end = s.now
			}
			list = append(list, [2]time.Duration{c.begun, end})
		}
	}
	return list
}

func (l spans) runs(at time.Duration) bool {
	return slices.ContainsFunc(l, func(x [2]time.Duration) bool { return x[0] <= at && at < x[1] })
}

func (s *system) recovery() time.Duration {
	var longest time.Duration
	for _, crest := range s.workload.Crests {
		end := crest.Start + crest.Length
		next := s.workload.Duration
		for _, other := range s.workload.Crests {
			if other.Start > crest.Start {
				next = min(next, other.Start)
			}
		}
		for _, c := range s.calls {
			if tier(c) <= 1 && c.arrived > end && c.arrived < next && !c.met() {
				longest = max(longest, c.arrived-end)
			}
		}
	}
	return longest
}

// quantile returns the smallest value that the given part does not exceed.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	i := int(q*float64(len(list))+0.9999) - 1
	return list[min(max(i, 0), len(list)-1)]
}
