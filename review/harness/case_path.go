package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios[5] = doubleSlash }

// everything is a route whose prefix begins every path.
var everything = route{Name: "r-all", PathPrefix: "/", RouteType: "non_idempotent", TimeoutMs: 4000, GoalMs: 300, Priority: 2, Service: "shop", MaxAttempts: 1}

// orders is the number of requests, one after the other.
const orders = 8

// doubleSlash sends requests whose path begins with two slashes, and compares the targets
// that the server gets with those that were sent.
func doubleSlash(r *record, trouble bool) (string, error) {
	target := "/shop/boxes/2f?renew=1"
	if trouble {
		target = "/" + target
	}
	f, err := newFleet(r, layout{controls: 3, entries: 2, tolerance: 1, entryMemory: 284})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return "", err
	}
	if err := f.submit(configuration(7, lookup, story, everything), waitTimeout); err != nil {
		return "", err
	}
	ran := &runs{}
	u, err := startUpstream(f, "shop", "i-shop1", 6, ran, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
	if err != nil {
		return "", err
	}
	defer u.close()
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	return compareTargets(f, r, ran, target)
}

func compareTargets(f *fleet, r *record, ran *runs, target string) (string, error) {
	changed, served := 0, 0
	for i := range orders {
		host := f.entries()[i%2]
		c, err := dial(host, f.ports.front)
		if err != nil {
			return "", fmt.Errorf("open a channel: %w", err)
		}
		q := request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "POST", target: target, host: callerHost, body: []byte("a box"), deadline: 4 * time.Second, headers: keyHeader()}
		a := c.send(q)
		c.close()
		r.notef("request %s (POST %s, Host %s) to %s: %s", q.id, q.target, q.host, host, a)
		for _, x := range ran.of(q.id) {
			served++
			r.notef("request %s: %s runs %s %s, Host %s", q.id, x.upstream, x.method, x.target, x.host)
			if x.target != q.target || x.host != q.host {
				changed++
			}
		}
	}
	switch {
	case changed > 0:
		return fmt.Sprintf("%d requests ran with another path than the caller sent", changed), nil
	case served == 0:
		return "", errors.New("no request ran")
	}
	return "", nil
}
