package coordinator

import "time"

// pace gives entries their time. It follows the wall clock of the leader forward. When that
// is set back, or an earlier leader's was ahead, time goes on from where it is at the pace
// of the steady clock: replicated time would stand still otherwise until the wall clock has
// caught up, and no lease of a holder that is lost would end.
type pace struct {
	last   int64
	steady time.Duration
}

// next returns the time of an entry, given the wall clock in Unix nanoseconds, the steady
// clock and the time of the last entry that was applied.
func (p *pace) next(wall int64, steady time.Duration, applied int64) int64 {
	t := max(wall, applied)
	if p.last != 0 {
		t = max(t, p.last+int64(max(steady-p.steady, 0)))
	}
	p.last, p.steady = t, steady
	return t
}
