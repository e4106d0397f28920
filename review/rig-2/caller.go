package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one request of a requester.
type request struct {
	method, path, key string
	// headers are further headers.
	headers map[string]string
	body    string
	// limit is how long the requester waits.
	limit time.Duration
}

// newID returns a new Attempt-Id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request with the ID to an entry host on a new channel, and returns the
// status and body of the answer. The status is 0 if there is none, and the body is then the
// error.
func (q request) send(f *fleet, host, id string) (int, string) {
	h, err := http.NewRequest(q.method, "http://"+address(host, frontPort)+q.path, strings.NewReader(q.body))
	if err != nil {
		return 0, err.Error()
	}
	h.Host = "box.example"
	h.Header.Set("Attempt-Id", id)
	h.Header.Set("Authorization", "Token "+q.key)
	h.Header.Set("Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	for name, value := range q.headers {
		h.Header.Set(name, value)
	}
	f.record.note("request %s (%s %s) sent to %s", id, q.method, q.path, f.name(host))
	client := http.Client{Timeout: q.limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(h)
	if err != nil {
		f.record.note("request %s has no answer: %v", id, err)
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.record.note("request %s is broken off after status %d: %v", id, answer.StatusCode, err)
		return 0, err.Error()
	}
	f.record.note("request %s answered %d, %d bytes", id, answer.StatusCode, len(text))
	return answer.StatusCode, string(text)
}
