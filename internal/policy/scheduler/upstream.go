package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/balancer"
)

// staleAnnouncements is the number of announcements that can still be on their way
// when an upstream crashes: an upstream sends one per second, and each is known
// everywhere within two seconds.
const staleAnnouncements = 3

// upstream is the scheduler's record of an upstream.
type upstream struct {
	registrar.Upstream
	attempts []*attempt
	// gone is set while no announcement of the upstream is valid.
	gone bool
	// down is set from a crash until the upstream has restarted or has sent
	// staleAnnouncements announcements after downSequence, which is the sequence
	// number at the crash.
	down         bool
	downSequence uint64
	// firstTokens is the number of first tokens since the upstream was new,
	// restarted, fell silent or came back.
	firstTokens int
	pace        pace
	// speed is learned from answers that come in one piece.
	speed    balancer.Speed
	prefixes prefixes
	// lastActivity is when something was last received from the upstream, or when
	// it got work after having had none.
	lastActivity time.Time
	// silentUntil is the time until which the upstream gets no work because it
	// showed no activity.
	silentUntil time.Time
	// connectionLostAt is when the connection of an attempt was last lost. It is
	// zero once there was activity after that.
	connectionLostAt time.Time
	// connectTimeouts is the number of connections that timed out since the last
	// activity.
	connectTimeouts int
	// cache is the predicted content of the engine's prompt cache.
	cache promptCache
	// cacheReported is set once the content of the cache is known because the
	// engine has reported it or has restarted. firstGrant is when this scheduler
	// first gave the engine work since it began to decide.
	cacheReported bool
	firstGrant    time.Time
	// blocksInRead counts the prompt blocks that the engine is reading.
	blocksInRead blockCounts
	// readingUntil is the predicted time at which the engine has read all prompts
	// that it was given.
	readingUntil time.Time
	// reading is what was observed of the engine's own reading speed.
	reading reading
	// pendingRead is the predicted reading time of the attempts without a token,
	// for each tier.
	pendingRead [validator.LowestTier + 1]time.Duration
	// version is the hash of Versions.
	version attributor.Version
	// nameHash is the hash of the name, or 0 until it is first needed.
	nameHash uint64
	// readShare is the recent share of time for which the engine was reading, as of
	// readShareAt.
	readShare   float64
	readShareAt time.Time
	// occupancy is what the attempts take in the engine's memory, and context the number of
	// tokens that their steps go over: parts that attempts share count for each of them.
	occupancy occupancy
	context   int
	// unreadAttempts lists the attempts for which the engine still has to read,
	// oldest first.
	unreadAttempts []*attempt
	// span is the current time of uninterrupted reading.
	span readSpan
	// exposure is the sum of the tightness of the attempts.
	exposure float64
	// quota bounds the requests per second; it is nil when the upstream has no
	// limit.
	quota *quota
}

func (s *Scheduler) newUpstream(news registrar.Upstream) *upstream {
	u := &upstream{Upstream: news, version: versionOf(news.Versions)}
	u.cache.owner, u.cache.index = u, s.cached
	return u
}

// free reports whether the upstream can take another request now.
func (u *upstream) free() bool {
	return !u.gone && !u.down && !u.Leaving && len(u.attempts) < u.Slots
}

// load returns the share of the slots that would be in use with one more request,
// multiplied by how slow the upstream is compared with the others.
func (u *upstream) load(now time.Time, typical time.Duration) float64 {
	return float64(len(u.attempts)+1) / u.capacity(now, typical)
}

// capacity returns the number of slots, divided by how slow the upstream is compared with
// the others.
func (u *upstream) capacity(now time.Time, typical time.Duration) float64 {
	return float64(max(u.Slots, 1)) * u.speed.Ratio(now) / u.pace.ratio(now, typical)
}

// replace applies a newer announcement. A process that is shutting down stays so,
// whatever its later announcements say.
func (u *upstream) replace(news registrar.Upstream) {
	if news.Incarnation != u.Incarnation {
		for _, a := range u.attempts {
			a.finishReading()
		}
		u.prefixes, u.pace, u.speed, u.reading = prefixes{}, pace{}, balancer.Speed{}, reading{}
		u.cache.clear()
		u.cacheReported = true
		u.blocksInRead = nil
		u.silentUntil, u.readingUntil = time.Time{}, time.Time{}
		u.connectTimeouts, u.connectionLostAt = 0, time.Time{}
	}
	if news.Incarnation == u.Incarnation && !u.gone {
		news.Leaving = news.Leaving || u.Leaving
	}
	restarted := news.Incarnation != u.Incarnation
	out := u.down || u.gone
	u.down = u.down && !restarted && news.Sequence < u.downSequence+staleAnnouncements
	if restarted || out && !u.down {
		u.firstTokens = 0
	}
	u.Upstream = news
	u.version = versionOf(news.Versions)
	u.gone = false
}

