package dispatcher

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/policy/spiller"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// fakeCells is a view of the other cells that the test sets.
type fakeCells struct {
	mu   sync.Mutex
	list []summarizer.Cell
}

func (f *fakeCells) Known() []summarizer.Cell {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

func (f *fakeCells) set(list ...summarizer.Cell) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = list
}

// summary describes a cell with free slots for the model m.
func summary(name registrar.CellName, dispatcher string, fallbacks ...string) summarizer.Cell {
	c := summarizer.Cell{Made: time.Now().Add(time.Minute)}
	c.Cell, c.Dispatcher, c.Fallbacks = name, dispatcher, fallbacks
	c.Pools = []summarizer.Pool{{Name: "m", Live: 1, Free: 4}}
	return c
}

// singleHostCell is a cell with a single entry host.
type singleHostCell struct {
	member
	view    *fakeMembership
	cells   *fakeCells
	fleet   *Fleet
	address string
	served  chan struct{}
}

// startCell starts a cell whose only host owns it and works with other cells.
func startCell(t *testing.T, name registrar.CellName) *singleHostCell {
	t.Helper()
	host := registrar.HostName("host-" + name)
	l, err := dialer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	c := &singleHostCell{cells: &fakeCells{}, address: l.Addr().String(), served: make(chan struct{})}
	c.view = &fakeMembership{
		owner:     host,
		addresses: map[registrar.HostName]string{host: c.address},
		upstreams: map[registrar.UpstreamID]registrar.Upstream{},
	}
	c.local = NewLocal(scheduler.New(), clock)
	c.local.Configure(document())
	s := Settings{Host: host, Cell: name, Standby: true, Membership: c.view, Local: c.local, Client: dialer.New(), Clock: clock, Logger: zap.NewNop(), AllowSpill: true}
	c.server = NewServer(s)
	c.local.SetCellSelector(NewSpillSelector(name, "", c.cells, spiller.New(), clock))
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerHandler(&c.member))
	c.http = dialer.NewServer(mux)
	c.local.group.Go(func() {
		defer close(c.served)
		_ = c.http.Serve(l)
	})
	c.cell = NewCell(s)
	s.Client = dialer.New()
	c.fleet = NewFleet(s, c.cell, c.cells)
	t.Cleanup(func() {
		c.fleet.Close()
		c.cell.Close()
		_ = c.http.Close()
		<-c.served
		c.local.Close()
	})
	return c
}

// engine adds an upstream with the given number of slots to the cell.
func (c *singleHostCell) engine(name string, slots int) {
	u := registrar.Upstream{Name: registrar.UpstreamID(name), Address: name + ":1", Models: []validator.PoolName{"m"}, Slots: slots, Incarnation: 1, Cell: c.fleet.settings.Cell}
	c.view.upstreams[u.Name] = u
	c.local.Observe(u)
}

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return l.Addr().String()
}

