package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// heartbeatInterval is the time between two check-ins of an upstream.
const heartbeatInterval = 1200 * time.Millisecond

// arrival is a request that an upstream has read.
type arrival struct {
	upstream, id, method, target, host string
	size                               int
	at                                 time.Time
}

// runs collects the requests that the upstreams have run.
type runs struct {
	mu   sync.Mutex
	list []arrival
}

func (s *runs) add(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, a)
}

// all returns the runs so far.
func (s *runs) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.list...)
}

// of returns the runs of a request.
func (s *runs) of(id string) []arrival {
	var list []arrival
	for _, a := range s.all() {
		if a.id == id {
			list = append(list, a)
		}
	}
	return list
}

// upstream is a stand-in of a server that checks in at the control machines.
type upstream struct {
	fleet    *fleet
	service  string
	id       string
	slots    int
	born     int64
	runs     *runs
	answer   http.HandlerFunc
	listener net.Listener
	server   *http.Server
	sequence atomic.Int64
	done     chan struct{}
	group    conc.WaitGroup
}

// startUpstream starts a sound server. answer writes its answer after the head that all
// answers have.
func startUpstream(f *fleet, service, id string, slots int, s *runs, answer http.HandlerFunc) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start an upstream: %w", err)
	}
	u := &upstream{fleet: f, service: service, id: id, slots: slots, born: time.Now().UnixMilli(), runs: s, answer: answer, listener: l, done: make(chan struct{})}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	u.group.Go(func() { _ = u.server.Serve(l) })
	u.group.Go(u.checkIn)
	f.record.notef("upstream %s of %s serves at %s", id, service, l.Addr())
	return u, nil
}

func (u *upstream) checkIn() {
	for i := 0; ; i++ {
		for j := range u.fleet.layout.controls {
			host := u.fleet.controls()[(i+j)%u.fleet.layout.controls]
			if status, _ := u.fleet.operate(http.MethodPut, host, "/api/instances/"+u.id, u.state()); status == http.StatusOK {
				break
			}
		}
		select {
		case <-u.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (u *upstream) state() []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"lj-a","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Sequence":%d,"born":%d}`,
		u.service, u.listener.Addr(), u.slots, u.sequence.Add(1), u.born)
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/api/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"Next":1,"held":[]}`)
		return
	case "/api/report":
		_, _ = io.WriteString(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":411823,"Handles":0}`)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if q.Header.Get("Expect-Instance") != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(q.Body); err != nil {
		return
	}
	u.runs.add(arrival{upstream: u.id, id: id, method: q.Method, target: q.RequestURI, host: q.Host, size: body.Len(), at: time.Now()})
	w.Header().Set("Server-Stamp", u.id+"."+id)
	u.answer(w, q)
}

// close stops the upstream like a crash.
func (u *upstream) close() {
	close(u.done)
	_ = u.server.Close()
	u.group.Wait()
}
