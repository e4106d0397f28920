package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

// staleAnnouncements is the number of announcements that can still be on their
// way when an upstream crashes: one a second, known within two seconds.
const staleAnnouncements = 3

// upstream is the scheduler's record of an upstream.
type upstream struct {
	registrar.Upstream
	attempts []*attempt
	// gone is set while no announcement is in force.
	gone bool
	// down is set from a crash until the upstream has restarted or announced
	// itself beyond lostAt, the sequence in force at the crash.
	down   bool
	lostAt uint64
	// firsts counts the first tokens since the upstream was new, restarted or
	// back after being out.
	firsts   int
	pace     pace
	prefixes prefixes
	// heard is the last sign of life, or when the upstream got work after it had
	// none.
	heard time.Time
	// silent is until when the upstream gets no work because it showed no sign
	// of life.
	silent time.Time
	// lostAnswer is when the connection of an attempt was lost last, if there was
	// no sign of life since.
	lostAnswer time.Time
	// unconnected counts the connections that timed out since the last sign of
	// life.
	unconnected int
	// cache is what an engine keeps of prompts, as far as it is known.
	cache promptCache
	// told is set once it is known what the cache holds: the engine has told it, or
	// has started anew. used is when it was given work first since this scheduler decides.
	told bool
	used time.Time
	// unfinished are the prompt blocks that the engine is reading.
	unfinished blockCounts
	// reading is when the engine has read what it was given.
	reading time.Time
	// toRead is the part of it for each tier.
	toRead [validator.LowestTier + 1]time.Duration
	// hash is the one of the name, once it is needed.
	hash uint64
	// reads is the share of time that the engine read at readAt.
	reads  float64
	readAt time.Time
	// memory is the tokens of the attempts.
	memory int
	// readingFor lists the attempts that the engine still has to read for, oldest
	// first.
	readingFor []*attempt
	// span is the time for which it reads.
	span readSpan
	// exposure adds up the tightness of the attempts.
	exposure float64
	// quota bounds the requests a second; nil without a limit.
	quota *quota
}

func newUpstream(u registrar.Upstream) *upstream { return &upstream{Upstream: u} }

// free reports whether the upstream takes another request.
func (u *upstream) free() bool {
	return !u.gone && !u.down && !u.Leaving && len(u.attempts) < u.Slots
}

// load is the share of the slots in use with one more request, weighted with
// how slow the upstream is against the others.
func (u *upstream) load(now time.Time, typical time.Duration) float64 {
	return float64(len(u.attempts)+1) / float64(max(u.Slots, 1)) * u.pace.ratio(now, typical)
}

// replace takes over a newer announcement; leaving is final for an
// incarnation.
func (u *upstream) replace(news registrar.Upstream) {
	if news.Incarnation != u.Incarnation {
		for _, a := range u.attempts {
			a.finishReading()
		}
		u.prefixes, u.pace = prefixes{}, pace{}
		u.cache.clear()
		u.told = true
		u.unfinished = nil
		u.silent, u.reading = time.Time{}, time.Time{}
		u.unconnected, u.lostAnswer = 0, time.Time{}
	}
	if news.Incarnation == u.Incarnation && !u.gone {
		news.Leaving = news.Leaving || u.Leaving
	}
	restarted := news.Incarnation != u.Incarnation
	out := u.down || u.gone
	u.down = u.down && !restarted && news.Sequence < u.lostAt+staleAnnouncements
	if restarted || out && !u.down {
		u.firsts = 0
	}
	u.Upstream = news
	u.gone = false
}

// older reports whether news came before the announcement in force.
func (u *upstream) older(news registrar.Upstream) bool {
	if u.gone {
		return false
	}
	if news.Incarnation != u.Incarnation {
		return news.Incarnation < u.Incarnation
	}
	return news.Sequence < u.Sequence
}

func (s *Scheduler) observe(now time.Time, news registrar.Upstream) {
	u := s.upstreams[news.Name]
	news.Leaving = news.Leaving || s.hasLeft(news)
	switch {
	case u == nil:
		u = newUpstream(news)
		s.upstreams[news.Name] = u
	case u.older(news):
		return
	default:
		lost := u.process()
		restarted := !u.gone && !u.Leaving && news.Incarnation != u.Incarnation
		u.replace(news)
		if restarted && u.runs(lost) {
			s.lose(now, lost)
		}
	}
	for _, name := range append(slices.Clone(u.Models), u.Services...) {
		s.pool(name)
	}
	for name, p := range s.pools {
		p.set(u, u.Serves(name))
	}
	s.applyLimit(now, u)
	s.refuseStranded(now)
	s.dispatchAll(now, u)
}

