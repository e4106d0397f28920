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

// pacer gives generations the timing of an engine with continuous batching.
type pacer struct {
	clock clockwork.Clock
	slow  func() float64
	wake  chan struct{}

	mu    sync.Mutex
	batch *batcher.Batch
	paced map[*batcher.Sequence]*pacedSequence
}

func newPacer(c clockwork.Clock, slots int, slow func() float64) *pacer {
	return &pacer{
		clock: c,
		slow:  slow,
		wake:  make(chan struct{}, 1),
		batch: batcher.New(slots),
		paced: map[*batcher.Sequence]*pacedSequence{},
	}
}

// run steps through the iterations of the batch in real time until ctx ends.
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
		if c := p.paced[s]; c != nil {
			c.addToken()
		}
	}
}

// add queues a sequence for the batch.
func (p *pacer) add(s *batcher.Sequence) *pacedSequence {
	c := &pacedSequence{pacer: p, sequence: s, changed: make(chan struct{}, 1)}
	p.mu.Lock()
	p.paced[s] = c
	p.batch.Add(s)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return c
}

// pacedSequence tells a generation when its tokens are due.
type pacedSequence struct {
	pacer    *pacer
	sequence *batcher.Sequence
	// due is the number of tokens that are due and not taken yet. The lock of
	// the pacer guards it.
	due     int
	changed chan struct{}
}

// addToken makes one more token due. The caller holds the lock of the pacer.
func (c *pacedSequence) addToken() {
	c.due++
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// next waits until the next token is due. It reports false when ctx ended first.
func (c *pacedSequence) next(ctx context.Context) bool {
	for !c.takeToken() {
		select {
		case <-ctx.Done():
			return false
		case <-c.changed:
		}
	}
	return ctx.Err() == nil
}

func (c *pacedSequence) takeToken() bool {
	c.pacer.mu.Lock()
	defer c.pacer.mu.Unlock()
	if c.due == 0 {
		return false
	}
	c.due--
	return true
}

func (c *pacedSequence) cancel() {
	c.pacer.mu.Lock()
	defer c.pacer.mu.Unlock()
	c.pacer.batch.Cancel(c.sequence)
	delete(c.pacer.paced, c.sequence)
}

func (p *pacer) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.batch.Load()
}

// prefixBlocks returns a hash for each complete block that a text begins with;
// equal prefixes have equal hashes.
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
