package dispatcher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

// clockInterval is how often the owner tells a host the time of day.
const clockInterval = 2 * time.Second

// Usage configures the messages about usage on the links of a cell.
type Usage struct {
	// Counter counts the requests that upstreams began for this host.
	Counter *counter.Counter
	// Collect takes what other hosts count, on the owner; nil on a host that may not own
	// a cell.
	Collect func(UsageNews)
	// Time returns the time of day as the owner estimates it; false if it can't.
	Time func() (time.Time, bool)
}

// UsageNews is what a host says about its usage in one message.
type UsageNews struct {
	Host   registrar.HostName
	Boot   int64
	Clock  time.Time
	Counts []counter.Count
}

// countsUsage reports whether this host sends its counts on the link.
func (l *link) countsUsage() bool { return l.settings.Usage != nil && l.cell == "" }

// hasUsage reports whether there are counts that the owner hasn't been sent.
func (l *link) hasUsage() bool {
	if !l.countsUsage() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.Usage.Counter.Changed(l.usageSent)
}

// addUsage adds the counts that have changed to a message. Each link begins with all of
// them, since its owner may be a new one. The caller holds mu.
func (l *link) addUsage(m *wire.DispatchRequest) {
	if !l.countsUsage() {
		return
	}
	c := l.settings.Usage.Counter
	changed, mark := c.Changes(l.usageSent)
	if l.usageSent = mark; len(changed) == 0 {
		return
	}
	m.Boot, m.Clock = c.Boot(), c.Wall().UnixNano()
	for _, n := range changed {
		m.Usage = append(m.Usage, &wire.UsageCount{Window: int64(n.Window), Organisation: string(n.Organisation), Count: n.Count})
	}
}

// takeClock takes the time of day from a message of the owner.
func (l *link) takeClock(m *wire.DispatchResponse) {
	if m.Clock != 0 && l.countsUsage() {
		l.settings.Usage.Counter.Correct(time.Unix(0, m.Clock))
	}
}

// takeUsage passes the counts in a message of the host on.
func (n *session) takeUsage(m *wire.DispatchRequest) {
	u := n.server.settings.Usage
	if u == nil || u.Collect == nil || n.foreign || m.Clock == 0 {
		return
	}
	news := UsageNews{Host: n.host, Boot: m.Boot, Clock: time.Unix(0, m.Clock)}
	for _, c := range m.Usage {
		news.Counts = append(news.Counts, counter.Count{
			Window: provider.Window(c.Window), Organisation: validator.OrganisationName(c.Organisation), Count: c.Count,
		})
	}
	u.Collect(news)
}

// addClock adds the time of day to a message to the host, every clockInterval. The caller
// holds mu.
func (n *session) addClock(m *wire.DispatchResponse) {
	u := n.server.settings.Usage
	if u == nil || u.Time == nil || n.foreign {
		return
	}
	now := n.clock().Now()
	if !n.clockTold.IsZero() && now.Sub(n.clockTold) < clockInterval {
		return
	}
	if at, ok := u.Time(); ok {
		m.Clock, n.clockTold = at.UnixNano(), now
	}
}
