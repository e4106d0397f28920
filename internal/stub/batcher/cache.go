package batcher

import "container/list"

// Cache is a cache of at most CacheBlocks prompt blocks that evicts the least recently
// used one. The zero value is empty.
type Cache struct {
	order  list.List
	blocks map[uint64]*list.Element
}

// Leading returns how many of the first blocks are in the cache, up to the first one
// that is not.
func (c *Cache) Leading(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Use returns what Leading does, marks all blocks as used and adds those that are
// missing.
func (c *Cache) Use(blocks []uint64) int {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	hit, leading := 0, true
	for _, b := range blocks {
		e, ok := c.blocks[b]
		if ok {
			c.order.MoveToFront(e)
			if leading {
				hit++
			}
			continue
		}
		leading = false
		c.blocks[b] = c.order.PushFront(b)
		if c.order.Len() > CacheBlocks {
			old := c.order.Back()
			delete(c.blocks, old.Value.(uint64))
			c.order.Remove(old)
		}
	}
	return hit
}
