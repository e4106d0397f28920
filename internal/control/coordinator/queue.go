package coordinator

import (
	"sync"

	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const (
	// maximumWaiting bounds the calls that wait for the event loop.
	maximumWaiting = 20_000
	// maximumMessages bounds the messages that wait for it. More are dropped,
	// like messages lost in the network.
	maximumMessages = 20_000
	// maximumProposed bounds the commands of one step.
	maximumProposed = 1_000
)

// batch is what the event loop handles at a time.
type batch struct {
	events    []replicator.Event
	proposals []proposal
	reads     []func(error)
}

// eventQueue collects the inputs of the event loop.
type eventQueue struct {
	mu      sync.Mutex
	waiting batch
	// closed is the answer to calls after the loop has ended.
	closed error
	// wake has room for one signal.
	wake chan struct{}
}

func (q *eventQueue) init() { q.wake = make(chan struct{}, 1) }

func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// events adds events that are never dropped.
func (q *eventQueue) events(events ...replicator.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(events) == 0 || q.closed != nil {
		return
	}
	q.waiting.events = append(q.waiting.events, events...)
	q.signal()
}

// message adds a message from another replica.
func (q *eventQueue) message(m *record.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil || len(q.waiting.events) >= maximumMessages {
		return
	}
	q.waiting.events = append(q.waiting.events, replicator.Receive{Message: m})
	q.signal()
}

// propose adds a proposal, or answers it with an error.
func (q *eventQueue) propose(p proposal) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return q.closed
	}
	if len(q.waiting.proposals) >= maximumWaiting {
		return errBusy
	}
	q.waiting.proposals = append(q.waiting.proposals, p)
	q.signal()
	return nil
}

// read adds a read.
func (q *eventQueue) read(reply func(error)) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return q.closed
	}
	if len(q.waiting.reads) >= maximumWaiting {
		return errBusy
	}
	q.waiting.reads = append(q.waiting.reads, reply)
	q.signal()
	return nil
}

// take returns what waits, apart from proposals beyond the bound.
func (q *eventQueue) take() batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.waiting
	q.waiting = batch{}
	if len(b.proposals) > maximumProposed {
		q.waiting.proposals = b.proposals[maximumProposed:]
		b.proposals = b.proposals[:maximumProposed:maximumProposed]
		q.signal()
	}
	return b
}

// close answers what waits and all later calls with the error.
func (q *eventQueue) close(err error) {
	q.mu.Lock()
	b := q.waiting
	q.waiting = batch{}
	q.closed = err
	q.mu.Unlock()
	for _, p := range b.proposals {
		p.reply(outcome{err: err})
	}
	for _, r := range b.reads {
		r(err)
	}
}

// diskQueue is the ordered queue of the disk goroutine.
type diskQueue struct {
	mu     sync.Mutex
	filled *sync.Cond
	items  []work
	closed bool
}

func (q *diskQueue) init() { q.filled = sync.NewCond(&q.mu) }

func (q *diskQueue) add(w work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, w)
	q.filled.Signal()
}

// take waits for work and returns all of it; false when the queue is closed
// and empty.
func (q *diskQueue) take() ([]work, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) == 0 && !q.closed {
		q.filled.Wait()
	}
	items := q.items
	q.items = nil
	return items, len(items) > 0
}

func (q *diskQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Broadcast()
}

// handlerGroup counts the handlers that run, and refuses new ones when the
// coordinator closes.
type handlerGroup struct {
	mu     sync.Mutex
	count  sync.WaitGroup
	closed bool
}

// enter reports whether a handler may run; it must call leave then.
func (g *handlerGroup) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count.Add(1)
	return true
}

func (g *handlerGroup) leave() { g.count.Done() }

func (g *handlerGroup) wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.count.Wait()
}
