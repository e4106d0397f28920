package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargePromptsGoWhereThereIsRoom guards against requests that are refused
// because the engine that suits them best has a long queue while others have room.
// The larger a prompt is, the stronger its preference for one engine.
func TestLargePromptsGoWhereThereIsRoom(t *testing.T) {
	f := newEngineFleet(t, 4)
	long := f.submit(Request{Class: "summary", Prompt: 120_000, Limit: 150, Prefix: []uint64{5}, Ends: []int{120_000}})
	for range 90 {
		f.first(f.hint())
	}
	for _, u := range f.s.upstreams {
		assert.Assert(t, u.Name == f.running[long] || u.exposure > 20, "%v", u.exposure)
	}
	small, large := f.chat(400), f.chat(3_800)
	assert.Assert(t, f.running[small] != "")
	f.pass(time.Second / 3)
	assert.Assert(t, f.running[large] != "" && f.running[large] != f.running[long], "runs at %q, refused: %v", f.running[large], f.refused[large])
}

// chat submits an urgent prompt of the given number of tokens.
func (f *engineFleet) chat(prompt int) RequestID {
	return f.submit(Request{Class: "hint", Prompt: prompt, Limit: 200, Prefix: []uint64{7, uint64(1_000_000 + f.next)}, Ends: []int{300, prompt}})
}
