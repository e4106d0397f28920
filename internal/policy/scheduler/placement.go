package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

const (
	// memoryShare is the part of an engine's memory that running requests may
	// take. The rest is room for answers that grow beyond what was expected: an
	// engine without room preempts.
	memoryShare = 0.9
	// contextWeight is how much longer reading takes on an engine whose whole
	// memory is in use by running requests: each step goes over all of it.
	contextWeight = 1.0
	// harmWeight is the cost of reading beside one running stream, as a part of
	// the reading time: each chunk delays the next token of every stream.
	harmWeight = 0.06
	// queueLimit bounds what an engine is given to read in advance. What waits
	// longer waits here, where a more urgent request can pass it.
	queueLimit = 600 * time.Millisecond
)

// place returns the engine at which the request should have its first token
// earliest, or nil when none has room. What an engine keeps of the prompt need
// not be read again, so that requests with equal beginnings meet at one engine
// for as long as its queue is short.
func (s *Scheduler) place(now time.Time, r *request) *upstream {
	if s.unsettled && s.detector.Verdict(now, r.Fingerprint) == detector.Suspect {
		return nil
	}
	var best *upstream
	var least time.Duration
	for _, u := range s.eligible(now, r) {
		if !s.fits(now, u, r) {
			continue
		}
		if cost := s.startCost(now, u, r); best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// eligible lists the upstreams that may run the request. Those that failed it, are
// silent or too slow count only where there is no other.
func (s *Scheduler) eligible(now time.Time, r *request) []*upstream {
	p := r.pool
	open := s.detector.Unrestricted(now, r.Fingerprint)
	limits := p.limits()
	var all []*upstream
	for _, u := range p.upstreams {
		if !u.takes() || r.attempt(u.Name) != nil {
			continue
		}
		if !open && !s.detector.Permits(now, r.Fingerprint, u.process(), false) {
			continue
		}
		all = append(all, u)
	}
	all = prefer(all, func(u *upstream) bool { return !r.avoids(u.Name) })
	all = prefer(all, func(u *upstream) bool { return !u.isSilent(now) })
	all = prefer(all, func(u *upstream) bool { return u.suits(now, r.class, p.typical) })
	return only(all, func(u *upstream) bool { return u.usable(limits) })
}

// prefer returns the upstreams with a property, or all when none has it.
func prefer(all []*upstream, has func(*upstream) bool) []*upstream {
	if some := only(all, has); len(some) > 0 {
		return some
	}
	return all
}

func only(all []*upstream, has func(*upstream) bool) []*upstream {
	var some []*upstream
	for _, u := range all {
		if has(u) {
			some = append(some, u)
		}
	}
	return some
}

// fits reports whether the engine has memory for the request and little to read
// before it. An engine without work takes any request.
func (s *Scheduler) fits(now time.Time, u *upstream, r *request) bool {
	if len(u.attempts) == 0 {
		return true
	}
	limit := int(memoryShare * float64(s.memory[r.pool.name]) / float64(s.hosts))
	return u.memory+r.memory() <= limit && u.backlog(now) <= queueLimit
}

// memory is the number of tokens that the request takes in an engine's memory.
func (r *request) memory() int { return r.Prompt + r.Limit }

// backlog is how long the engine still reads what it was given.
func (u *upstream) backlog(now time.Time) time.Duration { return max(u.reading.Sub(now), 0) }

// startCost predicts the time to the first token, with the delay that the other
// streams on the engine suffer.
func (s *Scheduler) startCost(now time.Time, u *upstream, r *request) time.Duration {
	read := s.readTime(u, r, r.Prompt-u.cache.held(&r.Request))
	harm := time.Duration(harmWeight * float64(len(u.attempts)) * float64(read))
	ratio := u.pace.ratio(now, r.pool.typical)
	return time.Duration(float64(u.backlog(now)+read+harm) * max(ratio, 1))
}

// readTime predicts how long the engine reads a number of prompt tokens.
func (s *Scheduler) readTime(u *upstream, r *request, tokens int) time.Duration {
	context := float64(u.memory) / float64(s.memory[r.pool.name])
	return time.Duration(float64(tokens) * (1 + contextWeight*context) * float64(r.pool.reading.perToken()))
}

// read notes what the engine of a new attempt has to read for it.
func (s *Scheduler) read(now time.Time, a *attempt) {
	r, u := a.request, a.upstream
	if len(u.attempts) == 0 {
		u.heard = now
	}
	capacity := s.memory[r.pool.name]
	if capacity == 0 {
		return
	}
	a.unread = r.Prompt - u.cache.held(&r.Request)
	a.ahead = u.backlog(now)
	a.memory = r.memory()
	u.reading = now.Add(a.ahead + s.readTime(u, r, a.unread))
	u.memory += a.memory
	u.cache.use(&r.Request, capacity)
}

// unread notes the end of an attempt.
func (s *Scheduler) unread(now time.Time, a *attempt) {
	u := a.upstream
	u.memory -= a.memory
	if s.memory[a.request.pool.name] > 0 {
		s.reviewReading(now, u)
	}
}

// observeReading learns from the first token of an attempt how fast engines read.
func (s *Scheduler) observeReading(now time.Time, a *attempt) {
	if s.memory[a.request.pool.name] == 0 {
		return
	}
	if a.ahead == 0 {
		a.request.pool.reading.observe(a.unread, now.Sub(a.granted))
	}
	s.reviewReading(now, a.upstream)
}

// reviewReading corrects when the engine has read what it was given: no later than
// all that it has still to read would take from now on.
func (s *Scheduler) reviewReading(now time.Time, u *upstream) {
	var left time.Duration
	for _, a := range u.attempts {
		if a.first.IsZero() {
			left += s.readTime(u, a.request, a.unread)
		}
	}
	if end := now.Add(left); end.Before(u.reading) {
		u.reading = end
	}
}
