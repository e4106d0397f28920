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
	// heard is set when the entry host has had a token.
	heard bool
	// reported is the time of the last report of progress.
	reported time.Duration
	// onToken is called with the number of tokens so far.
	onToken func(tokens int)
	onEnd   func(o scheduler.Outcome)
}

// slowdown is a time in which an engine is slower than it reports.
type slowdown struct {
	from, to time.Duration
	factor   float64
}

// engine batches continuously: each step decodes one token of every sequence
// that has its prompt processed and a chunk of the prompts that do not.
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
	// made counts the tokens generated, whether or not they were of use.
	made int
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

// mean is the average factor of the time from now to the given length.
func (e *engine) mean(length time.Duration) float64 {
	from, to := e.clock.now, e.clock.now+max(length, time.Millisecond)
	f := 1.0
	for _, s := range e.slowdowns {
		if part := min(to, s.to) - max(from, s.from); part > 0 {
			f += (s.factor - 1) * float64(part) / float64(to-from)
		}
	}
	return f * e.speed
}

// prefilling reports whether any prompt is still to be processed.
func (e *engine) prefilling() bool {
	return len(e.queue) > 0 || slices.ContainsFunc(e.batch, func(r *run) bool { return r.prefill > 0 })
}

// add queues an attempt; it reports false when the engine is down.
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

// cancel ends an attempt without a report.
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
		r.call.start(e.clock.now)
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
		e.made++
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

// report is what the engine announces of itself.
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
