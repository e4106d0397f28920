package courier

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// fleet is a set of cells in one process with a fake clock.
type fleet struct {
	clock  *clockwork.FakeClock
	random *rand.Rand
	cells  []*cell
	hosts  map[string]*host
	// cut reports whether two cells cannot reach each other.
	cut func(a, b *cell) bool
}

type cell struct {
	fleet *fleet
	name  registrar.CellName
	hosts []*host
	live  int
	pools int
}

type host struct {
	cell    *cell
	address string
	down    bool
	courier *Courier
}

func newFleet(cells, hosts, pools int) *fleet {
	f := &fleet{
		clock:  clockwork.NewFakeClock(),
		random: rand.New(rand.NewPCG(7, 7)),
		hosts:  map[string]*host{},
		cut:    func(_, _ *cell) bool { return false },
	}
	for i := range cells {
		c := &cell{fleet: f, name: registrar.CellName(fmt.Sprintf("centre-%02d", i)), live: 8, pools: pools}
		f.cells = append(f.cells, c)
		for j := range hosts {
			c.hosts = append(c.hosts, &host{cell: c, address: fmt.Sprintf("10.%d.0.%d:7070", i, j+10)})
		}
	}
	for i, c := range f.cells {
		seeds := []string{f.cells[(i+1)%cells].hosts[0].address, f.cells[(i+2)%cells].hosts[0].address}
		for j, h := range c.hosts {
			f.hosts[h.address] = h
			h.courier = New(Options{
				Cell: c.name, Region: "region-1", Address: h.address, Seeds: seeds,
				Membership: h.members, Pools: c.loads, Exchanger: h, Clock: f.clock, Seed: uint64(100*i + j + 1),
			})
		}
	}
	return f
}

// members makes the first host that is up the dispatcher.
func (h *host) members() Membership {
	m := Membership{}
	for _, o := range h.cell.hosts {
		if o.down {
			continue
		}
		if !m.HasDispatcher {
			m.HasDispatcher, m.IsDispatcher = true, o == h
		}
		if o != h {
			m.Others = append(m.Others, o.address)
		}
	}
	return m
}

func (c *cell) loads() []summarizer.Pool {
	var list []summarizer.Pool
	for i := range c.pools {
		p := summarizer.Pool{Name: validator.PoolName(fmt.Sprintf("model-%02d", i)), Live: c.live, Free: c.fleet.random.IntN(30)}
		for t := range p.Delay {
			p.Delay[t] = time.Duration(c.fleet.random.IntN(5000)) * time.Millisecond
		}
		list = append(list, p)
	}
	return list
}

var errDown = errors.New("host is down")

// Summarize implements Exchanger. It passes the request to the host at the address, and
// encodes and decodes the response.
func (h *host) Summarize(ctx context.Context, address string, q *wire.SummaryRequest) (*wire.SummaryResponse, error) {
	to := h.cell.fleet.hosts[address]
	if to.down || to.cell != h.cell && h.cell.fleet.cut(h.cell, to.cell) {
		return nil, errDown
	}
	a, back := to.courier.Answer(q)
	data, err := proto.Marshal(a)
	if err != nil {
		return nil, err
	}
	if back != nil {
		back(ctx)
	}
	got := &wire.SummaryResponse{}
	return got, proto.Unmarshal(data, got)
}

func (*host) Close() {}

// run lets each host make a round per second, in a new random order each second.
func (f *fleet) run(seconds int) {
	var all []*host
	for _, c := range f.cells {
		all = append(all, c.hosts...)
	}
	for range seconds {
		f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		for _, h := range all {
			if !h.down {
				h.courier.Round(context.Background())
			}
			f.clock.Advance(time.Second / time.Duration(len(all)))
		}
	}
}

