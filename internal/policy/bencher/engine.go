package bencher

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// run is an attempt of a call on an engine.
type run struct {
	call     *call
	engine   *engine
	priority int
	queued   time.Duration
	started  bool
	prefill  int
	want     int
	tokens   int
	ended    bool
	// tokenReceived is set when the entry host has received a token.
	tokenReceived bool
	// reported is the time of the last progress report.
	reported time.Duration
	// onToken is called with the number of tokens generated so far.
	onToken func(tokens int)
	onEnd   func(o scheduler.Outcome)
}

// slowdown is a period in which an engine is slower than it reports.
type slowdown struct {
	from, to time.Duration
	factor   float64
}

// engine simulates continuous batching: each step decodes one token of every
// sequence whose prompt has been processed, and processes a chunk of the prompts
// that have not.
type engine struct {
	clock       *clock
	id          registrar.UpstreamID
	slots       int
	speed       float64
	slowdowns   []slowdown
	incarnation registrar.Incarnation
	sequence    uint64
	up          bool
	busy        bool
	// stepEnd is when the current step ends.
	stepEnd time.Duration
	queue   []*run
	batch   []*run
	cache   batcher.Cache
	// generated is the number of tokens generated, whether or not they were of use.
	generated int
}

func (e *engine) factor() float64 {
	f := e.speed
	for _, s := range e.slowdowns {
		if e.clock.now >= s.from && e.clock.now < s.to {
			f *= s.factor
		}
	}
	return f
}

// meanFactor returns the average factor over the given length of time from now on.
func (e *engine) meanFactor(length time.Duration) float64 {
	from, to := e.clock.now, e.clock.now+max(length, time.Millisecond)
	f := 1.0
	for _, s := range e.slowdowns {
		if part := min(to, s.to) - max(from, s.from); part > 0 {
			f += (s.factor - 1) * float64(part) / float64(to-from)
		}
	}
	return f * e.speed
}

// prefilling reports whether the engine still has a prompt to process.
func (e *engine) prefilling() bool {
	return len(e.queue) > 0 || slices.ContainsFunc(e.batch, func(r *run) bool { return r.prefill > 0 })
}

// add queues an attempt by its priority. It returns false when the engine is down.
func (e *engine) add(r *run) bool {
	if !e.up {
		return false
	}
	r.engine = e
	r.queued = e.clock.now
	i, _ := slices.BinarySearchFunc(e.queue, r, func(a, b *run) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, i, r)
	if !e.busy {
		e.step()
	}
	return true
}

// cancel ends an attempt without calling its onEnd.
func (e *engine) cancel(r *run) {
	r.ended = true
	e.queue = slices.DeleteFunc(e.queue, func(q *run) bool { return q == r })
	e.batch = slices.DeleteFunc(e.batch, func(q *run) bool { return q == r })
}

func (e *engine) admit() {
	for len(e.batch) < e.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.started = true
		r.call.enterBatch(e.clock.now)
		cached := e.cache.Use(r.call.prefix) * batcher.BlockTokens
		r.prefill = max(r.call.prompt+r.call.emitted-cached, 1)
		r.want = r.call.output - r.call.emitted
		e.batch = append(e.batch, r)
	}
}

// step starts the next iteration of the batch.
func (e *engine) step() {
	e.admit()
	e.busy = len(e.batch) > 0
	if !e.busy {
		return
	}
	budget, decoding := batcher.Chunk, 0
	var ready []*run
	for _, r := range e.batch {
		if r.prefill == 0 {
			decoding++
			ready = append(ready, r)
			continue
		}
		n := min(budget, r.prefill)
		budget -= n
		if r.prefill -= n; r.prefill == 0 {
			ready = append(ready, r)
		}
	}
	cost := batcher.StepCost + time.Duration(decoding)*batcher.SequenceCost + time.Duration(batcher.Chunk-budget)*batcher.PrefillCost
	incarnation := e.incarnation
	cost = time.Duration(float64(cost) * e.factor())
	e.stepEnd = e.clock.now + cost
	e.clock.after(cost, func() {
		if e.incarnation != incarnation || !e.up {
			return
		}
		e.emit(ready)
		e.step()
	})
}

func (e *engine) emit(ready []*run) {
	for _, r := range ready {
		if r.ended {
			continue
		}
		r.tokens++
		e.generated++
		done := r.tokens >= r.want
		if done {
			e.cancel(r)
		}
		r.onToken(r.tokens)
		if done {
			r.onEnd(scheduler.Completed)
		}
	}
}

func (e *engine) crash() {
	lost := append(slices.Clone(e.batch), e.queue...)
	e.up, e.busy, e.batch, e.queue = false, false, nil, nil
	e.cache = batcher.Cache{}
	for _, r := range lost {
		r.ended = true
		r.onEnd(scheduler.Crashed)
	}
}

func (e *engine) restart() {
	e.up = true
	e.incarnation++
	e.sequence = 0
}

// report returns the engine's next announcement.
func (e *engine) report() registrar.Upstream {
	e.sequence++
	return registrar.Upstream{
		Name:        e.id,
		Models:      pools,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Slots:       e.slots,
		Load:        registrar.Load{Running: len(e.batch), Waiting: len(e.queue)},
	}
}
