package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// gate is a listener whose connections can be cut or made silent.
type gate struct {
	net.Listener
	mu     sync.Mutex
	open   map[net.Conn]bool
	silent atomic.Bool
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[c] = true
	return gatedConn{c, g}, nil
}

// Write drops what a silent host sends. The stream cannot continue afterwards, so the
// connection stays silent for good.
func (c gatedConn) Write(p []byte) (int, error) {
	if c.gate.silent.Load() {
		c.gate.mu.Lock()
		c.gate.open[c.Conn] = false
		c.gate.mu.Unlock()
	}
	c.gate.mu.Lock()
	speaks, known := c.gate.open[c.Conn]
	c.gate.mu.Unlock()
	if known && !speaks {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// cut closes all connections.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		_ = c.Close()
	}
}

// peer is a member whose network can be disturbed.
type peer struct {
	wireconnect.UnimplementedPeerHandler
	name    registrar.HostName
	address string
	client  *dialer.Client
	local   *Local
	cell    *Cell
	server  *Server
	gate    *gate
	http    *http.Server
	serving conc.WaitGroup
}

func (p *peer) Dispatch(ctx context.Context, s *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	return p.server.Dispatch(ctx, s)
}

// listen opens the peer's address, which stays the same.
func (p *peer) listen(t *testing.T) {
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := dialer.Listen(t.Context(), address)
	assert.NilError(t, err)
	p.address = l.Addr().String()
	p.gate = &gate{Listener: l, open: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerHandler(p))
	p.http = dialer.NewServer(mux)
	server, gate := p.http, p.gate
	p.serving.Go(func() { _ = server.Serve(gate) })
}

func (p *peer) shut() {
	_ = p.http.Close()
	p.gate.cut()
	p.serving.Wait()
}

// leftover describes what the peer still keeps for requests; empty when nothing.
func (p *peer) leftover() string {
	p.local.mu.Lock()
	requests := len(p.local.requests)
	p.local.mu.Unlock()
	used := 0
	for _, u := range stormUpstreams {
		used += p.local.Used(u)
	}
	p.server.mu.Lock()
	kept, open := 0, 0
	for _, o := range p.server.orphans {
		kept += len(o)
	}
	for _, n := range p.server.sessions {
		n.mu.Lock()
		open += len(n.open)
		n.mu.Unlock()
	}
	p.server.mu.Unlock()
	sinks := 0
	p.cell.mu.RLock()
	if l, ok := p.cell.route.(*link); ok {
		l.mu.Lock()
		sinks = len(l.sinks)
		l.mu.Unlock()
	}
	p.cell.mu.RUnlock()
	tickets := len(p.cell.tickets())
	if requests+used+kept+open+sinks+tickets == 0 {
		return ""
	}
	return fmt.Sprintf("%s: requests %d, slots %d, orphans %d, session %d, sinks %d, tickets %d", p.name, requests, used, kept, open, sinks, tickets)
}

var stormUpstreams = []registrar.UpstreamID{"u0", "u1", "u2"}

// storm exposes the peers of a cell to faults while callers come and go.
type storm struct {
	t       *testing.T
	seed    uint64
	view    *fakeMembership
	peers   []*peer
	crashes bool
	serial  atomic.Int64
	granted atomic.Int64
	refused atomic.Int64
	ended   atomic.Int64
	running [3]atomic.Int64
	peak    atomic.Int64
}

func stormUpstream(i, incarnation int) registrar.Upstream {
	return registrar.Upstream{Name: stormUpstreams[i], Models: []validator.PoolName{"m"}, Slots: slots, Incarnation: registrar.Incarnation(incarnation)}
}

func newStorm(t *testing.T, seed uint64, hosts int, crashes bool) *storm {
	s := &storm{t: t, seed: seed, crashes: crashes, view: &fakeMembership{
		addresses: map[registrar.HostName]string{},
		upstreams: map[registrar.UpstreamID]registrar.Upstream{},
	}}
	for i := range stormUpstreams {
		s.view.upstreams[stormUpstreams[i]] = stormUpstream(i, 1)
	}
	clock := clockwork.NewRealClock()
	for i := range hosts {
		p := &peer{name: registrar.HostName(fmt.Sprint("host", i)), client: dialer.New(), local: NewLocal(scheduler.New(), clock)}
		set := Settings{Host: p.name, Cell: "main", Standby: true, Membership: s.view, Local: p.local, Client: p.client, Clock: clock, Logger: zap.NewNop()}
		p.local.Configure(document())
		for j := range stormUpstreams {
			p.local.Observe(stormUpstream(j, 1))
		}
		p.server = NewServer(set)
		p.listen(t)
		s.view.mu.Lock()
		s.view.addresses[p.name] = p.address
		s.view.mu.Unlock()
		s.peers = append(s.peers, p)
		s.view.setOwner("host0")
		p.cell = NewCell(set)
	}
	return s
}

