package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// engineFleet drives a scheduler with engines whose memory is known.
type engineFleet struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	// running lists the granted requests with their engines.
	running map[RequestID]registrar.UpstreamID
	refused map[RequestID]Refuse
	asked   map[RequestID]int
	// silences counts the reports of upstreams without a sign of life.
	silences map[registrar.UpstreamID]int
	next     int
}

const (
	engineMemory = 400_000
	sharedPart   = 13_000
	ownPart      = 3_000
)

func newEngineFleet(t *testing.T, engines int) *engineFleet {
	f := &engineFleet{
		t: t, s: New(WithSeed(1)), now: time.Unix(1_700_000_000, 0),
		running: map[RequestID]registrar.UpstreamID{}, refused: map[RequestID]Refuse{}, asked: map[RequestID]int{},
		silences: map[registrar.UpstreamID]int{},
	}
	second := validator.Duration(time.Second)
	f.step(Configure{&validator.Document{
		Classes: []validator.Class{
			{Name: "hint", Tier: 0, First: second / 3, Gap: second / 6, Wait: second, Late: true},
			{Name: "summary", Tier: 2, First: 3 * second / 2, Gap: 3 * second / 5, Wait: 4 * second, Late: true},
		},
		Models: []validator.Model{{Name: "m", Class: "hint", Memory: engineMemory}},
	}})
	f.step(Settle{Settled: true})
	for i := range engines {
		f.step(Observe{registrar.Upstream{
			Name: registrar.UpstreamID(fmt.Sprintf("engine-%d", i)), Models: []validator.PoolName{"m"},
			Slots: 48, Incarnation: 1, Sequence: 1,
		}})
	}
	return f
}

func (f *engineFleet) step(e Event) {
	for _, a := range f.s.Step(f.now, e) {
		switch a := a.(type) {
		case Grant:
			f.running[a.ID] = a.Upstream
		case Refuse:
			f.refused[a.ID] = a
		case Preempt:
			f.asked[a.ID]++
		case Silence:
			f.silences[a.Upstream]++
		}
	}
}

// pass lets time pass in ticks.
func (f *engineFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickInterval)
		f.step(Tick{})
	}
}

// summary submits a long prompt whose first part others share.
func (f *engineFleet) summary(subject uint64) RequestID {
	return f.submit(Request{
		Class: "summary", Prompt: sharedPart + ownPart, Limit: 150,
		Prefix: []uint64{subject, uint64(1_000_000 + f.next)}, Ends: []int{sharedPart, sharedPart + ownPart},
	})
}

// hint submits a short prompt.
func (f *engineFleet) hint() RequestID {
	return f.submit(Request{Class: "hint", Prompt: 1_200, Limit: 200, Prefix: []uint64{7}, Ends: []int{300}})
}

func (f *engineFleet) submit(r Request) RequestID {
	f.next++
	r.ID = RequestID(fmt.Sprint("r", f.next))
	r.Pool, r.Rescue, r.Arrived = "m", true, f.now
	f.step(Submit{r})
	return r.ID
}

func (f *engineFleet) first(id RequestID) { f.step(FirstToken{ID: id, Upstream: f.running[id]}) }
func (f *engineFleet) finish(id RequestID) {
	f.step(Finished{ID: id, Upstream: f.running[id], Outcome: Completed, Tokens: 10})
}

// Pattern: long prompts about a few subjects. Each subject has one engine that keeps
// its shared part, so that it is read once and not by each engine.
func TestSharedPartsAreReadOnce(t *testing.T) {
	f := newEngineFleet(t, 4)
	home := map[uint64]registrar.UpstreamID{}
	used := map[registrar.UpstreamID]bool{}
	for i := range 120 {
		subject := uint64(i%24 + 1)
		id := f.summary(subject)
		assert.Assert(t, f.running[id] != "")
		if home[subject] == "" {
			home[subject] = f.running[id]
		}
		assert.Equal(t, f.running[id], home[subject], "subject %d", subject)
		used[f.running[id]] = true
		f.pass(100 * time.Millisecond)
		f.first(id)
		f.pass(100 * time.Millisecond)
		f.finish(id)
	}
	assert.Equal(t, len(used), 4, "cold prompts go to engines with room")
}

// Pattern: streams with tight gaps beside long prompts. The long ones are read
// where no tight stream runs.
func TestLongPromptsAvoidTightStreams(t *testing.T) {
	f := newEngineFleet(t, 2)
	hint := f.hint()
	f.pass(60 * time.Millisecond)
	f.first(hint)
	for subject := range uint64(4) {
		id := f.summary(subject + 1)
		assert.Assert(t, f.running[id] != f.running[hint], "a long prompt is read beside a tight stream")
		f.pass(400 * time.Millisecond)
		f.first(id)
		f.finish(id)
	}
}

// Pattern: a burst of summaries fills all engines. The top tier is neither refused
// nor kept waiting by them.
func TestBurstOfLowTierLeavesTopTierAlone(t *testing.T) {
	f := newEngineFleet(t, 3)
	for i := range 60 {
		f.summary(uint64(i))
	}
	for range 20 {
		id := f.hint()
		assert.Assert(t, f.running[id] != "", "%v", f.refused[id])
		f.pass(40 * time.Millisecond)
		f.first(id)
	}
}

