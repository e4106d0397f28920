package gossiper

import (
	"math"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// maxTerm bounds the term in another host's description. An owner in a higher one could
// never be replaced.
const maxTerm = 1 << 48

// thousandths is the factor by which renewals scale the cache share to an integer.
const thousandths = 1000

// EncodeHost converts the description of a host to its wire format.
func EncodeHost(n registrar.HostDescription) *wire.EntryHost {
	return &wire.EntryHost{
		Name:        string(n.Host.Name),
		Address:     n.Host.Address,
		Centre:      string(n.Host.Centre),
		Cell:        string(n.Host.Cell),
		Incarnation: uint64(n.Host.Incarnation),
		Draining:    n.Host.Draining,
		Left:        n.Host.Left,
		Control:     n.Host.Control,
		Revision:    n.Host.Revision,
		Age:         n.Age.Milliseconds(),
		Described:   n.DescriptionVersion,
		Watchers:    count(n.Host.Watchers),
		Term:        n.Host.Term,
	}
}

// DecodeHost converts the description of a host from its wire format.
func DecodeHost(h *wire.EntryHost) registrar.HostDescription {
	return registrar.HostDescription{
		Host: registrar.Host{
			Name:        registrar.HostName(h.GetName()),
			Address:     h.GetAddress(),
			Centre:      registrar.DataCentre(h.GetCentre()),
			Cell:        registrar.CellName(h.GetCell()),
			Incarnation: registrar.Incarnation(h.GetIncarnation()),
			Draining:    h.GetDraining(),
			Left:        h.GetLeft(),
			Control:     h.GetControl(),
			Revision:    h.GetRevision(),
			Watchers:    int(min(h.GetWatchers(), math.MaxInt32)),
			Term:        min(h.GetTerm(), maxTerm),
		},
		DescriptionVersion: h.GetDescribed(),
		Age:                milliseconds(h.GetAge()),
	}
}

// milliseconds converts a number from a peer to a duration from 0 to one hour, so that
// later sums can't overflow.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), time.Hour.Milliseconds())) * time.Millisecond
}

// encodeUpdate adds an update to the response to a request with the version vector q.
func encodeUpdate(u registrar.Update, q requestVector, out *wire.GossipResponse) {
	index := q.encodeResponse(u.Vector, u.Heard, out)
	for _, h := range u.Hosts {
		out.Hosts = append(out.Hosts, EncodeHost(h))
	}
	for _, n := range u.Announcements {
		out.Upstreams = append(out.Upstreams, EncodeUpstream(n))
	}
	for _, r := range u.Renewals {
		i, ok := index[r.Stamp.Origin]
		if !ok {
			i = uint32(len(index))
			index[r.Stamp.Origin] = i
			// Version 0 claims no knowledge of a host that is only referred to.
			out.Keys = append(out.Keys, uint64(r.Stamp.Origin))
			out.Versions, out.Ahead = append(out.Versions, 0), append(out.Ahead, 0)
		}
		out.Renewals = append(out.Renewals, &wire.Renewal{
			Key:       uint64(r.Key),
			Sequence:  r.Sequence,
			Running:   count(r.Load.Running),
			Waiting:   count(r.Load.Waiting),
			Cache:     uint32(math.Round(r.Load.Cache * thousandths)),
			Remaining: r.Remaining.Milliseconds(),
			Origin:    i,
			Version:   r.Stamp.Version,
		})
	}
}

// decodeUpdate reads the update from the response to a request with the version vector q.
// Renewals that refer to an unknown key are skipped.
func decodeUpdate(in *wire.GossipResponse, q requestVector) registrar.Update {
	u, keys := q.decodeResponse(in)
	for _, h := range in.GetHosts() {
		u.Hosts = append(u.Hosts, DecodeHost(h))
	}
	for _, n := range in.GetUpstreams() {
		u.Announcements = append(u.Announcements, DecodeUpstream(n))
	}
	for _, r := range in.GetRenewals() {
		if int(r.GetOrigin()) >= len(keys) {
			continue
		}
		u.Renewals = append(u.Renewals, registrar.Renewal{
			Key:       registrar.UpstreamKey(r.GetKey()),
			Sequence:  r.GetSequence(),
			Load:      registrar.Load{Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Cache: float64(r.GetCache()) / thousandths},
			Stamp:     registrar.Stamp{Origin: registrar.HostKey(keys[r.GetOrigin()]), Version: r.GetVersion()},
			Remaining: milliseconds(r.GetRemaining()),
		})
	}
	return u
}

