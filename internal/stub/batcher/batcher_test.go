package batcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drain runs the batch until it is empty and returns when each sequence got its first
// token, as the time since the start.
func drain(b *Batch) map[*Sequence]time.Duration {
	first := map[*Sequence]time.Duration{}
	var now time.Duration
	for i := b.Step(); i.Cost > 0; i = b.Step() {
		now += i.Cost
		for _, s := range b.Finish(i) {
			if s.Tokens == 1 {
				first[s] = now
			}
		}
	}
	return first
}

// TestBatch guards against a model that ignores priorities, the prefix cache, the
// batch size or the length of prompts.
func TestBatch(t *testing.T) {
	b := New(1)
	long, low, high := &Sequence{Prompt: 10, Want: 5}, &Sequence{Prompt: 10, Want: 1, Priority: 3}, &Sequence{Prompt: 10, Want: 1}
	for _, s := range []*Sequence{long, low, high} {
		b.Add(s)
	}
	first := drain(b)
	assert.Assert(t, first[long] < first[high] && first[high] < first[low], "%v, %v, %v", first[long], first[high], first[low])

	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	b = New(1)
	cold, warm := &Sequence{Prompt: 1280, Prefix: blocks, Want: 1}, &Sequence{Prompt: 1280, Prefix: blocks, Want: 1}
	b.Add(cold)
	before := drain(b)[cold]
	b.Add(warm)
	assert.Assert(t, drain(b)[warm] < before/4, "the cached prefix was processed again")

	b = New(32)
	var full []*Sequence
	for range 32 {
		full = append(full, &Sequence{Prompt: 1, Want: 2})
		b.Add(full[len(full)-1])
	}
	b.Finish(b.Step())
	assert.Equal(t, b.Step().Cost, StepCost+32*SequenceCost)
	b.Cancel(full[0])
	running, _ := b.Load()
	assert.Equal(t, running, 31)
}

// TestCancelled guards against a token for a sequence that was cancelled while
// the iteration ran.
func TestCancelled(t *testing.T) {
	b := New(2)
	kept, gone := &Sequence{Prompt: 1, Want: 1}, &Sequence{Prompt: 1, Want: 1}
	b.Add(kept)
	b.Add(gone)
	i := b.Step()
	b.Cancel(gone)
	list := b.Finish(i)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0], kept)
	assert.Equal(t, b.Step().Cost, time.Duration(0))
}
