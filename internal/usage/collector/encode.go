package collector

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

// errEncoding says that bytes are no encoded entries.
var errEncoding = errors.New("no encoded counts of usage")

// Encode returns the entries in a compact form: the organisations, then for each source
// and window the numbers of organisations and the counts.
func Encode(all []Entry) []byte {
	numbers := map[validator.OrganisationName]uint64{}
	for _, e := range all {
		numbers[e.Organisation] = 0
	}
	names := slices.Sorted(maps.Keys(numbers))
	b := binary.AppendUvarint(nil, uint64(len(names)))
	for i, n := range names {
		numbers[n] = uint64(i)
		b = appendText(b, string(n))
	}
	for len(all) > 0 {
		first, n := all[0], 1
		for n < len(all) && all[n].Source == first.Source && all[n].Window == first.Window {
			n++
		}
		b = appendText(b, string(first.Source.Host))
		b = binary.AppendVarint(b, first.Source.Boot)
		b = binary.AppendVarint(b, int64(first.Window))
		b = binary.AppendUvarint(b, uint64(n))
		for _, e := range all[:n] {
			b = binary.AppendUvarint(b, numbers[e.Organisation])
			b = binary.AppendUvarint(b, e.Count.Count)
		}
		all = all[n:]
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode returns the entries that Encode has encoded.
func Decode(data []byte) ([]Entry, error) {
	r := reader{data: data}
	names := make([]validator.OrganisationName, 0)
	for range r.length() {
		names = append(names, validator.OrganisationName(r.text()))
	}
	var all []Entry
	for len(r.data) > 0 && !r.failed {
		s := Source{Host: registrar.HostName(r.text()), Boot: r.signed()}
		w := provider.Window(r.signed())
		for range r.length() {
			n := r.unsigned()
			if n >= uint64(len(names)) {
				return nil, errEncoding
			}
			all = append(all, Entry{s, counter.Count{Window: w, Organisation: names[n], Count: r.unsigned()}})
		}
	}
	if r.failed {
		return nil, errEncoding
	}
	return all, nil
}

// reader reads encoded values. After a failure it returns zeros.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) skip(n int) {
	if n <= 0 || n > len(r.data) {
		r.data, r.failed = nil, true
		return
	}
	r.data = r.data[n:]
}

func (r *reader) unsigned() uint64 {
	v, n := binary.Uvarint(r.data)
	r.skip(n)
	return v
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.data)
	r.skip(n)
	return v
}

// length reads a number of elements, each of which takes at least a byte.
func (r *reader) length() int {
	v := r.unsigned()
	if v > uint64(len(r.data)) {
		r.data, r.failed = nil, true
		return 0
	}
	return int(v)
}

func (r *reader) text() string {
	n := r.length()
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}
