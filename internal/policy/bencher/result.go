package bencher

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// shortTokens and longTokens define short and long answers for Result.Blocking,
	// which measures the waits of short ones behind long ones.
	shortTokens = 256
	longTokens  = 1024
)

// Result holds the measurements of one run.
type Result struct {
	Workload string
	Policy   string
	Seed     uint64
	Classes  []ClassResult
	// Goodput is the number of tokens per second of answers that met their targets.
	Goodput float64
	// Answers is the number of answers per second that met their targets.
	Answers float64
	// Wasted is the part of the generated tokens that is in no answer.
	Wasted float64
	// Blocking is the 95th percentile of the time from arrival to the batch for
	// calls with an output of at most shortTokens that arrive while one of at least
	// longTokens runs.
	Blocking time.Duration
	// Top is the 99th percentile of the time to the first token of tier 0.
	Top time.Duration
	// Lowest is the longest wait of a call of the lowest tier until its start or
	// refusal.
	Lowest time.Duration
	// Recovery is the longest time from the end of a crest to the arrival of the
	// last call of tier 0 or 1, before the next crest, that misses its target.
	Recovery time.Duration
	Counts   Counts
}

// ClassResult holds the numbers of calls of a class and how many met their targets.
type ClassResult struct {
	Class   validator.ClassName
	Tier    validator.Tier
	Calls   int
	Met     int
	Refused int
	// CrestCalls and CrestMet count the calls that arrive in crests.
	CrestCalls int
	CrestMet   int
}

// Attainment returns the part of the calls that met their targets, or 1 without
// calls.
func (c ClassResult) Attainment() float64 { return ratio(c.Met, c.Calls) }

// Crest returns the attainment of the calls that arrived in crests.
func (c ClassResult) Crest() float64 { return ratio(c.CrestMet, c.CrestCalls) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// result computes the measurements from the calls.
func (s *system) result() Result {
	var r Result
	useful, good, answers := 0, 0, 0
	var top, blocked []time.Duration
	long := s.longRuns()
	for _, d := range s.workload.Demands {
		r.Classes = append(r.Classes, ClassResult{Class: d.Class.Name, Tier: d.Class.Tier})
	}
	for _, c := range s.calls {
		k := &r.Classes[slices.IndexFunc(r.Classes, func(k ClassResult) bool { return k.Class == c.demand.Class.Name })]
		k.count(c)
		if c.doneAt > 0 {
			useful += c.output
		} else if !c.ended() {
			useful += c.emitted
			for _, q := range c.runs {
				useful += q.tokens
			}
		}
		if c.met() && c.doneAt <= s.workload.Duration {
			good += c.output
			answers++
		}
		if tier(c) == 0 {
			top = append(top, c.latency())
		}
		if tier(c) == validator.LowestTier {
			r.Lowest = max(r.Lowest, s.wait(c))
		}
		if c.output <= shortTokens && long.contains(c.arrived) {
			blocked = append(blocked, s.wait(c))
		}
	}
	seconds := s.workload.Duration.Seconds()
	r.Goodput, r.Answers = float64(good)/seconds, float64(answers)/seconds
	r.Wasted = ratio(s.generatedTokens()-useful, max(s.generatedTokens(), 1))
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

// wait returns the time from a call's arrival until an engine takes it into its
// batch, or until the call's end if no engine did.
func (s *system) wait(c *call) time.Duration {
	switch {
	case c.started:
		return c.batchedAt - c.arrived
	case c.refused:
		return c.refusedAt - c.arrived
	case c.left:
		return c.demand.Patience
	default:
		return s.now - c.arrived
	}
}

// spans is a list of periods, each with its start and end.
type spans [][2]time.Duration

// longRuns returns the periods in which long answers ran.
func (s *system) longRuns() spans {
	var list spans
	for _, c := range s.calls {
		if c.output >= longTokens && c.started {
			end := c.doneAt
			if end == 0 {
				end = s.now
			}
			list = append(list, [2]time.Duration{c.batchedAt, end})
		}
	}
	return list
}

func (l spans) contains(at time.Duration) bool {
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

// quantile returns the smallest value that at least the part q of the values does
// not exceed, or 0 for an empty list. It sorts the list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	i := int(q*float64(len(list))+0.9999) - 1
	return list[min(max(i, 0), len(list)-1)]
}
