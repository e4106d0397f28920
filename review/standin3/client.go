package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	// status is 0 if there was no answer.
	status int
	body   string
	// whole is set if the body came to its end.
	whole bool
	took  time.Duration
	err   error
}

// ask is a request of a client.
type ask struct {
	method, path, key string
	deadline          time.Duration
	headers           map[string]string
	body              string
}

// newID returns a new ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requester sends each request on a new connection, as after a retry.
var requester = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// send sends a request to an edge machine.
func (d *deployment) send(client *http.Client, host, id string, a ask) answer {
	began := time.Now()
	q, err := http.NewRequest(a.method, fmt.Sprintf("http://%s:%d%s", host, d.ports.front, a.path), strings.NewReader(a.body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = "shop.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		q.Header.Set("Authorization", "Token "+a.key)
	}
	for name, value := range a.headers {
		q.Header.Set(name, value)
	}
	c := *client
	c.Timeout = a.deadline + time.Second
	response, err := c.Do(q)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), whole: err == nil, err: err, took: time.Since(began)}
}
