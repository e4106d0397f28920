package attributor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/detector"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rig is an Attributor in virtual time.
type rig struct {
	*Attributor
	now     time.Time
	version Version
	serial  int
}

func newRig() *rig { return &rig{Attributor: New(), now: start} }

func parts(hashes ...uint64) []Part {
	var list []Part
	for _, h := range hashes {
		list = append(list, Part{Pool: "m", Hash: h})
	}
	return list
}

// begin starts an attempt on a process of its own.
func (r *rig) begin(o validator.OrganisationName, hashes ...uint64) *Attempt {
	r.serial++
	t := &Attempt{Parts: parts(hashes...), Organisation: o, Version: r.version, Granted: r.now,
		Process: detector.Process{Upstream: registrar.UpstreamID(fmt.Sprint("u", r.serial)), Incarnation: 1}}
	r.Started(r.now, t)
	return t
}

func (r *rig) pass(d time.Duration) { r.now = r.now.Add(d) }

// crash starts an attempt that crashes its upstream a second later.
func (r *rig) crash(o validator.OrganisationName, hashes ...uint64) {
	r.pass(time.Second)
	t := r.begin(o, hashes...)
	r.pass(time.Second)
	r.Lost(r.now, t)
}

// answer starts an attempt that is answered a second later.
func (r *rig) answer(hashes ...uint64) {
	t := r.begin("o", hashes...)
	r.pass(time.Second)
	r.Sound(r.now, t)
}

func (r *rig) verdict(o validator.OrganisationName, hashes ...uint64) Verdict {
	v, _ := r.Verdict(r.now, parts(hashes...), o, r.version)
	return v
}

