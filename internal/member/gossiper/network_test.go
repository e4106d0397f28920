package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// relay forwards connections and can make the open ones silent permanently.
type relay struct {
	net.Listener
	target string
	group  conc.WaitGroup
	mu     sync.Mutex
	open   []net.Conn
	// silent is the number of the first connection that still forwards.
	silent atomic.Int64
}

func newRelay(t *testing.T, target string) *relay {
	r := &relay{Listener: listen(t, nil), target: target}
	r.group.Go(r.serve)
	t.Cleanup(func() {
		_ = r.Close()
		r.mu.Lock()
		for _, c := range r.open {
			_ = c.Close()
		}
		r.mu.Unlock()
		r.group.Wait()
	})
	return r
}

func (r *relay) serve() {
	for number := int64(0); ; number++ {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.open = append(r.open, in, out)
		r.mu.Unlock()
		r.group.Go(func() { r.forward(number, out, in) })
		r.group.Go(func() { r.forward(number, in, out) })
	}
}

// forward copies data, and discards it once the connection is silent.
func (r *relay) forward(number int64, to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if number < r.silent.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) / 2
}

// Guards against exchanges that keep using a permanently silent connection while new
// connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := startNode(t, 1, listen(t, nil))
	defer a.stop()
	r := newRelay(t, a.address)
	b := gossiper.New(registrar.Host{Name: "entry-2", Address: "127.0.0.1:1"})
	defer b.Close()
	hears := func(sequence uint64) poll.Check {
		return func(poll.LogT) poll.Result {
			post(a.Gossiper, fmt.Sprintf(`{"name":"hay","address":"127.0.0.1:9","models":["hay"],"incarnation":1,"sequence":%d}`, sequence))
			b.Exchange(context.Background(), r.Addr().String())
			if u, _ := b.Snapshot().Upstream(time.Now(), "hay"); u.Sequence == sequence {
				return poll.Success()
			}
			return poll.Continue("sequence %d not heard", sequence)
		}
	}
	poll.WaitOn(t, hears(1), poll.WithTimeout(30*time.Second))
	before := r.connections()
	r.silent.Store(int64(before))
	poll.WaitOn(t, hears(2), poll.WithTimeout(30*time.Second))
	assert.Assert(t, r.connections() > before)
}

// memory is an Exchanger without a network. Each message is encoded and decoded.
type memory struct {
	mu    sync.Mutex
	nodes map[string]*gossiper.Gossiper
	full  int
}

func (m *memory) Exchange(_ context.Context, address string, q *wire.GossipRequest) (*wire.GossipResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(q.GetKeys()) > 0 {
		m.full++
	}
	a, err := m.nodes[address].Answer(throughWire(q, &wire.GossipRequest{}))
	if err != nil {
		return nil, err
	}
	return throughWire(a, &wire.GossipResponse{}), nil
}

func (m *memory) Announce(ctx context.Context, address string, q *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	m.mu.Lock()
	node := m.nodes[address]
	m.mu.Unlock()
	if node == nil {
		return nil, errors.New("no such host")
	}
	a, err := node.AnnounceFromPeer(ctx, connect.NewRequest(throughWire(q, &wire.AnnounceRequest{})))
	if err != nil {
		return nil, err
	}
	return throughWire(a.Msg, &wire.AnnounceResponse{}), nil
}

func (m *memory) Close() {}

func throughWire[T proto.Message](from, to T) T {
	b, err := proto.Marshal(from)
	if err == nil {
		err = proto.Unmarshal(b, to)
	}
	if err != nil {
		panic(err)
	}
	return to
}

// fingerprintSet is a set of fingerprints.
type fingerprintSet map[string]bool

func (p fingerprintSet) Fingerprints() (list []*wire.Fingerprint) {
	for d := range p {
		list = append(list, &wire.Fingerprint{Digest: d, Crashes: 1})
	}
	return list
}

func (p fingerprintSet) MergeFingerprints(list []*wire.Fingerprint) {
	for _, f := range list {
		p[f.GetDigest()] = true
	}
}

// revisions records the confirmations that were learned.
type revisions struct {
	own     gossiper.Confirmation
	learned []gossiper.Confirmation
}

func (r *revisions) Confirmation() gossiper.Confirmation { return r.own }
func (r *revisions) Learn(_ string, _ time.Time, c gossiper.Confirmation) {
	r.learned = append(r.learned, c)
}
func (r *revisions) Document(uint64) *wire.Revision { return nil }

