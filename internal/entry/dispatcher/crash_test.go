package dispatcher

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/attributor"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// crashedPart returns the record of a part with a number of crashes.
func crashedPart(now time.Time, hash uint64, crashes int) attributor.Record {
	r := attributor.Record{Part: attributor.Part{Pool: "appraiser", Hash: hash}, Proven: true,
		Answers: []attributor.Answer{{Version: 7, At: now.Add(-9 * time.Second)}}}
	for i := range crashes {
		r.Crashes = append(r.Crashes, attributor.Crash{
			Process:      detector.Process{Upstream: registrar.UpstreamID(fmt.Sprintf("i-%010d", i)), Incarnation: 1_700_000_000_000},
			Version:      7,
			Organisation: "organisation",
			Granted:      now.Add(-time.Duration(i+2) * time.Second),
			At:           now.Add(-time.Duration(i+1) * time.Second),
			Overlaps:     i == 0,
		})
	}
	return r
}

// TestPartRecordsTravel guards against a next owner of the cell that counts other crashes
// of a part than the last one did.
func TestPartRecordsTravel(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sent := CrashRecords{Parts: []attributor.Record{crashedPart(now, math.MaxUint64, 3)}}
	sent.Parts[0].Crashes[2].Granted = time.Time{}
	later := now.Add(time.Hour)
	got := DecodeCrashes(EncodeCrashes(sent, now), later)
	assert.Equal(t, len(got.Requests), 0)
	assert.Equal(t, len(got.Parts), 1)
	// The times are ages on the way: the clocks of hosts differ.
	for i := range got.Parts[0].Crashes {
		c := &got.Parts[0].Crashes[i]
		c.At = c.At.Add(-time.Hour)
		if !c.Granted.IsZero() {
			c.Granted = c.Granted.Add(-time.Hour)
		}
	}
	got.Parts[0].Answers[0].At = got.Parts[0].Answers[0].At.Add(-time.Hour)
	assert.DeepEqual(t, got, sent)
}

// TestMalformedPartRecords guards against a message of another host that fills the memory,
// or whose ages overflow.
func TestMalformedPartRecords(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	granted := int64(math.MinInt64)
	m := &wire.SharedPart{Pool: "m", Hash: 1}
	for range 10_000 {
		m.Crashes = append(m.Crashes, &wire.PartCrash{Upstream: "u@1", Granted: &granted, Age: math.MaxInt64})
		m.Answers = append(m.Answers, &wire.PartAnswer{Age: math.MinInt64})
	}
	m.Crashes[0].Upstream = "no incarnation"
	got := DecodeCrashes([]*wire.Fingerprint{{Digest: "d", Part: m}, {Digest: "e", Part: &wire.SharedPart{}}}, now)
	assert.Equal(t, len(got.Parts), 2)
	r := got.Parts[0]
	assert.Assert(t, len(r.Crashes) < 10 && len(r.Answers) < 10)
	for _, c := range r.Crashes {
		assert.Assert(t, !c.At.After(now) && !c.Granted.After(now))
	}
	a := attributor.New()
	a.Merge(now, got.Parts)
	assert.Assert(t, len(a.Records(now)) <= 1)
}

// TestPartRecordsAreSmall guards against records that take the bandwidth of control: all
// that a host passes on in a minute is at most a tenth of 8 KB a second.
func TestPartRecordsAreSmall(t *testing.T) {
	now := time.Now()
	a := attributor.New()
	var all []attributor.Record
	for i := range uint64(5000) {
		all = append(all, crashedPart(now, i, attributor.MaxCrashes))
	}
	a.Merge(now, all)
	size := 0
	for _, f := range EncodeCrashes(CrashRecords{Parts: a.Records(now)}, now) {
		size += proto.Size(f)
	}
	t.Logf("%d bytes", size)
	assert.Assert(t, size <= 60*8000/10, "%d bytes", size)
}

// TestPartsOfARequestTravel guards against an owner that does not know what a request
// shares with others, nor since when it holds its slot.
func TestPartsOfARequestTravel(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := decodeRequest(&wire.SlotRequest{Id: "r/1", Parts: []uint64{1, math.MaxUint64}}, now)
	m := encodeRequest(r, holding{upstream: "u", granted: now.Add(-3 * time.Second)}, now)
	assert.DeepEqual(t, m.Parts, []uint64{1, math.MaxUint64})
	assert.Equal(t, decodeHolding(m, now.Add(time.Hour)).granted, now.Add(time.Hour-3*time.Second))
	assert.Assert(t, decodeHolding(&wire.SlotRequest{Held: "u"}, now).granted.IsZero())
}
