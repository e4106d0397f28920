package watcher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// TestMain guards against goroutines that still run after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testLease = 3 * time.Second

// fault is what happens to calls to a host.
type fault int

const (
	sound fault = iota
	// refuses fails calls at once, as a killed host does.
	refuses
	// silent lets calls wait, as a frozen host or a network partition does.
	silent
	// loses drops every second response.
	loses
)

// controlHost is a host that may own a cell. The gossip exchange is faked: announcements
// reach all control hosts at the same time.
type controlHost struct {
	fleet     *fleet
	self      registrar.Host
	publisher *publisher.Publisher

	mu     sync.Mutex
	mirror *registrar.Mirror
	// deaf is the time since which the host receives nothing from the others; zero if it
	// does receive.
	deaf      time.Time
	fault     fault
	calls     int
	announced []registrar.Upstream
}

// Snapshot implements publisher.Members.
func (h *controlHost) Snapshot() *registrar.View { return h.mirror.Snapshot() }

// KnownUntil implements publisher.Members.
func (h *controlHost) KnownUntil() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deaf.IsZero() {
		return time.Now(), true
	}
	return h.deaf, true
}

// Watch implements publisher.Members.
func (h *controlHost) Watch(int) {}

// Restore implements publisher.Members.
func (h *controlHost) Restore(e registrar.Restore) {
	for _, u := range e.Upstreams {
		h.fleet.announce(u)
	}
}

// Depart implements publisher.Members.
func (h *controlHost) Depart(list ...registrar.Departure) {
	for _, o := range h.fleet.list() {
		o.take(registrar.ViewUpdate{Began: time.Now(), Departures: list})
	}
}

func (h *controlHost) take(c registrar.ViewUpdate) {
	h.mu.Lock()
	actions := h.mirror.Apply(time.Now(), c)
	h.mu.Unlock()
	for _, a := range actions {
		h.publisher.Observe(a)
	}
}

// fleet is a set of control hosts, and the Caller that reaches them.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]*controlHost
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, hosts: map[string]*controlHost{}}
	for _, n := range names {
		f.start(n)
	}
	t.Cleanup(func() {
		for _, h := range f.list() {
			h.publisher.Close()
		}
	})
	return f
}

func addressOf(name string) string { return name + ":1" }

func (f *fleet) list() []*controlHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.hosts))
}

// start starts a control host that knows no upstreams. It replaces one with the same name.
func (f *fleet) start(name string) {
	self := registrar.Host{Name: registrar.HostName(name), Address: addressOf(name), Incarnation: registrar.Incarnation(time.Now().UnixNano())}
	h := &controlHost{fleet: f, self: self, mirror: registrar.NewMirror(time.Now(), self, time.Hour)}
	h.publisher = publisher.New(publisher.Options{Members: h, Cell: "main"})
	f.mu.Lock()
	old := f.hosts[addressOf(name)]
	f.hosts[addressOf(name)] = h
	f.mu.Unlock()
	if old != nil {
		old.publisher.Close()
	}
	all := f.list()
	var hosts []registrar.Host
	for _, other := range all {
		hosts = append(hosts, other.self)
	}
	for _, other := range all {
		other.take(registrar.ViewUpdate{Began: time.Now(), Hosts: hosts})
	}
	h.publisher.Start()
}

// announce sends an announcement to all control hosts.
func (f *fleet) announce(u registrar.Upstream) {
	c := registrar.ViewUpdate{Began: time.Now(), Changed: []registrar.Upstream{u}}
	if u.Leaving {
		c = registrar.ViewUpdate{Began: time.Now(), Departures: []registrar.Departure{{UpstreamID: u.Name, Incarnation: u.Incarnation, Leaving: true}}}
	}
	for _, h := range f.list() {
		h.take(c)
	}
}

func (f *fleet) set(name string, x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[addressOf(name)].fault = x
}

// deafen makes a host receive nothing from the others from now on.
func (f *fleet) deafen(address string) {
	f.mu.Lock()
	h := f.hosts[address]
	f.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaf = time.Now()
}

var errCut = errors.New("no answer")

// Members implements Caller.
func (f *fleet) Members(ctx context.Context, address string, q *wire.MembersRequest) (*wire.MembersResponse, error) {
	f.mu.Lock()
	h := f.hosts[address]
	f.mu.Unlock()
	if h == nil {
		return nil, errCut
	}
	f.mu.Lock()
	h.calls++
	x, n := h.fault, h.calls
	f.mu.Unlock()
	switch {
	case x == refuses:
		return nil, errCut
	case x == silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, err := h.publisher.Members(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	now := h.fault
	f.mu.Unlock()
	if now == silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if x == loses && n%2 == 0 {
		return nil, errCut
	}
	return a.Msg, nil
}

// Announce implements Caller.
func (f *fleet) Announce(_ context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[address]
	if h == nil || h.fault != sound {
		return nil, errCut
	}
	h.announced = append(h.announced, gossiper.DecodeUpstream(q.GetUpstream()).Upstream)
	return &wire.AnnounceResponse{Status: http.StatusOK, Accepted: true}, nil
}

// Reach implements Caller. A silent host accepts connections.
func (f *fleet) Reach(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[address]; h == nil || h.fault == refuses {
		return errCut
	}
	return nil
}

// Close implements Caller.
func (f *fleet) Close() {}

func (f *fleet) watch(name string, seeds ...string) *Watcher {
	f.t.Helper()
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, addressOf(s))
	}
	self := registrar.Host{Name: registrar.HostName(name), Draining: true, Cell: "main"}
	w := New(self, Options{Seeds: addresses, Lease: testLease, Caller: f, Clock: clockwork.NewRealClock()})
	w.Start()
	f.t.Cleanup(w.Close)
	return w
}

