package scheduler

import (
	"container/list"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// promptCache predicts which prompt blocks an engine holds in its cache. It drops
// the least recently used blocks first, as engines do. The zero value is empty.
type promptCache struct {
	blocks map[uint64]*list.Element
	// order lists the blocks with the most recently used one in front.
	order list.List
	// tokens is the total size of the blocks.
	tokens int
	// index lists the caches that hold a block, this one as that of owner; nil without
	// one.
	index blockIndex
	owner *upstream
}

func (c *promptCache) clear() {
	if c.index != nil {
		for h := range c.blocks {
			c.index.remove(h, c.owner)
		}
	}
	c.blocks = nil
	c.order.Init()
	c.tokens = 0
}

// held returns the number of prompt tokens, counted from the beginning, that the
// engine holds in its cache.
func (c *promptCache) held(r *Request) int {
	held := 0
	for i, h := range r.Prefix {
		if c.blocks[h] == nil || i >= len(r.Ends) {
			break
		}
		held = r.Ends[i]
	}
	return min(held, r.Prompt)
}

// use adds the blocks of a prompt as the most recently used ones, and drops the
// least recently used blocks that exceed room, which is in tokens.
func (c *promptCache) use(r *Request, room int) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	start := 0
	for i, h := range r.Prefix {
		if i >= len(r.Ends) {
			break
		}
		c.touch(h, r.Ends[i]-start)
		start = r.Ends[i]
	}
	for c.tokens > room && c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}

// learn replaces the predicted content by the blocks that the engine reported, of
// which the last was used most recently.
func (c *promptCache) learn(blocks []Block) {
	c.clear()
	c.blocks = make(map[uint64]*list.Element, len(blocks))
	for _, b := range blocks {
		c.touch(b.Hash, b.Tokens)
	}
}

// cacheWarmUp is the time after an engine's first grant from which its cache counts
// as known even if the engine does not report it: the prompts granted meanwhile
// have filled the cache.
const cacheWarmUp = 3 * time.Second

// cacheKnown reports whether the content of the engine's cache is known.
func (u *upstream) cacheKnown(now time.Time) bool {
	return u.cacheReported || !u.firstGrant.IsZero() && now.Sub(u.firstGrant) >= cacheWarmUp
}

// markCachesUnknown marks the content of all caches as unknown when this scheduler
// starts to decide again, because another scheduler has filled them meanwhile.
func (s *Scheduler) markCachesUnknown() {
	for _, u := range s.upstreams {
		u.cacheReported, u.firstGrant = false, time.Time{}
	}
}

// Engines lists the upstreams of the pools for which an engine memory is
// configured. An upstream in several such pools is listed once for each.
func (s *Scheduler) Engines() []registrar.Upstream {
	var all []registrar.Upstream
	for name, p := range s.pools {
		if s.memory[name] == 0 {
			continue
		}
		for _, u := range p.upstreams {
			all = append(all, u.Upstream)
		}
	}
	return all
}

// updateCache applies an upstream's report on its cache. It adds the prompts of the
// attempts that run there, because they may have been sent after the upstream was
// asked.
func (s *Scheduler) updateCache(e Kept) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	u.cache.learn(e.Blocks)
	u.cacheReported = true
	for _, a := range u.attempts {
		if capacity := s.memory[a.request.pool.name]; capacity > 0 {
			u.cache.use(&a.request.Request, capacity)
		}
	}
}

func (c *promptCache) touch(hash uint64, tokens int) {
	if e := c.blocks[hash]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(Block{Hash: hash, Tokens: tokens})
	c.tokens += tokens
	if c.index != nil {
		c.index.add(hash, c.owner)
	}
}

func (c *promptCache) drop(e *list.Element) {
	b := e.Value.(Block)
	c.order.Remove(e)
	delete(c.blocks, b.Hash)
	c.tokens -= b.Tokens
	if c.index != nil {
		c.index.remove(b.Hash, c.owner)
	}
}

// blockCounts counts, for each prompt block that an engine is reading, the attempts
// that need it.
type blockCounts map[uint64]int

// begin counts the blocks of a prompt that the engine has to read, and returns them
// for end. It skips the last block, which belongs to this request alone.
func (b *blockCounts) begin(r *Request, c *promptCache) []uint64 {
	var begun []uint64
	for i, h := range r.Prefix {
		if i+1 == len(r.Prefix) || c.blocks[h] != nil && (*b)[h] == 0 {
			continue
		}
		if *b == nil {
			*b = blockCounts{}
		}
		(*b)[h]++
		begun = append(begun, h)
	}
	return begun
}

// end removes the blocks that begin returned, once the engine has read them.
func (b blockCounts) end(begun []uint64) {
	for _, h := range begun {
		if b[h] <= 1 {
			delete(b, h)
			continue
		}
		b[h]--
	}
}

// tokens returns the number of prompt tokens in blocks that the engine is reading.
func (b blockCounts) tokens(r *Request) int {
	sum, start := 0, 0
	for i, h := range r.Prefix {
		if i >= len(r.Ends) {
			break
		}
		if b[h] > 0 {
			sum += r.Ends[i] - start
		}
		start = r.Ends[i]
	}
	return sum
}
