package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and numbers of the play about servers that read slowly.
const (
	uploadClients = 8
	uploadBody    = 2 << 20
	uploadPlay    = 35 * time.Second
)

// playUploads sends large bodies to servers that pause while they read one.
func playUploads(d *deployment) (outcome, error) {
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		if strings.HasPrefix(q.URL.Path, "/list/") {
			_, err := io.CopyN(io.Discard, q.Body, pausedFirst)
			if err == nil && trouble() {
				time.Sleep(pausedTime)
			}
			n, err := io.Copy(io.Discard, q.Body)
			if err != nil || n+pausedFirst != uploadBody {
				d.record.printf("body of %s ends early: %v", id, err)
				return
			}
		}
		d.record.printf("run %s %s", id, q.URL.Path)
		_, _ = fmt.Fprint(w, id)
	}
	for range pausedServers {
		if _, err := d.addServer("trgovina", "v1", shopSlots, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(slowConfiguration); err != nil {
		return outcome{}, err
	}
	small := func() ask {
		return ask{method: http.MethodPost, path: "/check/0", key: "key0", deadline: pausedLimit, body: newID()}
	}
	ready := func() bool {
		for _, host := range d.edges() {
			if d.send(requester, host, newID(), small()).status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !retry(startLimit, ready) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	end := time.Now().Add(uploadPlay)
	var mu sync.Mutex
	tallies := map[string]*tally{"large": {statuses: map[int]int{}}, "small": {statuses: map[int]int{}}}
	for kind, a := range map[string]func() ask{"small": small, "large": func() ask {
		return ask{method: http.MethodPost, path: "/list/0", key: "key0", deadline: pausedLimit, body: newID() + strings.Repeat("b", uploadBody-shortID)}
	}} {
		for range uploadClients {
			d.group.Go(func() {
				for time.Now().Before(end) && d.sleep(pausedGap) {
					id, host := newID(), d.edges()[rand.IntN(d.layout.edge)]
					d.record.printf("send %s %s to %s", kind, id, host)
					r := d.send(requester, host, id, a())
					d.record.printf("answer %s %s status=%d took=%v %v", kind, id, r.status, r.took.Round(time.Millisecond), r.err)
					mu.Lock()
					t := tallies[kind]
					t.asked++
					t.statuses[r.status]++
					if r.status == http.StatusOK && r.body == id {
						t.served++
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Until(end) + pausedLimit)
	mu.Lock()
	defer mu.Unlock()
	large, little := tallies["large"], tallies["small"]
	share := float64(large.served) / float64(max(large.asked, 1))
	all := float64(large.served+little.served) / float64(max(large.asked+little.asked, 1))
	d.record.say("large: %d asked, %d served, answers %v; small: %d asked, %d served", large.asked, large.served, large.statuses, little.asked, little.served)
	return outcome{broken: share < starvedShare*all, summary: fmt.Sprintf("share=%.3f of all=%.3f", share, all)}, nil
}

// shortID is the length of an ID of a request.
const shortID = 16

func init() {
	plays["paused-servers"] = func() (layout, play) { return smallLayout(), playUploads }
}