// older reports whether an announcement is older than the one in force.
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
	news.Leaving = news.Leaving || s.isLeaving(news)
	switch {
	case u == nil:
		u = s.newUpstream(news)
		s.upstreams[news.Name] = u
	case u.older(news):
		return
	default:
		lost := u.process()
		restarted := !u.gone && !u.Leaving && news.Incarnation != u.Incarnation
		u.replace(news)
		if restarted && u.hasAttemptsOn(lost) {
			s.processCrashed(now, lost)
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
		s.remove(u)
	}
	s.refuseStranded(now)
	s.dispatchAll(now, u)
}

// remove removes an upstream that is gone.
func (s *Scheduler) remove(u *upstream) {
	u.cache.clear()
	delete(s.upstreams, u.Name)
}

// strandTime is how long a request without an upstream waits while the scheduler
// may not have learned of all upstreams yet. Upstreams announce themselves every
// second, and announcements reach all hosts of the cell within another half second.
const strandTime = 1500 * time.Millisecond

// refuseStranded refuses the requests that wait in pools without an upstream.
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

// prune removes a pool that has neither upstreams nor waiting requests, so that
// unknown names take no memory.
func (s *Scheduler) prune(p *pool) {
	if len(p.upstreams) > 0 || p.waiting > 0 {
		return
	}
	delete(s.pools, p.name)
	if !p.served {
		delete(s.budgets, p.name)
	}
}

// waitingIn lists the waiting requests of a pool, ordered by ID.
func (s *Scheduler) waitingIn(p *pool) []*request {
	var list []*request
	for _, waits := range p.waits {
		list = append(list, waits...)
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

// set adds the upstream to the pool or removes it.
func (p *pool) set(u *upstream, serves bool) {
	i := slices.Index(p.upstreams, u)
	switch {
	case serves && i < 0:
		p.served = true
		p.upstreams = append(p.upstreams, u)
		p.order()
	case !serves && i >= 0:
		p.upstreams = slices.Delete(p.upstreams, i, i+1)
		p.hashes = slices.Delete(p.hashes, i, i+1)
	}
}

// order sorts the upstreams of the pool by name.
func (p *pool) order() {
	slices.SortFunc(p.upstreams, func(a, b *upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
	p.hashes = p.hashes[:0]
	for _, u := range p.upstreams {
		p.hashes = append(p.hashes, u.hash())
	}
}

// free reports whether the pool has an upstream that can take another request now.
func (p *pool) free(now time.Time) bool {
	ramps := p.ramps()
	for _, u := range p.upstreams {
		if u.usable(ramps) && !u.exhausted(now) {
			return true
		}
	}
	return false
}

// choose returns the least loaded upstream that may run the request, or nil. An
// upstream that holds the request's prefix may have a little more load. Upstreams
// that failed the request, are silent or are too slow for the class are used only
// when there is no other. A scheduler that has only a part of the cell compares random
// ones.
func (s *Scheduler) choose(now time.Time, r *request) *upstream {
	p := r.pool
	if !r.mayRepeat() {
		r.obstacle = NoRetries
		return nil
	}
	if s.memory[p.name] > 0 {
		return s.place(now, r)
	}
	unrestricted := s.unrestricted(now, r)
	if s.unsettled && s.suspect(now, r) {
		return nil
	}
	avoidable, fast, active := false, false, false
	for _, u := range p.upstreams {
		if s.barred(now, u, r) || u.exhausted(now) {
			continue
		}
		active = active || u.acceptsWork() && !u.isSilent(now)
		avoidable = avoidable || !u.Leaving && !r.avoids(u.Name)
		fast = fast || !u.Leaving && !u.down && u.suits(now, r.class, p.typicalGap)
	}
	usable := s.usable[:0]
	ramps := p.ramps()
	for _, u := range p.upstreams {
		if !u.usable(ramps) || avoidable && r.avoids(u.Name) || r.attempt(u.Name) != nil || active && u.isSilent(now) || s.barred(now, u, r) || u.exhausted(now) {
			continue
		}
		if !unrestricted && !s.permits(now, u, r, false) {
			continue
		}
		if fast && !u.suits(now, r.class, p.typicalGap) {
			continue
		}
		usable = append(usable, u)
	}
	s.usable = usable
	best := s.leastLoaded(now, r, usable)
	if best == nil {
		r.obstacle = p.obstacle(now)
	}
	return best
}