// TestSpill guards against refusing requests that another cell can serve, against
// refusals that are not justified, and against requests that hang on a cell whose
// dispatcher is dead, cut off or replaced.
func TestSpill(t *testing.T) {
	type world struct{ west, east, north *singleHostCell }
	cases := map[string]struct {
		prepare func(t *testing.T, w world)
		want    registrar.UpstreamID
		reason  scheduler.Reason
	}{
		"own cell serves": {func(_ *testing.T, w world) {
			w.west.engine("w", 1)
			w.east.engine("e", 1)
			w.west.cells.set(summary("east", w.east.address))
		}, "w", ""},
		"another cell serves": {func(_ *testing.T, w world) {
			w.east.engine("e", 1)
			w.west.cells.set(summary("east", w.east.address))
		}, "e", ""},
		"no other cell": {func(*testing.T, world) {}, "", scheduler.NoUpstream},
		"summary expired": {func(_ *testing.T, w world) {
			w.east.engine("e", 1)
			c := summary("east", w.east.address)
			c.Made = time.Now().Add(-summarizer.Lifetime)
			w.west.cells.set(c)
		}, "", scheduler.NoUpstream},
		"summary untrue, refusal holds": {func(_ *testing.T, w world) {
			w.west.cells.set(summary("east", w.east.address))
		}, "", scheduler.NoUpstream},
		"sent on by no cell": {func(_ *testing.T, w world) {
			w.north.engine("n", 1)
			w.west.cells.set(summary("east", w.east.address))
			w.east.cells.set(summary("north", w.north.address), summary("west", w.west.address))
		}, "", scheduler.NoUpstream},
		"dispatcher dead, fallback serves": {func(t *testing.T, w world) {
			w.east.engine("e", 1)
			w.west.cells.set(summary("east", closedAddress(t), w.east.address))
		}, "e", ""},
		"dispatcher replaced": {func(_ *testing.T, w world) {
			w.east.engine("e", 1)
			w.north.view.setOwner("another")
			w.west.cells.set(summary("east", w.north.address, w.east.address))
		}, "e", ""},
		"dispatcher cut off": {func(t *testing.T, w world) {
			w.east.engine("e", 1)
			w.west.cells.set(summary("east", silentAddress(t), w.east.address))
		}, "e", ""},
		"all hosts dead": {func(t *testing.T, w world) {
			w.west.cells.set(summary("east", closedAddress(t), closedAddress(t)))
		}, "", scheduler.NoUpstream},
		"all hosts cut off": {func(t *testing.T, w world) {
			w.west.cells.set(summary("east", silentAddress(t), silentAddress(t)))
		}, "", scheduler.NoUpstream},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := world{startCell(t, "west"), startCell(t, "east"), startCell(t, "north")}
			c.prepare(t, w)
			began := time.Now()
			s, err := w.west.fleet.Acquire(t.Context(), request("r"))
			// At most two hosts are silent. Without maxForeignSilence each wait would
			// last until a probe of the connection fails, after 1.7 s.
			assert.Assert(t, time.Since(began) < 2*maxForeignSilence+1500*time.Millisecond, "the answer took %v", time.Since(began))
			if c.reason != "" {
				var refused *RefusedError
				assert.Assert(t, errors.As(err, &refused), "%v", err)
				assert.Equal(t, refused.Reason, c.reason)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, s.Upstream().Name, c.want)
			assert.Equal(t, s.Upstream().Address, string(c.want)+":1", "the call cannot go straight to the upstream")
			s.Release(scheduler.Completed, 5)
			waitFor(t, "slots freed", func() bool { return w.west.occupied() == 0 && w.east.occupied() == 0 })
		})
	}
}

// TestSpillWithoutDispatcher guards against a host that cannot reach the dispatcher of
// its own cell and refuses what another cell could serve.
func TestSpillWithoutDispatcher(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	east.engine("e", 1)
	west.cells.set(summary("east", east.address))
	west.view.mu.Lock()
	west.view.owner, west.view.addresses["lost"] = "lost", closedAddress(t)
	west.view.mu.Unlock()
	waitFor(t, "the loss", func() bool { return !west.server.owns() && !west.linked() })
	s, err := west.fleet.Acquire(t.Context(), request("r"))
	assert.NilError(t, err)
	assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("e"))
	s.Release(scheduler.Completed, 5)
}

// TestSpillOfWaiting guards against requests that wait for the end of a dead upstream's
// lease, or for the maximum wait of their class, while another cell has free slots.
func TestSpillOfWaiting(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	west.engine("w", 1)
	east.engine("e", 2)
	west.cells.set(summary("east", east.address))
	first, err := west.fleet.Acquire(t.Context(), request("running"))
	assert.NilError(t, err)
	granted := make(chan Slot, 1)
	west.local.group.Go(func() {
		s, err := west.fleet.Acquire(t.Context(), request("waiting"))
		assert.Check(t, err)
		granted <- s
	})
	waitFor(t, "the queue", func() bool { return len(west.cell.tickets()) == 2 })
	began := time.Now()
	first.Release(scheduler.Crashed, 0)
	s := <-granted
	assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("e"))
	assert.Assert(t, time.Since(began) < time.Second, "the request waited for %v", time.Since(began))
	s.Release(scheduler.Completed, 5)
}

// TestSpillOfGone guards against refusing waiting requests when the lease of the last
// upstream ends, although another cell has free slots.
func TestSpillOfGone(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	west.engine("w", 1)
	east.engine("e", 2)
	west.cells.set(summary("east", east.address))
	_, err := west.fleet.Acquire(t.Context(), request("running"))
	assert.NilError(t, err)
	granted := make(chan Slot, 1)
	west.local.group.Go(func() {
		s, err := west.fleet.Acquire(t.Context(), request("waiting"))
		assert.Check(t, err)
		granted <- s
	})
	waitFor(t, "the queue", func() bool { return len(west.cell.tickets()) == 2 })
	west.local.Forget("w")
	s := <-granted
	assert.Assert(t, s != nil)
	assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("e"))
	s.Release(scheduler.Completed, 5)
}

