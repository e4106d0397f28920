package bencher

import (
	"fmt"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// call is one request of a caller, with its true length and its outcome.
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
	// batchedAt is when an engine first took the call into its batch.
	batchedAt    time.Duration
	started      bool
	firstTokenAt time.Duration
	doneAt       time.Duration
	refused      bool
	// refusedAt is when the caller learned of the refusal.
	refusedAt time.Duration
	left      bool
	retried   bool
}

func (c *call) name(i int) {
	c.id = scheduler.RequestID(fmt.Sprintf("%s-%06d", c.demand.Class.Name, i))
}

func (c *call) enterBatch(now time.Duration) {
	if !c.started {
		c.started, c.batchedAt = true, now
	}
}

func (c *call) refuse(now time.Duration) {
	if !c.ended() {
		c.refused, c.refusedAt = true, now
	}
}

// ended reports whether the caller has an answer or a refusal, or has left.
func (c *call) ended() bool { return c.doneAt > 0 || c.refused || c.left }

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

// latency returns the time from arrival to the first token. A call without a token
// counts with the patience of its caller.
func (c *call) latency() time.Duration {
	if c.firstTokenAt == 0 {
		return c.demand.Patience
	}
	return c.firstTokenAt - c.arrived
}

// met reports whether the call was answered within the targets of its class.
func (c *call) met() bool {
	k := c.demand.Class
	if c.doneAt == 0 {
		return false
	}
	if k.First > 0 && c.firstTokenAt-c.arrived > time.Duration(k.First) {
		return false
	}
	if k.Total > 0 && c.doneAt-c.arrived > time.Duration(k.Total) {
		return false
	}
	gaps := time.Duration(max(c.output-1, 1))
	return k.Gap == 0 || (c.doneAt-c.firstTokenAt)/gaps <= time.Duration(k.Gap)
}
