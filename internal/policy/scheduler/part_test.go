package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

const (
	// answerDelay is how long an engine reads before it answers or crashes.
	answerDelay = 150 * time.Millisecond
	// answerTime is how long an answer takes from its begin.
	answerTime = 400 * time.Millisecond
	// restartTime is how long a crashed engine is away.
	restartTime = 3 * time.Second
)

// run is an attempt on an engine of a crashFleet.
type run struct {
	request Request
	granted time.Time
	begun   bool
}

// crashFleet plays engines that crash when they begin to answer a request with a
// deadly part. Its callers send refused requests only once.
type crashFleet struct {
	t    *testing.T
	s    *Scheduler
	now  time.Time
	runs map[registrar.UpstreamID][]*run
	// back is when a crashed engine returns.
	back        map[registrar.UpstreamID]time.Time
	incarnation map[registrar.UpstreamID]registrar.Incarnation
	open        map[RequestID]Request
	deadly      []uint64
	// patient callers don't send a request again that was lost with its engine.
	patient bool
	// avoid lists the engines that new requests avoid.
	avoid  []registrar.UpstreamID
	serial int
	// crashes counts lost engines. soundLost counts the sound attempts that were lost
	// with them, and soundRefused and answered the sound requests by their end.
	crashes, soundLost, soundRefused, answered int
}

func newCrashFleet(t *testing.T, engines int, deadly ...uint64) *crashFleet {
	f := &crashFleet{t: t, now: start, deadly: deadly, runs: map[registrar.UpstreamID][]*run{}, back: map[registrar.UpstreamID]time.Time{},
		incarnation: map[registrar.UpstreamID]registrar.Incarnation{}, open: map[RequestID]Request{}}
	f.replaceScheduler(nil)
	for i := range engines {
		f.observe(registrar.UpstreamID(fmt.Sprint("e", i)))
	}
	return f
}

