package scheduler

import "time"

const (
	// defaultPerToken is the time to read a prompt token before any is known.
	defaultPerToken = 15 * time.Microsecond
	// minPerToken and maxPerToken bound what is learned.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 60 * time.Microsecond
	// readingDecay is the weight that an observation keeps when a new one comes.
	readingDecay = 0.98
	// readingSamples is the number of observations that the learned time needs.
	readingSamples = 20
)

// paceStep is the part by which the learned time has to change to be reported again.
const paceStep = 0.25

// reportPace reports the time to read a token once it has changed much.
func (s *Scheduler) reportPace(p *pool) {
	if s.memory[p.name] == 0 {
		return
	}
	before, after := p.reported, p.reading.perToken()
	if change := float64(after - before); change > paceStep*float64(before) || -change > paceStep*float64(before) {
		p.reported = after
		s.actions = append(s.actions, Pace{Pool: p.name, Before: before, After: after, Tokens: int(p.reading.x)})
	}
}

// reading learns the time per prompt token by linear regression of the time to
// the first token on the tokens read: the fixed part of the time doesn't count.
type reading struct {
	count, x, y, xx, xy float64
}

// observe adds the time to the first token of a request that found nothing to
// read before it.
func (l *reading) observe(tokens int, took time.Duration) {
	x, y := float64(tokens), float64(took)
	l.count = l.count*readingDecay + 1
	l.x = l.x*readingDecay + x
	l.y = l.y*readingDecay + y
	l.xx = l.xx*readingDecay + x*x
	l.xy = l.xy*readingDecay + x*y
}

// perToken is the time to read one token.
func (l *reading) perToken() time.Duration {
	spread := l.count*l.xx - l.x*l.x
	if l.count < readingSamples || spread <= 0 {
		return defaultPerToken
	}
	slope := time.Duration((l.count*l.xy - l.x*l.y) / spread)
	return min(max(slope, minPerToken), maxPerToken)
}