func (s *storm) close() {
	for _, p := range s.peers {
		p.cell.Close()
	}
	for _, p := range s.peers {
		p.shut()
		p.client.Close()
		p.local.Close()
	}
}

// disturb applies one fault to the cell.
func (s *storm) disturb(r *rand.Rand, incarnation int) {
	p := s.peers[r.IntN(len(s.peers))]
	switch r.IntN(7) {
	case 0, 1:
		s.view.setOwner(p.name)
	case 2:
		p.gate.cut()
	case 3:
		p.gate.silent.Store(!p.gate.silent.Load())
	case 4:
		p.shut()
		p.listen(s.t)
	case 5:
		last := s.peers[r.IntN(len(s.peers))].name
		for range 4 {
			s.view.setOwner(p.name)
			time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			s.view.setOwner(last)
			time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		}
	case 6:
		i := r.IntN(len(stormUpstreams))
		for _, q := range s.peers {
			q.local.Forget(stormUpstreams[i])
			q.cell.UpstreamLost(stormUpstreams[i])
			q.local.Observe(stormUpstream(i, incarnation))
		}
	}
}

// endFaults ends all faults and returns the owner, once all hosts schedule there.
func (s *storm) endFaults(r *rand.Rand) *peer {
	for _, p := range s.peers {
		p.gate.silent.Store(false)
		p.shut()
		p.listen(s.t)
	}
	owner := s.peers[r.IntN(len(s.peers))]
	s.view.setOwner(owner.name)
	s.settled(owner)
	return owner
}

// settled waits until all hosts schedule at the owner and returns the hosts' routes.
func (s *storm) settled(owner *peer) []route {
	s.t.Helper()
	var routes []route
	waitFor(s.t, fmt.Sprintf("seed %d: every host linked to its owner", s.seed), func() bool {
		routes = nil
		for _, p := range s.peers {
			p.cell.mu.RLock()
			routes = append(routes, p.cell.route)
			l, linked := p.cell.route.(*link)
			p.cell.mu.RUnlock()
			if p == owner && linked || p != owner && (!linked || l.owner != owner.name) {
				return false
			}
		}
		owner.local.mu.Lock()
		defer owner.local.mu.Unlock()
		return owner.local.hosts == 1
	})
	return routes
}

// settledPhase checks that a single owner keeps the number of slots of each upstream. A
// phase in which a host lost its link, as it may on a machine that is busy for longer
// than maxSilence, proves nothing and is repeated.
func (s *storm) settledPhase(owner *peer) {
	for phase := range uint64(10) {
		before := s.settled(owner)
		s.drained("before the settled phase")
		s.peak.Store(0)
		s.load(2+phase, func() { time.Sleep(500 * time.Millisecond) })
		s.drained("after the settled phase")
		if slices.Equal(before, s.settled(owner)) {
			assert.Check(s.t, s.peak.Load() <= slots, "seed %d: %d requests on one upstream", s.seed, s.peak.Load())
			return
		}
	}
	s.t.Fatalf("seed %d: no phase without a lost link", s.seed)
}

// calls runs requests one after the other until stop is closed.
func (s *storm) calls(r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			s.call(r)
		}
	}
}

// call runs one request, with a random time limit, on a random host.
func (s *storm) call(r *rand.Rand) {
	limit := time.Duration(1+r.IntN(3000)) * time.Millisecond
	if r.IntN(4) == 0 {
		limit = time.Duration(r.IntN(3000)) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), limit)
	defer cancel()
	q := request(fmt.Sprint("q", s.serial.Add(1)))
	q.Fingerprint = string(q.ID)
	slot, err := s.peers[r.IntN(len(s.peers))].cell.Acquire(ctx, q)
	var refusal *RefusedError
	switch {
	case errors.As(err, &refusal):
		s.refused.Add(1)
		time.Sleep(time.Millisecond)
		return
	case err != nil:
		assert.Check(s.t, errors.Is(err, context.DeadlineExceeded), "seed %d: %v", s.seed, err)
		s.ended.Add(1)
		return
	}
	s.granted.Add(1)
	s.run(r, slot)
}

