package gossiper

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// maxKeyLists bounds the remembered lists of keys. Hosts of one cell have the same list,
// except for a minute after a host has gone.
const maxKeyLists = 64

// requestVector is the version vector of a request, in the order of its list of keys. The
// response refers to it, so that keys and versions that the requesting host has need not be
// sent back.
type requestVector struct {
	keys  []uint64
	known []uint64
	// ahead is by how much the versions known to exist exceed the known ones.
	ahead []uint64
}

// newRequestVector returns the request vector for the two version vectors of this host.
func newRequestVector(known, heard registrar.Vector) requestVector {
	q := requestVector{keys: make([]uint64, 0, len(heard))}
	for k := range heard {
		q.keys = append(q.keys, uint64(k))
	}
	slices.Sort(q.keys)
	for _, k := range q.keys {
		v := known[registrar.HostKey(k)]
		q.known = append(q.known, v)
		q.ahead = append(q.ahead, heard[registrar.HostKey(k)]-v)
	}
	return q
}

// listHash returns a hash of the keys, by which a request refers to a list of keys that was
// sent before.
func (q requestVector) listHash() uint64 {
	b := make([]byte, 0, 8*len(q.keys))
	for _, k := range q.keys {
		b = binary.LittleEndian.AppendUint64(b, k)
	}
	return xxhash.Sum64(b)
}

// vectors returns the version vectors of the requesting host.
func (q requestVector) vectors() (known, heard registrar.Vector) {
	known, heard = make(registrar.Vector, len(q.keys)), make(registrar.Vector, len(q.keys))
	for i, k := range q.keys {
		known[registrar.HostKey(k)] = q.known[i]
		heard[registrar.HostKey(k)] = q.known[i] + q.ahead[i]
	}
	return known, heard
}

// encodeResponse adds the version vectors of the responding host to out, and returns the
// index of each host's key in the combined list of keys.
func (q requestVector) encodeResponse(known, heard registrar.Vector, out *wire.GossipResponse) map[registrar.HostKey]uint32 {
	index := make(map[registrar.HostKey]uint32, len(heard))
	for i, k := range q.keys {
		index[registrar.HostKey(k)] = uint32(i)
		out.Versions = append(out.Versions, growth(known[registrar.HostKey(k)], q.known[i]))
		out.Ahead = append(out.Ahead, growth(heard[registrar.HostKey(k)], q.known[i]+q.ahead[i]))
	}
	for k := range heard {
		if _, ok := index[k]; !ok {
			index[k] = uint32(len(index))
			out.Keys = append(out.Keys, uint64(k))
			out.Versions, out.Ahead = append(out.Versions, known[k]), append(out.Ahead, heard[k])
		}
	}
	return index
}

// growth returns by how much to exceeds from, or 0.
func growth(to, from uint64) uint64 {
	if to < from {
		return 0
	}
	return to - from
}

// decodeResponse returns the version vectors of a response and the combined list of keys
// that it refers to.
func (q requestVector) decodeResponse(in *wire.GossipResponse) (registrar.Update, []uint64) {
	keys := slices.Concat(q.keys, in.GetKeys())
	u := registrar.Update{Vector: make(registrar.Vector, len(keys)), Heard: make(registrar.Vector, len(keys))}
	for i := range min(len(keys), len(in.GetVersions()), len(in.GetAhead())) {
		k := registrar.HostKey(keys[i])
		u.Vector[k], u.Heard[k] = in.GetVersions()[i], in.GetAhead()[i]
		if i < len(q.keys) {
			u.Vector[k] += q.known[i]
			u.Heard[k] += q.known[i] + q.ahead[i]
		}
	}
	return u, keys
}

// keyLists remembers lists of keys by their hash. It is safe for concurrent use.
type keyLists struct {
	mu   sync.Mutex
	keys map[uint64][]uint64
}

// resolve returns the version vector of a request. It returns false if the keys were left
// out and are not known, or if their number doesn't match the versions.
func (l *keyLists) resolve(q *wire.GossipRequest) (requestVector, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := q.GetKeys()
	switch {
	case len(keys) == 0 && len(q.GetVersions()) > 0:
		keys = l.keys[q.GetList()]
	case len(keys) > 0:
		if l.keys == nil || len(l.keys) >= maxKeyLists {
			l.keys = map[uint64][]uint64{}
		}
		l.keys[requestVector{keys: keys}.listHash()] = keys
	}
	if len(keys) != len(q.GetVersions()) || len(keys) != len(q.GetAhead()) {
		return requestVector{}, false
	}
	return requestVector{keys: keys, known: q.GetVersions(), ahead: q.GetAhead()}, true
}
