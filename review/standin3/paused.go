package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and numbers of the case about clients that read slowly.
const (
	pausedClients = 12
	pausedServers = 4
	// pausedAnswer is the size in bytes of an answer, and pausedFirst what a client reads of it
	// before it pauses.
	pausedAnswer = 1_000_000
	pausedFirst  = 64 << 10
	smallAnswer  = 800
	pausedBuffer = 32 << 10
	pausedTime   = 4 * time.Second
	pausedLimit  = 10 * time.Second
	pausedGap    = 300 * time.Millisecond
	pausedPlay   = 35 * time.Second
)

// playPaused reads answers on kept channels with a pause of some seconds in each.
func playPaused(d *deployment) (outcome, error) {
	var mu sync.Mutex
	whole := map[string]bool{}
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		d.record.printf("run %s %s", id, q.URL.Path)
		if !wait(q.Context(), shortRead) {
			return
		}
		size := smallAnswer
		if strings.HasPrefix(q.URL.Path, "/list/") {
			size = pausedAnswer
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		if _, err := w.Write(make([]byte, size)); err == nil && http.NewResponseController(w).Flush() == nil {
			mu.Lock()
			whole[id] = true
			mu.Unlock()
			d.record.printf("server has sent the whole answer of %s", id)
		}
	}
	for range pausedServers {
		if _, err := d.addServer("trgovina", "v1", shopSlots, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(slowConfiguration); err != nil {
		return outcome{}, err
	}
	ready := func() bool {
		for _, host := range d.edges() {
			a := ask{method: http.MethodGet, path: "/check/0", key: "key0", deadline: pausedLimit}
			if d.send(requester, host, newID(), a).status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !retry(startLimit, ready) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	end := time.Now().Add(pausedPlay)
	tallies, cut := map[string]*tally{"/check/": {}, "/list/": {}}, 0
	var group sync.WaitGroup
	for range pausedClients {
		group.Add(1)
		d.group.Go(func() {
			defer group.Done()
			for time.Now().Before(end) {
				host := d.edges()[rand.IntN(d.layout.edge)]
				c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, d.ports.front), time.Second)
				if err != nil {
					continue
				}
				_ = c.(*net.TCPConn).SetReadBuffer(pausedBuffer)
				reader := bufio.NewReader(c)
				for i := 0; time.Now().Before(end) && d.sleep(pausedGap); i++ {
					// A small answer first, so that the channel is a kept one.
					path, first := "/check/", smallAnswer
					if i%2 == 1 {
						path, first = "/list/", pausedFirst
					}
					id := newID()
					d.record.printf("send %s %s to %s on a kept channel", id, path, host)
					began := time.Now()
					_ = c.SetDeadline(began.Add(pausedLimit))
					_, _ = fmt.Fprintf(c, "GET %s%d HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key0\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, rand.Uint32(), id, pausedLimit.Milliseconds())
					status, n, failed := readPaused(reader, first)
					d.record.printf("answer %s status=%d, %d bytes after %v: %v", id, status, n, time.Since(began).Round(time.Millisecond), failed)
					mu.Lock()
					t := tallies[path]
					t.asked++
					if failed == nil && status == http.StatusOK {
						t.served++
					}
					if failed != nil && whole[id] {
						cut++
					}
					mu.Unlock()
					if failed != nil {
						break
					}
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	list, check := tallies["/list/"], tallies["/check/"]
	d.record.say("large answers: %d asked, %d came whole; small ones: %d asked, %d came whole", list.asked, list.served, check.asked, check.served)
	d.record.say("%d kept channels were closed before the end of an answer that the server had sent whole (allowed %d)", cut, allowedCuts)
	starved := starves(*list, *check)
	d.record.say("large answers came whole less than a quarter as often as all: %v", starved)
	return outcome{broken: starved, summary: fmt.Sprintf("cut=%d starved=%v", cut, starved)}, nil
}

// starves reports whether a kind of request is served less than a quarter as often as all.
func starves(kind, others tally) bool {
	if kind.asked == 0 {
		return false
	}
	all := float64(kind.served+others.served) / float64(kind.asked+others.asked)
	return float64(kind.served)/float64(kind.asked) < all/4
}

// readPaused reads an answer, with a pause behind the first bytes of a large one unless the
// disruption is left out.
func readPaused(r *bufio.Reader, before int) (status, size int, err error) {
	response, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, before)
	n, err := io.ReadFull(response.Body, first)
	if err != nil {
		return response.StatusCode, n, err
	}
	if trouble() && before == pausedFirst {
		time.Sleep(pausedTime)
	}
	rest, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, n + int(rest), err
}

// slowConfiguration has routes for large and for small answers, with time limits of 10 s.
const slowConfiguration = `{"Version":7,"Routes":[` +
	`{"Name":"r-list","Host":"shop.example","PathPrefix":"/list/","RouteType":"idempotent","TimeoutMs":10000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false},` +
	`{"Name":"r-check","Host":"shop.example","PathPrefix":"/check/","RouteType":"idempotent","TimeoutMs":10000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false}],` +
	`"Services":[{"Name":"trgovina","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},` +
	`"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1}]}`

func init() {
	plays["paused-readers"] = func() (layout, play) { return smallLayout(), playPaused }
}
