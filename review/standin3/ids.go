package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and numbers of the case about the ids of events.
const (
	idServers  = 4
	idStep     = 4
	idCalm     = 5 * time.Second
	releaseGap = time.Second
	idAfter    = 80 * time.Second
	idPause    = 200 * time.Millisecond
	idClients  = 3
)

// playIDs releases servers of another version, one after the other. The ids of their events
// increase by idStep, since they count tokens.
func playIDs(d *deployment) (outcome, error) {
	h := func(s *server, w http.ResponseWriter, q *http.Request) {
		step := 1
		if s.version == "v2" {
			step = idStep
		}
		d.record.printf("run %s %s at %s %s after event %q", q.Header.Get("Attempt-Id"), q.URL.Path, q.Header.Get("Expect-Instance"), s.version, q.Header.Get("Last-Event-Id"))
		if wait(q.Context(), prefillTime) {
			stream(w, q, streamEvents, step, eventTime)
		}
	}
	plain := func(_ *server, w http.ResponseWriter, q *http.Request) {
		d.record.printf("run %s %s", q.Header.Get("Attempt-Id"), q.URL.Path)
		if wait(q.Context(), shortRead) {
			_, _ = fmt.Fprint(w, q.Header.Get("Attempt-Id"))
		}
	}
	var old []*server
	for range idServers {
		s, err := d.addServer("zgodbar", "v1", storySlots, h)
		if err != nil {
			return outcome{}, err
		}
		old = append(old, s)
		if _, err := d.addServer("trgovina", "v1", shopSlots, plain); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(mixedConfiguration); err != nil {
		return outcome{}, err
	}
	asks := map[string]func() ask{}
	for _, k := range mixedKinds {
		asks[k.name] = k.ask
	}
	served := func(kind, id string, r answer) bool {
		if r.status != http.StatusOK || !r.whole {
			return false
		}
		if kind == "bedtime-story" {
			return strings.Count(r.body, "\ndata: event ") == streamEvents
		}
		return r.body == id
	}
	ready := func() bool {
		for _, host := range d.edges() {
			for kind, a := range asks {
				if id := newID(); !served(kind, id, d.send(requester, host, id, a())) {
					return false
				}
			}
		}
		return true
	}
	if !retry(startLimit, ready) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	var mu sync.Mutex
	tallies := map[string]*tally{}
	end := time.Now().Add(idCalm + idAfter)
	for kind, a := range asks {
		tallies[kind] = &tally{statuses: map[int]int{}}
		for range idClients {
			d.group.Go(func() {
				for time.Now().Before(end) && d.sleep(time.Duration(float64(idPause)*(0.5+rand.Float64()))) {
					id, host := newID(), d.edges()[rand.IntN(d.layout.edge)]
					d.record.printf("send %s %s to %s", kind, id, host)
					r := d.send(requester, host, id, a())
					d.record.printf("answer %s %s status=%d whole=%v events=%d took=%v %v", kind, id, r.status, r.whole, strings.Count(r.body, "\ndata: event "), r.took.Round(time.Millisecond), r.err)
					mu.Lock()
					t := tallies[kind]
					t.asked++
					t.statuses[r.status]++
					if served(kind, id, r) {
						t.served++
					}
					mu.Unlock()
					if r.status != http.StatusOK {
						d.sleep(refusedPause)
					}
				}
			})
		}
	}
	time.Sleep(idCalm)
	if trouble() {
		for _, s := range old {
			if _, err := d.addServer("zgodbar", "v2", storySlots, h); err != nil {
				return outcome{}, err
			}
			s.leave()
			time.Sleep(releaseGap)
		}
	}
	time.Sleep(time.Until(end))
	mu.Lock()
	defer mu.Unlock()
	asked, all := 0, 0
	for _, t := range tallies {
		asked, all = asked+t.asked, all+t.served
	}
	broken := false
	for _, k := range mixedKinds {
		t := tallies[k.name]
		starved := float64(t.served)/float64(max(t.asked, 1)) < starvedShare*float64(all)/float64(max(asked, 1))
		broken = broken || starved
		d.record.say("%s: %d asked, %d served, starved=%v, answers %v", k.name, t.asked, t.served, starved, t.statuses)
	}
	return outcome{broken: broken, summary: fmt.Sprintf("asked=%d served=%d", asked, all)}, nil
}

func init() {
	plays["stepped-ids"] = func() (layout, play) { return smallLayout(), playIDs }
}
