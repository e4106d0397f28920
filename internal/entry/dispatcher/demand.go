package dispatcher

import "github.com/amaranthcart/amaranthcart/internal/policy/scheduler"

// Demands returns the load of each pool as the scheduler of this host knows it.
func (l *Local) Demands() []scheduler.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Demands(l.clock.Now())
}
