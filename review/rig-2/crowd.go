package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// chunkers is the number of clients that send chunked bodies, and chunkerGap the time
	// between their first connections.
	chunkers   = 4000
	chunkerGap = 300 * time.Microsecond
	// chunkGap is the time between two of its chunks, and crowdLimit the TimeoutMs of the
	// route that it uses.
	chunkGap   = 2 * time.Second
	crowdLimit = 12 * time.Second
	// crowdTime is how long they stay, and callerGap the time between two ordinary requests.
	crowdTime = 20 * time.Second
	callerGap = 100 * time.Millisecond
	// settleCrowd is the time until the crowd has gathered.
	settleCrowd = 4 * time.Second
	// retryGap is the time until a client of the crowd connects again.
	retryGap = 20 * time.Millisecond
	// leastTries is the number of requests on new connections without which a time in which
	// none was answered doesn't count.
	leastTries = 7
)

// playCrowd lets many clients send chunked bodies in very small chunks, which stop just short
// of their end and stay open, and sends ordinary requests beside them.
func playCrowd(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return false, err
	}
	defer f.close()
	chat := route("parent-chat", "/chat/", "streaming", "zgodbar", 2)
	chat["TimeoutMs"] = crowdLimit.Milliseconds()
	check := route("delivery-check", "/check/", "idempotent", "trgovina", 2)
	if err := f.startAll(configuration(1, []any{chat, check})); err != nil {
		return false, err
	}
	s := &server{fleet: f, service: "trgovina", name: "shop", version: "v1", address: f.upstreamAddress(0), slots: 6, run: answerAtOnce}
	if err := s.start(); err != nil {
		return false, err
	}
	defer s.close()
	host := f.entryHosts()[0]
	if !wait(func() bool { return ordinary(host, "calm") == http.StatusOK }) {
		return false, fmt.Errorf("%w: no answer in calm", errCannotRun)
	}
	var over atomic.Bool
	var crowd conc.WaitGroup
	if trouble {
		for range chunkers {
			crowd.Go(func() { sendChunks(address(host, frontPort), &over) })
			time.Sleep(chunkerGap)
		}
	}
	time.Sleep(settleCrowd)
	tries := &tries{record: r}
	var callers conc.WaitGroup
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(callerGap) {
		callers.Go(func() { tries.try(func() int { return ordinary(host, "beside") }) })
		callers.Go(func() { tries.check(f.ready(host)) })
	}
	callers.Wait()
	over.Store(true)
	crowd.Wait()
	calm := wait(func() bool { return ordinary(host, "after") == http.StatusOK })
	longest, ready := tries.longest()
	r.conclude("%d of %d ordinary requests were answered beside %d clients; one afterwards: %v", tries.answered, len(tries.list), chunkers, calm)
	r.conclude("the longest time in which the host said that it is ready and took no new connection: %.1f s (ready %d of %d times)", longest.Seconds(), ready, tries.asked)
	return longest >= stability, nil
}

// tries records ordinary requests on new connections, and what the host says of itself.
type tries struct {
	record   *record
	mu       sync.Mutex
	list     []attempt
	answered int
	asked    int
	unready  []time.Time
}

// attempt is one ordinary request.
type attempt struct {
	sent     time.Time
	answered bool
}

// try sends a request and records whether it was answered.
func (t *tries) try(send func() int) {
	sent := time.Now()
	status := send()
	t.record.note("an ordinary request was answered %d", status)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, attempt{sent, status == http.StatusOK})
	if status == http.StatusOK {
		t.answered++
	}
}

// check records what the host says of itself.
func (t *tries) check(ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if !ready {
		t.unready = append(t.unready, time.Now())
	}
}

// longest returns the longest time in which at least leastTries requests were sent, none was
// answered and the host always said that it is ready, and how often it said so.
func (t *tries) longest() (longest time.Duration, ready int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortFunc(t.list, func(a, b attempt) int { return a.sent.Compare(b.sent) })
	first := 0
	for i, a := range t.list {
		unready := slices.ContainsFunc(t.unready, func(at time.Time) bool {
			return !at.Before(t.list[first].sent) && !at.After(a.sent)
		})
		if a.answered || unready {
			first = min(i+1, len(t.list)-1)
			continue
		}
		if i-first+1 >= leastTries {
			longest = max(longest, a.sent.Sub(t.list[first].sent))
		}
	}
	return longest, t.asked - len(t.unready)
}

// sendChunks sends a body in very small chunks, which never ends, until its connection is
// closed, and begins again until over is set.
func sendChunks(target string, over *atomic.Bool) {
	for !over.Load() {
		c, err := net.DialTimeout("tcp", target, callTimeout)
		if err != nil {
			continue
		}
		sendEndlessBody(c, over)
		_ = c.Close()
		time.Sleep(retryGap)
	}
}

func sendEndlessBody(c net.Conn, over *atomic.Bool) {
	_, err := io.WriteString(c, "POST /chat/7 HTTP/1.1\r\nHost: box.example\r\nAuthorization: Token secret\r\nAttempt-Id: "+newID()+
		"\r\nDeadline-Ms: 12000\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil && !over.Load() {
		if _, err = io.WriteString(c, "1\r\n \r\n"); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(chunkGap))
		if _, err = c.Read(make([]byte, 512)); errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
			continue
		}
		return
	}
}
