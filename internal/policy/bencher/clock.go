package bencher

import (
	"container/heap"
	"time"
)

// epoch is the simulated wall time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs callbacks in the order of virtual time. Callbacks for the same time
// run in the order in which they were added.
type clock struct {
	now    time.Duration
	serial uint64
	queue  timerQueue
}

type timer struct {
	at     time.Duration
	serial uint64
	run    func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return a
}

func (c *clock) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, timer{at: c.now + max(d, 0), serial: c.serial, run: run})
}

func (c *clock) wall() time.Time { return epoch.Add(c.now) }

// run executes all callbacks up to the given virtual time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		a := heap.Pop(&c.queue).(timer)
		c.now = a.at
		a.run()
	}
	c.now = until
}