// knows counts the hosts of other cells, and those among them that have a valid summary of
// the cell with the number of live upstreams.
func (f *fleet) knows(c *cell, live int) (knowing, hosts int) {
	for _, o := range f.cells {
		for _, h := range o.hosts {
			if o == c || h.down {
				continue
			}
			hosts++
			for _, k := range h.courier.Known() {
				if k.Cell == c.name && k.Live(f.clock.Now()) && k.Pools[0].Live == live {
					knowing++
				}
			}
		}
	}
	return knowing, hosts
}

// until returns after how many seconds all hosts know the cell with the number of live
// upstreams or, unless all is set, none does. It fails the test after a minute.
func (f *fleet) until(t testing.TB, c *cell, live int, all bool) int {
	t.Helper()
	for s := range 60 {
		if n, hosts := f.knows(c, live); all && n == hosts || !all && n == 0 {
			return s
		}
		f.run(1)
	}
	n, hosts := f.knows(c, live)
	t.Fatalf("after a minute %d of %d hosts know %d live upstreams of %s", n, hosts, live, c.name)
	return 0
}

// TestFailures guards against cells that the others lose permanently, or consider live
// although they are not, after failures of hosts and of the connections between cells.
func TestFailures(t *testing.T) {
	cases := map[string]struct {
		change func(f *fleet, lost *cell)
		known  bool
		heal   func(f *fleet, lost *cell)
	}{
		"dispatcher dead": {
			func(_ *fleet, lost *cell) { lost.hosts[0].down, lost.live = true, 5 }, true,
			func(_ *fleet, lost *cell) { lost.hosts[0].down = false },
		},
		"all hosts dead": {
			func(_ *fleet, lost *cell) {
				for _, h := range lost.hosts {
					h.down = true
				}
			}, false,
			func(_ *fleet, lost *cell) { lost.hosts[2].down = false },
		},
		"region parted for an hour": {
			func(f *fleet, lost *cell) {
				f.cut = func(a, b *cell) bool { return (a == lost) != (b == lost) }
			}, false,
			func(f *fleet, _ *cell) {
				f.clock.Advance(time.Hour)
				f.cut = func(_, _ *cell) bool { return false }
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(6, 4, 2)
			lost := f.cells[3]
			f.until(t, lost, 8, true)
			c.change(f, lost)
			if c.known {
				f.until(t, lost, 5, true)
			} else {
				f.until(t, lost, 8, false)
			}
			c.heal(f, lost)
			lost.live = 6
			f.until(t, lost, 6, true)
		})
	}
}

// TestLastHostLeaves guards against requests that are sent to a cell whose last host stops.
func TestLastHostLeaves(t *testing.T) {
	f := newFleet(2, 1, 1)
	f.run(5)
	stopping := f.cells[0].hosts[0]
	stopping.courier.options.Membership = func() Membership { return Membership{} }
	f.run(5)
	known := f.cells[1].hosts[0].courier.Known()
	assert.Assert(t, known[0].Leaving)
}

// TestAlone guards against traffic of a host that has neither seeds of other
// cells nor other hosts.
func TestAlone(t *testing.T) {
	f := newFleet(1, 1, 7)
	f.cells[0].hosts[0].courier.targets.seeds = nil
	f.run(30)
	assert.Equal(t, f.cells[0].hosts[0].courier.Traffic(), Traffic{})
}

// TestTargetSize guards against summaries that take more than their part of a host's
// 8 KB/s, and against summaries that expire before they arrive, with 20 cells of 20
// hosts and 7 models.
func TestTargetSize(t *testing.T) {
	f := newFleet(20, 20, 7)
	r := measure(t, f)
	// Of 8,000 bytes/s, gossip inside the cell sends 3,693 and receives as much,
	// and the configuration takes 1,400 of what is received.
	assert.Assert(t, r.worst < 4300, "a host sends %.0f bytes/s", r.worst)
	assert.Assert(t, r.received < 2900, "a host receives %.0f bytes/s", r.received)
	// Without asking back a change takes 12 s; asking back halves the rest of its way.
	assert.Assert(t, r.spread < 10, "a change takes %d s to reach all hosts", r.spread)
}

