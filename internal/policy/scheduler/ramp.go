package scheduler

import "slices"

// rampStart is the number of slots that an upstream may use before its first token;
// each first token adds one. Without this slow start, a restarted engine that was
// five times slower took so many calls of a crest that the top tier's attainment in
// bidline's crests was 0.94 instead of 0.98.
const rampStart = 4

// rampLimit returns the number of slots that the upstream may use during its slow
// start.
func (u *upstream) rampLimit() int { return min(rampStart+u.firstTokens, u.Slots) }

// established reports whether the upstream's slow start is over.
func (u *upstream) established() bool {
	return !u.gone && !u.down && !u.Leaving && u.rampLimit() >= u.Slots
}

// ramps reports whether the pool applies slow starts. If no upstream is
// established, holding slots back would only delay the work.
func (p *pool) ramps() bool { return slices.ContainsFunc(p.upstreams, (*upstream).established) }

// usable reports whether the upstream accepts another request; ramps tells whether
// the pool applies slow starts.
func (u *upstream) usable(ramps bool) bool {
	return u.free() && (!ramps || len(u.attempts) < u.rampLimit())
}
