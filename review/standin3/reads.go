package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case about a reading that many clients share.
const (
	shopServers = 8
	// crashedServers is a quarter of the servers, the largest share of the site files.
	crashedServers = 2
	readTime       = 300 * time.Millisecond
	hotReaders     = 24
	otherReaders   = 16
	readPause      = 40 * time.Millisecond
	calmTime       = 3 * time.Second
	afterTime      = 75 * time.Second
	hotPath        = "/list/today"
)

// readConfiguration has a route for the list that all read and one for other readings.
const readConfiguration = `{"Version":7,"Routes":[` +
	`{"Name":"r-list","Host":"shop.example","PathPrefix":"/list/","RouteType":"idempotent","TimeoutMs":3000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false},` +
	`{"Name":"r-check","Host":"shop.example","PathPrefix":"/check/","RouteType":"idempotent","TimeoutMs":3000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false}],` +
	`"Services":[{"Name":"trgovina","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},` +
	`"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1}]}`

// busy counts the requests for the list that each server runs.
type busy struct {
	mu   sync.Mutex
	runs map[*server]int
}

func (b *busy) add(s *server, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[s] += n
}

func (b *busy) on(s *server) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[s]
}

// playReads lets two servers crash at the same moment while many clients read the same list.
func playReads(d *deployment) (outcome, error) {
	running := &busy{runs: map[*server]int{}}
	h := func(s *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		d.record.printf("run %s %s at %s", id, q.URL.Path, q.Header.Get("Expect-Instance"))
		if q.URL.Path == hotPath {
			running.add(s, 1)
			defer running.add(s, -1)
		}
		if wait(q.Context(), readTime) {
			_, _ = fmt.Fprint(w, id)
		}
	}
	var servers []*server
	for range shopServers {
		s, err := d.addServer("trgovina", "v1", shopSlots, h)
		if err != nil {
			return outcome{}, err
		}
		servers = append(servers, s)
	}
	if err := d.configure(readConfiguration); err != nil {
		return outcome{}, err
	}
	read := func(path string) ask {
		return ask{method: http.MethodGet, path: path, key: "key0", deadline: 3 * time.Second}
	}
	ready := func() bool {
		for _, host := range d.edges() {
			if d.send(requester, host, newID(), read("/check/0")).status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !retry(startLimit, ready) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	var hot, other, hotServed, otherServed, hotLate, hotLateServed atomic.Int64
	var crashedAt atomic.Int64
	end := time.Now().Add(calmTime + afterTime)
	client := func(isHot bool) {
		for time.Now().Before(end) && d.sleep(time.Duration(float64(readPause)*(0.5+rand.Float64()))) {
			path := hotPath
			if !isHot {
				path = fmt.Sprintf("/check/%d", rand.Uint32())
			}
			id, host, at := newID(), d.edges()[rand.IntN(d.layout.edge)], time.Now()
			d.record.printf("send %s %s to %s", id, path, host)
			r := d.send(requester, host, id, read(path))
			d.record.printf("answer %s %s status=%d whole=%v took=%v %v", id, path, r.status, r.whole, r.took.Round(time.Millisecond), r.err)
			served := r.status == http.StatusOK && r.whole && r.body == id
			asked, ok := &other, &otherServed
			if isHot {
				asked, ok = &hot, &hotServed
			}
			asked.Add(1)
			if served {
				ok.Add(1)
			}
			if c := crashedAt.Load(); isHot && c > 0 && at.Sub(time.Unix(0, c)) > 2*stableTime {
				hotLate.Add(1)
				if served {
					hotLateServed.Add(1)
				}
			}
			if r.status != http.StatusOK {
				d.sleep(refusedPause)
			}
		}
	}
	for range hotReaders {
		d.group.Go(func() { client(true) })
	}
	for range otherReaders {
		d.group.Go(func() { client(false) })
	}
	time.Sleep(calmTime)
	crashedAt.Store(time.Now().UnixNano())
	if trouble() {
		// Both run the reading at that moment, as nearly always.
		retry(5*time.Second, func() bool { return running.on(servers[0]) > 0 && running.on(servers[1]) > 0 })
		crashedAt.Store(time.Now().UnixNano())
		for _, s := range servers[:crashedServers] {
			s.crash("a rack lost power")
		}
	}
	time.Sleep(time.Until(end))
	all, allServed := hot.Load()+other.Load(), hotServed.Load()+otherServed.Load()
	share, allShare := float64(hotServed.Load())/float64(max(hot.Load(), 1)), float64(allServed)/float64(max(all, 1))
	d.record.say("list: %d asked, %d served; later than %v after the crash: %d asked, %d served", hot.Load(), hotServed.Load(), 2*stableTime, hotLate.Load(), hotLateServed.Load())
	d.record.say("other readings: %d asked, %d served", other.Load(), otherServed.Load())
	broken := share < starvedShare*allShare
	return outcome{broken: broken, summary: fmt.Sprintf("share=%.3f of all=%.3f", share, allShare)}, nil
}

func init() {
	plays["hot-read"] = func() (layout, play) { return smallLayout(), playReads }
}
