package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Times and numbers of the case about a configuration without tenants.
const (
	applyTime   = 2 * time.Second
	openBefore  = 10 * time.Second
	openAfter   = 40 * time.Second
	openClients = 6
	openPause   = 150 * time.Millisecond
	// deniedBase and deniedPer are the bound of refusals: 5 and one in 500 of all requests.
	deniedBase = 5
	deniedPer  = 500
)

// openConfiguration is readConfiguration in another version, with the tenants or without.
func openConfiguration(version int, tenants string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[`+
		`{"Name":"r-check","Host":"shop.example","PathPrefix":"/check/","RouteType":"idempotent","TimeoutMs":3000,"GoalMs":300,"Priority":2,"Service":"trgovina","MaxAttempts":2,"Public":false}],`+
		`"Services":[{"Name":"trgovina","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}%s}`, version, tenants)
}

// playOpen changes to a configuration without tenants, whose clients need no keys.
func playOpen(d *deployment) (outcome, error) {
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		d.record.printf("run %s %s tenant=%q", id, q.URL.Path, q.Header.Get("Tenant"))
		if wait(q.Context(), shortRead) {
			_, _ = fmt.Fprint(w, id)
		}
	}
	for range 4 {
		if _, err := d.addServer("trgovina", "v1", shopSlots, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(openConfiguration(7, `,"Tenants":[{"Name":"t0","ApiKeys":["key0"],"Priority":1}]`)); err != nil {
		return outcome{}, err
	}
	var key atomic.Value
	key.Store("key0")
	read := func() ask {
		return ask{method: http.MethodGet, path: fmt.Sprintf("/check/%d", rand.Uint32()), key: key.Load().(string), deadline: 3 * time.Second}
	}
	ready := func() bool {
		for _, host := range d.edges() {
			if d.send(requester, host, newID(), read()).status != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !retry(startLimit, ready) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	var all, denied atomic.Int64
	end := time.Now().Add(openBefore + openAfter)
	for range openClients {
		d.group.Go(func() {
			for time.Now().Before(end) && d.sleep(time.Duration(float64(openPause)*(0.5+rand.Float64()))) {
				id, host, a := newID(), d.edges()[rand.IntN(d.layout.edge)], read()
				d.record.printf("send %s %s to %s key=%q", id, a.path, host, a.key)
				r := d.send(requester, host, id, a)
				d.record.printf("answer %s status=%d whole=%v took=%v %v", id, r.status, r.whole, r.took.Round(time.Millisecond), r.err)
				all.Add(1)
				switch r.status {
				case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
					denied.Add(1)
				}
			}
		})
	}
	time.Sleep(openBefore)
	if trouble() {
		if err := d.configure(openConfiguration(9, "")); err != nil {
			return outcome{}, err
		}
		time.Sleep(applyTime)
		key.Store("")
	}
	time.Sleep(time.Until(end))
	bound := deniedBase + all.Load()/deniedPer
	d.record.say("%d requests, %d ended with 401, 403 or 404 (allowed %d)", all.Load(), denied.Load(), bound)
	return outcome{broken: denied.Load() > bound, summary: fmt.Sprintf("denied=%d", denied.Load())}, nil
}

func init() {
	plays["no-tenants"] = func() (layout, play) { return smallLayout(), playOpen }
}