// Pattern: more long prompts than can be read in time. Those that can't begin are
// refused on arrival, with the time after which there is room, and not held.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	f := newEngineFleet(t, 2)
	for i := range 200 {
		f.summary(uint64(i))
	}
	assert.Assert(t, len(f.refused) > 100, "%d refused", len(f.refused))
	for _, r := range f.refused {
		assert.Equal(t, r.Reason, Overloaded)
		assert.Assert(t, r.RetryAfter >= r.Predicted && r.Predicted > time.Second)
	}
}

// Pattern: an engine's memory is full of running requests. It gets no more, since
// it would preempt one of them.
func TestMemoryIsNotOvercommitted(t *testing.T) {
	f := newEngineFleet(t, 1)
	for i := range 60 {
		id := f.summary(uint64(i))
		f.pass(300 * time.Millisecond)
		if f.running[id] != "" {
			f.first(id)
		}
	}
	memory := 0
	for range f.running {
		memory += sharedPart + ownPart
	}
	assert.Assert(t, memory <= engineMemory, "%d tokens run", memory)
	assert.Assert(t, memory > engineMemory/2)
}

// Pattern: an engine goes dark under work. Its streams go on elsewhere within the
// pause that callers allow, and it gets no new work; one that is only busy is left
// alone.
func TestSilentEngine(t *testing.T) {
	f := newEngineFleet(t, 2)
	dark := f.hint()
	f.pass(60 * time.Millisecond)
	f.first(dark)
	other := f.summary(1)
	assert.Assert(t, f.running[other] != f.running[dark])
	for range 15 {
		f.pass(100 * time.Millisecond)
		f.step(Progress{ID: other, Upstream: f.running[other], Tokens: 1 + f.next})
		f.next++
	}
	assert.Equal(t, f.asked[dark], 1)
	assert.Equal(t, f.asked[other], 0)
	assert.Equal(t, f.silences[f.running[dark]], 1)
	assert.Equal(t, f.running[f.hint()], f.running[other])
}

// Pattern: very long prompts of a low tier on some engines. Urgent requests with a
// short prompt go to the others, also where these have more requests: an engine
// finishes the prompt that it has begun.
func TestUrgentRequestsAvoidLongReads(t *testing.T) {
	f := newEngineFleet(t, 2)
	long := f.submit(Request{Class: "summary", Prompt: 40_000, Limit: 150, Prefix: []uint64{5}, Ends: []int{40_000}})
	for range 18 {
		id := f.hint()
		assert.Assert(t, f.running[id] != f.running[long])
	}
}

// Pattern: an engine reads one very long prompt and generates nothing meanwhile. It is
// left alone until the prompt should long have been read.
func TestLongPromptIsNotSilence(t *testing.T) {
	f := newEngineFleet(t, 2)
	id := f.submit(Request{Class: "summary", Prompt: 150_000, Limit: 150, Prefix: []uint64{5}, Ends: []int{150_000}})
	assert.Assert(t, f.running[id] != "")
	read := 150_000 * defaultPerToken
	f.pass(read + silentTime - 2*TickInterval)
	assert.Equal(t, f.asked[id], 0)
	f.pass(4 * TickInterval)
	assert.Equal(t, f.asked[id], 1)
}

// Pattern: the owner of a cell changes under load. What runs already is not taken
// for work that has to be read again.
func TestAdoptedRequestsAddNoReading(t *testing.T) {
	f := newEngineFleet(t, 1)
	for i := range 20 {
		f.step(Adopt{Request: Request{ID: RequestID(fmt.Sprint("a", i)), Pool: "m", Class: "hint", Prompt: 16_000}, Upstream: "engine-0"})
	}
	id := f.hint()
	assert.Assert(t, f.running[id] != "", "%v", f.refused[id])
}

// Pattern: several requests about the same cold subject at a time. One reads the
// shared part, and the others begin when that is done; short shared parts are not
// waited for.
func TestColdSubjectIsReadOnce(t *testing.T) {
	f := newEngineFleet(t, 3)
	first := f.summary(1)
	second := f.summary(1)
	assert.Assert(t, f.running[first] != "")
	assert.Equal(t, f.running[second], registrar.UpstreamID(""))
	f.pass(200 * time.Millisecond)
	f.first(first)
	f.pass(TickInterval)
	assert.Equal(t, f.running[second], f.running[first])
	hints := []RequestID{f.hint(), f.hint()}
	for _, id := range hints {
		assert.Assert(t, f.running[id] != "")
	}
}

