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

// limited reports whether slots of the upstream are held back. Where no
// upstream is established, holding them back would only delay the work.
func (p *pool) limited(u *upstream) bool {
	return len(u.attempts) >= u.limit() && slices.ContainsFunc(p.upstreams, (*upstream).established)
}
