// Package batcher models a model engine with continuous batching. Each iteration
// decodes one token of every sequence whose prompt is processed, and processes a
// chunk of the other prompts, so that the time between tokens grows with the batch.
// Prefixes of prompts are cached in limited memory, and sequences with a lower
// priority number enter the batch first.
//
// The model reads no clock: Step starts an iteration and returns how long it takes,
// and the caller waits for that long and then calls Finish. It is not safe for
// concurrent use.
//
// # Usage
//
//	b := batcher.New(32)
//	b.Add(&batcher.Sequence{Prompt: 300, Want: 20})
//	for {
//		i := b.Step()
//		if i.Cost == 0 {
//			break // nothing to do
//		}
//		clock.Sleep(i.Cost)
//		for _, s := range b.Finish(i) {
//			fmt.Println(s.Tokens, s.Done())
//		}
//	}
package batcher

import (
	"slices"
	"time"
)

// The costs are of the order of a mid-size model on one accelerator: 16 ms for a
// decoding step alone, 29 ms with 32 sequences, and 17,000 prompt tokens a
// second.
const (
	// StepCost is the fixed duration of an iteration.
	StepCost = 16 * time.Millisecond
	// SequenceCost is added for each sequence that decodes a token.
	SequenceCost = 400 * time.Microsecond
	// PrefillCost is added for each prompt token that is processed.
	PrefillCost = 60 * time.Microsecond
	// Chunk bounds the prompt tokens processed in one iteration.
	Chunk = 512
	// BlockTokens is the size of a block of the prefix cache in tokens.
	BlockTokens = 128
	// CacheBlocks bounds the prefix cache, in blocks.
	CacheBlocks = 400
)

// Sequence is a prompt with the tokens generated for it.
type Sequence struct {
	// Priority orders the sequences that wait; the lowest number goes first.
	Priority int
	// Prompt is the number of tokens to process before the first new one.
	Prompt int
	// Prefix holds the hashes of the leading blocks of the prompt.
	Prefix []uint64
	// Want is the number of tokens to generate; zero means until Cancel.
	Want int
	// Tokens is the number of tokens generated so far.
	Tokens int
	// Started is set when the sequence enters the batch.
	Started bool

	prefill int
}

// Done reports whether all tokens are generated.
func (s *Sequence) Done() bool { return s.Want > 0 && s.Tokens >= s.Want }

// Batch is the state of an engine: the queue, the running sequences and the prefix
// cache.
type Batch struct {
	slots   int
	queue   []*Sequence
	running []*Sequence
	cache   Cache
}

// New returns an engine without work that runs at most slots sequences at once.
func New(slots int) *Batch { return &Batch{slots: slots} }

// Load returns the number of sequences in the batch and in the queue.
func (b *Batch) Load() (running, waiting int) { return len(b.running), len(b.queue) }

// Add queues a sequence behind those with the same or a lower priority number.
func (b *Batch) Add(s *Sequence) {
	i, _ := slices.BinarySearchFunc(b.queue, s, func(a, b *Sequence) int {
		if a.Priority <= b.Priority {
			return -1
		}
		return 1
	})
	b.queue = slices.Insert(b.queue, i, s)
}

// Cancel removes a sequence from the queue or the batch.
func (b *Batch) Cancel(s *Sequence) {
	same := func(q *Sequence) bool { return q == s }
	b.queue = slices.DeleteFunc(b.queue, same)
	b.running = slices.DeleteFunc(b.running, same)
}

// Iteration is one pass over the batch.
type Iteration struct {
	// Cost is how long the pass takes; zero means that there is no work.
	Cost  time.Duration
	ready []*Sequence
}

// Step fills free slots from the queue and starts the next iteration.
func (b *Batch) Step() Iteration {
	b.admit()
	if len(b.running) == 0 {
		return Iteration{}
	}
	budget, decoding := Chunk, 0
	var i Iteration
	for _, s := range b.running {
		if s.prefill == 0 {
			decoding++
			i.ready = append(i.ready, s)
			continue
		}
		n := min(budget, s.prefill)
		budget -= n
		if s.prefill -= n; s.prefill == 0 {
			i.ready = append(i.ready, s)
		}
	}
	i.Cost = StepCost + time.Duration(decoding)*SequenceCost + time.Duration(Chunk-budget)*PrefillCost
	return i
}

// Finish ends an iteration and returns the sequences that got a token, without
// those that were cancelled in the meantime. It removes sequences that are done from
// the batch.
func (b *Batch) Finish(i Iteration) []*Sequence {
	var list []*Sequence
	for _, s := range i.ready {
		if !slices.Contains(b.running, s) {
			continue
		}
		s.Tokens++
		if s.Done() {
			b.Cancel(s)
		}
		list = append(list, s)
	}
	return list
}

func (b *Batch) admit() {
	for len(b.running) < b.slots && len(b.queue) > 0 {
		s := b.queue[0]
		b.queue = b.queue[1:]
		s.Started = true
		s.prefill = max(s.Prompt-b.cache.Use(s.Prefix)*BlockTokens, 1)
		b.running = append(b.running, s)
	}
}
