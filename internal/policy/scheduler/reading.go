package scheduler

import (
	"math"
	"time"
)

const (
	// defaultPerToken is the assumed time to read a prompt token before any is
	// known.
	defaultPerToken = 15 * time.Microsecond
	// minPerToken and maxPerToken bound the learned time. A longer time indicates a
	// queue that the scheduler does not know, rather than a slow engine.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 60 * time.Microsecond
	// readingPrior is the weight of the default, as a number of observed tokens.
	readingPrior = 50_000
	// readingMemory is the number of tokens after which older observations have
	// about a third of their weight.
	readingMemory = 1_000_000
	// speedStep is the relative change of the learned time from which it is
	// reported again.
	speedStep = 0.25
)

// reading learns how long engines take to read a prompt token: the time for which
// they had prompts to read, divided by the tokens that they read in it. Unlike the
// time from a grant to the first token, this does not depend on the length of their
// queues.
type reading struct {
	// tokens and spent are decaying sums of the observed tokens and of the time in
	// nanoseconds.
	tokens, spent float64
}

func newReading() reading {
	return reading{tokens: readingPrior, spent: readingPrior * float64(defaultPerToken)}
}

// observe adds a number of tokens that an engine has read and the time that it
// took.
func (l *reading) observe(tokens float64, took time.Duration) {
	took = min(max(took, 0), time.Duration(tokens*float64(maxPerToken)))
	kept := math.Exp(-tokens / readingMemory)
	l.tokens = l.tokens*kept + tokens
	l.spent = l.spent*kept + float64(took)
}

// perToken returns the estimated time to read one token, between minPerToken and
// maxPerToken.
func (l *reading) perToken() time.Duration {
	return min(max(time.Duration(l.spent/l.tokens), minPerToken), maxPerToken)
}

// readSpan is a time for which an engine reads without a pause. It begins with the
// first read, and anew at each first token.
type readSpan struct {
	since time.Time
	// idle is set until the first token since the engine began to read.
	idle bool
}

// next starts a new span at a first token, and returns how long reading the prompt
// took.
func (r *readSpan) next(now time.Time) time.Duration {
	took := now.Sub(r.since)
	if r.idle {
		took -= startOverhead
	}
	*r = readSpan{since: now}
	return took
}

// reportSpeed adds a ReadingSpeed action if the estimated time to read a token has
// changed by more than speedStep.
func (s *Scheduler) reportSpeed(p *pool) {
	if s.memory[p.name] == 0 {
		return
	}
	before, after := p.reported, p.reading.perToken()
	if change := math.Abs(float64(after - before)); change > speedStep*float64(before) {
		p.reported = after
		s.actions = append(s.actions, ReadingSpeed{Pool: p.name, Before: before, After: after, Tokens: int(p.reading.tokens)})
	}
}