// result is what measure measures: bytes per second sent by a host in the mean, at most and
// by a dispatcher in the mean, bytes per second received by a host at most, the seconds in
// which a change reaches all hosts, and the bytes of the largest summary.
type result struct {
	mean, worst, dispatcher, received float64
	spread, summary                   int
}

func measure(t testing.TB, f *fleet) result {
	t.Helper()
	f.run(30)
	before := map[*host]Traffic{}
	for _, h := range f.hosts {
		before[h] = h.courier.Traffic()
	}
	const seconds = 60
	f.run(seconds)
	var r result
	for _, h := range f.hosts {
		now := h.courier.Traffic()
		sent := float64(now.Sent-before[h].Sent) / seconds
		r.received = max(r.received, float64(now.Received-before[h].Received)/seconds)
		r.mean += sent / float64(len(f.hosts))
		r.worst = max(r.worst, sent)
		if h == h.cell.hosts[0] {
			r.dispatcher += sent / float64(len(f.cells))
		}
	}
	all, _ := f.cells[0].hosts[0].courier.Answer(&wire.SummaryRequest{})
	for _, s := range all.GetSummaries() {
		r.summary = max(r.summary, proto.Size(s))
	}
	changed := f.cells[len(f.cells)/2]
	changed.live = 3
	r.spread = f.until(t, changed, 3, true)
	return r
}

// BenchmarkSummaries measures what a host sends for the summaries of all cells,
// in messages, and how long a change of upstreams takes to reach all hosts.
func BenchmarkSummaries(b *testing.B) {
	for _, s := range []struct{ cells, hosts, pools int }{
		{2, 20, 7}, {5, 20, 7}, {10, 20, 7}, {20, 20, 7}, {20, 21, 7}, {20, 5, 7}, {20, 20, 1}, {20, 20, 3}, {20, 20, 14},
	} {
		b.Run(fmt.Sprintf("cells=%d/hosts=%d/pools=%d", s.cells, s.hosts, s.pools), func(b *testing.B) {
			for range b.N {
				r := measure(b, newFleet(s.cells, s.hosts, s.pools))
				b.ReportMetric(r.mean, "B/s/host")
				b.ReportMetric(r.worst, "worst-B/s")
				b.ReportMetric(r.dispatcher, "B/s/dispatcher")
				b.ReportMetric(r.received, "worst-received-B/s")
				b.ReportMetric(float64(r.summary), "B/summary")
				b.ReportMetric(float64(r.spread), "s/spread")
			}
		})
	}
}

// TestDecodeLimits guards against a faulty host that fills the memory of others
// or makes them calculate with values out of range.
func TestDecodeLimits(t *testing.T) {
	long := strings.Repeat("x", MaxText+1)
	pools := make([]*wire.PoolSummary, MaxPools+1)
	for i := range pools {
		pools[i] = &wire.PoolSummary{}
	}
	cases := map[string]*wire.CellSummary{
		"no name":         {},
		"long name":       {Cell: long},
		"long address":    {Cell: "c", Dispatcher: long},
		"long fallback":   {Cell: "c", Fallbacks: []string{long}},
		"many fallbacks":  {Cell: "c", Fallbacks: []string{"a", "b", "c"}},
		"many pools":      {Cell: "c", Pools: pools},
		"long model name": {Cell: "c", Pools: []*wire.PoolSummary{{Name: long}}},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, len(decodeSummaries([]*wire.CellSummary{m})), 0)
		})
	}
	odd := &wire.CellSummary{Cell: "c", Age: -5, Pools: []*wire.PoolSummary{{Live: 1 << 31, Free: 1 << 31, Delay: []uint32{1, 2, 3, 4, 5, 6}}}}
	n := decodeSummaries([]*wire.CellSummary{odd})
	assert.Equal(t, n[0].Age, time.Duration(0))
	assert.Equal(t, n[0].Summary.Pools[0].Free, maxCount)
	assert.Equal(t, n[0].Summary.Pools[0].Delay[3], 4*time.Millisecond)
}