// Guards against messages that lose a field, against keys that are left out for
// a host that doesn't know them, and against a confirmation that is accepted from
// a request, whose transit time is unknown.
func TestExchangeCarriesEverything(t *testing.T) {
	m := &memory{nodes: map[string]*gossiper.Gossiper{}}
	clock := clockwork.NewFakeClock()
	node := func(name string, p fingerprintSet, r *revisions) *gossiper.Gossiper {
		g := gossiper.New(registrar.Host{Name: registrar.HostName(name), Address: name, Centre: "patan", Cell: "main", Incarnation: 5},
			gossiper.WithExchanger(m), gossiper.WithClock(clock), gossiper.WithFingerprints(p), gossiper.WithRevisions(r))
		m.nodes[name] = g
		return g
	}
	ap, bp := fingerprintSet{"x": true}, fingerprintSet{"y": true}
	ar := &revisions{own: gossiper.Confirmation{Revision: 4, Check: 44, Age: 1500 * time.Microsecond}}
	br := &revisions{own: gossiper.Confirmation{Revision: 3, Check: 33, Age: -1}}
	a, b := node("a", ap, ar), node("b", bp, br)
	defer a.Close()
	defer b.Close()
	body := `{"name":"hay","address":"127.0.0.1:9","centre":"patan","cell":"south","services":["s"],"models":["m"],"adapters":["d"],"versions":["v"],"incarnation":2,"sequence":%d,"slots":4,"load":{"running":1,"waiting":2,"cache":0.125}}`
	var sent registrar.Upstream
	for i := range 20 {
		u, err := gossiper.DecodeAnnouncement(fmt.Appendf(nil, body, i+1))
		assert.NilError(t, err)
		sent = u
		announceDirectly(t, a, fmt.Sprintf(body, i+1))
		b.Exchange(t.Context(), "a")
		a.Exchange(t.Context(), "b")
	}
	got, live := b.Snapshot().Upstream(clock.Now(), "hay")
	assert.Assert(t, live)
	assert.DeepEqual(t, got, sent)
	for _, g := range []*gossiper.Gossiper{a, b} {
		assert.Equal(t, len(g.Snapshot().Hosts()), 2)
	}
	h, _ := b.Snapshot().Host("a")
	assert.DeepEqual(t, h, registrar.Host{Name: "a", Address: "a", Centre: "patan", Cell: "main", Incarnation: 5, Revision: 4})
	assert.Assert(t, ap["y"] && bp["x"])
	assert.Assert(t, m.full <= 6, "keys were sent in %d of 40 requests", m.full)
	for _, c := range br.learned {
		assert.Assert(t, c == gossiper.Confirmation{Revision: 4, Check: 44, Age: 2 * time.Millisecond} || c == gossiper.Confirmation{Revision: 4, Check: 44, Age: -1})
	}
	// A departure that only the stopping host knows must spread before the lease
	// ends. The clock of the lease stands still here.
	announceDirectly(t, a, `{"name":"hay","incarnation":2,"sequence":99,"leaving":true}`)
	a.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, live := b.Snapshot().Upstream(clock.Now(), "hay"); live || len(b.Snapshot().Hosts()) > 1 {
			return poll.Continue("%v", b.Snapshot().Hosts())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against cells that share a seed and merge into one.
func TestScopedCellsStayApart(t *testing.T) {
	m := &memory{nodes: map[string]*gossiper.Gossiper{}}
	clock := clockwork.NewFakeClock()
	var all []*gossiper.Gossiper
	for i, cell := range []string{"east", "east", "west", "west"} {
		name := fmt.Sprint("entry-", i)
		g := gossiper.New(registrar.Host{Name: registrar.HostName(name), Address: name, Cell: registrar.CellName(cell), Incarnation: 1},
			gossiper.WithExchanger(m), gossiper.WithClock(clock), gossiper.WithRegistrarOptions(registrar.WithScope()))
		m.nodes[name] = g
		all = append(all, g)
		defer g.Close()
		announceDirectly(t, g, fmt.Sprintf(`{"name":"hay-%d","address":"127.0.0.1:9","models":["m"],"incarnation":1,"sequence":1}`, i))
	}
	for range 5 {
		for _, g := range all {
			for i := range all {
				g.Exchange(t.Context(), fmt.Sprint("entry-", i))
			}
		}
	}
	for _, g := range all {
		assert.Equal(t, len(g.Snapshot().Hosts()), 2)
		assert.Equal(t, len(g.Snapshot().Upstreams(clock.Now())), 2)
	}
}
