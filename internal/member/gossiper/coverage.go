package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// coverage tracks, for each other host, when the last exchange began in which this host
// learned everything that the other one knew. From this follows the time up to which this
// host knows every acknowledged departure.
//
// A departure is acknowledged once the host that received it and the required number of
// witnesses have stored it. A host that has asked all others except as many as there are
// witnesses has therefore asked at least one that stored the departure.
type coverage struct {
	witnesses int
	mu        sync.Mutex
	hosts     map[registrar.HostName]hostCoverage
}

// hostCoverage is the state of one other host.
type hostCoverage struct {
	incarnation registrar.Incarnation
	// began is when the last complete exchange began; zero when there was none.
	began time.Time
}

// observe updates the coverage. It must be called with each action after everything that
// the exchange brought was delivered.
func (c *coverage) observe(a registrar.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a := a.(type) {
	case registrar.Merged:
		if h, ok := c.hosts[a.From]; ok && a.Began.After(h.began) {
			h.began = a.Began
			c.hosts[a.From] = h
		}
	case registrar.HostUp:
		c.addHost(a.Host)
	case registrar.HostChanged:
		c.addHost(a.Host)
	case registrar.HostDown:
		delete(c.hosts, a.Host.Name)
	}
}

// addHost adds a live host. A new incarnation of a host has to be asked again. The caller
// holds mu.
func (c *coverage) addHost(h registrar.Host) {
	if known, ok := c.hosts[h.Name]; !ok || known.incarnation != h.Incarnation {
		c.hosts[h.Name] = hostCoverage{incarnation: h.Incarnation}
	}
}

// knownUntil returns the time up to which this host knows every departure that any host
// acknowledged, and false if there is no such time yet.
func (c *coverage) knownUntil(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A group of this size tolerates the loss of as many hosts as there are witnesses.
	// Hosts that are not known count, too: one side of a partition must not consider
	// itself the whole group.
	group := max(len(c.hosts)+1, 2*c.witnesses+1)
	need := group - 1 - c.witnesses
	if need == 0 {
		return now, true
	}
	if len(c.hosts) < need {
		return time.Time{}, false
	}
	times := make([]time.Time, 0, len(c.hosts))
	for _, h := range c.hosts {
		times = append(times, h.began)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	oldest := times[need-1]
	return oldest, !oldest.IsZero()
}

// Age returns the age of this host's view: the view contains every departure that was
// acknowledged longer ago than that. It is negative while the age is not known.
func (g *Gossiper) Age() time.Duration {
	known, ok := g.KnownUntil()
	if !ok {
		return -1
	}
	return g.clock.Since(known)
}

// KnownUntil returns the time up to which this host knows every departure that any host
// acknowledged, and false if there is no such time yet. The OnAction hook has been called
// with everything up to then.
func (g *Gossiper) KnownUntil() (time.Time, bool) {
	return g.coverage.knownUntil(g.clock.Now())
}
