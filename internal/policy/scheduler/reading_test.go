package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestNextOwnerDoesNotTakeEnginesForFast guards against a new owner of a cell that
// mistakes prompts which the engines mostly hold in their caches for prompts that
// were read fast. Such an owner gave the engines several times as much to read, and
// the answers that ran there outlasted their callers' patience, the longest ones
// first.
func TestNextOwnerDoesNotTakeEnginesForFast(t *testing.T) {
	const engines = 40
	f := newEngineFleet(t, engines)
	f.readKeptPrompts(engines)
	for _, u := range f.s.upstreams {
		f.step(Kept{Upstream: u.Name, Incarnation: 1})
	}
	// An engine gets half a second of reading in advance: two or three cold
	// summaries.
	for i := range 10 * engines {
		f.summary(uint64(1_000 + i))
	}
	for _, u := range f.s.upstreams {
		assert.Assert(t, u.backlog(f.now) < 2*queueLimit && len(u.attempts) <= 5, "%d prompts for %s", len(u.attempts), u.Name)
	}
}

// TestStandbyDoesNotTakeEnginesForFast guards against the same mistake by an owner
// that has known the engines for long but has never placed a request on them.
func TestStandbyDoesNotTakeEnginesForFast(t *testing.T) {
	const engines = 40
	f := newEngineFleet(t, engines)
	f.pass(2 * cacheWarmUp)
	f.readKeptPrompts(engines)
	learned := f.s.pools["m"].reading.perToken()
	assert.Assert(t, learned > defaultPerToken*3/4, "%v a token is learned, %v is right", learned, defaultPerToken)
}

// TestOwnerAgainDoesNotTakeEnginesForFast guards against the same mistake by an
// owner that has owned the cell before: the engines' cache reports from that time
// are no longer valid.
func TestOwnerAgainDoesNotTakeEnginesForFast(t *testing.T) {
	const engines = 40
	f := newEngineFleet(t, engines)
	for _, u := range f.s.upstreams {
		f.step(Kept{Upstream: u.Name, Incarnation: 1})
	}
	f.step(Portion{})
	f.pass(2 * cacheWarmUp)
	f.step(Portion{1})
	f.readKeptPrompts(engines)
	learned := f.s.pools["m"].reading.perToken()
	assert.Assert(t, learned > defaultPerToken*3/4, "%v a token is learned, %v is right", learned, defaultPerToken)
}

// readKeptPrompts simulates a second in which engines read only the individual part
// of each prompt, because their caches hold the shared parts, which the scheduler
// does not know.
func (f *engineFleet) readKeptPrompts(engines int) {
	var ends []firstEnd
	prompt := func(class validator.ClassName, shared, own int) {
		id := f.submit(Request{
			Class: class, Prompt: shared + own, Limit: 150,
			Prefix: []uint64{uint64(shared), uint64(1_000_000 + f.next)}, Ends: []int{shared, shared + own},
		})
		if f.running[id] != "" {
			ends = append(ends, firstEnd{f.now.Add(startOverhead + time.Duration(own)*defaultPerToken), id})
		}
	}
	for step := range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		ends = f.deliverFirstTokens(ends)
		prompt("hint", 300, 500+step)
		prompt("summary", sharedPart+step%engines, ownPart)
	}
}

// firstEnd is the time at which the first token of a request arrives.
type firstEnd struct {
	at time.Time
	id RequestID
}

// deliverFirstTokens reports the first tokens that are due, ends their requests and
// returns the remaining ones.
func (f *engineFleet) deliverFirstTokens(ends []firstEnd) []firstEnd {
	return slices.DeleteFunc(ends, func(e firstEnd) bool {
		if e.at.After(f.now) {
			return false
		}
		f.first(e.id)
		f.finish(e.id)
		return true
	})
}

// TestOverloadDoesNotLookLikeFastReading guards against a scheduler that mistakes
// engines with a long queue for fast ones, therefore gives them more work, and
// never recovers. Behind a queue that the scheduler does not know, as after a
// change of the cell's owner, the time to the first token says nothing about the
// length of the prompt.
func TestOverloadDoesNotLookLikeFastReading(t *testing.T) {
	const (
		engines  = 10
		perToken = 20 * time.Microsecond
		unknown  = 2 * time.Second
	)
	f := newEngineFleet(t, engines)
	random := rand.New(rand.NewPCG(1, 18))
	free := map[string]time.Time{}
	for _, u := range f.s.upstreams {
		f.step(Kept{Upstream: u.Name, Incarnation: 1})
		free[string(u.Name)] = f.now.Add(time.Duration(random.Int64N(int64(2 * unknown))))
	}
	var ends []firstEnd
	for step := range 800 {
		f.now = f.now.Add(10 * time.Millisecond)
		ends = f.deliverFirstTokens(ends)
		f.step(Tick{})
		prompt := 500 + random.IntN(12_000)
		id := f.submit(Request{Class: "summary", Prompt: prompt, Limit: 100, Prefix: []uint64{uint64(step + 1)}, Ends: []int{prompt}})
		if u := string(f.running[id]); u != "" {
			begin := free[u]
			if begin.Before(f.now) {
				begin = f.now
			}
			free[u] = begin.Add(time.Duration(prompt) * perToken)
			ends = append(ends, firstEnd{free[u].Add(startOverhead), id})
		}
	}
	learned := f.s.pools["m"].reading.perToken()
	assert.Assert(t, learned > perToken*3/4 && learned < perToken*2, "%v a token is learned, %v is right", learned, perToken)
}

// TestAdoptedAttemptsTeachNoTimes guards against a new owner of a cell that
// measures the times of requests from the moment it learned of them: it would
// expect first tokens and free slots too early.
func TestAdoptedAttemptsTeachNoTimes(t *testing.T) {
	f := newEngineFleet(t, 1)
	for i := range 40 {
		id := RequestID(fmt.Sprint("a", i))
		f.running[id] = "engine-0"
		f.step(Adopt{Request: Request{ID: id, Pool: "m", Class: "hint", Prompt: 1_000, Limit: 100}, Upstream: "engine-0", Unread: true})
		f.pass(TickInterval)
		f.first(id)
		f.finish(id)
	}
	assert.Equal(t, f.s.estimator.Start("hint", startQuantile), time.Duration(0))
	assert.Equal(t, f.s.pools["m"].meanHold, 0.0)
}

// TestDividedSchedulerDoesNotLearnSpeed guards against a host that schedules on its
// own and mistakes prompts that engines mostly hold in their caches, because other
// hosts sent them there, for prompts that were read fast.
func TestDividedSchedulerDoesNotLearnSpeed(t *testing.T) {
	f := newEngineFleet(t, 4)
	f.step(Divide{Hosts: 8})
	for _, u := range f.s.upstreams {
		f.step(Kept{Upstream: u.Name, Incarnation: 1})
	}
	for i := range 60 {
		id := f.summary(uint64(i + 1))
		f.pass(startOverhead + 2*TickInterval)
		f.first(id)
		f.finish(id)
	}
	assert.Equal(t, f.s.pools["m"].reading.perToken(), defaultPerToken)
}
