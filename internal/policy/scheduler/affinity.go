package scheduler

const (
	// affinityWeight is the part of an upstream's slots that it may have more
	// in use than another and still be preferred for holding the whole prefix.
	affinityWeight = 0.1
	// tableSize bounds the prefix blocks remembered for each upstream.
	tableSize = 512
)

// prefixes remembers the prompt blocks that an upstream processed lately. Newer
// blocks replace older ones in the same place, so the size is fixed and an old
// entry fades like the engine's own cache.
type prefixes struct{ table []uint64 }

func (p *prefixes) add(blocks []uint64) {
	if p.table == nil && len(blocks) > 0 {
		p.table = make([]uint64, tableSize)
	}
	for _, b := range blocks {
		p.table[b%tableSize] = b
	}
}

// held is the part of the blocks, counted from the beginning, that the upstream
// has.
func (p *prefixes) held(blocks []uint64) float64 {
	if len(blocks) == 0 || p.table == nil {
		return 0
	}
	n := 0
	for n < len(blocks) && p.table[blocks[n]%tableSize] == blocks[n] {
		n++
	}
	return float64(n) / float64(len(blocks))
}