// replaceScheduler starts the scheduler of the next owner of a cell. It learns what the
// last one knew, unless that is nil, before it adopts the slots in use.
func (f *crashFleet) replaceScheduler(last *Scheduler) {
	f.s = New(WithSeed(1))
	d := document()
	d.Models = []validator.Model{{Name: "m", Memory: 400_000}}
	f.step(Configure{d})
	f.step(Settle{Settled: true})
	for u, n := range f.incarnation {
		if _, gone := f.back[u]; !gone {
			e := engine(string(u), 16)
			e.Incarnation = n
			f.step(Observe{e})
		}
	}
	if last != nil {
		f.learn(last)
	}
	waiting := maps.Clone(f.open)
	for _, u := range f.upstreams() {
		for _, r := range f.runs[u] {
			f.step(Adopt{Request: r.request, Upstream: u, Unread: !r.begun, Granted: r.granted})
			delete(waiting, r.request.ID)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		r := waiting[id]
		r.Moved = true
		f.step(Submit{r})
	}
}

func (f *crashFleet) upstreams() []registrar.UpstreamID {
	var all []registrar.UpstreamID
	for u := range f.incarnation {
		all = append(all, u)
	}
	slices.Sort(all)
	return all
}

func (f *crashFleet) observe(u registrar.UpstreamID) {
	f.incarnation[u]++
	e := engine(string(u), 16)
	e.Incarnation = f.incarnation[u]
	f.step(Observe{e})
}

func (f *crashFleet) isDeadly(r Request) bool {
	return slices.ContainsFunc(f.deadly, func(p uint64) bool { return slices.Contains(r.Prefix, p) })
}

// send submits a new request with the parts and one of its own.
func (f *crashFleet) send(organisation string, parts ...uint64) RequestID {
	f.serial++
	own := uint64(1_000_000 + f.serial)
	r := Request{ID: RequestID(fmt.Sprint("r", f.serial)), Pool: "m", Class: "slow", Organisation: validator.OrganisationName(organisation),
		Prompt: 2000, Limit: 100, Repeatable: true, Fingerprint: fmt.Sprint("f", own), Prefix: append(slices.Clone(parts), own), Avoid: f.avoid, Arrived: f.now}
	for i := range r.Prefix {
		r.Ends = append(r.Ends, 2000*(i+1)/len(r.Prefix))
	}
	f.open[r.ID] = r
	f.step(Submit{r})
	return r.ID
}

func (f *crashFleet) step(e Event) {
	for _, a := range append([]Action(nil), f.s.Step(f.now, e)...) {
		switch a := a.(type) {
		case Grant:
			if _, gone := f.back[a.Upstream]; gone {
				f.step(Finished{ID: a.ID, Upstream: a.Upstream, Outcome: ConnectionRefused})
				f.retry(f.open[a.ID])
				continue
			}
			f.runs[a.Upstream] = append(f.runs[a.Upstream], &run{request: f.open[a.ID], granted: f.now})
		case Withhold:
			f.t.Logf("%v: part %d blamed %v for %d crashes", f.now.Sub(start), a.Part.Hash, a.Blamed, len(a.Crashes))
		case Hedge:
			f.step(Finished{ID: a.ID, Upstream: a.Upstream, Outcome: Abandoned})
		case Preempt:
			f.preempt(a)
		case Refuse:
			if r := f.open[a.ID]; !f.isDeadly(r) {
				f.soundRefused++
				f.t.Logf("%v: sound request %s refused: %s, retry after %v", f.now.Sub(start), a.ID, a.Reason, a.RetryAfter)
			}
			delete(f.open, a.ID)
		}
	}
}

// preempt ends an attempt that the scheduler wants to move, and submits its request
// again.
func (f *crashFleet) preempt(p Preempt) {
	i := slices.IndexFunc(f.runs[p.Upstream], func(r *run) bool { return r.request.ID == p.ID })
	if i < 0 {
		return
	}
	r := f.runs[p.Upstream][i].request
	f.runs[p.Upstream] = slices.Delete(f.runs[p.Upstream], i, i+1)
	f.step(Finished{ID: p.ID, Upstream: p.Upstream, Outcome: Preempted})
	f.retry(r)
}

// crash ends engines at the same moment and sends their requests again.
func (f *crashFleet) crash(engines ...registrar.UpstreamID) {
	var lost []Request
	for _, u := range engines {
		if _, gone := f.back[u]; gone {
			continue
		}
		f.crashes++
		f.back[u] = f.now.Add(restartTime)
	}
	for _, u := range engines {
		runs := f.runs[u]
		f.runs[u] = nil
		for _, r := range runs {
			tokens := 0
			if r.begun {
				tokens = 10
			}
			f.step(Finished{ID: r.request.ID, Upstream: u, Outcome: Crashed, Tokens: tokens})
			lost = append(lost, r.request)
		}
	}
	for _, r := range lost {
		if !f.isDeadly(r) {
			f.soundLost++
		}
		if f.patient {
			delete(f.open, r.ID)
			continue
		}
		f.retry(r)
	}
}

// retry submits a request again.
func (f *crashFleet) retry(r Request) {
	r.Retry = true
	f.open[r.ID] = r
	f.step(Submit{r})
}

// pass advances the time in ticks.
func (f *crashFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickInterval)
		f.step(Tick{})
		for _, u := range f.upstreams() {
			if at, gone := f.back[u]; gone && !f.now.Before(at) {
				delete(f.back, u)
				f.observe(u)
			}
			f.advance(u)
		}
	}
}

// advance lets an engine begin and end the answers that are due, or crash.
func (f *crashFleet) advance(u registrar.UpstreamID) {
	for _, r := range slices.Clone(f.runs[u]) {
		age := f.now.Sub(r.granted)
		switch {
		case !r.begun && age >= answerDelay && f.isDeadly(r.request):
			f.crash(u)
			return
		case !r.begun && age >= answerDelay:
			r.begun = true
			f.step(FirstToken{ID: r.request.ID, Upstream: u})
		case r.begun && age >= answerDelay+answerTime:
			f.runs[u] = slices.DeleteFunc(f.runs[u], func(o *run) bool { return o == r })
			f.answered++
			delete(f.open, r.request.ID)
			f.step(Finished{ID: r.request.ID, Upstream: u, Outcome: Completed, Tokens: 100})
		}
	}
}

// Parts of the prompts in the tests: that of a class, that of an organisation, and a
// deadly one.
const (
	classPart        = 11
	organisationPart = 22
	deadlyPart       = 33
)

