package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memoryShare is the part of an engine's memory that running requests may take.
	// The rest is room for answers that become longer than expected: an engine that
	// runs out of memory preempts requests.
	memoryShare = 0.9
	// harmWeight is the cost of reading beside one running stream of the class with
	// the shortest target between tokens, as a part of the reading time: each chunk
	// of a prompt delays the next token of every stream.
	harmWeight = 1.5
	// exposureTime is the cost of running a stream of that class on an engine that
	// reads all the time.
	exposureTime = time.Second
	// looseClass is the lowest ratio of the shortest target between tokens to a
	// class's own target at which reading beside the class's streams counts as
	// harm.
	looseClass = 0.4
	// homeWeight is the largest cost of reading a shared part on another engine
	// than the one that its hash prefers, as a part of the reading time. The next
	// owner of the cell, which does not know the caches, looks for the part on the
	// preferred engine.
	homeWeight = 0.45
	// crowdingWeight is the cost of reading into a full cache, as a part of the
	// reading time: blocks that other requests use are dropped for it.
	crowdingWeight = 0.3
	// queueLimit is the longest backlog of reading with which a busy engine is
	// given more. Other requests wait in the scheduler, where a more urgent request
	// can pass them.
	queueLimit = 500 * time.Millisecond
	// readWeight is the weight of reading time relative to waiting time while the
	// target can be met: repeated reading takes engine time from all requests,
	// while waiting for the engine that holds the prompt delays only this one.
	readWeight = 2.5
	// bystanderCost is the cost of each request that runs beside one that may crash the
	// engine.
	bystanderCost = time.Second
	// minShared is the number of shared tokens from which a request waits until
	// another one has read them. Reading fewer tokens again takes less time than
	// the wait.
	minShared = 2048
)

// place returns the engine on which the request starts at the least cost, or nil
// when it should wait. An engine does not read again what it holds of the prompt,
// so that requests with equal beginnings meet on one engine. When that engine's
// queue is long, requests with much of their prompt in its cache wait for it, and
// so do requests of classes whose answers may pause, because elsewhere they would
// delay streams. Other requests go where the queue is short.
func (s *Scheduler) place(now time.Time, r *request) *upstream {
	if s.unsettled && s.suspect(now, r) {
		return nil
	}
	r.tried = now
	best, shortQueue := s.cheapest(now, r)
	if best != shortQueue {
		r.obstacle = LongReading
		if shortQueue == nil || r.class.tightness == 0 || best.cachesMore(shortQueue, r) {
			return nil
		}
	}
	if shortQueue != nil && s.waitsForShared(now, shortQueue, r) {
		r.obstacle = SharedReading
		return nil
	}
	return shortQueue
}

// hasLongBacklog reports whether an engine with the given backlog has too much to
// read to be given more.
func (u *upstream) hasLongBacklog(backlog time.Duration) bool {
	return len(u.attempts) > 0 && backlog > queueLimit
}

// cachesMore reports whether the engine holds so much more of the prompt than
// another one that reading it again there would cost more than waiting here.
func (u *upstream) cachesMore(other *upstream, r *request) bool {
	return u.cache.held(&r.Request)-other.cache.held(&r.Request) >= minShared
}

// waitsForShared reports whether the engine is reading a part of the prompt for
// another request, and the request has time to wait for that. If it were sent now,
// the engine would read the same part twice.
func (s *Scheduler) waitsForShared(now time.Time, u *upstream, r *request) bool {
	if u.blocksInRead.tokens(&r.Request) < minShared {
		return false
	}
	own := s.readTime(u, r, r.Prompt-u.cache.held(&r.Request))
	return now.Add(own + startOverhead).Before(r.due)
}

// cheapest returns two engines of the best grade that have room for the request:
// the one with the least startCost, and the one with the least startCost among
// those with a short queue. Either is nil when there is none. It records what kept
// the request from the engines in r.obstacle.
func (s *Scheduler) cheapest(now time.Time, r *request) (best, shortQueue *upstream) {
	p := r.pool
	unrestricted := s.unrestricted(now, r)
	ramps := p.ramps()
	candidates := s.candidates(r)
	grade := s.bestGrade(now, r, candidates, unrestricted)
	r.obstacle = p.obstacle(now)
	own := r.ownTokens(s.expectedAnswer(r, r.Emitted))
	var least, leastShortQueue time.Duration
	for _, u := range candidates {
		if !s.mayRun(now, u, r, unrestricted) || u.grade(now, r) != grade || !u.usable(ramps) {
			continue
		}
		if !s.fits(u, r, own) {
			r.obstacle = FullMemory
			continue
		}
		backlog := u.backlogFor(now, r.class.tier)
		cost := s.startCost(now, u, r, backlog)
		if !unrestricted {
			cost += time.Duration(len(u.attempts)) * bystanderCost
		}
		if best == nil || cost < least {
			best, least = u, cost
		}
		if !u.hasLongBacklog(backlog) && (shortQueue == nil || cost < leastShortQueue) {
			shortQueue, leastShortQueue = u, cost
		}
	}
	return best, shortQueue
}