// Pattern: the owner of the cell is lost under load. The next one, which knows
// nothing of the caches, sends most subjects to the engines that keep them.
func TestNextOwnerFindsTheCaches(t *testing.T) {
	const subjects = 40
	place := func(order func(int) uint64) map[uint64]registrar.UpstreamID {
		f := newEngineFleet(t, 6)
		home := map[uint64]registrar.UpstreamID{}
		for i := range subjects {
			id := f.summary(order(i))
			home[order(i)] = f.running[id]
			f.pass(150 * time.Millisecond)
			f.first(id)
			f.finish(id)
		}
		return home
	}
	before := place(func(i int) uint64 { return uint64(i)*7919 + 1 })
	after := place(func(i int) uint64 { return uint64(subjects-1-i)*7919 + 1 })
	same := 0
	for subject, engine := range before {
		if after[subject] == engine {
			same++
		}
	}
	assert.Assert(t, same > subjects*3/4, "%d of %d subjects are found", same, subjects)
}

// Pattern: the owner of a cell changes at the height of a burst. The next one knows
// which prompts the engines still read, and sends no more to those that have a long
// queue than the last owner would have.
func TestNextOwnerKnowsTheQueues(t *testing.T) {
	f := newEngineFleet(t, 2)
	for i := range 8 {
		f.step(Adopt{Request: Request{
			ID: RequestID(fmt.Sprint("a", i)), Pool: "m", Class: "summary", Prompt: sharedPart + ownPart, Limit: 150, Rescue: true,
			Prefix: []uint64{uint64(i + 1), uint64(1_000_000 + i)}, Ends: []int{sharedPart, sharedPart + ownPart},
		}, Upstream: "engine-0", Unread: true})
	}
	for range 3 {
		id := f.summary(uint64(100 + f.next))
		assert.Equal(t, f.running[id], registrar.UpstreamID("engine-1"))
	}
	for i := range 8 {
		f.step(FirstToken{ID: RequestID(fmt.Sprint("a", i)), Upstream: "engine-0"})
	}
	assert.Equal(t, f.s.upstreams["engine-0"].backlog(f.now), time.Duration(0))
}

// Pattern: the owner of the cell is lost, and the next one is told what the engines
// keep. Long prompts go where their shared part is, whatever the engine's name.
func TestNextOwnerIsToldOfTheCaches(t *testing.T) {
	const subjects = 12
	f := newEngineFleet(t, 4)
	for i := range subjects {
		engine := registrar.UpstreamID(fmt.Sprintf("engine-%d", i%4))
		f.step(Kept{Upstream: engine, Incarnation: 1, Blocks: append(blocksOf(f.s, engine), Block{Hash: uint64(i) + 1, Tokens: sharedPart})})
	}
	f.step(Kept{Upstream: "engine-0", Incarnation: 7, Blocks: []Block{{Hash: 2, Tokens: sharedPart}}})
	f.step(Kept{Upstream: "unknown", Incarnation: 1, Blocks: []Block{{Hash: 3, Tokens: sharedPart}}})
	for i := range subjects {
		id := f.summary(uint64(i) + 1)
		assert.Equal(t, f.running[id], registrar.UpstreamID(fmt.Sprintf("engine-%d", i%4)), "subject %d", i)
		f.pass(150 * time.Millisecond)
		f.first(id)
	}
}

func blocksOf(s *Scheduler, id registrar.UpstreamID) []Block {
	var list []Block
	for e := s.upstreams[id].cache.order.Back(); e != nil; e = e.Prev() {
		list = append(list, e.Value.(Block))
	}
	return list
}

// What an engine told is older than what was sent to it since it was asked.
func TestToldCacheKeepsRunningPrompts(t *testing.T) {
	f := newEngineFleet(t, 1)
	f.summary(1)
	f.step(Kept{Upstream: "engine-0", Incarnation: 1, Blocks: []Block{{Hash: 9, Tokens: 500}}})
	c := &f.s.upstreams["engine-0"].cache
	assert.Equal(t, c.held(&Request{Prompt: sharedPart, Prefix: []uint64{1}, Ends: []int{sharedPart}}), sharedPart)
	assert.Equal(t, c.held(&Request{Prompt: 500, Prefix: []uint64{9}, Ends: []int{500}}), 500)
}

// TestRefusalNamesItsObstacle guards against refusals under load that can't be
// explained: the time to read what is ahead tells nothing where memory binds.
func TestRefusalNamesItsObstacle(t *testing.T) {
	huge := Request{Class: "summary", Prompt: engineMemory * 3 / 4, Limit: 150, Prefix: []uint64{1}, Ends: []int{engineMemory * 3 / 4}}

	f := newEngineFleet(t, 1)
	running := f.submit(huge)
	f.pass(30 * time.Second)
	f.first(running)
	huge.Prefix = []uint64{2}
	waiting := f.submit(huge)
	f.pass(5 * time.Second)
	assert.Equal(t, f.refused[waiting].Obstacle, FullMemory)

	f = newEngineFleet(t, 1)
	f.submit(Request{Class: "summary", Prompt: 150_000, Limit: 150, Prefix: []uint64{5}, Ends: []int{150_000}})
	hint := f.submit(Request{Class: "summary", Prompt: 100, Limit: 10, Prefix: []uint64{9}, Ends: []int{100}})
	f.pass(5 * time.Second)
	assert.Equal(t, f.refused[hint].Obstacle, LongReading)
}
