package dispatcher

import (
	"strconv"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// processSeparator stands between the name and the incarnation of an upstream. Decoding
// splits at the last one, in case the name contains it.
const processSeparator = "@"

// CrashRecords is what a host knows about requests, and parts of requests, that crash
// upstreams.
type CrashRecords struct {
	Requests []detector.Record
	Parts    []attributor.Record
}

// Empty reports whether there are no records.
func (r CrashRecords) Empty() bool { return len(r.Requests) == 0 && len(r.Parts) == 0 }

// Settled returns the records whose crashes are certain.
func (r CrashRecords) Settled(now time.Time) CrashRecords {
	var settled CrashRecords
	for _, one := range r.Requests {
		if one.Settled() {
			settled.Requests = append(settled.Requests, one)
		}
	}
	for _, one := range r.Parts {
		if one.Settled(now) {
			settled.Parts = append(settled.Parts, one)
		}
	}
	return settled
}

// EncodeCrashes converts crash records to messages for other hosts.
func EncodeCrashes(records CrashRecords, now time.Time) []*wire.Fingerprint {
	var all []*wire.Fingerprint
	for _, r := range records.Parts {
		all = append(all, encodePart(r, now))
	}
	for _, r := range records.Requests {
		f := &wire.Fingerprint{Digest: r.Fingerprint, Crashes: uint32(len(r.Crashes)), Remaining: r.Remaining.Milliseconds()}
		for _, p := range r.Crashes {
			f.Upstreams = append(f.Upstreams, encodeProcess(p))
		}
		all = append(all, f)
	}
	return all
}

// encodePart converts the record of a part. Its digest identifies the part among the
// fingerprints.
func encodePart(r attributor.Record, now time.Time) *wire.Fingerprint {
	p := &wire.SharedPart{Pool: string(r.Part.Pool), Hash: r.Part.Hash, Proven: r.Proven}
	for _, c := range r.Crashes {
		m := &wire.PartCrash{Upstream: encodeProcess(c.Process), Version: uint64(c.Version), Organisation: string(c.Organisation), Age: now.Sub(c.At).Milliseconds(), Overlaps: c.Overlaps}
		if !c.Granted.IsZero() {
			age := now.Sub(c.Granted).Milliseconds()
			m.Granted = &age
		}
		p.Crashes = append(p.Crashes, m)
	}
	for _, s := range r.Answers {
		p.Answers = append(p.Answers, &wire.PartAnswer{Version: uint64(s.Version), Age: now.Sub(s.At).Milliseconds()})
	}
	return &wire.Fingerprint{Digest: string(r.Part.Pool) + "/" + strconv.FormatUint(r.Part.Hash, 16), Part: p}
}

// DecodeCrashes converts messages of another host to crash records. It leaves out crashes
// whose upstream or incarnation can't be parsed.
func DecodeCrashes(list []*wire.Fingerprint, now time.Time) CrashRecords {
	var records CrashRecords
	for _, f := range list {
		if f.Part != nil {
			records.Parts = append(records.Parts, decodePart(f.Part, now))
			continue
		}
		r := detector.Record{Fingerprint: f.Digest, Remaining: milliseconds(f.Remaining)}
		for _, u := range f.Upstreams {
			if p, ok := decodeProcess(u); ok {
				r.Crashes = append(r.Crashes, p)
			}
		}
		records.Requests = append(records.Requests, r)
	}
	return records
}

// decodePart converts the record of a part. Ages below 0 count as 0.
func decodePart(m *wire.SharedPart, now time.Time) attributor.Record {
	r := attributor.Record{Part: attributor.Part{Pool: validator.PoolName(m.Pool), Hash: m.Hash}, Proven: m.Proven}
	for _, c := range m.Crashes[:min(len(m.Crashes), attributor.MaxCrashes)] {
		p, ok := decodeProcess(c.Upstream)
		if !ok {
			continue
		}
		crash := attributor.Crash{Process: p, Version: attributor.Version(c.Version), Organisation: validator.OrganisationName(c.Organisation), At: now.Add(-milliseconds(c.Age)), Overlaps: c.Overlaps}
		if c.Granted != nil {
			crash.Granted = now.Add(-milliseconds(*c.Granted))
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, s := range m.Answers[:min(len(m.Answers), attributor.MaxVersions)] {
		r.Answers = append(r.Answers, attributor.Answer{Version: attributor.Version(s.Version), At: now.Add(-milliseconds(s.Age))})
	}
	return r
}

// maxCrashAge bounds the ages in messages, so that computing with them can't overflow.
const maxCrashAge = 24 * time.Hour

// milliseconds converts an age in a message, which is 0 to maxCrashAge.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxCrashAge.Milliseconds())) * time.Millisecond
}

func encodeProcess(p detector.Process) string {
	return string(p.Upstream) + processSeparator + strconv.FormatUint(uint64(p.Incarnation), 10)
}

func decodeProcess(s string) (detector.Process, bool) {
	i := strings.LastIndex(s, processSeparator)
	if i < 0 {
		return detector.Process{}, false
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 64)
	if err != nil {
		return detector.Process{}, false
	}
	return detector.Process{Upstream: registrar.UpstreamID(s[:i]), Incarnation: registrar.Incarnation(n)}, true
}