// EncodeUpstream converts a relayed announcement to its wire format.
func EncodeUpstream(n registrar.RelayedAnnouncement) *wire.Upstream {
	u := n.Upstream
	return &wire.Upstream{
		Name:        string(u.Name),
		Address:     u.Address,
		Centre:      string(u.Centre),
		Cell:        string(u.Cell),
		Services:    texts(u.Services),
		Models:      texts(u.Models),
		Adapters:    u.Adapters,
		Versions:    u.Versions,
		Incarnation: uint64(u.Incarnation),
		Sequence:    u.Sequence,
		Slots:       count(u.Slots),
		Running:     count(u.Load.Running),
		Waiting:     count(u.Load.Waiting),
		Cache:       u.Load.Cache,
		Leaving:     u.Leaving,
		Spot:        u.Spot,
		Ends:        u.Ends.Milliseconds(),
		Remaining:   n.Remaining.Milliseconds(),
		Origin:      uint64(n.Stamp.Origin),
		Version:     n.Stamp.Version,
		Describer:   uint64(n.DescriptionStamp.Origin),
		Described:   n.DescriptionStamp.Version,
	}
}

// DecodeUpstream converts a relayed announcement from its wire format.
func DecodeUpstream(u *wire.Upstream) registrar.RelayedAnnouncement {
	return registrar.RelayedAnnouncement{
		Upstream: registrar.Upstream{
			Name:        registrar.UpstreamID(u.GetName()),
			Address:     u.GetAddress(),
			Centre:      registrar.DataCentre(u.GetCentre()),
			Cell:        registrar.CellName(u.GetCell()),
			Services:    pools(u.GetServices()),
			Models:      pools(u.GetModels()),
			Adapters:    u.GetAdapters(),
			Versions:    u.GetVersions(),
			Incarnation: registrar.Incarnation(u.GetIncarnation()),
			Sequence:    u.GetSequence(),
			Slots:       int(u.GetSlots()),
			Load:        registrar.Load{Running: int(u.GetRunning()), Waiting: int(u.GetWaiting()), Cache: u.GetCache()},
			Leaving:     u.GetLeaving(),
			Spot:        u.GetSpot(),
			Ends:        milliseconds(u.GetEnds()),
		},
		Stamp:            registrar.Stamp{Origin: registrar.HostKey(u.GetOrigin()), Version: u.GetVersion()},
		DescriptionStamp: registrar.Stamp{Origin: registrar.HostKey(u.GetDescriber()), Version: u.GetDescribed()},
		Remaining:        milliseconds(u.GetRemaining()),
	}
}

// count converts a number to its wire format, limited to 0 to math.MaxInt32.
func count(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

func texts(list []validator.PoolName) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = string(p)
	}
	return out
}

func pools(list []string) []validator.PoolName {
	var out []validator.PoolName
	for _, s := range list {
		out = append(out, validator.PoolName(s))
	}
	return out
}

// EncodeDepartures converts departures to their wire format.
func EncodeDepartures(list []registrar.Departure) []*wire.Departure {
	all := make([]*wire.Departure, 0, len(list))
	for _, d := range list {
		all = append(all, &wire.Departure{Name: string(d.UpstreamID), Incarnation: uint64(d.Incarnation), Leaving: d.Leaving, Age: d.Age.Milliseconds()})
	}
	return all
}

// DecodeDepartures converts departures from their wire format.
func DecodeDepartures(list []*wire.Departure) []registrar.Departure {
	all := make([]registrar.Departure, 0, len(list))
	for _, d := range list {
		all = append(all, registrar.Departure{
			UpstreamID: registrar.UpstreamID(d.GetName()), Incarnation: registrar.Incarnation(d.GetIncarnation()), Leaving: d.GetLeaving(),
			Age: milliseconds(d.GetAge()),
		})
	}
	return all
}
