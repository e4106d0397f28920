package scheduler

import "slices"

// rampStart is the number of slots that an upstream may have in use before its
// first token; each first token adds one. A restarted engine that was five times
// slower took so many calls of a crest that the top tier's attainment in
// bidline's crests was 0.94 in place of 0.98.
const rampStart = 4

// limit is the number of slots that the upstream has earned.
func (u *upstream) limit() int { return min(rampStart+u.firsts, u.Slots) }

// established reports whether the slow start is over.
func (u *upstream) established() bool {
	return !u.gone && !u.down && !u.Leaving && u.limit() >= u.Slots
}

// limits reports whether slots are held back in the pool. Where no upstream is
// established, holding them back would only delay the work.
func (p *pool) limits() bool { return slices.ContainsFunc(p.upstreams, (*upstream).established) }

// usable reports whether the upstream takes another request, in a pool that
// holds slots back or not.
func (u *upstream) usable(limits bool) bool {
	return u.free() && (!limits || len(u.attempts) < u.limit())
}
