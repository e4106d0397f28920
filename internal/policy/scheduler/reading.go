package scheduler

import (
	"math"
	"time"
)

const (
	// assumedPerToken is the time to read a prompt token before any is known, rather too
	// long than too short: with a time that is too short, all engines of a cell get several
	// times what they can read in time before the first observation.
	assumedPerToken = 30 * time.Microsecond
	// minPerToken and maxPerToken bound the learned time. A longer time indicates a
	// queue that the scheduler does not know, rather than a slow engine.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 60 * time.Microsecond
	// readingPrior is the weight of the assumption, as a number of observed tokens.
	readingPrior = 50_000
	// readingMemory is the number of tokens after which older observations have
	// about a third of their weight.
	readingMemory = 1_000_000
	// ownReadingPrior is the weight, as a number of observed tokens, of the assumption that an
	// engine reads as fast as the others of its pool.
	ownReadingPrior = 30_000
	// ownReadingMemory is readingMemory for a single engine. It is many times what an engine
	// reads in a short period of slowness, so that such a period isn't taken for a lasting
	// slowness.
	ownReadingMemory = 300_000
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

// newReading returns a reading that assumes the given time for a token.
func newReading(perToken time.Duration) reading {
	return reading{tokens: readingPrior, spent: readingPrior * float64(perToken)}
}

// observe adds a number of tokens that an engine has read and the time that it
// took. After the given number of tokens older observations have about a third of their
// weight.
func (l *reading) observe(tokens float64, took time.Duration, memory float64) {
	took = min(max(took, 0), time.Duration(tokens*float64(maxPerToken)))
	kept := math.Exp(-tokens / memory)
	l.tokens = l.tokens*kept + tokens
	l.spent = l.spent*kept + float64(took)
}

// perToken returns the estimated time to read one token, between minPerToken and
// maxPerToken.
func (l *reading) perToken() time.Duration {
	return min(max(time.Duration(l.spent/l.tokens), minPerToken), maxPerToken)
}

// perToken returns the estimated time in which this engine reads a token. Engines of a pool
// may differ by a factor of two: with the pool's time the slow ones would read without a
// pause while the fast ones idle. The engine is compared with what was observed of all and
// not with the default, which would make each engine that was observed differ from the others.
func (u *upstream) perToken(p *pool) time.Duration {
	usual := p.reading.perToken()
	if p.observed.tokens == 0 {
		return usual
	}
	mean := p.observed.spent / p.observed.tokens
	own := (u.reading.spent + ownReadingPrior*mean) / (u.reading.tokens + ownReadingPrior)
	if mean == 0 {
		return usual
	}
	return min(max(time.Duration(float64(usual)*own/mean), minPerToken), maxPerToken)
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
