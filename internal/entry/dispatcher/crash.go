package dispatcher

import (
	"strconv"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// processSeparator stands between the name and the incarnation of an upstream. Decoding
// splits at the last one, in case the name contains it.
const processSeparator = "@"

// EncodeCrashes converts crash records to messages for other hosts.
func EncodeCrashes(records []detector.Record) []*wire.Fingerprint {
	var all []*wire.Fingerprint
	for _, r := range records {
		f := &wire.Fingerprint{Digest: r.Fingerprint, Crashes: uint32(len(r.Crashes)), Remaining: r.Remaining.Milliseconds()}
		for _, p := range r.Crashes {
			f.Upstreams = append(f.Upstreams, string(p.Upstream)+processSeparator+strconv.FormatUint(uint64(p.Incarnation), 10))
		}
		all = append(all, f)
	}
	return all
}

// DecodeCrashes converts messages of another host to crash records. It leaves out crashes
// whose upstream or incarnation can't be parsed.
func DecodeCrashes(list []*wire.Fingerprint) []detector.Record {
	var records []detector.Record
	for _, f := range list {
		r := detector.Record{Fingerprint: f.Digest, Remaining: time.Duration(f.Remaining) * time.Millisecond}
		for _, u := range f.Upstreams {
			i := strings.LastIndex(u, processSeparator)
			if i < 0 {
				continue
			}
			incarnation, err := strconv.ParseUint(u[i+1:], 10, 64)
			if err != nil {
				continue
			}
			r.Crashes = append(r.Crashes, detector.Process{Upstream: registrar.UpstreamID(u[:i]), Incarnation: registrar.Incarnation(incarnation)})
		}
		records = append(records, r)
	}
	return records
}
