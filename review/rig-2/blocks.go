package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// promptParts is the number of parts of a long list, whose head stays below MaxHeaderBytes.
	promptParts = 1200
	// blockRequests is the number of requests, and blockGap the time between two.
	blockRequests = 2000
	blockGap      = 25 * time.Millisecond
)

// playBlocks sends requests whose prompts have many parts of one token, or (TROUBLE=0) few
// parts with as many tokens, and looks at the memory of all hosts.
func playBlocks(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(chat(1)); err != nil {
		return false, err
	}
	var servers []*server
	defer closeAll(&servers)
	for i := range 4 {
		s := &server{fleet: f, service: "zgodbar", name: fmt.Sprint("zgod-", i+1), version: "v1", address: f.upstreamAddress(i), slots: 64, run: writeLetter}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	time.Sleep(2 * stability)
	var open conc.WaitGroup
	answered := make(chan int, blockRequests)
	for i := range blockRequests {
		open.Go(func() {
			id := newID()
			q := request{method: http.MethodPost, path: fmt.Sprint("/chat/", i), key: "secret", headers: blockPrompt(trouble), body: id, limit: 3 * time.Second}
			status, _ := q.send(f, f.entryHosts()[i%f.entries], id)
			answered <- status
		})
		time.Sleep(blockGap)
	}
	open.Wait()
	close(answered)
	served := 0
	for status := range answered {
		if status == http.StatusOK {
			served++
		}
	}
	broken := false
	for _, host := range append(f.controlHosts(), f.entryHosts()...) {
		if !f.running(host) {
			r.conclude("%s has ended by itself", f.name(host))
			broken = true
			continue
		}
		peak, err := f.peak(host)
		if err != nil {
			return false, err
		}
		limit := f.memory(host)
		r.conclude("%s: peak memory %d MiB of %d", f.name(host), peak>>20, limit)
		broken = broken || peak > int64(limit)<<20
	}
	r.conclude("%d of %d requests served", served, blockRequests)
	return broken, nil
}

// blockPrompt returns the headers of a new prompt of promptParts tokens.
func blockPrompt(long bool) map[string]string {
	parts, tokens := 4, promptParts/4
	if long {
		parts, tokens = promptParts, 1
	}
	var list []string
	for range parts {
		list = append(list, fmt.Sprintf("%08x:%d", rand.Uint32(), tokens))
	}
	return map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("%d,15", promptParts), "Prompt-Prefix": strings.Join(list, ",")}
}

// writeLetter writes a short stream.
func writeLetter(_ *server, w http.ResponseWriter, q *http.Request) {
	time.Sleep(beginTime)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", q.Header.Get("Attempt-Id"))
}
