package bencher

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// oracle is the bound: one queue without any delay between hosts, which knows the
// true lengths, speeds and cache contents at every moment. It orders calls by tier
// and latest start, refuses those that cannot meet their target, and preempts calls
// of the lowest tier without loss: a preempted call later continues without a new
// prefill.
type oracle struct {
	*system
	waiting []*call
	// preempted holds the calls that continue without a new prefill.
	preempted map[*call]bool
	polling   bool
	// meanStep is the mean duration of a decoding step over all engines.
	meanStep time.Duration
}

func newOracle(s *system) router {
	return &oracle{system: s, preempted: make(map[*call]bool)}
}

func (o *oracle) report(registrar.Upstream) { o.dispatch() }

func (o *oracle) arrive(c *call) {
	o.waiting = append(o.waiting, c)
	o.dispatch()
}

func (o *oracle) leave(c *call) {
	for len(c.runs) > 0 {
		o.stop(c.runs[0])
	}
	o.waiting = slices.DeleteFunc(o.waiting, func(q *call) bool { return q == c })
	o.dispatch()
}

// stop cancels an attempt at once and keeps its tokens.
func (o *oracle) stop(r *run) {
	o.dropped[r] = true
	r.engine.cancel(r)
	r.call.runs = slices.DeleteFunc(r.call.runs, func(q *run) bool { return q == r })
	r.call.emitted += r.tokens
	o.preempted[r.call] = true
}

// uncached returns the number of prompt tokens that an engine still has to process
// for a call.
func (o *oracle) uncached(c *call, e *engine) int {
	if o.preempted[c] {
		return 1
	}
	return max(c.prompt+c.emitted-e.cache.Leading(c.prefix)*batcher.BlockTokens, 1)
}

// predict returns the time to the first token and the time between tokens of a call
// on an engine.
func (o *oracle) predict(c *call, e *engine) (first, gap time.Duration) {
	prefill := o.uncached(c, e)
	for _, r := range e.batch {
		prefill += r.prefill
	}
	for _, r := range e.queue {
		prefill += o.uncached(r.call, e)
	}
	step := batcher.StepCost + time.Duration(len(e.batch)+len(e.queue)+1)*batcher.SequenceCost
	steps := time.Duration((prefill + batcher.Chunk - 1) / batcher.Chunk)
	first = time.Duration(e.factor() * float64(steps*step+time.Duration(prefill)*batcher.PrefillCost))
	if e.busy {
		first += e.stepEnd - o.now
	}
	left := time.Duration(max(c.output-c.emitted, 1))
	busy := max(meanPrefill, time.Duration(prefill)*batcher.PrefillCost/left)
	return first, time.Duration(e.meanFactor(left*step) * float64(step+busy))
}

const (
	// pollInterval is how often the oracle tries again while calls wait.
	pollInterval = 5 * time.Millisecond
	// holdSlack is the time before its latest start up to which the oracle holds a
	// call back from an engine that is processing prompts, so that prompts do not
	// accumulate on an engine and lengthen the time between tokens of its other
	// calls.
	holdSlack = 200 * time.Millisecond
)

// gapWeight is the largest number of tokens whose time between tokens counts in the
// choice of an engine, in addition to the time to the first token.
const gapWeight = 50

// meanPrefill is the time that the prompts of other calls add to a step on average,
// which corresponds to about 60 prompt tokens.
const meanPrefill = 60 * batcher.PrefillCost

// latest returns the latest time at which the call can start on an idle engine and
// still meet its targets.
func (o *oracle) latest(c *call) time.Duration {
	k := c.demand.Class
	at := c.arrived + time.Duration(1<<62)
	if k.First > 0 && c.firstTokenAt == 0 {
		at = c.arrived + time.Duration(k.First) - time.Duration(c.prompt/4)*batcher.PrefillCost
	}
	if k.Total > 0 {
		at = min(at, c.arrived+time.Duration(k.Total)-time.Duration(c.output-c.emitted)*o.meanStep)
	}
	return at
}

