package gossiper_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Guards against a departure that is acknowledged while only one host knows it. If that host
// is lost, the others use the upstream until its lease ends.
func TestLeavingIsAcknowledgedOnceOthersKeepIt(t *testing.T) {
	cases := []struct {
		name string
		// lost is the number of the other hosts that can't be reached.
		lost, witnesses int
		status          int
	}{
		{"all reachable", 0, 2, http.StatusOK},
		{"as many lost as may be", 2, 2, http.StatusOK},
		{"one more lost", 3, 2, http.StatusServiceUnavailable},
		{"alone, without witnesses", 4, 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &memory{nodes: map[string]*gossiper.Gossiper{}}
			clock := clockwork.NewFakeClock()
			var all []*gossiper.Gossiper
			for i := range 5 {
				name := fmt.Sprint("host-", i)
				g := gossiper.New(registrar.Host{Name: registrar.HostName(name), Address: name, Incarnation: 1},
					gossiper.WithExchanger(m), gossiper.WithClock(clock), gossiper.WithWitnesses(c.witnesses))
				defer g.Close()
				m.nodes[name] = g
				all = append(all, g)
			}
			u := registrar.Upstream{Name: "hay", Address: "127.0.0.1:9", Incarnation: 3, Sequence: 1, Cell: "main"}
			status, _ := all[1].Announce(t.Context(), u)
			assert.Equal(t, status, http.StatusOK, "an upstream that doesn't leave needs no witness")
			for range 3 {
				for _, g := range all {
					for i := range all {
						g.Exchange(t.Context(), fmt.Sprint("host-", i))
					}
				}
			}
			m.mu.Lock()
			for i := range c.lost {
				delete(m.nodes, fmt.Sprint("host-", 4-i))
			}
			m.mu.Unlock()
			u.Leaving = true
			status, _ = all[0].Announce(t.Context(), u)
			assert.Equal(t, status, c.status)
			kept := 0
			for _, g := range all[1:] {
				if _, live := g.Snapshot().Upstream(clock.Now(), "hay"); !live {
					kept++
				}
			}
			assert.Assert(t, status != http.StatusOK || kept >= c.witnesses, "%d other hosts keep it", kept)
			_, live := all[0].Snapshot().Upstream(clock.Now(), "hay")
			assert.Assert(t, !live, "the host that heard it acts on it at once")
			for i := range all {
				m.mu.Lock()
				m.nodes[fmt.Sprint("host-", i)] = all[i]
				m.mu.Unlock()
			}
			status, _ = all[2].Announce(t.Context(), u)
			assert.Equal(t, status, http.StatusOK, "the upstream says it again")
		})
	}
}

// Guards against a departure without an incarnation that reaches a host which doesn't know
// the upstream: it would be acknowledged, and the others would keep using the upstream.
func TestLeavingAtAnUninformedHost(t *testing.T) {
	m := &memory{nodes: map[string]*gossiper.Gossiper{}}
	clock := clockwork.NewFakeClock()
	node := func(name string) *gossiper.Gossiper {
		g := gossiper.New(registrar.Host{Name: registrar.HostName(name), Address: name, Incarnation: 1},
			gossiper.WithExchanger(m), gossiper.WithClock(clock), gossiper.WithWitnesses(1))
		t.Cleanup(g.Close)
		m.nodes[name] = g
		return g
	}
	a, b := node("a"), node("b")
	for range 2 {
		a.Exchange(t.Context(), "b")
		b.Exchange(t.Context(), "a")
	}
	status, _ := b.Announce(t.Context(), registrar.Upstream{Name: "hay", Address: "127.0.0.1:9", Incarnation: 3, Sequence: 1})
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, a.Known(t.Context(), "hay"), registrar.Incarnation(3))
	assert.Equal(t, a.Known(t.Context(), "straw"), registrar.Incarnation(0))
	status, _ = a.Announce(t.Context(), registrar.Upstream{Name: "hay", Incarnation: 3, Leaving: true})
	assert.Equal(t, status, http.StatusOK)
	_, live := b.Snapshot().Upstream(clock.Now(), "hay")
	assert.Assert(t, !live)
	assert.Equal(t, a.Known(t.Context(), "hay"), registrar.Incarnation(3), "it is known after it has left")
}

// Guards against a KnownUntil that runs ahead of the calls of the hook: hosts that follow
// this one would be told that they know a departure before they do.
func TestKnownUntilFollowsTheHook(t *testing.T) {
	m := &memory{nodes: map[string]*gossiper.Gossiper{}}
	clock := clockwork.NewFakeClock()
	var a *gossiper.Gossiper
	var during []time.Time
	hook := func(x registrar.Action) {
		if r, ok := x.(registrar.Removed); ok && r.Leaving {
			known, _ := a.KnownUntil()
			during = append(during, known)
		}
	}
	for i := range 3 {
		name := fmt.Sprint("host-", i)
		options := []gossiper.Option{gossiper.WithExchanger(m), gossiper.WithClock(clock), gossiper.WithWitnesses(1)}
		if i == 0 {
			options = append(options, gossiper.WithOnAction(hook))
		}
		g := gossiper.New(registrar.Host{Name: registrar.HostName(name), Address: name, Incarnation: 1}, options...)
		defer g.Close()
		m.nodes[name] = g
	}
	a = m.nodes["host-0"]
	for range 2 {
		a.Exchange(t.Context(), "host-1")
	}
	first, ok := a.KnownUntil()
	assert.Assert(t, ok)
	clock.Advance(time.Second)
	m.nodes["host-1"].Depart(registrar.Departure{UpstreamID: "hay", Incarnation: 1, Leaving: true})
	a.Exchange(t.Context(), "host-1")
	assert.Equal(t, len(during), 1)
	assert.Assert(t, during[0].Equal(first), "the time had moved by %s before the departure was handed over", during[0].Sub(first))
	after, _ := a.KnownUntil()
	assert.Equal(t, after.Sub(first), time.Second)
}
