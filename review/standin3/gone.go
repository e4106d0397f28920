package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times and numbers of clients that leave with a second request behind the first one.
const (
	leavers     = 20
	leaverTurns = 5
	leaverWork  = 2500 * time.Millisecond
	leaverGap   = 100 * time.Millisecond
	leaverStay  = 300 * time.Millisecond
	leaverPause = 4 * time.Second
	leaverLimit = 8 * time.Second
	// goneTime is how long after its client has left a request may be at a server.
	goneTime = 500 * time.Millisecond
)

// gone records when clients left and when servers ran their requests.
type gone struct {
	mu sync.Mutex
	// left, began and ended are the times by ID of the request; second holds the second
	// requests of pairs.
	left, began, ended map[string]time.Time
	second             map[string]bool
}

// note records the present time of a request.
func (g *gone) note(times map[string]time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	times[id] = time.Now()
}

// counts returns how many requests of clients that left ran, how many of these were still at
// a server too long after that, and how many reached one only then, first and second ones.
func (g *gone) counts() (ran, still, lateFirst, lateSecond int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, left := range g.left {
		began, ok := g.began[id]
		if !ok {
			continue
		}
		ran++
		switch {
		case began.Sub(left) > goneTime && g.second[id]:
			lateSecond++
		case began.Sub(left) > goneTime:
			lateFirst++
		case g.ended[id].Sub(left) > goneTime:
			still++
		}
	}
	return ran, still, lateFirst, lateSecond
}

// leave sends a reading, a second one behind it unless the disruption is left out, and closes
// the channel while the first one runs.
func (g *gone) leave(d *deployment, host string) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, d.ports.front), time.Second)
	if err != nil {
		return
	}
	ids := []string{newID()}
	if trouble() {
		ids = append(ids, newID())
	}
	for i, id := range ids {
		d.record.printf("send %s to %s", id, host)
		_, _ = io.WriteString(c, fmt.Sprintf("GET /check/0 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key0\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, leaverLimit.Milliseconds()))
		g.mu.Lock()
		g.second[id] = i > 0
		g.mu.Unlock()
		time.Sleep(leaverGap)
	}
	time.Sleep(leaverStay)
	_ = c.Close()
	for _, id := range ids {
		g.note(g.left, id)
		d.record.printf("the client of %s has left", id)
	}
}

// playGone lets clients leave in the middle of a reading.
func playGone(d *deployment) (outcome, error) {
	g := &gone{left: map[string]time.Time{}, began: map[string]time.Time{}, ended: map[string]time.Time{}, second: map[string]bool{}}
	h := func(_ *server, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		g.note(g.began, id)
		d.record.printf("run %s", id)
		wait(q.Context(), leaverWork)
		g.note(g.ended, id)
		d.record.printf("end %s", id)
		_, _ = io.WriteString(w, "done")
	}
	for range pausedServers {
		if _, err := d.addServer("trgovina", "v1", 64, h); err != nil {
			return outcome{}, err
		}
	}
	if err := d.configure(slowConfiguration); err != nil {
		return outcome{}, err
	}
	ready := func() bool {
		for _, host := range d.edges() {
			a := ask{method: http.MethodGet, path: "/check/0", key: "key0", deadline: leaverLimit}
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
	var group sync.WaitGroup
	for i := range leavers {
		group.Add(1)
		d.group.Go(func() {
			defer group.Done()
			for range leaverTurns {
				g.leave(d, d.edges()[i%d.layout.edge])
				time.Sleep(leaverPause)
			}
		})
	}
	group.Wait()
	ran, still, lateFirst, lateSecond := g.counts()
	d.record.say("%d requests ran; %v after their client had left %d were still at work, and %d first and %d second ones reached a server later than that", ran, goneTime, still, lateFirst, lateSecond)
	broken := 4*still > ran || lateFirst+lateSecond > 3
	return outcome{broken: broken, summary: fmt.Sprintf("still=%d late=%d", still, lateFirst+lateSecond)}, nil
}

func init() {
	plays["gone"] = func() (layout, play) { return smallLayout(), playGone }
}
