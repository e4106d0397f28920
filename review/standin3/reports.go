package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and numbers of the case about requests whose work takes some seconds.
const (
	reportServers = 4
	reportSlots   = 64
	reportClients = 50
	checkClients  = 20
	// reportWork is the least time that a report takes, and shortWork that of one with the
	// disruption left out; each takes up to reportSpread longer.
	reportWork   = 2500 * time.Millisecond
	shortWork    = 1200 * time.Millisecond
	reportSpread = 500 * time.Millisecond
	reportLimit  = 8 * time.Second
	reportPause  = 800 * time.Millisecond
	checkPause   = 200 * time.Millisecond
	reportPlay   = 75 * time.Second
)

// playReports asks for reports, whose work takes some seconds, beside short requests.
func playReports(d *deployment) (outcome, error) {
	work := reportWork
	if !trouble() {
		work = shortWork
	}
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		d.record.printf("run %s %s", id, q.URL.Path)
		t := shortRead
		if strings.HasPrefix(q.URL.Path, "/report/") {
			t = work + rand.N(reportSpread)
		}
		if !wait(q.Context(), t) {
			d.record.printf("the system has closed the channel of %s, which was at work", id)
			return
		}
		d.record.printf("done %s", id)
		_, _ = io.WriteString(w, "done")
	}
	for _, service := range []string{"porocila", "trgovina"} {
		for range reportServers {
			if _, err := d.addServer(service, "v1", reportSlots, h); err != nil {
				return outcome{}, err
			}
		}
	}
	if err := d.configure(reportConfiguration); err != nil {
		return outcome{}, err
	}
	ready := func() bool {
		for _, host := range d.edges() {
			a := ask{method: http.MethodGet, path: "/check/0", key: "key0", deadline: reportLimit}
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
	ctx, cancel := context.WithTimeout(context.Background(), reportPlay)
	defer cancel()
	var mu sync.Mutex
	tallies := map[string]*tally{"/report/": {statuses: map[int]int{}}, "/check/": {statuses: map[int]int{}}}
	var group sync.WaitGroup
	client := func(path string, pause time.Duration) {
		defer group.Done()
		for wait(ctx, pause/2+rand.N(pause)) {
			id, host := newID(), d.edges()[rand.IntN(d.layout.edge)]
			d.record.printf("send %s %s to %s", id, path, host)
			r := d.send(requester, host, id, ask{method: http.MethodGet, path: fmt.Sprintf("%s%d", path, rand.Uint32()), key: "key0", deadline: reportLimit})
			d.record.printf("answer %s status=%d whole=%v took=%v %s", id, r.status, r.whole, r.took.Round(time.Millisecond), strings.TrimSpace(r.body))
			mu.Lock()
			t := tallies[path]
			t.asked++
			t.statuses[r.status]++
			if r.status == http.StatusOK && r.whole {
				t.served++
			}
			mu.Unlock()
		}
	}
	group.Add(reportClients + checkClients)
	for range reportClients {
		d.group.Go(func() { client("/report/", reportPause) })
	}
	for range checkClients {
		d.group.Go(func() { client("/check/", checkPause) })
	}
	group.Wait()
	report, check := tallies["/report/"], tallies["/check/"]
	starved := starves(*report, *check)
	d.record.say("reports: %d asked, %d served, by status %v; short requests: %d asked, %d served", report.asked, report.served, report.statuses, check.asked, check.served)
	d.record.say("reports were served less than a quarter as often as all requests: %v", starved)
	return outcome{broken: starved, summary: fmt.Sprintf("starved=%v", starved)}, nil
}

// reportConfiguration has a route for reports and one for short requests.
const reportConfiguration = `{"Version":7,"Routes":[` +
	`{"Name":"r-report","Host":"shop.example","PathPrefix":"/report/","RouteType":"idempotent","TimeoutMs":10000,"GoalMs":500,"Priority":2,"Service":"porocila","MaxAttempts":2,"Public":false},` +
	`{"Name":"r-check","Host":"shop.example","PathPrefix":"/check/","RouteType":"idempotent","TimeoutMs":10000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false}],` +
	`"Services":[{"Name":"porocila","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false},{"Name":"trgovina","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false}],` +
	`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},` +
	`"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1}]}`

func init() {
	plays["long-work"] = func() (layout, play) { return smallLayout(), playReports }
}
