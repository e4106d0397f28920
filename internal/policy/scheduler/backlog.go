package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// contextWeight is how much longer reading takes, as a part of its time, on an
	// engine whose whole memory is in use by running requests: each step goes over
	// all of that memory.
	contextWeight = 1.0
	// startOverhead is the part of the time to the first token that is not reading.
	startOverhead = 100 * time.Millisecond
	// overrunPart is the part of a read that is expected to remain once its
	// predicted time is over.
	overrunPart = 0.5
	// lowerWeight is the part of the reading for lower tiers that is expected to
	// delay a request.
	lowerWeight = 0.25
	// readLoadTime is the time constant of the measured share of time for which an
	// engine reads.
	readLoadTime = 3 * time.Second
)

// backlog predicts how long the engine still reads the prompts that it was given.
// Attempts without a token still count for a part after their predicted end.
func (u *upstream) backlog(now time.Time) time.Duration {
	var unread time.Duration
	for _, d := range u.pendingRead {
		unread += d
	}
	return max(u.readingUntil.Sub(now), time.Duration(overrunPart*float64(unread)), 0)
}

// backlogFor returns the part of the backlog that a request of a tier has to wait
// for. Engines start more urgent requests first, but finish the prompt that they
// are already reading.
func (u *upstream) backlogFor(now time.Time, level validator.Tier) time.Duration {
	all := u.backlog(now)
	before := u.backlogAbove(now, level)
	begun := min(u.unfinishedRead(now, level), all-before)
	return before + begun + time.Duration(lowerWeight*float64(all-before-begun))
}

// unfinishedRead returns the rest of the prompt that the engine is reading if its
// request belongs to a lower tier than level, and 0 otherwise.
func (u *upstream) unfinishedRead(now time.Time, level validator.Tier) time.Duration {
	if len(u.unreadAttempts) == 0 || u.unreadAttempts[0].tier <= level {
		return 0
	}
	oldest := u.unreadAttempts[0]
	return max(oldest.readTime-now.Sub(oldest.granted), time.Duration(overrunPart*float64(oldest.readTime)))
}

// backlogAbove returns the part of the backlog that belongs to a tier and those
// above it.
func (u *upstream) backlogAbove(now time.Time, level validator.Tier) time.Duration {
	var above time.Duration
	for i := range level + 1 {
		above += u.pendingRead[i]
	}
	return min(above, u.backlog(now))
}

// readLoad returns the recent share of time for which the engine was reading.
func (u *upstream) readLoad(now time.Time) float64 {
	return u.readShare * math.Exp(-now.Sub(u.readShareAt).Seconds()/readLoadTime.Seconds())
}

// addRead adds the time of a read to the share of time.
func (u *upstream) addRead(now time.Time, d time.Duration) {
	u.readShare = u.readLoad(now) + d.Seconds()/readLoadTime.Seconds()
	u.readShareAt = now
}

// readTime predicts how long the engine takes to read the given number of prompt
// tokens.
func (s *Scheduler) readTime(u *upstream, r *request, tokens int) time.Duration {
	return time.Duration(s.weightedTokens(u, r, tokens) * float64(u.perToken(r.pool)))
}

// weightedTokens returns the number of prompt tokens that would take as long to
// read on an engine without other requests.
func (s *Scheduler) weightedTokens(u *upstream, r *request, tokens int) float64 {
	context := float64(u.context) / float64(s.memory[r.pool.name])
	return float64(tokens) * (1 + contextWeight*context)
}

// beginReading records what the engine of a new attempt has to read for it.
func (s *Scheduler) beginReading(now time.Time, a *attempt) {
	r, u := a.request, a.upstream
	if len(u.attempts) == 0 {
		u.lastActivity = now
	}
	capacity := s.memory[r.pool.name]
	if capacity == 0 {
		return
	}
	if u.firstGrant.IsZero() {
		u.firstGrant = now
	}
	unread := r.Prompt - u.cache.held(&r.Request)
	a.unreadTokens = s.weightedTokens(u, r, unread)
	a.cacheUnknown = !u.cacheKnown(now)
	a.backlogAhead = u.backlogFor(now, r.class.tier)
	a.tier = r.class.tier
	read := s.readTime(u, r, unread)
	u.readingUntil = now.Add(u.backlog(now) + read)
	u.addRead(now, read)
	a.readTime = read
	if read > 0 {
		if len(u.unreadAttempts) == 0 {
			u.span = readSpan{since: now, idle: true}
		}
		u.unreadAttempts = append(u.unreadAttempts, a)
	}
	u.pendingRead[r.class.tier] += read
	s.occupy(a)
	a.sharedBlocks = u.blocksInRead.begin(&r.Request, &u.cache)
	u.cache.use(&r.Request, capacity)
}

// predicted returns the predicted time from the grant to the first token, or 0 when
// it is unknown.
func (a *attempt) predicted() time.Duration { return a.backlogAhead + a.readTime }

// endReading updates the engine's reading and memory after the end of an attempt.
func (s *Scheduler) endReading(now time.Time, a *attempt) {
	u := a.upstream
	a.vacate()
	a.finishReading()
	if s.memory[a.request.pool.name] > 0 {
		s.reviewReading(now, u)
	}
}

// observeReading updates the estimated reading speed from the first token of an
// attempt. It learns nothing while the cell is divided: other hosts then fill
// caches and queues that this scheduler does not know.
func (s *Scheduler) observeReading(now time.Time, a *attempt) {
	if s.memory[a.request.pool.name] == 0 {
		return
	}
	if a.readTime > 0 {
		took := a.upstream.span.next(now)
		if !a.cacheUnknown && s.hosts == 1 {
			a.request.pool.reading.observe(a.unreadTokens, took, readingMemory)
			a.request.pool.observed.observe(a.unreadTokens, took, readingMemory)
			a.upstream.reading.observe(a.unreadTokens, took, ownReadingMemory)
		}
	}
	a.finishReading()
	s.reviewReading(now, a.upstream)
}

// finishReading records that the engine has nothing more to read for the attempt.
func (a *attempt) finishReading() {
	u := a.upstream
	if i := slices.Index(u.unreadAttempts, a); i >= 0 {
		u.unreadAttempts = slices.Delete(u.unreadAttempts, i, i+1)
	}
	u.pendingRead[a.tier] -= a.readTime
	a.readTime = 0
	u.blocksInRead.end(a.sharedBlocks)
	a.sharedBlocks = nil
}

// reviewReading lowers readingUntil to the time at which the engine would finish
// all remaining reads if it started them now.
func (s *Scheduler) reviewReading(now time.Time, u *upstream) {
	var left time.Duration
	for _, a := range u.unreadAttempts {
		left += a.readTime
	}
	if end := now.Add(left); end.Before(u.readingUntil) {
		u.readingUntil = end
	}
}
