package scheduler

import (
	"math"
	"time"
)

const (
	// defaultPerToken is the time to read a prompt token before any is known.
	defaultPerToken = 15 * time.Microsecond
	// minPerToken and maxPerToken bound what is learned. A longer time tells of a
	// queue that the scheduler doesn't know rather than of the prompt.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 60 * time.Microsecond
	// readingPrior is the number of tokens for which the default counts.
	readingPrior = 50_000
	// readingMemory is the number of tokens after which older observations count for
	// a third.
	readingMemory = 1_000_000
	// speedStep is the part by which the learned time has to change to be reported
	// again.
	speedStep = 0.25
)

// reading learns how long engines take for a prompt token: the time for which they
// had prompts to read, by the tokens that they read in it. Unlike the time from a
// grant to the first token, this doesn't depend on how long their queues are.
type reading struct {
	// tokens and spent are the sums of what was observed; older parts fade.
	tokens, spent float64
}

func newReading() reading {
	return reading{tokens: readingPrior, spent: readingPrior * float64(defaultPerToken)}
}

// observe adds the tokens that an engine has read, and the time that it took.
func (l *reading) observe(tokens float64, took time.Duration) {
	took = min(max(took, 0), time.Duration(tokens*float64(maxPerToken)))
	kept := math.Exp(-tokens / readingMemory)
	l.tokens = l.tokens*kept + tokens
	l.spent = l.spent*kept + float64(took)
}

// perToken is the time to read one token.
func (l *reading) perToken() time.Duration {
	return min(max(time.Duration(l.spent/l.tokens), minPerToken), maxPerToken)
}

// readSpan is the time since which an engine reads without a pause, or since the last
// first token in it.
type readSpan struct {
	since time.Time
	// idle is set while there was no first token in it yet.
	idle bool
}

// next ends the span at a first token and returns how long it took to read the prompt.
func (r *readSpan) next(now time.Time) time.Duration {
	took := now.Sub(r.since)
	if r.idle {
		took -= startTime
	}
	*r = readSpan{since: now}
	return took
}

// reportSpeed reports the time to read a token once it has changed much.
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