// TestSpillOfOverload guards against requests that miss their target in the queue of
// their own cell while another cell has free slots.
func TestSpillOfOverload(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	d := document()
	d.Classes[0].First = validator.Duration(500 * time.Millisecond)
	west.local.Configure(d)
	west.engine("w", 1)
	east.engine("e", 100)
	c := summary("east", east.address)
	c.RoundTrip = 10 * time.Millisecond
	west.cells.set(c)
	_, err := west.fleet.Acquire(t.Context(), request("running"))
	assert.NilError(t, err)
	granted := make(chan Slot, 100)
	for range 50 {
		west.local.group.Go(func() {
			if s, err := west.fleet.Acquire(t.Context(), request("late")); err == nil {
				granted <- s
			}
		})
		select {
		case s := <-granted:
			assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("e"))
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Fatal("no request left the overloaded cell")
}

// TestSpillBroken guards against requests that hang when the dispatcher of the other cell
// dies, and against slots there that are never freed when the requesting host dies.
func TestSpillBroken(t *testing.T) {
	t.Run("while it waits", func(t *testing.T) {
		west, east := startCell(t, "west"), startCell(t, "east")
		east.engine("e", 1)
		west.cells.set(summary("east", east.address))
		held, err := west.fleet.Acquire(t.Context(), request("held"))
		assert.NilError(t, err)
		ended := make(chan error, 1)
		west.local.group.Go(func() {
			_, err := west.fleet.Acquire(t.Context(), request("waiting"))
			ended <- err
		})
		waitFor(t, "the queue", func() bool {
			east.local.mu.Lock()
			defer east.local.mu.Unlock()
			return len(east.local.requests) == 2
		})
		assert.NilError(t, east.http.Close())
		var refused *RefusedError
		assert.Assert(t, errors.As(<-ended, &refused))
		assert.Equal(t, refused.Reason, scheduler.NoUpstream)
		held.Release(scheduler.Completed, 5)
	})
	t.Run("while it runs", func(t *testing.T) {
		west, east := startCell(t, "west"), startCell(t, "east")
		east.engine("e", 1)
		west.cells.set(summary("east", east.address))
		_, err := west.fleet.Acquire(t.Context(), request("held"))
		assert.NilError(t, err)
		assert.Equal(t, east.occupied(), 1)
		west.fleet.Close()
		waitFor(t, "slots freed", func() bool { return east.occupied() == 0 })
	})
}

// TestSpillBusy guards against refusing all requests because the other cell refused one
// of them for want of time.
func TestSpillBusy(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	d := document()
	d.Classes[0].Wait = validator.Duration(200 * time.Millisecond)
	east.local.Configure(d)
	east.engine("e", 1)
	west.cells.set(summary("east", east.address))
	held, err := west.fleet.Acquire(t.Context(), request("held"))
	assert.NilError(t, err)
	_, err = west.fleet.Acquire(t.Context(), request("late"))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	held.Release(scheduler.Completed, 5)
	s, err := west.fleet.Acquire(t.Context(), request("next"))
	assert.NilError(t, err)
	s.Release(scheduler.Completed, 5)
}

// TestSpillStays guards against a request that moves between cells again and again:
// further attempts stay with the cell that it was sent to, and after that only the own
// cell remains.
func TestSpillStays(t *testing.T) {
	west, east, north := startCell(t, "west"), startCell(t, "east"), startCell(t, "north")
	east.engine("e", 1)
	north.engine("n", 1)
	west.cells.set(summary("east", east.address))
	r := request("r")
	s, err := west.fleet.Acquire(t.Context(), r)
	assert.NilError(t, err)
	s.Release(scheduler.Failed, 0)
	west.cells.set(summary("east", east.address), summary("north", north.address))
	// Each further attempt is charged to the retry budget of the cell that grants it.
	for range scheduler.DefaultRetryBurst {
		r.Retry, r.Cell = true, s.Upstream().Cell
		s, err = west.fleet.Acquire(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("e"))
		s.Release(scheduler.Failed, 0)
	}
	east.local.Forget("e")
	_, err = west.fleet.Acquire(t.Context(), r)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, scheduler.NoUpstream)
	west.engine("w", 1)
	s, err = west.fleet.Acquire(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, s.Upstream().Name, registrar.UpstreamID("w"))
	s.Release(scheduler.Completed, 5)
}

