package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { scenarios[3] = largeBodies }

const (
	// bodySize is the size of a request body in bytes, just below MaxBodyBytes.
	bodySize = 4194304 - 4096
	// callers is the number of callers of one organisation, each with one request. They come
	// in intervals of usualInterval, and hotFactor times as fast when the organisation sends
	// that many times its usual.
	callers       = 60
	usualInterval = time.Second
	hotFactor     = 6
	// smallMemory is the memory limit of an entry machine in MB.
	smallMemory = 134
	// firstEvent is when a server sends the first event, and storyEvents and eventPause
	// give the rest of its stream.
	firstEvent  = 2200 * time.Millisecond
	storyEvents = 24
	eventPause  = 150 * time.Millisecond
)

// largeBodies lets many callers of one entry machine send large bodies on kept channels
// at once, while the platform ends a process that exceeds its memory.
func largeBodies(r *record, trouble bool) (string, error) {
	f, err := newFleet(r, layout{controls: 3, entries: 2, tolerance: 1, entryMemory: smallMemory})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return "", err
	}
	if err := f.submit(configuration(7, lookup, story, sale), waitTimeout); err != nil {
		return "", err
	}
	ran := &runs{}
	for i := range 9 {
		u, err := startUpstream(f, "engine", fmt.Sprintf("i-engine%d", i+1), 64, ran, tellStory)
		if err != nil {
			return "", err
		}
		defer u.close()
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	host := f.entries()[0]
	p := watchMemory(f, host, f.layout.entryMemory, false)
	defer p.close()
	interval := usualInterval
	if trouble {
		interval /= hotFactor
	}
	unanswered, served := sendStories(f, r, host, ran, interval)
	r.notef("%s used up to %d MB of %d MB; ended by the platform: %v", host, p.peak.Load()>>20, f.layout.entryMemory, p.kills.Load() > 0)
	r.notef("%d requests served, %d passed on from kept channels that closed without an answer", served, unanswered)
	switch {
	case unanswered > allowedCuts:
		return fmt.Sprintf("%d requests from kept channels were passed on to sound servers, and the channel was closed without an answer", unanswered), nil
	case served == 0:
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}

// sendStories lets the callers come one after the other and send one request each. It returns
// how many were passed on and got no answer, and how many were served.
func sendStories(f *fleet, r *record, host string, ran *runs, interval time.Duration) (unanswered, served int) {
	var mu sync.Mutex
	var group conc.WaitGroup
	body := make([]byte, bodySize)
	for i := range callers {
		time.Sleep(interval)
		group.Go(func() {
			c, err := dial(host, f.ports.front)
			if err != nil {
				r.notef("caller %d: %v", i, err)
				return
			}
			defer c.close()
			first := c.send(request{id: fmt.Sprintf("first%d", i), method: "GET", target: "/none/1", host: callerHost, deadline: 2 * time.Second, headers: keyHeader()})
			if first.err != nil {
				r.notef("caller %d: %v", i, first.err)
				return
			}
			h := keyHeader()
			h["Model"], h["Token-Count"], h["Prompt-Prefix"] = "m", "17020,120", fmt.Sprintf("5c1e07a2:13300,%x:3720", 4096+i)
			q := request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "POST", target: "/lohu930/2f", host: callerHost, body: body, deadline: 10 * time.Second, headers: h}
			a := c.send(q)
			list := ran.of(q.id)
			r.notef("request %s (story, %d bytes) to %s: run %d times; %s", q.id, len(body), host, len(list), a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil && a.status == http.StatusOK:
				served++
			case a.status == 0 && a.took < q.deadline && len(list) > 0:
				unanswered++
			}
		})
	}
	group.Wait()
	return unanswered, served
}

// tellStory writes the events of a stream.
func tellStory(w http.ResponseWriter, q *http.Request) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	time.Sleep(firstEvent)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= storyEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}
