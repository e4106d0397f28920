package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { scenarios[4] = firstStart }

const (
	// lostControl is the index of the control machine that is gone for good; it is a seed.
	lostControl = 0
	// replaceAfter is when the empty machine comes, and seedLag when the settings files name
	// it.
	replaceAfter = 2 * time.Second
	seedLag      = 3 * time.Second
	// firstPeriod is how long the deployment is watched, and callPause the time between
	// two requests of a caller.
	firstPeriod = 60 * time.Second
	callPause   = 500 * time.Millisecond
)

// firstStart starts a deployment for the first time and loses one of its five control
// machines right after the start, for which an empty one comes at another address. Two may be
// lost at once.
func firstStart(r *record, trouble bool) (string, error) {
	f, err := newFleet(r, layout{controls: 5, entries: 2, tolerance: 2, entryMemory: 284})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return "", err
	}
	if trouble {
		f.kill(f.host(lostControl))
		r.notef("%s is gone for good", f.host(lostControl))
		time.Sleep(replaceAfter)
		if err := f.replace(lostControl); err != nil {
			return "", err
		}
		time.Sleep(seedLag)
		if err := f.updateSettings(true); err != nil {
			return "", err
		}
		r.notef("the settings files name %s as a seed", f.controls()[lostControl])
	}
	ran := &runs{}
	for i := range 2 {
		u, err := startUpstream(f, "ledger", fmt.Sprintf("i-ledger%d", i+1), 6, ran, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("a lot")) })
		if err != nil {
			return "", err
		}
		defer u.close()
	}
	var group conc.WaitGroup
	var refused error
	group.Go(func() { refused = f.submit(configuration(7, lookup, story, sale), firstPeriod) })
	statuses := map[int]int{}
	for end := time.Now().Add(firstPeriod); time.Now().Before(end); time.Sleep(callPause) {
		statuses[callOnce(f, len(statuses))]++
	}
	group.Wait()
	r.notef("statuses of the callers' requests in %v, 0 for no answer: %v; runs: %d", firstPeriod, statuses, len(ran.all()))
	served := statuses[http.StatusOK]
	switch {
	case refused != nil && served == 0 && trouble:
		return fmt.Sprintf("no request is served after one of five control machines was replaced: %v", refused), nil
	case refused != nil:
		return "", refused
	case served == 0:
		return "", errors.New("no request was served, though the configuration was acknowledged")
	}
	return "", nil
}

// callOnce sends a lookup to the first entry machine and returns the status.
func callOnce(f *fleet, i int) int {
	c, err := dial(f.entries()[0], f.ports.front)
	if err != nil {
		return 0
	}
	defer c.close()
	a := c.send(request{id: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i)), method: "GET", target: "/hugo494/2f", host: callerHost, deadline: 4 * time.Second, headers: keyHeader()})
	if a.err != nil {
		return 0
	}
	return a.status
}