// TestCrashingPartCostsFewUpstreams guards against requests that each crash an upstream
// because they share one part of their prompts and nothing else.
func TestCrashingPartCostsFewUpstreams(t *testing.T) {
	f := newCrashFleet(t, 9, deadlyPart)
	sound := 0
	for i := range 200 {
		for _, o := range []string{"small", "large"} {
			f.send(o, classPart, organisationPart)
			sound++
		}
		if i >= 20 && i%3 == 0 {
			f.send([]string{"small", "large"}[i/3%2], classPart, organisationPart, deadlyPart)
		}
		f.pass(100 * time.Millisecond)
	}
	f.pass(20 * time.Second)
	assert.Assert(t, f.crashes >= 2 && f.crashes <= 5, "%d engines were lost", f.crashes)
	assert.Equal(t, f.soundRefused, 0)
	assert.Equal(t, f.answered, sound)
	assert.Equal(t, len(f.open), 0)
}

// learn passes what another scheduler knows to the fleet's.
func (f *crashFleet) learn(from *Scheduler) {
	f.step(Learn{Records: from.Crashes(f.now), Parts: from.PartRecords(f.now)})
}

// TestCrashingPart guards, for different parts and mishaps, against a part that costs more
// engines than the users allow, and against sound requests that are refused because they
// share parts with it. While a part is withheld each further request with it is refused,
// so that the bound holds however many come.
func TestCrashingPart(t *testing.T) {
	const second = 44
	for name, c := range map[string]struct {
		deadly []uint64
		// engines is the number of engines; most is the largest number of them that may
		// be lost: eight for each deadly part, by the rule, and those with another cause.
		engines, most int
		// bad returns the parts of a request with a deadly part, and good those of a sound
		// one.
		bad, good func(i int) []uint64
		// organisation returns the organisation that sends the i-th request with a deadly
		// part.
		organisation func(i int) string
		// mishap happens after each step.
		mishap func(f *crashFleet, i int)
	}{
		"between a class's part and the own one": {engines: 9, most: 8},
		"the first part of few requests": {engines: 9, most: 8,
			bad: func(int) []uint64 { return []uint64{deadlyPart} }},
		"the first part of many requests": {engines: 9, most: 8,
			bad:  func(int) []uint64 { return []uint64{deadlyPart, organisationPart} },
			good: func(int) []uint64 { return []uint64{organisationPart} }},
		"always with a rare part": {engines: 9, most: 8,
			bad: func(int) []uint64 { return []uint64{classPart, 77, deadlyPart} },
			good: func(i int) []uint64 {
				if i%30 == 0 {
					return []uint64{classPart, 77}
				}
				return []uint64{classPart}
			}},
		"two parts at once": {deadly: []uint64{deadlyPart, second}, engines: 12, most: 16,
			bad: func(i int) []uint64 { return []uint64{classPart, []uint64{deadlyPart, second}[i%2]} }},
		"requests of many organisations": {engines: 9, most: 8,
			organisation: func(i int) string { return fmt.Sprint("o", i) }},
		"a change of the owner that knows the records": {engines: 9, most: 8,
			mishap: func(f *crashFleet, i int) {
				if i == 25 || i == 28 || i == 60 {
					f.replaceScheduler(f.s)
				}
			}},
		"a change of the owner that hears of them later": {engines: 9, most: 8,
			mishap: func(f *crashFleet, i int) {
				if i == 60 {
					last := f.s
					f.replaceScheduler(nil)
					defer f.learn(last)
				}
			}},
		"crashes with another cause": {engines: 24, most: 8 + 15,
			mishap: func(f *crashFleet, i int) {
				if i == 40 || i == 70 || i == 100 {
					f.crash(f.upstreams()[:5]...)
				}
			}},
		"no crash but those with another cause": {deadly: []uint64{}, engines: 24, most: 18,
			mishap: func(f *crashFleet, i int) {
				if i == 40 || i == 43 || i == 46 {
					f.crash(f.upstreams()[i%4*6 : i%4*6+6]...)
				}
			}},
	} {
		t.Run(name, func(t *testing.T) {
			if c.deadly == nil {
				c.deadly = []uint64{deadlyPart}
			}
			f := newCrashFleet(t, c.engines, c.deadly...)
			sound := 0
			for i := range 200 {
				good := []uint64{classPart, organisationPart}
				if c.good != nil {
					good = c.good(i)
				}
				for _, o := range []string{"small", "large"} {
					f.send(o, good...)
					sound++
				}
				if i >= 20 && i%3 == 0 {
					bad := []uint64{classPart, organisationPart, deadlyPart}
					if c.bad != nil {
						bad = c.bad(i)
					}
					organisation := []string{"small", "large"}[i/3%2]
					if c.organisation != nil {
						organisation = c.organisation(i)
					}
					if f.send(organisation, bad...); len(c.deadly) == 0 {
						sound++
					}
				}
				if c.mishap != nil {
					c.mishap(f, i)
				}
				f.pass(100 * time.Millisecond)
			}
			f.pass(20 * time.Second)
			t.Logf("%d engines and %d sound attempts lost", f.crashes, f.soundLost)
			assert.Assert(t, f.crashes <= c.most, "%d engines were lost", f.crashes)
			assert.Equal(t, f.soundRefused, 0)
			assert.Equal(t, f.answered, sound)
			assert.Equal(t, len(f.open), 0)
		})
	}
}