func (o *oracle) usable(c *call, e *engine) (time.Duration, bool) {
	if !e.up {
		return 0, false
	}
	first, gap := o.predict(c, e)
	k := c.demand.Class
	if e.prefilling() && o.latest(c)-o.now > holdSlack {
		return 0, false
	}
	if k.First > 0 && c.firstTokenAt == 0 && o.now+first > c.arrived+time.Duration(k.First) {
		return 0, false
	}
	left := time.Duration(c.output - c.emitted)
	if k.Total > 0 && o.now+first+left*gap > c.arrived+time.Duration(k.Total) {
		return 0, false
	}
	return first + min(left, gapWeight)*gap, k.Gap == 0 || gap <= time.Duration(k.Gap)
}

func (o *oracle) dispatch() {
	running := 0
	for _, e := range o.engines {
		running += len(e.batch)
	}
	o.meanStep = batcher.StepCost + time.Duration(running/len(o.engines))*batcher.SequenceCost
	slices.SortFunc(o.waiting, func(a, b *call) int {
		if d := cmp.Compare(tier(a), tier(b)); d != 0 {
			return d
		}
		return cmp.Compare(o.latest(a), o.latest(b))
	})
	var rest []*call
	list := o.waiting
	o.waiting = nil
	for _, c := range list {
		if c.ended() {
			continue
		}
		if c.firstTokenAt == 0 && o.now > o.latest(c) {
			c.refuse(o.now)
			continue
		}
		e := o.choose(c)
		if e == nil {
			rest = append(rest, c)
			continue
		}
		o.begin(c, e)
	}
	o.waiting = append(o.waiting, rest...)
	if len(o.waiting) > 0 && !o.polling {
		o.polling = true
		o.after(pollInterval, func() {
			o.polling = false
			o.dispatch()
		})
	}
}

// choose returns the engine on which the call gets its first tokens earliest, or
// nil. If necessary it preempts a call of a lower tier there.
func (o *oracle) choose(c *call) *engine {
	var best *engine
	var least time.Duration
	var victim *run
	for _, e := range o.engines {
		first, ok := o.usable(c, e)
		if !ok {
			continue
		}
		v, free := o.victim(c, e)
		if !free && v == nil {
			continue
		}
		// A free slot is preferred to a preemption.
		if v != nil {
			first += 50 * time.Millisecond
		}
		if best == nil || first < least {
			best, least, victim = e, first, v
		}
	}
	if best != nil && victim != nil {
		o.stop(victim)
		o.waiting = append(o.waiting, victim.call)
	}
	return best
}

// victim returns the attempt to preempt on a full engine, or nil, and whether the
// engine has a free slot.
func (o *oracle) victim(c *call, e *engine) (*run, bool) {
	if len(e.batch)+len(e.queue) < e.slots {
		return nil, true
	}
	var v *run
	for _, r := range e.batch {
		if tier(r.call) <= tier(c) {
			continue
		}
		if v == nil || tier(r.call) > tier(v.call) || r.want-r.tokens > v.want-v.tokens {
			v = r
		}
	}
	return v, false
}

func (o *oracle) begin(c *call, e *engine) {
	r := &run{call: c, engine: e, priority: int(tier(c))}
	r.onToken = func(int) {
		if c.firstTokenAt == 0 {
			c.firstTokenAt = o.now
		}
	}
	r.onEnd = func(out scheduler.Outcome) {
		c.runs = nil
		if out == scheduler.Completed {
			c.doneAt = o.now
		} else {
			c.emitted += r.tokens
			o.waiting = append(o.waiting, c)
		}
		o.after(0, o.dispatch)
	}
	c.runs = []*run{r}
	kept := o.preempted[c]
	delete(o.preempted, c)
	e.add(r)
	if kept {
		r.prefill = min(r.prefill, 1)
	}
}
