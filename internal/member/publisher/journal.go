package publisher

import (
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// journal numbers the changes of the live upstreams.
type journal struct {
	epoch  uint64
	number uint64
	live   map[registrar.UpstreamID]record
	// departures are the latest, oldest first; forgotten is the number of the last
	// one that was dropped.
	departures []departure
	forgotten  uint64
	// left are the upstreams that leave. Whole views tell them, too.
	left  map[registrar.UpstreamID]departure
	clock clockwork.Clock
}

// record is an upstream with the number of its last change.
type record struct {
	upstream registrar.Upstream
	number   uint64
}

type departure struct {
	registrar.Departure
	number uint64
	// at is when it was heard first.
	at time.Time
}

// told returns the departure with its present age.
func (d departure) told(now time.Time) registrar.Departure {
	d.Age = now.Sub(d.at)
	return d.Departure
}

func newJournal(epoch uint64, c clockwork.Clock) journal {
	// 0 stands for a host that has nothing yet.
	return journal{
		epoch: max(epoch, 1), live: map[registrar.UpstreamID]record{}, left: map[registrar.UpstreamID]departure{}, clock: c,
	}
}

// next numbers a change.
func (j *journal) next() uint64 {
	j.number++
	return j.number
}

// change notes an announcement and reports whether it tells anything but that the
// upstream is alive.
func (j *journal) change(u registrar.Upstream) bool {
	if known, ok := j.live[u.Name]; ok && registrar.SameDescription(known.upstream, u) {
		return false
	}
	j.live[u.Name] = record{u, j.next()}
	return true
}

func (j *journal) depart(d registrar.Departure) {
	delete(j.live, d.UpstreamID)
	now := j.clock.Now()
	next := departure{d, j.next(), now.Add(-d.Age)}
	j.departures = append(j.departures, next)
	if d.Leaving {
		j.forget(now)
		j.left[d.UpstreamID] = next
	}
	if drop := len(j.departures) - keepDepartures; drop > 0 {
		j.forgotten = j.departures[drop-1].number
		j.departures = append([]departure(nil), j.departures[drop:]...)
	}
}

// forget drops the upstreams that left so long ago that nothing on its way is older.
func (j *journal) forget(now time.Time) {
	for id, d := range j.left {
		if now.Sub(d.at) > registrar.TombstoneRetention {
			delete(j.left, id)
		}
	}
}

// lacks reports whether there is something that a host with the number doesn't have.
func (j *journal) lacks(epoch, number uint64) bool {
	return epoch != j.epoch || number < j.number
}

// tell adds what a host with the number doesn't have; 0 asks for everything.
func (j *journal) tell(known uint64, a *wire.MembersResponse) {
	a.Number = j.number
	a.Full = known == 0 || known < j.forgotten
	if a.Full {
		known = 0
	}
	for _, r := range j.live {
		if r.number > known {
			a.Upstreams = append(a.Upstreams, gossiper.EncodeUpstream(registrar.RelayedAnnouncement{Upstream: r.upstream}))
		}
	}
	a.Departures = gossiper.EncodeDepartures(j.gone(known, a.Full))
}

// gone lists the departures that a host with the number doesn't have. Everything that is
// live drops the others; those that leave are final beyond it.
func (j *journal) gone(known uint64, full bool) []registrar.Departure {
	list := j.departures
	if full {
		j.forget(j.clock.Now())
		list = slices.Collect(maps.Values(j.left))
	}
	var gone []registrar.Departure
	for _, d := range list {
		if _, back := j.live[d.UpstreamID]; d.number > known && !back {
			gone = append(gone, d.told(j.clock.Now()))
		}
	}
	return gone
}
