package responder

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// pacer gives generations the timing of an engine that batches continuously.
type pacer struct {
	clock clockwork.Clock
	slow  func() float64
	wake  chan struct{}

	mu    sync.Mutex
	batch *batcher.Batch
	paces map[*batcher.Sequence]*pace
}

func newPacer(c clockwork.Clock, slots int, slow func() float64) *pacer {
	return &pacer{
		clock: c,
		slow:  slow,
		wake:  make(chan struct{}, 1),
		batch: batcher.New(slots),
		paces: map[*batcher.Sequence]*pace{},
	}
}

// run passes iteration after iteration until ctx ends.
func (p *pacer) run(ctx context.Context) {
	for {
		p.mu.Lock()
		i := p.batch.Step()
		p.mu.Unlock()
		idle, end := p.wake, (<-chan time.Time)(nil)
		if i.Cost > 0 {
			idle, end = nil, p.clock.After(time.Duration(float64(i.Cost)*p.slow()))
		}
		select {
		case <-ctx.Done():
			return
		case <-idle:
		case <-end:
			p.finish(i)
		}
	}
}

func (p *pacer) finish(i batcher.Iteration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.batch.Finish(i) {
		if c := p.paces[s]; c != nil {
			c.issue()
		}
	}
}

// join queues a sequence.
func (p *pacer) join(s *batcher.Sequence) *pace {
	c := &pace{pacer: p, sequence: s, news: make(chan struct{}, 1)}
	p.mu.Lock()
	p.paces[s] = c
	p.batch.Add(s)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return c
}

// pace tells a generation when its tokens are due.
type pace struct {
	pacer    *pacer
	sequence *batcher.Sequence
	// issued is the number of tokens due and not yet taken, under the lock of
	// the pacer.
	issued int
	news   chan struct{}
}

func (c *pace) issue() {
	c.issued++
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// next waits for the next token; false means that ctx ended first.
func (c *pace) next(ctx context.Context) bool {
	for !c.take() {
		select {
		case <-ctx.Done():
			return false
		case <-c.news:
		}
	}
	return ctx.Err() == nil
}

func (c *pace) take() bool {
	c.pacer.mu.Lock()
	defer c.pacer.mu.Unlock()
	if c.issued == 0 {
		return false
	}
	c.issued--
	return true
}

func (c *pace) leave() {
	c.pacer.mu.Lock()
	defer c.pacer.mu.Unlock()
	c.pacer.batch.Cancel(c.sequence)
	delete(c.pacer.paces, c.sequence)
}

func (p *pacer) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.batch.Load()
}

// prefixBlocks names the whole blocks that a text begins with; equal beginnings
// have equal names.
func prefixBlocks(text string) []uint64 {
	var list []uint64
	var digest xxhash.Digest
	digest.Reset()
	count := 0
	for token := range strings.SplitAfterSeq(text, " ") {
		_, _ = digest.WriteString(token)
		if count++; count%batcher.BlockTokens == 0 {
			list = append(list, digest.Sum64())
		}
	}
	return list
}