// TestVerdict guards against parts that go on crashing upstreams, and against sound
// parts that are withheld because they were in requests with such a part.
func TestVerdict(t *testing.T) {
	const class, deadly, rare = 1, 2, 3
	type want struct {
		hashes  []uint64
		verdict Verdict
	}
	for name, c := range map[string]struct {
		do   func(r *rig)
		want []want
	}{
		"no crash": {func(*rig) {}, []want{{[]uint64{class, deadly}, Clean}}},
		"one crash": {func(r *rig) { r.crash("o", deadly, 10) }, []want{
			{[]uint64{deadly, 11}, Suspect}, {[]uint64{10}, Suspect}, {[]uint64{class}, Clean}}},
		"a second round": {func(r *rig) { r.crash("o", deadly, 10); r.crash("o", deadly, 11) }, []want{
			{[]uint64{deadly, 12}, Blamed}, {[]uint64{10}, Clean}, {[]uint64{11}, Clean}}},
		"an answer after a crash": {func(r *rig) { r.crash("o", class, 10); r.answer(class, 11) }, []want{{[]uint64{class}, Clean}}},
		"losses at the same moment": {func(r *rig) {
			a, b := r.begin("o", class, 10), r.begin("o", class, 11)
			r.pass(time.Second)
			r.Lost(r.now, a)
			r.pass(100 * time.Millisecond)
			r.Lost(r.now, b)
		}, []want{{[]uint64{class}, Suspect}}},
		"a part that was answered recently": {func(r *rig) { r.answer(class, 9); r.crash("o", class, 10) }, []want{
			{[]uint64{class}, Clean}, {[]uint64{10}, Suspect}}},
		"a sound part that becomes deadly": {func(r *rig) {
			r.answer(class, 9)
			r.crash("o", class, 10)
			r.crash("o", class, 11)
			r.crash("o", class, 12)
		}, []want{{[]uint64{class}, Blamed}, {[]uint64{10}, Clean}}},
		"a rare part in all crashes": {func(r *rig) { r.crash("o", rare, deadly, 10); r.crash("o", rare, deadly, 11) }, []want{
			{[]uint64{rare, deadly}, Blamed}, {[]uint64{rare}, Suspect}, {[]uint64{deadly}, Suspect}}},
		"a rare part that is answered then": {func(r *rig) {
			r.crash("o", rare, deadly, 10)
			r.crash("o", rare, deadly, 11)
			r.answer(rare, 12)
		}, []want{{[]uint64{rare, deadly}, Blamed}, {[]uint64{rare}, Clean}, {[]uint64{deadly}, Blamed}}},
		"a part of the only class": {func(r *rig) {
			r.crash("o", class, deadly, 10)
			r.answer(class, 11)
			r.crash("o", class, deadly, 12)
		}, []want{{[]uint64{class, deadly}, Blamed}, {[]uint64{class}, Clean}}},
		"the same request again": {func(r *rig) { r.crash("o", deadly, 10); r.crash("o", deadly, 10) }, []want{
			{[]uint64{deadly, 10}, Blamed}, {[]uint64{deadly, 11}, Suspect}}},
		"two deadly parts": {func(r *rig) {
			r.crash("o", deadly, 10)
			r.crash("o", 4, 11)
			r.crash("o", deadly, 12)
			r.crash("o", 4, 13)
		}, []want{{[]uint64{deadly}, Blamed}, {[]uint64{4}, Blamed}, {[]uint64{13}, Clean}}},
		"an upstream that lives": {func(r *rig) {
			a := r.begin("o", deadly, 10)
			r.Lost(r.now, a)
			r.MarkAlive(a.Process)
		}, []want{{[]uint64{deadly}, Clean}}},
		"an attempt that was withdrawn before the crash": {func(r *rig) {
			a := r.begin("o", deadly, 10)
			r.Ended(r.now, a, true)
			r.pass(time.Second)
			r.ProcessLost(r.now, a.Process)
		}, []want{{[]uint64{deadly}, Suspect}}},
		"an attempt on a process that was lost before": {func(r *rig) {
			a := r.begin("o", 9)
			r.Lost(r.now, a)
			r.pass(time.Second)
			b := &Attempt{Parts: parts(deadly), Process: a.Process, Granted: r.now}
			r.Started(r.now, b)
			r.Lost(r.now, b)
		}, []want{{[]uint64{deadly}, Clean}}},
		"other upstreams that are lost with it": {func(r *rig) {
			r.crash("o", deadly, 10)
			r.crash("o", deadly, 11)
			r.ProcessLost(r.now, detector.Process{Upstream: "other", Incarnation: 1})
		}, []want{{[]uint64{deadly}, Suspect}}},
		"the end of the verdict": {func(r *rig) {
			r.crash("o", deadly, 10)
			r.crash("o", deadly, 11)
			r.pass(firstBlameTime)
		}, []want{{[]uint64{deadly}, Suspect}}},
		"a crash after the end of the verdict": {func(r *rig) {
			r.crash("o", deadly, 10)
			r.crash("o", deadly, 11)
			r.pass(firstBlameTime)
			r.crash("o", deadly, 12)
			r.pass(firstBlameTime * blameGrowth * 9 / 10)
		}, []want{{[]uint64{deadly}, Blamed}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			c.do(r)
			for _, w := range c.want {
				assert.Equal(t, r.verdict("o", w.hashes...), w.verdict, "parts %v", w.hashes)
			}
			assert.Equal(t, len(r.pending), 0)
			assert.Equal(t, len(r.trials), 0)
		})
	}
}

// TestOrganisationsCantAccuseOthers guards against a caller that gets a part withheld from
// other organisations by putting it into its own requests that crash upstreams.
func TestOrganisationsCantAccuseOthers(t *testing.T) {
	r := newRig()
	r.crash("attacker", 1, 10)
	r.crash("attacker", 1, 11)
	assert.Equal(t, r.verdict("attacker", 1), Blamed)
	assert.Equal(t, r.verdict("victim", 1), Suspect)
	r.crash("victim", 1, 12)
	assert.Equal(t, r.verdict("third", 1), Blamed)
}

