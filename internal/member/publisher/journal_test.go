package publisher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// copyOf decodes a response as a watching host does.
func copyOf(began time.Time, a *wire.MembersResponse) registrar.ViewUpdate {
	c := registrar.ViewUpdate{Began: began, Full: a.GetFull()}
	for _, u := range a.GetUpstreams() {
		c.Changed = append(c.Changed, gossiper.DecodeUpstream(u).Upstream)
	}
	for _, d := range a.GetDepartures() {
		c.Departures = append(c.Departures, registrar.Departure{UpstreamID: registrar.UpstreamID(d.GetName()), Incarnation: registrar.Incarnation(d.GetIncarnation())})
	}
	return c
}

// follower is a watching host that asks two publishers, loses responses and asks late.
type follower struct {
	mirror *registrar.Mirror
	epoch  uint64
	number uint64
}

func (f *follower) ask(now time.Time, j *journal, lost bool) {
	known := f.number
	if f.epoch != j.epoch {
		known = 0
	}
	a := &wire.MembersResponse{Epoch: j.epoch}
	j.addChanges(known, a)
	if lost {
		return
	}
	f.mirror.Apply(now, copyOf(now, a))
	f.epoch, f.number = a.GetEpoch(), a.GetNumber()
}

// Guards against a watching host that keeps a removed upstream or lacks a live one after a
// response. Whatever was lost before, whichever host it asked and however long it did not
// ask, a response has to bring it to the view of the host.
func TestEachAnswerBringsTheWholeView(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 200
	}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_700_000_000, 0)
		journals := []*journal{newTestJournal(1), newTestJournal(2)}
		f := &follower{mirror: registrar.NewMirror(now, registrar.Host{Name: "self"}, time.Hour)}
		incarnation := registrar.Incarnation(1)
		for step := range 120 {
			now = now.Add(10 * time.Millisecond)
			j := journals[random.IntN(2)]
			id := registrar.UpstreamID(fmt.Sprint("u", random.IntN(8)))
			switch random.IntN(8) {
			case 0, 1:
				incarnation++
				j.change(registrar.Upstream{Name: id, Incarnation: incarnation})
			case 2:
				if r, ok := j.live[id]; ok {
					r.upstream.Sequence++
					assert.Assert(t, !j.change(r.upstream), "a renewal is no change")
				}
			case 3, 4:
				if r, ok := j.live[id]; ok {
					j.depart(registrar.Departure{UpstreamID: id, Incarnation: r.upstream.Incarnation})
				}
			case 5:
				if random.IntN(20) == 0 {
					*j = *newTestJournal(random.Uint64())
				}
			default:
				lost := random.IntN(4) == 0
				f.ask(now, j, lost)
				if !lost {
					assert.DeepEqual(t, viewOf(f.mirror, now), j.names())
				}
			}
			_ = step
		}
	}
}

func newTestJournal(epoch uint64) *journal {
	j := newJournal(epoch, clockwork.NewFakeClock())
	return &j
}

func (j *journal) names() []string {
	list := []string{}
	for id, r := range j.live {
		list = append(list, fmt.Sprint(id, " ", r.upstream.Incarnation))
	}
	slices.Sort(list)
	return list
}

func viewOf(m *registrar.Mirror, now time.Time) []string {
	list := []string{}
	for _, u := range m.Snapshot().Upstreams(now) {
		list = append(list, fmt.Sprint(u.Name, " ", u.Incarnation))
	}
	slices.Sort(list)
	return list
}

// Guards against departures that are kept forever, and against a host that asks for
// forgotten ones and keeps the removed upstreams.
func TestForgottenDepartures(t *testing.T) {
	j := newTestJournal(1)
	j.change(registrar.Upstream{Name: "old", Incarnation: 1})
	known := j.number
	j.depart(registrar.Departure{UpstreamID: "old", Incarnation: 1})
	for i := range 2 * maxDepartures {
		j.depart(registrar.Departure{UpstreamID: registrar.UpstreamID(fmt.Sprint(i)), Incarnation: 1})
	}
	assert.Equal(t, len(j.departures), maxDepartures)
	a := &wire.MembersResponse{}
	j.addChanges(known, a)
	assert.Assert(t, a.GetFull())
	b := &wire.MembersResponse{}
	j.addChanges(j.number-3, b)
	assert.Assert(t, !b.GetFull())
	assert.Equal(t, len(b.GetDepartures()), 3)
}
