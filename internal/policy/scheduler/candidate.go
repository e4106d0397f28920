package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

const (
	// maxCandidates is the number of engines that are compared for a request at most, so
	// that the cost of a step doesn't grow with the pool.
	maxCandidates = 64
	// maxHolders is the number of candidates that are chosen because they hold or prefer
	// the shared part of the prompt.
	maxHolders = 24
	// readsAge is how old the sums over all engines of a pool with more than
	// maxCandidates may be.
	readsAge = 5 * time.Millisecond
)

// candidates returns the engines that are compared for a request: all of a pool with up to
// maxCandidates, otherwise those that hold the shared part of its prompt, the one that is
// preferred for it, and engines with free slots in turn. The slice is valid until the next
// call.
func (s *Scheduler) candidates(r *request) []*upstream {
	p := r.pool
	if len(p.upstreams) <= maxCandidates {
		return p.upstreams
	}
	list := s.holders(s.compared[:0], r)
	chosen := len(list)
	for i := 0; i < len(p.upstreams) && len(list) < maxCandidates; i++ {
		u := p.upstreams[p.turn%len(p.upstreams)]
		p.turn = (p.turn + 1) % len(p.upstreams)
		if u.free() && !slices.Contains(list[:chosen], u) {
			list = append(list, u)
		}
	}
	s.compared = list
	return list
}

// holders appends the engines of the request's pool that hold the shared part of its prompt,
// up to maxHolders, and the one that its hash prefers.
func (s *Scheduler) holders(list []*upstream, r *request) []*upstream {
	n := len(r.Prefix)
	if n < 2 {
		return list
	}
	p := r.pool
	for _, u := range s.cached[r.Prefix[n-2]] {
		if len(list) < maxHolders && u.Serves(p.name) {
			list = append(list, u)
		}
	}
	if home := p.home(r.Prefix[n-2]); !slices.Contains(list, home) {
		list = append(list, home)
	}
	return list
}

// home returns the upstream of the pool, which has at least one, that is preferred for the
// shared part of a prompt.
func (p *pool) home(part uint64) *upstream {
	first, most := 0, 0.0
	for i, h := range p.hashes {
		if a := affinity(part, h); a > most {
			first, most = i, a
		}
	}
	return p.upstreams[first]
}

// blockIndex lists the engines that hold each prompt block in their cache.
type blockIndex map[uint64][]*upstream

func (x blockIndex) add(block uint64, u *upstream) { x[block] = append(x[block], u) }

func (x blockIndex) remove(block uint64, u *upstream) {
	list := x[block]
	i := slices.Index(list, u)
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	if last == 0 {
		delete(x, block)
		return
	}
	x[block] = list[:last]
}

// readSum is what the engines of a pool have to read for a tier, at a time.
type readSum struct {
	at time.Time
	// backlogs are the parts of the engines' backlogs that belong to the tier and those
	// above it, the shortest first, and unread the reading for the tier alone.
	backlogs []time.Duration
	unread   time.Duration
}

// readSum adds up the engines' reading for a tier. In a pool with more than maxCandidates
// engines the sums are up to readsAge old.
func (p *pool) readSum(now time.Time, level validator.Tier) readSum {
	e := &p.reads[level]
	if len(p.upstreams) > maxCandidates && !e.at.IsZero() && now.Sub(e.at) < readsAge {
		return *e
	}
	*e = readSum{at: now, backlogs: e.backlogs[:0]}
	for _, u := range p.upstreams {
		e.unread += u.pendingRead[level]
		if u.acceptsWork() && !u.isSilent(now) {
			e.backlogs = append(e.backlogs, u.backlogAbove(now, level))
		}
	}
	slices.Sort(e.backlogs)
	return *e
}

// drained returns the time after which the engines have read what they were given and the
// given queue, if those that are done first take from the queue.
func (e readSum) drained(queue time.Duration) time.Duration {
	sum := queue
	for i, b := range e.backlogs {
		sum += b
		each := sum / time.Duration(i+1)
		if i+1 == len(e.backlogs) || each <= e.backlogs[i+1] {
			return each
		}
	}
	return 0
}
