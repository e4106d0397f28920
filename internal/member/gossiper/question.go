package gossiper

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// maxLists bounds the remembered lists of keys. Hosts of one cell have the same
// list but for a minute after a host has gone.
const maxLists = 64

// question is the version vector of a request in the order of its keys. The
// answer refers to it, so that keys and versions that the asking host has need
// not travel back.
type question struct {
	keys  []uint64
	known []uint64
	// ahead is how far the versions heard of run ahead of the known ones.
	ahead []uint64
}

func newQuestion(known, heard registrar.Vector) question {
	q := question{keys: make([]uint64, 0, len(heard))}
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

func (q question) list() uint64 {
	b := make([]byte, 0, 8*len(q.keys))
	for _, k := range q.keys {
		b = binary.LittleEndian.AppendUint64(b, k)
	}
	return xxhash.Sum64(b)
}

func (q question) vectors() (known, heard registrar.Vector) {
	known, heard = make(registrar.Vector, len(q.keys)), make(registrar.Vector, len(q.keys))
	for i, k := range q.keys {
		known[registrar.HostKey(k)] = q.known[i]
		heard[registrar.HostKey(k)] = q.known[i] + q.ahead[i]
	}
	return known, heard
}

// answer writes the vectors of the answering host and returns the index of each
// host's key.
func (q question) answer(known, heard registrar.Vector, out *wire.GossipResponse) map[registrar.HostKey]uint32 {
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

func growth(to, from uint64) uint64 {
	if to < from {
		return 0
	}
	return to - from
}

// read returns the vectors of an answer and the keys that it refers to.
func (q question) read(in *wire.GossipResponse) (registrar.Update, []uint64) {
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

// lists remembers lists of keys by their hash.
type lists struct {
	mu   sync.Mutex
	keys map[uint64][]uint64
}

// resolve returns the question of a request, or false when its keys were left
// out and are not known.
func (l *lists) resolve(q *wire.GossipRequest) (question, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := q.GetKeys()
	switch {
	case len(keys) == 0 && len(q.GetVersions()) > 0:
		keys = l.keys[q.GetList()]
	case len(keys) > 0:
		if l.keys == nil || len(l.keys) >= maxLists {
			l.keys = map[uint64][]uint64{}
		}
		l.keys[question{keys: keys}.list()] = keys
	}
	if len(keys) != len(q.GetVersions()) || len(keys) != len(q.GetAhead()) {
		return question{}, false
	}
	return question{keys: keys, known: q.GetVersions(), ahead: q.GetAhead()}, true
}
