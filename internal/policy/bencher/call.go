package bencher

import (
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// call is one request of a caller with its true length and its fate.
type call struct {
	id           scheduler.RequestID
	demand       *Demand
	organisation validator.OrganisationName
	host         int
	arrived      time.Duration
	prompt       int
	output       int
	limit        int
	prefix       []uint64
	crest        bool

	emitted int
	runs    []*run
	// begun is when an engine first took the call into its batch.
	begun   time.Duration
	started bool
	first   time.Duration
	done    time.Duration
	refused bool
	// refusedAt is when the caller learned of the refusal.
	refusedAt time.Duration
	left      bool
	retried   bool
}

func (c *call) name(i int) {
	c.id = scheduler.RequestID(fmt.Sprintf("%s-%06d", c.demand.Class.Name, i))
}

func (c *call) start(now time.Duration) {
	if !c.started {
		c.started, c.begun = true, now
	}
}

func (c *call) refuse(now time.Duration) {
	if !c.ended() {
		c.refused, c.refusedAt = true, now
	}
}

// ended reports whether the caller has an answer, a refusal or has left.
func (c *call) ended() bool { return c.done > 0 || c.refused || c.left }

func (c *call) request() scheduler.Request {
	return scheduler.Request{
		ID:           c.id,
		Pool:         model,
		Class:        c.demand.Class.Name,
		Organisation: c.organisation,
		Prompt:       c.prompt,
		Limit:        c.limit,
		Prefix:       c.prefix,
		Repeatable:   true,
		Retry:        c.retried,
		Emitted:      c.emitted,
		Fingerprint:  string(c.id),
		Arrived:      epoch.Add(c.arrived),
	}
}

// latency is the time to the first token; calls without one count with the
// patience of their callers.
func (c *call) latency() time.Duration {
	if c.first == 0 {
		return c.demand.Patience
	}
	return c.first - c.arrived
}

// met reports whether the call was answered within the targets of its class.
func (c *call) met() bool {
	k := c.demand.Class
	if c.done == 0 {
		return false
	}
	if k.First > 0 && c.first-c.arrived > time.Duration(k.First) {
		return false
	}
	if k.Total > 0 && c.done-c.arrived > time.Duration(k.Total) {
		return false
	}
	gaps := time.Duration(max(c.output-1, 1))
	return k.Gap == 0 || (c.done-c.first)/gaps <= time.Duration(k.Gap)
}