// TestVersions guards against a verdict that outlasts a new version of the engine, and
// against a sound version that clears the part for one that it crashes.
func TestVersions(t *testing.T) {
	r := newRig()
	r.crash("o", 1, 10)
	r.crash("o", 1, 11)
	r.version = 2
	assert.Equal(t, r.verdict("o", 1), Suspect)
	r.answer(1, 12)
	assert.Equal(t, r.verdict("o", 1), Clean)
	r.version = 0
	assert.Equal(t, r.verdict("o", 1), Blamed)
}

// TestSuspectsRunAlone guards against several upstreams that are lost at once because more
// than one request with a suspected part runs.
func TestSuspectsRunAlone(t *testing.T) {
	r := newRig()
	r.crash("o", 1, 10)
	trial := r.begin("o", 1, 11)
	elsewhere := Attempt{Parts: parts(1, 12), Organisation: "o", Process: detector.Process{Upstream: "e", Incarnation: 1}}
	assert.Assert(t, !r.Permits(r.now, elsewhere), "a second trial of the part")
	beside := Attempt{Parts: parts(10), Organisation: "o", Process: trial.Process}
	assert.Assert(t, !r.Permits(r.now, beside), "another suspect beside the trial")
	assert.Assert(t, r.Permits(r.now, Attempt{Parts: parts(13), Process: trial.Process}))
	r.Sound(r.now, trial)
	assert.Assert(t, r.Permits(r.now, elsewhere))
	assert.Assert(t, r.Permits(r.now, beside))
}

// TestManyParts guards against callers that fill the memory with parts, or push a blamed
// part out of it.
func TestManyParts(t *testing.T) {
	r := newRig()
	r.crash("o", 1, 2)
	r.crash("o", 1, 3)
	for i := range uint64(3 * maxRecords) {
		r.crash("p", 1000+i)
		r.now = start.Add(10 * time.Second)
	}
	for i := range uint64(5 * maxRecent) {
		r.answer(1_000_000 + i)
		r.now = start.Add(10 * time.Second)
	}
	assert.Assert(t, len(r.records) <= maxRecords, "%d records", len(r.records))
	assert.Assert(t, len(r.recent[0])+len(r.recent[1]) <= 2*maxRecent+1)
	assert.Equal(t, r.verdict("o", 1), Blamed)
	assert.Assert(t, len(r.Records(r.now)) <= MaxShared)
	r.now = r.now.Add(2 * maxBlameTime)
	r.Expire(r.now)
	assert.Equal(t, len(r.records)+len(r.losses)+len(r.pending)+len(r.trials), 0)
}

// TestExchange guards against hosts that don't learn of a blamed part, hold it against
// sound requests after it was refuted, or restore a refuted crash.
func TestExchange(t *testing.T) {
	owner, next := newRig(), newRig()
	pass := func(d time.Duration) {
		owner.pass(d)
		next.now = owner.now
	}
	send := func(from, to *rig) {
		to.Merge(to.now, from.Records(from.now))
	}
	owner.crash("o", 1, 10)
	pass(time.Second)
	send(owner, next)
	assert.Equal(t, next.verdict("o", 1), Suspect)
	stale := next.Records(next.now)
	owner.answer(1, 11)
	pass(time.Second)
	send(owner, next)
	assert.Equal(t, next.verdict("o", 1), Clean)
	owner.Merge(owner.now, stale)
	next.Merge(next.now, stale)
	assert.Equal(t, owner.verdict("o", 1), Clean)
	assert.Equal(t, next.verdict("o", 1), Clean)

	owner.crash("o", 2, 20)
	owner.crash("o", 2, 21)
	pass(time.Second)
	send(owner, next)
	assert.Equal(t, next.verdict("o", 2, 22), Blamed)
	assert.Equal(t, next.verdict("o", 20), Clean)
	// The next owner counts the rounds on.
	next.pass(firstBlameTime)
	next.crash("o", 2, 23)
	next.pass(2 * firstBlameTime)
	assert.Equal(t, next.verdict("o", 2), Blamed)
}
