package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case about pipelined requests beside a crowd of bodies.
const (
	pipeClients = 20
	pipeServers = 4
	pipeWork    = 400 * time.Millisecond
	pipePause   = 100 * time.Millisecond
	pipeCalm    = 5 * time.Second
	pipeCrowded = 40 * time.Second
	// stalledMembers is a little more than the connections that a machine with 4,100
	// descriptors takes.
	stalledMembers = 2700
	stalledRetry   = 500 * time.Millisecond
	// allowedCuts is the number of requests that a machine may lose on kept channels.
	allowedCuts = 3
)

// playPipelined sends requests in pairs on kept channels while many clients stop short of the
// ends of their bodies.
func playPipelined(d *deployment) (outcome, error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		d.record.printf("run %s %s", id, q.URL.Path)
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		if wait(q.Context(), pipeWork) {
			_, _ = fmt.Fprint(w, id)
		}
	}
	for range pipeServers {
		if _, err := d.addServer("trgovina", "v1", shopSlots, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(readConfiguration); err != nil {
		return outcome{}, err
	}
	host := d.edges()[0]
	read := func() ask {
		return ask{method: http.MethodGet, path: "/check/0", key: "key0", deadline: 3 * time.Second}
	}
	if !retry(startLimit, func() bool { return d.send(requester, host, newID(), read()).status == http.StatusOK }) {
		return outcome{}, fmt.Errorf("no full service in %v", startLimit)
	}
	time.Sleep(stableTime)
	end := time.Now().Add(pipeCalm + pipeCrowded)
	var pairs, answered, cut, refused atomic.Int64
	for range pipeClients {
		d.group.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, d.ports.front), time.Second)
				if err != nil {
					d.sleep(pipePause)
					continue
				}
				reader := bufio.NewReader(c)
				for time.Now().Before(end) && d.sleep(time.Duration(float64(pipePause)*(0.5+rand.Float64()))) {
					ids := []string{newID(), newID()}
					text := ""
					for _, id := range ids {
						text += fmt.Sprintf("GET /check/%d HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key0\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", rand.Uint32(), id)
					}
					d.record.printf("send %s and %s to %s on a kept channel", ids[0], ids[1], host)
					pairs.Add(1)
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					if _, err := c.Write([]byte(text)); err != nil {
						break
					}
					var failed error
					for _, id := range ids {
						var r answer
						if r, failed = readAnswer(reader); failed != nil {
							mu.Lock()
							passed := ran[id]
							mu.Unlock()
							d.record.printf("no answer to %s, passed on: %v: %v", id, passed, failed)
							if passed {
								cut.Add(1)
							}
							break
						}
						d.record.printf("answer %s status=%d", id, r.status)
						answered.Add(1)
						if r.status != http.StatusOK {
							refused.Add(1)
						}
					}
					if failed != nil {
						break
					}
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(pipeCalm)
	if trouble() {
		for range stalledMembers {
			d.group.Go(func() { d.stalledMember(host, end) })
		}
	}
	time.Sleep(time.Until(end))
	d.record.say("%d pairs, %d answers, %d of them refusals; %d requests were passed on and their channel was closed without an answer (allowed %d)", pairs.Load(), answered.Load(), refused.Load(), cut.Load(), allowedCuts)
	return outcome{broken: cut.Load() > allowedCuts, summary: fmt.Sprintf("cut=%d", cut.Load())}, nil
}

// readAnswer reads one answer to its end.
func readAnswer(r *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var body [1 << 10]byte
	for err == nil {
		_, err = response.Body.Read(body[:])
	}
	if err.Error() != "EOF" {
		return answer{}, err
	}
	return answer{status: response.StatusCode}, nil
}

// stalledMember sends chunked bodies of small chunks, each without its end, and waits until
// the connection is closed.
func (d *deployment) stalledMember(host string, end time.Time) {
	for time.Now().Before(end) && d.sleep(time.Duration(float64(stalledRetry)*(0.5+rand.Float64()))) {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, d.ports.front), time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(end)
		_, err = fmt.Fprintf(c, "POST /check/7 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key0\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n", newID())
		if err == nil {
			var end [1]byte
			_, _ = c.Read(end[:])
		}
		_ = c.Close()
	}
}

func init() {
	plays["pipelined"] = func() (layout, play) { return smallLayout(), playPipelined }
}