// TestSpillCrashes guards against a request that crashes two upstreams in each cell:
// crashes seen in one cell must count in the other.
func TestSpillCrashes(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	west.engine("w", 1)
	east.engine("e", 1)
	east.engine("e2", 1)
	west.cells.set(summary("east", east.address))
	waitFor(t, "settled owners", func() bool { return west.settled() && east.settled() })
	r := request("r")
	r.Fingerprint = "poison"
	for i, want := range []string{"w", "e"} {
		s, err := west.fleet.Acquire(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, string(s.Upstream().Name[:1]), want, "attempt %d", i)
		r.Retry, r.Cell = true, s.Upstream().Cell
		s.Release(scheduler.Crashed, 0)
	}
	waitFor(t, "refusal", func() bool {
		_, err := west.fleet.Acquire(t.Context(), r)
		var refused *RefusedError
		return errors.As(err, &refused) && refused.Reason == scheduler.Poisonous
	})
	// The own cell has learned of the crashes with the refusal.
	again := request("again")
	again.Fingerprint = "poison"
	west.engine("w2", 1)
	_, err := west.cell.Acquire(t.Context(), again)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, scheduler.Poisonous)
}

func (c *singleHostCell) settled() bool {
	c.local.mu.Lock()
	defer c.local.mu.Unlock()
	return c.local.settled
}

// TestSpillNeedsHost guards against naming another cell to a host that is not configured
// to work with other cells, while the dispatcher of its cell is.
func TestSpillNeedsHost(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	east.engine("e", 1)
	west.cells.set(summary("east", east.address))
	plain := west.fleet.settings
	plain.Host, plain.AllowSpill = "plain", false
	l := openLink(t.Context(), plain, "host-west", west.address)
	defer l.close()
	k := newTicket(request("r"), plain.Clock, l.find, func(scheduler.RequestID) {})
	k.move(l)
	g := <-k.result
	assert.Assert(t, g.refusal != nil)
	assert.Equal(t, g.refusal.Reason, scheduler.NoUpstream)
}

// TestNoticesReachTheOtherCell guards against a notice of an upstream in another cell, on
// its rate limit or a pause, that is reported only to the own cell.
func TestNoticesReachTheOtherCell(t *testing.T) {
	west, east := startCell(t, "west"), startCell(t, "east")
	east.engine("e", 1)
	west.cells.set(summary("east", east.address))
	s, err := west.fleet.Acquire(t.Context(), request("r"))
	assert.NilError(t, err)
	u := s.Upstream()
	assert.Equal(t, u.Cell, registrar.CellName("east"))
	s.Release(scheduler.Completed, 1)
	west.fleet.Notice(Notice{Upstream: u, Rate: 3, SentAt: time.Now()})
	known := func(rate scheduler.Rate) func() bool {
		return func() bool {
			list := east.local.knownLimits()
			return len(list) == 1 && list[0].Rate == rate
		}
	}
	waitFor(t, "limit at the owner of the other cell", known(3))
	assert.Equal(t, len(west.local.knownLimits()), 0)
	west.fleet.Notice(Notice{Upstream: u, Unlimited: true, SentAt: time.Now().Add(-time.Minute)})
	west.fleet.Notice(Notice{Upstream: u, Unlimited: true, SentAt: time.Now().Add(time.Minute)})
	waitFor(t, "limit withdrawn, although an answer that began before it was named came first", known(0))
	west.fleet.Notice(Notice{Upstream: u, Pause: 5 * time.Minute})
	waitFor(t, "refusal", func() bool {
		_, err := west.fleet.Acquire(t.Context(), request("again"))
		var refused *RefusedError
		return errors.As(err, &refused)
	})
}

// TestAlone guards against a change of behaviour on a host that knows no other cell: its
// requests never leave the own dispatcher.
func TestAlone(t *testing.T) {
	west := startCell(t, "west")
	_, err := west.fleet.Acquire(t.Context(), request("r"))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, scheduler.NoUpstream)
	west.engine("w", 1)
	s, err := west.fleet.Acquire(t.Context(), request("r"))
	assert.NilError(t, err)
	s.Release(scheduler.Completed, 1)
	assert.Equal(t, len(west.fleet.remotes), 0)
}