func eventually(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}

func knows(w *Watcher, id registrar.UpstreamID) func() bool {
	return func() bool {
		_, ok := w.Snapshot().Upstream(time.Now(), id)
		return ok
	}
}

func lacks(w *Watcher, id registrar.UpstreamID) func() bool {
	return func() bool { return !knows(w, id)() }
}

func engine(name string) registrar.Upstream {
	return registrar.Upstream{Name: registrar.UpstreamID(name), Address: "10.0.0.9:1", Incarnation: 1, Sequence: 1}
}

// startTime covers the time for which a started host may not know all upstreams.
const startTime = 4 * time.Second

func TestNewsReachesWatchers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	f.announce(engine("u1"))
	w := f.watch("w", "a")
	eventually(t, "the upstream and the hosts", startTime, func() bool { return knows(w, "u1")() && len(w.Snapshot().Hosts()) == 4 })
	gone := engine("u1")
	gone.Leaving = true
	f.announce(gone)
	eventually(t, "the upstream to leave", time.Second, lacks(w, "u1"))
}

// Guards against a host that loses its upstreams after the control host that it followed was
// killed, was frozen or lost responses: it has to ask another one within the lease.
func TestWatcherChangesHost(t *testing.T) {
	for name, x := range map[string]fault{"killed": refuses, "frozen": silent, "loses answers": loses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "a", "b", "c")
			f.announce(engine("u1"))
			w := f.watch("w", "a", "b")
			eventually(t, "the upstream", startTime, knows(w, "u1"))
			w.mu.Lock()
			asked := w.source.address
			w.mu.Unlock()
			f.set(asked[:len(asked)-len(":1")], x)
			f.announce(engine("u2"))
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, knows(w, "u1")(), "the upstream was lost")
			}
			assert.Assert(t, knows(w, "u2")())
		})
	}
}

// Guards against a host that is cut off and keeps its upstreams for longer than a lease, or
// doesn't get them back once it reaches a control host again.
func TestWatcherCutOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b")
	f.announce(engine("u1"))
	w := f.watch("w", "a")
	eventually(t, "the upstream", startTime, knows(w, "u1"))
	f.set("a", silent)
	f.set("b", refuses)
	cut := time.Now()
	eventually(t, "the end of the lease", testLease+time.Second, lacks(w, "u1"))
	assert.Assert(t, time.Since(cut) > testLease-publisher.Hold*2, "it ended after %s", time.Since(cut))
	f.set("a", sound)
	eventually(t, "the upstream again", 3*time.Second, knows(w, "u1"))
}

// Guards against refused requests after all control hosts were killed at once: they restart
// without any upstreams, and the watching hosts restore those that they know.
func TestAllControlHostsRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	f.announce(engine("u1"))
	w := f.watch("w", "a", "b", "c")
	eventually(t, "the upstream", startTime, knows(w, "u1"))
	for _, n := range []string{"a", "b", "c"} {
		f.set(n, refuses)
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range []string{"a", "b", "c"} {
		f.start(n)
	}
	restarted := time.Now()
	eventually(t, "a control host that knows the upstream", time.Second, func() bool {
		for _, h := range f.list() {
			if _, ok := h.Snapshot().Upstream(time.Now(), "u1"); ok {
				return true
			}
		}
		return false
	})
	for time.Since(restarted) < 3*time.Second {
		assert.Assert(t, knows(w, "u1")(), "the upstream was lost %s after the restart", time.Since(restarted))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against watching hosts whose views don't converge after random faults of the
// control hosts, and against hosts that ask without pause.
func TestWatchersConverge(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(t, "a", "b", "c")
			var all []*Watcher
			for i := range 12 {
				all = append(all, f.watch(fmt.Sprint("w", i), "a", "b", "c"))
			}
			alive := map[string]bool{}
			began := time.Now()
			for range 25 {
				u := engine(fmt.Sprint("u", random.IntN(6)))
				u.Incarnation = registrar.Incarnation(time.Since(began).Microseconds() + 1)
				u.Leaving = random.IntN(3) == 0
				alive[string(u.Name)] = !u.Leaving
				f.announce(u)
				f.set(string(rune('a'+random.IntN(3))), fault(random.IntN(4)))
				time.Sleep(80 * time.Millisecond)
			}
			for _, n := range []string{"a", "b", "c"} {
				f.set(n, sound)
			}
			for _, w := range all {
				eventually(t, "the view of the control hosts", 5*time.Second, func() bool {
					for name, live := range alive {
						if knows(w, registrar.UpstreamID(name))() != live {
							return false
						}
					}
					return true
				})
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			calls := 0
			for _, h := range f.hosts {
				calls += h.calls
			}
			most := int(time.Since(began)/interval) * 4 * len(all)
			assert.Assert(t, calls < most, "%d calls, at most %d are expected", calls, most)
		})
	}
}

// Guards against an announcement that reaches a watching host and is not forwarded.
func TestAnnouncementIsPassedOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a")
	w := f.watch("w", "a")
	status, _ := w.announce(t.Context(), engine("u1"))
	eventually(t, "a host to pass it on to", startTime, func() bool {
		status, _ = w.announce(t.Context(), engine("u1"))
		return status == http.StatusOK
	})
	f.mu.Lock()
	got := f.hosts[addressOf("a")].announced[0]
	f.mu.Unlock()
	assert.DeepEqual(t, got.Name, registrar.UpstreamID("u1"))
	f.set("a", refuses)
	status, reply := w.announce(t.Context(), engine("u1"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, reply.Reason != "")
}
