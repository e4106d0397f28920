package scheduler

const (
	// affinityWeight is the part of its slots by which the load of an upstream that
	// holds the whole prefix may exceed that of another one and still be preferred.
	affinityWeight = 0.1
	// tableSize is the number of prefix blocks that are remembered for each
	// upstream.
	tableSize = 512
)

// prefixes remembers the prompt blocks that an upstream processed recently. The
// table has a fixed size, and a newer block replaces the older one in its place, so
// that old entries disappear as they do from the engine's own cache.
type prefixes struct{ table []uint64 }

func (p *prefixes) add(blocks []uint64) {
	if p.table == nil && len(blocks) > 0 {
		p.table = make([]uint64, tableSize)
	}
	for _, b := range blocks {
		p.table[b%tableSize] = b
	}
}

// held returns the part, from 0 to 1, of the blocks that the upstream holds without
// a gap from the first one.
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
