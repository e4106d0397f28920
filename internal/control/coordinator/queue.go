package coordinator

import (
	"sync"

	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const (
	// maximumWaitingCalls limits the proposals, and the reads, that wait for
	// the event loop.
	maximumWaitingCalls = 20_000
	// maximumMessages limits the events that wait for the event loop. Further
	// messages are dropped, as if the network had lost them.
	maximumMessages = 20_000
	// maximumMessageBytes limits the size of the messages that wait for the event
	// loop, unless there is only one.
	maximumMessageBytes = 8 << 20
	// maximumStepProposals limits the proposals of one step.
	maximumStepProposals = 1_000
)

// batch is the input of one pass of the event loop.
type batch struct {
	events    []replicator.Event
	proposals []proposal
	reads     []func(error)
}

// eventQueue collects the input of the event loop.
type eventQueue struct {
	mu      sync.Mutex
	waiting batch
	// closed is returned to callers after the event loop has ended; nil before.
	closed error
	// messageBytes is the size of the messages that wait.
	messageBytes int
	// wake signals that something waits. It is buffered for one signal.
	wake chan struct{}
}

func (q *eventQueue) init() { q.wake = make(chan struct{}, 1) }

func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// events adds events. They are never dropped while the queue is open.
func (q *eventQueue) events(events ...replicator.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(events) == 0 || q.closed != nil {
		return
	}
	q.waiting.events = append(q.waiting.events, events...)
	q.signal()
}

// message adds a message of size bytes from another replica, or drops it when too
// many or too large ones wait.
func (q *eventQueue) message(m *record.Message, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil || len(q.waiting.events) >= maximumMessages || q.messageBytes > 0 && q.messageBytes+size > maximumMessageBytes {
		return
	}
	q.messageBytes += size
	q.waiting.events = append(q.waiting.events, replicator.Receive{Message: m})
	q.signal()
}

// propose adds a proposal. It returns errBusy when too many wait, and the error
// given to close after that.
func (q *eventQueue) propose(p proposal) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return q.closed
	}
	if len(q.waiting.proposals) >= maximumWaitingCalls {
		return errBusy
	}
	q.waiting.proposals = append(q.waiting.proposals, p)
	q.signal()
	return nil
}

// read adds a read. Its errors are those of propose.
func (q *eventQueue) read(reply func(error)) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return q.closed
	}
	if len(q.waiting.reads) >= maximumWaitingCalls {
		return errBusy
	}
	q.waiting.reads = append(q.waiting.reads, reply)
	q.signal()
	return nil
}

// take removes and returns everything that waits, but at most
// maximumStepProposals proposals.
func (q *eventQueue) take() batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.waiting
	q.waiting, q.messageBytes = batch{}, 0
	if len(b.proposals) > maximumStepProposals {
		q.waiting.proposals = b.proposals[maximumStepProposals:]
		b.proposals = b.proposals[:maximumStepProposals:maximumStepProposals]
		q.signal()
	}
	return b
}

// close answers everything that waits, and all later calls, with the error.
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

// diskQueue is the ordered queue of the disk goroutine. It is unbounded.
type diskQueue struct {
	mu     sync.Mutex
	filled *sync.Cond
	items  []diskTask
	closed bool
}

func (q *diskQueue) init() { q.filled = sync.NewCond(&q.mu) }

func (q *diskQueue) add(task diskTask) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, task)
	q.filled.Signal()
}

// take waits for tasks and returns all of them. The result is false when the
// queue is closed and empty.
func (q *diskQueue) take() ([]diskTask, bool) {
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

// handlerGroup counts the running handlers, and refuses new ones once the
// coordinator closes.
type handlerGroup struct {
	mu     sync.Mutex
	count  sync.WaitGroup
	closed bool
}

// enter reports whether a handler may run. If so, the handler must call leave
// at its end.
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

// wait refuses new handlers and waits until the running ones have ended.
func (g *handlerGroup) wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.count.Wait()
}
