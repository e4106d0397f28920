package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 50 * time.Millisecond
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = time.Second
)

// memoryWatch is the part of the platform that ends a process that uses more memory than its
// machine has, and starts it again if restart is set.
type memoryWatch struct {
	host    string
	limit   int64
	restart bool
	peak    atomic.Int64
	kills   atomic.Int64
	done    chan struct{}
	closing sync.Once
	group   conc.WaitGroup
}

// watchMemory watches the process of a machine with the memory limit in MB.
func watchMemory(f *fleet, host string, limit int, restart bool) *memoryWatch {
	w := &memoryWatch{host: host, limit: int64(limit) << 20, restart: restart, done: make(chan struct{})}
	w.group.Go(func() {
		for w.pause(memoryPoll) {
			if !w.check(f) {
				return
			}
		}
	})
	return w
}

// pause waits and reports whether the watch goes on.
func (w *memoryWatch) pause(d time.Duration) bool {
	select {
	case <-w.done:
		return false
	case <-time.After(d):
		return true
	}
}

// check kills the process if it uses too much, and reports whether the watch goes on.
func (w *memoryWatch) check(f *fleet) bool {
	used := resident(f.pid(w.host))
	w.peak.Store(max(w.peak.Load(), used))
	if used <= w.limit {
		return true
	}
	f.kill(w.host)
	w.kills.Add(1)
	f.record.notef("%s uses %d MB, more than its %d MB; the platform kills its process", w.host, used>>20, w.limit>>20)
	if !w.restart || !w.pause(restartDelay) {
		return false
	}
	if err := f.start(w.host, false); err != nil {
		f.record.notef("%s: %v", w.host, err)
		return false
	}
	return true
}

func (w *memoryWatch) close() {
	w.closing.Do(func() { close(w.done) })
	w.group.Wait()
}

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	// Pages of the program file are shared and not counted.
	return (pages - shared) * int64(os.Getpagesize())
}
