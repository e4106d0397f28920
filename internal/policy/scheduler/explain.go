package scheduler

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Decision tells what would happen to a request that is submitted now.
type Decision string

// Decisions.
const (
	// Granted means that an upstream would run the request at once.
	Granted Decision = "grant"
	// Queued means that the request would wait.
	Queued Decision = "queue"
	// Refused means that the request would be rejected.
	Refused Decision = "refuse"
)

// Explanation contains a decision and the reasons for it.
type Explanation struct {
	Decision Decision
	// Reason is set when the request would be refused.
	Reason Reason
	// Ahead is the number of waiting requests of the same or a more urgent tier.
	Ahead      int
	Candidates []Candidate
}

// Candidate is an upstream of the request's pool.
type Candidate struct {
	Upstream registrar.UpstreamID
	Usable   bool
	State    State
	Used     int
	Slots    int
}

// State is the condition of an upstream.
type State string

// States of an upstream.
const (
	// Live means that the upstream has a free slot.
	Live State = "live"
	// Full means that all slots are in use.
	Full State = "full"
	// Leaving means that the upstream is shutting down.
	Leaving State = "leaving"
	// Down means that the upstream has crashed or is no longer announced.
	Down State = "down"
)

// Explain predicts what Submit would do with the request, without submitting it. It
// considers the crash records, the upstreams of the pool, the requests ahead and
// the organisation's limit of open requests, but not rate limits of organisations,
// retry budgets, bars or early refusals.
func (s *Scheduler) Explain(now time.Time, sent Request) Explanation {
	var explanation Explanation
	if reason, _ := s.condemned(now, &sent, partsOf(sent)); reason != "" {
		return Explanation{Decision: Refused, Reason: reason}
	}
	p := s.pools[sent.Pool]
	if p == nil || !p.live() {
		return Explanation{Decision: Refused, Reason: NoUpstream}
	}
	c := s.class(sent.Class)
	for level := range c.tier + 1 {
		for _, l := range p.tiers[level].queues {
			explanation.Ahead += len(l.requests)
		}
	}
	explanation.Decision = Queued
	ramps := p.ramps()
	for _, u := range p.upstreams {
		candidate := Candidate{Upstream: u.Name, State: u.state(), Used: len(u.attempts), Slots: u.Slots}
		candidate.Usable = candidate.State == Live && u.usable(ramps) && !u.exhausted(now)
		explanation.Candidates = append(explanation.Candidates, candidate)
		if candidate.Usable && explanation.Ahead == 0 {
			explanation.Decision = Granted
		}
	}
	if o := s.organisations[sent.Organisation]; o != nil && o.limit > 0 && o.open >= o.limit {
		explanation.Decision, explanation.Reason = Refused, OverLimit
	}
	return explanation
}

// UsedSlots returns the number of slots in use on an upstream, or 0 when the
// upstream is unknown.
func (s *Scheduler) UsedSlots(id registrar.UpstreamID) int {
	if u := s.upstreams[id]; u != nil {
		return len(u.attempts)
	}
	return 0
}

func (u *upstream) state() State {
	switch {
	case u.Leaving:
		return Leaving
	case u.gone || u.down:
		return Down
	case u.free():
		return Live
	default:
		return Full
	}
}
