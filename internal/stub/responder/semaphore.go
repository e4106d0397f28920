package responder

import (
	"container/heap"
	"context"
	"sync"
)

// semaphore bounds the number of generations that run at once. Waiting generations
// get a slot by lowest priority number first and in order of arrival among equals.
type semaphore struct {
	mu      sync.Mutex
	free    int
	slots   int
	serial  uint64
	waiters waiterHeap
}

type waiter struct {
	priority int
	serial   uint64
	index    int
	ready    chan struct{}
}

func newSemaphore(slots int) *semaphore {
	return &semaphore{free: slots, slots: slots}
}

// acquire waits for a slot. It reports false, and holds none, when ctx ended first.
func (g *semaphore) acquire(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return true
	}
	g.serial++
	w := &waiter{priority: priority, serial: g.serial, ready: make(chan struct{})}
	heap.Push(&g.waiters, w)
	g.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.waiters, w.index)
		return false
	}
	g.releaseLocked()
	return false
}

// release frees a slot that acquire has granted.
func (g *semaphore) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked()
}

// releaseLocked passes the slot on to the next waiter. The caller holds the lock.
func (g *semaphore) releaseLocked() {
	if len(g.waiters) == 0 {
		g.free++
		return
	}
	w := heap.Pop(&g.waiters).(*waiter)
	close(w.ready)
}

func (g *semaphore) load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots - g.free, len(g.waiters)
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].serial < h[j].serial
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
