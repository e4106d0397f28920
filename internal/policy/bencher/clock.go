package bencher

import (
	"container/heap"
	"time"
)

// epoch is the wall time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs callbacks in the order of virtual time; those of the same time
// run in the order in which they were set.
type clock struct {
	now    time.Duration
	serial uint64
	queue  alarms
}

type alarm struct {
	at     time.Duration
	serial uint64
	run    func()
}

type alarms []alarm

func (q alarms) Len() int { return len(q) }
func (q alarms) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q alarms) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *alarms) Push(x any) { *q = append(*q, x.(alarm)) }

// Pop implements heap.Interface.
func (q *alarms) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = alarm{}
	*q = (*q)[:last]
	return a
}

func (c *clock) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, alarm{at: c.now + max(d, 0), serial: c.serial, run: run})
}

func (c *clock) wall() time.Time { return epoch.Add(c.now) }

// run executes callbacks up to the given time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		a := heap.Pop(&c.queue).(alarm)
		c.now = a.at
		a.run()
	}
	c.now = until
}