func (s *Scheduler) forget(now time.Time, id registrar.UpstreamID) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.gone = true
	for _, p := range s.pools {
		p.set(u, false)
	}
	if len(u.attempts) == 0 {
		delete(s.upstreams, id)
	}
	s.refuseStranded(now)
	s.dispatchAll(now, u)
}

// strandTime is how long a request without an upstream waits at a scheduler that
// may not have heard of all upstreams yet. Upstreams announce themselves every
// second, and the news reaches all hosts of the cell within half a second more.
const strandTime = 1500 * time.Millisecond

// refuseStranded refuses what waits in pools without an upstream.
func (s *Scheduler) refuseStranded(now time.Time) {
	for _, p := range s.pools {
		if p.live() {
			continue
		}
		for _, r := range s.waitingIn(p) {
			if s.unsettled && now.Sub(r.queued) < strandTime {
				continue
			}
			s.dequeue(r)
			s.refuse(r.ID, NoUpstream, leaseTime)
			s.settle(r)
		}
		s.prune(p)
	}
}

// prune drops a pool that nothing serves, so that unknown names take no memory.
func (s *Scheduler) prune(p *pool) {
	if len(p.upstreams) == 0 && p.waiting == 0 {
		delete(s.pools, p.name)
	}
}

// waitingIn lists the waiting requests of a pool.
func (s *Scheduler) waitingIn(p *pool) []*request {
	var list []*request
	for _, ages := range p.ages {
		for _, g := range ages {
			if g.valid() {
				list = append(list, g.request)
			}
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// dispatchAll grants slots in all pools that the upstream serves.
func (s *Scheduler) dispatchAll(now time.Time, u *upstream) {
	serve := func(names []validator.PoolName) {
		for _, name := range names {
			if p := s.pools[name]; p != nil {
				s.dispatchSoon(now, p)
			}
		}
	}
	serve(u.Models)
	serve(u.Services)
}

// set adds or removes an upstream of the pool.
func (p *pool) set(u *upstream, serves bool) {
	i := slices.Index(p.upstreams, u)
	switch {
	case serves && i < 0:
		p.upstreams = append(p.upstreams, u)
		sortUpstreams(p.upstreams)
	case !serves && i >= 0:
		p.upstreams = slices.Delete(p.upstreams, i, i+1)
	}
}

func sortUpstreams(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// free reports whether any upstream takes another request.
func (p *pool) free(now time.Time) bool {
	limits := p.limits()
	for _, u := range p.upstreams {
		if u.usable(limits) && !u.exhausted(now) {
			return true
		}
	}
	return false
}

// choose returns the least loaded upstream that may run the request, or nil. One
// that holds the request's prefix may have a little more load.
// Upstreams that failed the request are used only when there is no other, and
// so are those that are too slow for the class.
func (s *Scheduler) choose(now time.Time, r *request) *upstream {
	p := r.pool
	if s.memory[p.name] > 0 {
		return s.place(now, r)
	}
	open := s.detector.Unrestricted(now, r.Fingerprint)
	if s.unsettled && s.detector.Verdict(now, r.Fingerprint) == detector.Suspect {
		return nil
	}
	avoidable, fast, sound := false, false, false
	for _, u := range p.upstreams {
		if s.barred(now, u, r) || u.exhausted(now) {
			continue
		}
		sound = sound || u.takes() && !u.isSilent(now)
		avoidable = avoidable || !u.Leaving && !r.avoids(u.Name)
		fast = fast || !u.Leaving && !u.down && u.suits(now, r.class, p.typical)
	}
	var best *upstream
	least, limits := 0.0, p.limits()
	for _, u := range p.upstreams {
		if !u.usable(limits) || avoidable && r.avoids(u.Name) || r.attempt(u.Name) != nil || sound && u.isSilent(now) || s.barred(now, u, r) || u.exhausted(now) {
			continue
		}
		if !open && !s.detector.Permits(now, r.Fingerprint, u.process(), false) {
			continue
		}
		if fast && !u.suits(now, r.class, p.typical) {
			continue
		}
		if load := u.load(now, p.typical) - affinityWeight*u.prefixes.held(r.Prefix); best == nil || load < least {
			best, least = u, load
		}
	}
	if best == nil {
		r.obstacle = p.obstacle(now)
	}
	return best
}
