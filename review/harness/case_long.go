package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios[6] = longAnswers }

const (
	// longSize is the size of an answer in bytes, and piece the part of it that is written
	// at once.
	longSize = 3 << 20
	piece    = 64 << 10
	// fastLink and slowLink are the links of entry machines on the small and on the grown
	// sites, in Mbit/s.
	fastLink = 1000
	slowLink = 10
	// lookupLimit is the time limit of a request. A cut within lookupMargin of it doesn't
	// count.
	lookupLimit  = 4 * time.Second
	lookupMargin = 300 * time.Millisecond
	// lookups is the number of requests, one after the other.
	lookups = 8
	// allowedCuts is how many cut requests LOST allows.
	allowedCuts = 3
)

// longAnswers reads long answers of an idempotent route on kept channels, at machines with
// fast or slow links. The servers write at the pace of the link.
func longAnswers(r *record, trouble bool) (string, error) {
	link := fastLink
	if trouble {
		link = slowLink
	}
	r.notef("links of %d Mbit/s, answers of %d bytes", link, longSize)
	f, err := newFleet(r, layout{controls: 3, entries: 2, tolerance: 1, entryMemory: 184})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return "", err
	}
	if err := f.submit(configuration(7, lookup, story, sale), waitTimeout); err != nil {
		return "", err
	}
	ran := &runs{}
	answer := func(w http.ResponseWriter, _ *http.Request) { writeAtPace(w, longSize, link) }
	for i := range 2 {
		u, err := startUpstream(f, "ledger", fmt.Sprintf("i-ledger%d", i+1), 6, ran, answer)
		if err != nil {
			return "", err
		}
		defer u.close()
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	cut, whole := 0, 0
	for i := range lookups {
		a, err := keptLookup(f, r, f.entries()[i%2], i)
		switch {
		case err != nil:
			return "", err
		case a.err != nil && a.took < lookupLimit-lookupMargin:
			cut++
		case a.status == http.StatusOK && len(a.body) == longSize:
			whole++
		}
	}
	r.notef("%d of %d answers came whole, %d were cut", whole, lookups, cut)
	if cut > allowedCuts {
		return fmt.Sprintf("%d requests from kept channels were passed on to sound servers, and the channel was closed without their answer", cut), nil
	}
	if whole == 0 {
		return "", errors.New("no answer came whole")
	}
	return "", nil
}

// keptLookup opens a channel, sends a request that no route takes, and then a lookup.
func keptLookup(f *fleet, r *record, host string, i int) (reply, error) {
	c, err := dial(host, f.ports.front)
	if err != nil {
		return reply{}, fmt.Errorf("open a channel: %w", err)
	}
	defer c.close()
	first := c.send(request{id: fmt.Sprintf("first%d", i), method: "GET", target: "/none/1", host: callerHost, deadline: 2 * time.Second, headers: keyHeader()})
	if first.err != nil {
		return reply{}, fmt.Errorf("keep the channel: %w", first.err)
	}
	q := request{id: fmt.Sprintf("9c41d07be2a3%04d", i), method: "GET", target: "/hugo494/2f", host: callerHost, deadline: lookupLimit, headers: keyHeader()}
	a := c.send(q)
	r.notef("request %s (lookup) to %s: %s", q.id, host, a)
	return a, nil
}

func keyHeader() map[string]string { return map[string]string{"Authorization": "Token " + key} }

// writeAtPace writes a body at the pace of a link in Mbit/s.
func writeAtPace(w http.ResponseWriter, size, link int) {
	w.Header().Set("Content-Length", fmt.Sprint(size))
	part, began := make([]byte, piece), time.Now()
	for written := 0; written < size; written += piece {
		if _, err := w.Write(part); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		due := time.Duration(float64(written+piece) * 8 / float64(link) * float64(time.Microsecond))
		time.Sleep(time.Until(began.Add(due)))
	}
}