// TestAccusedPart guards against a caller that gets the part of another one withheld by
// sending it together with a request that crashes upstreams.
func TestAccusedPart(t *testing.T) {
	const victims = 55
	f := newCrashFleet(t, 9)
	sound := 0
	for i := range 100 {
		f.deadly = append(f.deadly, uint64(5000+i))
		if i%5 == 0 {
			f.send("small", victims, uint64(5000+i))
		}
		if i%20 == 19 {
			f.send("large", victims)
			sound++
		}
		f.pass(200 * time.Millisecond)
	}
	f.pass(20 * time.Second)
	assert.Equal(t, f.soundRefused, 0)
	assert.Equal(t, f.answered, sound)
}

// TestWithheldPartIsTakenFromEngines guards against engines that are lost after the
// verdict, because they were still reading requests with the part.
func TestWithheldPartIsTakenFromEngines(t *testing.T) {
	f := newCrashFleet(t, 6, deadlyPart)
	f.send("small", deadlyPart)
	f.pass(50 * time.Millisecond)
	f.send("large", deadlyPart)
	f.pass(2 * time.Second)
	f.deadly = nil
	for range 3 {
		f.send("other", deadlyPart)
	}
	assert.Equal(t, len(f.open), 0, "they are refused at once")
	assert.Assert(t, f.crashes <= 4, "%d engines were lost", f.crashes)
}

// TestCrashingPartReachesItsBound plays the case of docs/guarantees.md that costs most
// engines, and guards against one more: five engines crash before the first crash is
// known, and from the stability window after that on, each rare request needs a trial.
func TestCrashingPartReachesItsBound(t *testing.T) {
	const (
		rarePart = 77
		window   = 3 * time.Second
	)
	f := newCrashFleet(t, 12, deadlyPart)
	f.patient = true
	sound := 0
	calm := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.send("large", classPart)
			sound++
			f.pass(500 * time.Millisecond)
		}
	}
	calm(2 * time.Second)
	for i := range 5 {
		f.avoid = slices.Delete(f.upstreams(), i, i+1)
		f.send("small", rarePart, deadlyPart)
	}
	f.avoid = nil
	calm(window + time.Second)
	assert.Equal(t, f.crashes, 5, "the first round")
	for i, r := range []struct {
		organisation string
		parts        []uint64
	}{
		{"small", []uint64{rarePart, deadlyPart}}, // The second round.
		{"small", []uint64{deadlyPart}},           // Without the part that was in all crashes, too.
		{"large", []uint64{deadlyPart}},           // Of another organisation.
	} {
		f.send(r.organisation, r.parts...)
		calm(window + time.Second)
		assert.Equal(t, f.crashes, 6+i)
	}
	for i := range 100 {
		f.send([]string{"small", "large", "other"}[i%3], [][]uint64{{deadlyPart}, {rarePart, deadlyPart}}[i%2]...)
		calm(2 * time.Second)
	}
	assert.Equal(t, f.crashes, 8, "five, and three later than the window")
	f.send("small", rarePart)
	f.pass(20 * time.Second)
	assert.Equal(t, f.soundRefused, 0)
	assert.Equal(t, f.answered+f.soundLost, sound+1)
	assert.Equal(t, len(f.open), 0)
}
