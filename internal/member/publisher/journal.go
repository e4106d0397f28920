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

// journal numbers the changes of the live upstreams. It is not safe for concurrent use.
type journal struct {
	epoch uint64
	// number is that of the latest change.
	number uint64
	live   map[registrar.UpstreamID]record
	// departures are the latest ones, the oldest first. forgotten is the number of the
	// last one that was dropped from the list.
	departures []departure
	forgotten  uint64
	// left are the upstreams that announced their departure. Whole views contain them,
	// too.
	left  map[registrar.UpstreamID]departure
	clock clockwork.Clock
}

// record is an upstream with the number of its last change.
type record struct {
	upstream registrar.Upstream
	number   uint64
}

// departure is the removal of an upstream with the number of that change.
type departure struct {
	registrar.Departure
	number uint64
	// at is when any host first learned of it.
	at time.Time
}

// withAge returns the departure with its age at now.
func (d departure) withAge(now time.Time) registrar.Departure {
	d.Age = now.Sub(d.at)
	return d.Departure
}

func newJournal(epoch uint64, c clockwork.Clock) journal {
	// Epoch 0 stands for a host that has nothing yet.
	return journal{
		epoch: max(epoch, 1), live: map[registrar.UpstreamID]record{}, left: map[registrar.UpstreamID]departure{}, clock: c,
	}
}

// next returns the number of a new change.
func (j *journal) next() uint64 {
	j.number++
	return j.number
}

// change records an announcement and reports whether it changes more than the sequence and
// the load of a live upstream.
func (j *journal) change(u registrar.Upstream) bool {
	if known, ok := j.live[u.Name]; ok && registrar.SameDescription(known.upstream, u) {
		return false
	}
	j.live[u.Name] = record{u, j.next()}
	return true
}

// depart records the removal of an upstream.
func (j *journal) depart(d registrar.Departure) {
	delete(j.live, d.UpstreamID)
	now := j.clock.Now()
	next := departure{d, j.next(), now.Add(-d.Age)}
	j.departures = append(j.departures, next)
	if d.Leaving {
		j.forget(now)
		j.left[d.UpstreamID] = next
	}
	if drop := len(j.departures) - maxDepartures; drop > 0 {
		j.forgotten = j.departures[drop-1].number
		j.departures = append([]departure(nil), j.departures[drop:]...)
	}
}

// forget drops announced departures older than registrar.TombstoneRetention. No
// announcement that is still in transit is older than that.
func (j *journal) forget(now time.Time) {
	for id, d := range j.left {
		if now.Sub(d.at) > registrar.TombstoneRetention {
			delete(j.left, id)
		}
	}
}

// lacks reports whether there are changes that a host with the epoch and number doesn't
// have.
func (j *journal) lacks(epoch, number uint64) bool {
	return epoch != j.epoch || number < j.number
}

// addChanges adds to a response what a host with the change number known doesn't have; 0
// asks for everything.
func (j *journal) addChanges(known uint64, a *wire.MembersResponse) {
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
	a.Departures = gossiper.EncodeDepartures(j.missingDepartures(known, a.Full))
}

// missingDepartures lists the departures that a host with the change number known doesn't
// have. A full response needs only the announced ones: they are final, while other removed
// upstreams are dropped because they aren't among the live ones.
func (j *journal) missingDepartures(known uint64, full bool) []registrar.Departure {
	list := j.departures
	if full {
		j.forget(j.clock.Now())
		list = slices.Collect(maps.Values(j.left))
	}
	var gone []registrar.Departure
	for _, d := range list {
		if _, back := j.live[d.UpstreamID]; d.number > known && !back {
			gone = append(gone, d.withAge(j.clock.Now()))
		}
	}
	return gone
}
