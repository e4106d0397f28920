package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// crowdSize is the number of clients, fewer than the descriptors of the machine.
	crowdSize = 2400
	// headBytes is the size of a head, a quarter of MaxHeaderBytes.
	headBytes = 4000
)

// playHeads lets many clients send a head of many short lines that has no end, or
// (TROUBLE=0) one of a few ordinary lines, and looks at the memory of the entry host while
// they are open.
func playHeads(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(plainConfiguration(1)); err != nil {
		return false, err
	}
	s := &server{fleet: f, service: "trgovina", name: "shop", version: "v1", address: f.upstreamAddress(0), slots: 6, run: answerAtOnce}
	if err := s.start(); err != nil {
		return false, err
	}
	defer s.close()
	host := f.entryHosts()[0]
	if !wait(func() bool { return ordinary(host, "calm") == http.StatusOK }) {
		return false, fmt.Errorf("%w: no answer in calm", errCannotRun)
	}
	calm, err := f.peak(host)
	if err != nil {
		return false, err
	}
	r.note("peak memory in calm: %d MiB of %d", calm>>20, memoryMB)
	size := headBytes
	if !trouble {
		size = 0
	}
	head := crowdHead(size)
	release := gather(address(host, frontPort), head)
	defer release()
	r.note("%d clients have sent %d bytes of a head each, and no end", crowdSize, len(head))
	time.Sleep(time.Second)
	if !f.running(host) {
		r.conclude("%s has ended by itself", f.name(host))
		return true, nil
	}
	peak, err := f.peak(host)
	if err != nil {
		return false, err
	}
	status := ordinary(host, "beside")
	r.conclude("%d clients: peak memory %d MiB of %d; an ordinary request was answered %d", crowdSize, peak>>20, memoryMB, status)
	return peak > memoryMB<<20, nil
}

// crowdHead returns a head without its end: ordinary lines, and short ones until the size is
// reached.
func crowdHead(size int) []byte {
	var b bytes.Buffer
	b.WriteString("GET /check/7 HTTP/1.1\r\nHost: box.example\r\nAuthorization: Token secret\r\nAttempt-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 3000\r\n")
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c:\r\n", letters[i/len(letters)%len(letters)], letters[i%len(letters)])
	}
	return b.Bytes()
}

// gather opens the connections of the crowd and sends the head on each. The returned
// function closes them.
func gather(target string, head []byte) func() {
	connections := make([]net.Conn, crowdSize)
	const workers = 64
	var group conc.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < crowdSize; i += workers {
				c, err := net.DialTimeout("tcp", target, callTimeout)
				if err != nil {
					continue
				}
				connections[i] = c
				_, _ = c.Write(head)
			}
		})
	}
	group.Wait()
	return func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// answerAtOnce runs a request without any delay.
func answerAtOnce(_ *server, w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "renewed") }

// ordinary sends an ordinary request to an entry host and returns the status of its answer.
func ordinary(host, id string) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+address(host, frontPort)+"/check/"+id, nil)
	if err != nil {
		return 0
	}
	q.Host = "box.example"
	q.Header.Set("Authorization", "Token secret")
	q.Header.Set("Attempt-Id", fmt.Sprintf("%x", time.Now().UnixNano()))
	q.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(q)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}
