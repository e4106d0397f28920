package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// culprit is the part on which servers crash.
	culprit = "bad00bad"
	// countedCrash is the crash after which the rule counts, and stability the time from then on
	// that it allows; at most allowedRequests are then allowed.
	countedCrash    = 5
	stability       = 3 * time.Second
	allowedRequests = 3
	// downTime is how long a crashed server is away.
	downTime = 2 * time.Second
	// culpritGap and soundGap are the times between two requests.
	culpritGap = 500 * time.Millisecond
	soundGap   = 100 * time.Millisecond
	// beginTime is the time until a server begins to write an answer.
	beginTime = 60 * time.Millisecond
)

// crashes counts the crashes of servers and the requests that count against the rule.
type crashes struct {
	mu     sync.Mutex
	record *record
	sent   map[string]time.Time
	count  int
	// counted is the time of the crash after which the rule counts.
	counted time.Time
	// late are the requests with the culprit that reached a server and were sent later
	// than stability after that crash.
	late int
}

// noteSent records when a request with the culprit is sent.
func (c *crashes) noteSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = time.Now()
}

// reach records that a request with the culprit reaches a server.
func (c *crashes) reach(id, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := !c.counted.IsZero() && c.sent[id].Sub(c.counted) > stability
	if counts {
		c.late++
	}
	c.record.note("request %s with part %s reaches %s (counts: %v)", id, culprit, server, counts)
}

// crash records a crash.
func (c *crashes) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if c.count == countedCrash {
		c.counted = time.Now()
	}
}

// result returns the numbers of crashes and of requests that count.
func (c *crashes) result() (crashed, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.late
}

// runEngine returns the behaviour of a model server: it writes a stream of events, but crashes
// when it would begin to write one on a prompt with the culprit.
func runEngine(c *crashes) func(s *server, w http.ResponseWriter, q *http.Request) {
	return func(s *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		bad := strings.Contains(q.Header.Get("Prompt-Prefix"), culprit+":")
		if bad {
			c.reach(id, s.id())
		}
		time.Sleep(beginTime)
		if bad {
			c.crash()
			s.crash()
			s.restartAfter(downTime)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 3; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// prompt returns a prompt whose last part is its own, with the parts before it; other takes the
// place at the position.
func prompt(parts, position int, other, own string) map[string]string {
	var list []string
	for i := 1; i < parts; i++ {
		id := fmt.Sprintf("5c1e%04x", i)
		if i == position {
			id = other
		}
		list = append(list, id+":100")
	}
	list = append(list, own+":50")
	return map[string]string{
		"Model": "m", "Token-Count": fmt.Sprintf("%d,15", 100*(parts-1)+50), "Prompt-Prefix": strings.Join(list, ","),
	}
}

// chat is the route of the model servers.
func chat(version int) []byte {
	return configuration(version, []any{route("parent-chat", "/chat/", "streaming", "zgodbar", 1)})
}

// startEngines starts model servers of a version.
func startEngines(f *fleet, first, count int, version string, c *crashes) ([]*server, error) {
	var list []*server
	for i := first; i < first+count; i++ {
		s := &server{fleet: f, service: "zgodbar", name: fmt.Sprintf("zgod-%d", i), version: version, address: f.upstreamAddress(i), slots: 64, run: runEngine(c)}
		if err := s.start(); err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

// traffic sends sound requests, and if bad is set those with the culprit, to all entry hosts
// until stop is closed. keys are the requesters' keys in turn.
func traffic(f *fleet, c *crashes, parts, position int, bad bool, keys []string, stop chan struct{}) func() {
	var group conc.WaitGroup
	hosts := f.entryHosts()
	every := func(gap time.Duration, send func(i int)) {
		group.Go(func() {
			var open conc.WaitGroup
			defer open.Wait()
			for i := 0; ; i++ {
				open.Go(func() { send(i) })
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
			}
		})
	}
	post := func(i int, other string) {
		id := newID()
		if other == culprit {
			c.noteSent(id)
		}
		q := request{method: http.MethodPost, path: fmt.Sprintf("/chat/%d", i), key: keys[i/len(hosts)%len(keys)], headers: prompt(parts, position, other, id[:8]), body: id, limit: 3 * time.Second}
		q.send(f, hosts[i%len(hosts)], id)
	}
	every(soundGap, func(i int) { post(i, fmt.Sprintf("5c1f%04x", i%5)) })
	if bad {
		every(culpritGap, func(i int) { post(i, culprit) })
	}
	return group.Wait
}

// playParts sends requests with many parts, the 18th of which crashes servers.
func playParts(r *record, trouble bool) (bool, error) {
	const parts, engines = 20, 6
	position := 18
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(chat(1)); err != nil {
		return false, err
	}
	c := &crashes{record: r, sent: map[string]time.Time{}}
	servers, err := startEngines(f, 0, engines, "v1", c)
	if err != nil {
		return false, err
	}
	defer closeAll(&servers)
	time.Sleep(2 * stability)
	stop := make(chan struct{})
	wait := traffic(f, c, parts, position, trouble, []string{"secret"}, stop)
	time.Sleep(25 * time.Second)
	close(stop)
	wait()
	crashed, late := c.result()
	r.conclude("%d crashes; %d requests with the part reached servers, sent later than %v after crash %d", crashed, late, stability, countedCrash)
	return late > allowedRequests, nil
}

// closeAll ends the servers.
func closeAll(servers *[]*server) {
	for _, s := range *servers {
		s.close()
	}
}