// run holds a slot for a while and ends it with one of several outcomes.
func (s *storm) run(r *rand.Rand, slot Slot) {
	n := &s.running[slot.Upstream().Name[1]-'0']
	now := n.Add(1)
	for last := s.peak.Load(); now > last && !s.peak.CompareAndSwap(last, now); {
		last = s.peak.Load()
	}
	slot.FirstToken()
	for tokens := range r.IntN(5) {
		slot.Progress(tokens * 8)
		time.Sleep(time.Duration(r.IntN(8)) * time.Millisecond)
	}
	outcome := []scheduler.Outcome{scheduler.Completed, scheduler.Failed, scheduler.Abandoned, scheduler.Silent}[r.IntN(4)]
	if s.crashes && r.IntN(20) == 0 {
		outcome = scheduler.Crashed
	}
	n.Add(-1)
	slot.Release(outcome, 40)
}

// load runs callers while f runs, and waits for their last requests.
func (s *storm) load(phase uint64, f func()) {
	stop := make(chan struct{})
	var group conc.WaitGroup
	for worker := range uint64(24) {
		r := rand.New(rand.NewPCG(s.seed, phase<<32|worker))
		group.Go(func() { s.calls(r, stop) })
	}
	f()
	close(stop)
	done := make(chan struct{})
	var waiting conc.WaitGroup
	waiting.Go(func() { group.Wait(); close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		s.t.Fatalf("seed %d: a request outlived its context", s.seed)
	}
}

// drained waits until no peer keeps anything for requests.
func (s *storm) drained(when string) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, p := range s.peers {
			if left := p.leftover(); left != "" {
				return poll.Continue("seed %d: left %s: %s", s.seed, when, left)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestStorm guards against lost requests, forgotten or leaked slots, deadlocks and leaked
// goroutines under random changes of owner, broken and silent links, restarted listeners,
// cancellations, crashes, and upstreams that leave and come back.
func TestStorm(t *testing.T) {
	cases := []struct {
		seed    uint64
		hosts   int
		faults  int
		pause   time.Duration
		crashes bool
	}{
		{seed: 11, hosts: 3, faults: 25, pause: 30 * time.Millisecond},
		{seed: 23, hosts: 4, faults: 12, pause: 120 * time.Millisecond, crashes: true},
		{seed: 37, hosts: 4, faults: 60, pause: 8 * time.Millisecond},
		{seed: 41, hosts: 3, faults: 6, pause: 400 * time.Millisecond, crashes: true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint("seed ", c.seed), func(t *testing.T) {
			t.Parallel()
			s := newStorm(t, c.seed, c.hosts, c.crashes)
			defer s.close()
			r := rand.New(rand.NewPCG(c.seed, 0))
			s.load(1, func() {
				for i := range c.faults {
					s.disturb(r, i+2)
					time.Sleep(time.Duration(r.Int64N(int64(2 * c.pause))))
				}
			})
			owner := s.endFaults(r)
			s.drained("after the faults")
			for i := range stormUpstreams {
				for _, p := range s.peers {
					p.local.Observe(stormUpstream(i, 1000))
				}
			}
			s.crashes = false
			s.settledPhase(owner)
			t.Logf("seed %d: %d granted, %d refused, %d ended by their context", c.seed, s.granted.Load(), s.refused.Load(), s.ended.Load())
			assert.Check(t, s.granted.Load() > 0)
		})
	}
}

// TestMain fails when goroutines are left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// renewingClient counts the replacements of its connections.
type renewingClient struct {
	*dialer.Client
	renewed atomic.Int64
}

func (c *renewingClient) Renew() {
	c.renewed.Add(1)
	c.Client.Renew()
}

// TestSilentConnection guards against opening links again and again on a connection that
// has gone silent, while a new connection would work.
func TestSilentConnection(t *testing.T) {
	s := newStorm(t, 1, 2, false)
	defer s.close()
	client := &renewingClient{Client: dialer.New()}
	defer client.Close()
	p := s.peers[0]
	p.gate.silent.Store(true)
	settings := s.peers[1].cell.settings
	settings.Host, settings.Client = "other", client
	l := openLink(t.Context(), settings, p.name, p.address)
	<-l.broken
	l.close()
	assert.Equal(t, client.renewed.Load(), int64(1))
	p.gate.silent.Store(false)
	next := openLink(t.Context(), settings, p.name, p.address)
	waitFor(t, "a link on a new connection", next.ready)
	next.close()
}
