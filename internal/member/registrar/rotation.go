package registrar

import (
	"math/rand/v2"
	"slices"
)

// Rotation chooses which host to ask next. It visits every candidate once in random order
// before it visits any twice. With independent choices, some host would now and then not
// be asked for longer than HostTimeout and be considered dead.
type Rotation struct {
	queue []string
}

// Next returns one of the candidates, or "" when there is none.
func (r *Rotation) Next(random *rand.Rand, candidates []string) string {
	for {
		if len(r.queue) == 0 {
			if len(candidates) == 0 {
				return ""
			}
			r.queue = slices.Clone(candidates)
			random.Shuffle(len(r.queue), func(i, j int) { r.queue[i], r.queue[j] = r.queue[j], r.queue[i] })
		}
		next := r.queue[0]
		r.queue = r.queue[1:]
		if slices.Contains(candidates, next) {
			return next
		}
	}
}
