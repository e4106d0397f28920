package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// coverage holds when this host last began to learn all that each other host knew, and
// hence up to when it knows each departure that was acknowledged.
//
// A departure is acknowledged once the host that heard it and some witnesses keep it. A
// host that has asked all others but as many as there are witnesses has asked one of
// those that keep it.
type coverage struct {
	witnesses int
	mu        sync.Mutex
	hosts     map[registrar.HostName]covered
}

// covered is what is known of one other host.
type covered struct {
	incarnation registrar.Incarnation
	// began is when the last exchange began that told all; zero when there was none.
	began time.Time
}

// observe follows the exchanges. It sees each action after everything that the exchange
// has brought was delivered.
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
		c.list(a.Host)
	case registrar.HostChanged:
		c.list(a.Host)
	case registrar.HostDown:
		delete(c.hosts, a.Host.Name)
	}
}

// list notes a live host. Another process of it has to be asked anew. The caller holds mu.
func (c *coverage) list(h registrar.Host) {
	if known, ok := c.hosts[h.Name]; !ok || known.incarnation != h.Incarnation {
		c.hosts[h.Name] = covered{incarnation: h.Incarnation}
	}
}

// knownUntil returns the time up to which each departure that any host acknowledged is
// known here, and false while that is not known.
func (c *coverage) knownUntil(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A group of this size bears the loss of the witnesses. Hosts that are not heard of
	// count, too: a part of a divided group must not take itself for the whole.
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

// Age returns how old the view of this host is: each departure that was acknowledged before
// is in it. It is negative while that is not known.
func (g *Gossiper) Age() time.Duration {
	known, ok := g.KnownUntil()
	if !ok {
		return -1
	}
	return g.clock.Since(known)
}

// KnownUntil returns the time up to which this host knows each departure that any host
// has acknowledged, and false while it doesn't know that. Everything up to then has been
// handed to the hook for actions.
func (g *Gossiper) KnownUntil() (time.Time, bool) {
	return g.coverage.knownUntil(g.clock.Now())
}