// mayRun reports whether the upstream may run the request. The argument
// unrestricted tells that the detector knows no reason to restrict the request to
// certain processes.
func (s *Scheduler) mayRun(now time.Time, u *upstream, r *request, unrestricted bool) bool {
	if !u.acceptsWork() || len(r.attempts) > 0 && r.attempt(u.Name) != nil || s.barred(now, u, r) || u.exhausted(now) {
		return false
	}
	return unrestricted || s.permits(now, u, r, false)
}

// Bits of the grade of an upstream for a request; each bit outweighs those before
// it.
const (
	gradeUnsuited = 1 << iota
	gradeSilent
	gradeAvoided
)

// grade returns the reasons against using an upstream for a request, 0 for none. An
// upstream is only used when no other one has a lower grade, even if those with a
// lower grade are full.
func (u *upstream) grade(now time.Time, r *request) int {
	grade := 0
	if len(r.Avoid) > 0 && r.avoids(u.Name) {
		grade |= gradeAvoided
	}
	if u.isSilent(now) {
		grade |= gradeSilent
	}
	if !u.suits(now, r.class, r.pool.typicalGap) {
		grade |= gradeUnsuited
	}
	return grade
}

// bestGrade returns the lowest grade among the candidates that may run the request.
func (s *Scheduler) bestGrade(now time.Time, r *request, candidates []*upstream, unrestricted bool) int {
	best := gradeAvoided << 1
	for _, u := range candidates {
		if s.mayRun(now, u, r, unrestricted) {
			best = min(best, u.grade(now, r))
		}
		if best == 0 {
			break
		}
	}
	return best
}

// startCost returns the predicted time to the first token behind a backlog, with
// penalties for the delay of other streams on the engine and for the use of its
// cache.
func (s *Scheduler) startCost(now time.Time, u *upstream, r *request, backlog time.Duration) time.Duration {
	read := s.readTime(u, r, r.Prompt-u.cache.held(&r.Request))
	full := float64(u.cache.tokens) / float64(s.memory[r.pool.name])
	weight := 1.0
	if now.Add(backlog + read).Before(r.due) {
		weight = readWeight
	}
	delay := float64(s.farCost(u, r)) + float64(read)*(weight+harmWeight*u.exposure+crowdingWeight*full+homeWeight*(1-u.affinity(r)))
	if r.class.tightness > 0 {
		delay += r.class.tightness * u.readLoad(now) * float64(exposureTime)
	}
	ratio := u.pace.ratio(now, r.pool.typicalGap)
	return time.Duration((float64(backlog) + delay) * max(ratio, 1))
}

// affinity returns a pseudorandom number from 0 to 1 that is the same in every
// scheduler for the shared part of a prompt and an engine. It returns 0 when the
// prompt has no shared part.
func (u *upstream) affinity(r *request) float64 {
	n := len(r.Prefix)
	if n < 2 {
		return 0
	}
	return affinity(r.Prefix[n-2], u.hash())
}

// hash returns the hash of the upstream's name.
func (u *upstream) hash() uint64 {
	if u.nameHash == 0 {
		u.nameHash = xxhash.Sum64String(string(u.Name))
	}
	return u.nameHash
}

// affinity returns the number of upstream.affinity for the hashes of a shared part and of an
// upstream's name.
func affinity(part, name uint64) float64 { return float64(mix(mix(part)^name)>>11) / (1 << 53) }

// mix spreads the bits of a number with the last steps of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// setTightness computes the tightness of the classes.
func (s *Scheduler) setTightness() {
	var tightest time.Duration
	for _, c := range s.classes {
		if c.gap > 0 && (tightest == 0 || c.gap < tightest) {
			tightest = c.gap
		}
	}
	for _, c := range s.classes {
		c.tightness = 0
		if c.gap == 0 {
			continue
		}
		if part := float64(tightest) / float64(c.gap); part >= looseClass {
			c.tightness = part * part
		}
	}
}

// removeExposure subtracts an attempt that ended from the exposure. Without
// attempts the exposure is exactly 0, whatever rounding errors have added up.
func (u *upstream) removeExposure(a *attempt) {
	u.exposure -= a.tightness
	if len(u.attempts) == 0 {
		u.exposure = 0
	}
}

// leastRead returns the shortest time that an engine needs to read the prompt. In a large
// pool only the engines that hold its shared part are compared.
func (s *Scheduler) leastRead(r *request) time.Duration {
	least, engines := r.Prompt, r.pool.upstreams
	if len(engines) > maxCandidates {
		engines = s.holders(s.compared[:0], r)
	}
	for _, u := range engines {
		least = min(least, r.Prompt-u.cache.held(&r.Request))
	}
	return time.Duration(least) * r.pool.reading.perToken()
}
