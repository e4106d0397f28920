package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and numbers of the cases about a part of prompts that crashes servers.
const (
	engines      = 6
	tenants      = 3
	soundPause   = 150 * time.Millisecond
	taintedPause = 1200 * time.Millisecond
	prefillTime  = 30 * time.Millisecond
	eventTime    = 25 * time.Millisecond
	streamEvents = 12
	stableTime   = 3 * time.Second
	allowedAfter = 3
	countedCrash = 5
	patienceTime = 4 * time.Second
	badPart      = "bad0bad0"
	// shortName is the number of digits of the names on the pages.
	shortName = 8
)

// modelConfiguration has one streaming route to model servers and three tenants.
const modelConfiguration = `{"Version":7,"Routes":[{"Name":"r-story","Host":"shop.example","PathPrefix":"/story/","RouteType":"streaming","TimeoutMs":6000,"GoalMs":800,"Priority":1,"Service":"zgodbar","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":300}],` +
	`"Services":[{"Name":"zgodbar","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":411823,"KvBytes":35136,"LinkMbps":180000.0,"Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},` +
	`"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1},{"Name":"t1","ApiKeys":["key1"],"Priority":1},{"Name":"t2","ApiKeys":["key2"],"Priority":1}]}`

// partsCase describes one of these cases.
type partsCase struct {
	// prefix returns the parts of a prompt before its own one; tainted tells whether the
	// part that crashes servers is among them.
	prefix func(tainted bool) []string
	length time.Duration
}

// arrivals notes when requests with the bad part reach servers and crash them.
type arrivals struct {
	mu      sync.Mutex
	reached []time.Time
	crashed []time.Time
}

// after counts the requests that reached servers later than stableTime after the counted
// crash.
func (a *arrivals) after() (count int, crashes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashed) < countedCrash {
		return 0, len(a.crashed)
	}
	slices.SortFunc(a.crashed, time.Time.Compare)
	from := a.crashed[countedCrash-1].Add(stableTime)
	for _, t := range a.reached {
		if t.After(from) {
			count++
		}
	}
	return count, len(a.crashed)
}

// play runs a case.
func (c partsCase) play(d *deployment) (outcome, error) {
	seen := &arrivals{}
	h := func(s *server, w http.ResponseWriter, q *http.Request) { c.run(seen, s, w, q) }
	for range engines {
		if _, err := d.addServer("zgodbar", "v1", 64, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(modelConfiguration); err != nil {
		return outcome{}, err
	}
	if !retry(startLimit, func() bool { return c.ready(d) }) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(2 * stableTime)
	end := time.Now().Add(c.length)
	var mu sync.Mutex
	statuses := map[string]int{}
	client := func(tainted bool, pause time.Duration) {
		for time.Now().Before(end) && d.sleep(time.Duration(float64(pause)*(0.5+rand.Float64()))) {
			a := c.ask(tainted)
			id, host := newID(), d.edges()[rand.IntN(d.layout.edge)]
			d.record.printf("send %s to %s tainted=%v", id, host, tainted)
			r := d.send(requester, host, id, a)
			d.record.printf("answer %s status=%d whole=%v took=%v %v", id, r.status, r.whole, r.took.Round(time.Millisecond), r.err)
			mu.Lock()
			statuses[fmt.Sprintf("tainted=%v %d whole=%v", tainted, r.status, r.whole)]++
			mu.Unlock()
		}
	}
	for range 3 {
		d.group.Go(func() { client(false, soundPause) })
	}
	if trouble() {
		d.group.Go(func() { client(true, taintedPause) })
	}
	time.Sleep(time.Until(end))
	count, crashes := seen.after()
	mu.Lock()
	d.record.say("answers: %v", statuses)
	mu.Unlock()
	d.record.say("crashes: %d; requests with the part that reached servers later than %v after crash %d: %d (allowed %d)", crashes, stableTime, countedCrash, count, allowedAfter)
	return outcome{broken: count > allowedAfter, summary: fmt.Sprintf("reached=%d crashes=%d", count, crashes)}, nil
}

// ready reports whether each edge machine serves a sound request.
func (c partsCase) ready(d *deployment) bool {
	for _, host := range d.edges() {
		if r := d.send(requester, host, newID(), c.ask(false)); r.status != http.StatusOK || !r.whole {
			return false
		}
	}
	return true
}

// ask returns a request.
func (c partsCase) ask(tainted bool) ask {
	parts := c.prefix(tainted)
	total := 200
	for i := range parts {
		parts[i] += ":100"
		total += 100
	}
	parts = append(parts, fmt.Sprintf("%08x:200", rand.Uint32()))
	return ask{method: http.MethodPost, path: "/story/1", key: fmt.Sprintf("key%d", rand.IntN(tenants)), deadline: patienceTime,
		body:    fmt.Sprintf("prompt %d", rand.Uint64()),
		headers: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("%d,60", total), "Prompt-Prefix": strings.Join(parts, ",")}}
}

// run answers a request, or crashes the server when it begins to answer one with the bad
// part.
func (c partsCase) run(seen *arrivals, s *server, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	bad := strings.Contains(q.Header.Get("Prompt-Prefix"), badPart)
	s.deployment.record.printf("run %s at %s tainted=%v", id, q.Header.Get("Expect-Instance"), bad)
	if bad {
		seen.mu.Lock()
		seen.reached = append(seen.reached, time.Now())
		seen.mu.Unlock()
	}
	if !wait(q.Context(), prefillTime) {
		return
	}
	if bad {
		seen.mu.Lock()
		seen.crashed = append(seen.crashed, time.Now())
		seen.mu.Unlock()
		s.crash("it begins to answer " + id)
		return
	}
	stream(w, q, streamEvents, 1, eventTime)
}

// numbered returns n parts with names in hexadecimal of the given number of digits.
func numbered(n, digits int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%08x%s", 0xa0000000+i, strings.Repeat("7", digits-shortName)))
	}
	return all
}

// withBad returns the parts with the bad one at an index if tainted is set.
func withBad(parts []string, at int, bad string, tainted bool) []string {
	if tainted {
		return slices.Insert(parts, at, bad)
	}
	return parts
}

func init() {
	plays["few-parts"] = func() (layout, play) {
		return smallLayout(), partsCase{length: 70 * time.Second,
			prefix: func(tainted bool) []string { return withBad(numbered(3, 8), 2, badPart, tainted) }}.play
	}
	plays["many-parts"] = func() (layout, play) {
		return smallLayout(), partsCase{length: 70 * time.Second,
			prefix: func(tainted bool) []string { return withBad(numbered(19, 8), 17, badPart, tainted) }}.play
	}
	plays["long-names"] = func() (layout, play) {
		return smallLayout(), partsCase{length: 70 * time.Second,
			prefix: func(tainted bool) []string {
				return withBad(numbered(3, 32), 2, badPart+strings.Repeat("7", 24), tainted)
			}}.play
	}
}
