package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/bits"
	"time"

	"github.com/tidwall/gjson"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// maxTokens bounds an engine's token counts.
const maxTokens = 1 << 30

// drainTimeout bounds the wait for the end of a body after its end marker.
const drainTimeout = 20 * time.Millisecond

// choices keeps which choices of an answer have begun and ended.
type choices struct {
	begun [maxChoices / 64]uint64
	ended [maxChoices / 64]uint64
}

func (c *choices) begin(i int) { c.begun[i/64] |= 1 << (i % 64) }
func (c *choices) end(i int)   { c.ended[i/64] |= 1 << (i % 64) }

func (c *choices) complete(expected int) bool {
	n := 0
	for _, w := range c.ended {
		n += bits.OnesCount64(w)
	}
	return n >= expected && c.begun == c.ended
}

// complete reports whether every choice has its finish reason.
func (s *session) complete() bool {
	return s.choice.complete(s.call.Generation.choices)
}

// exhausted reports whether the answer is as long as the caller permits and
// only its end marker is missing.
func (s *session) exhausted() bool {
	g := s.call.Generation
	return g.resumable && g.Limit > 0 && s.tokens >= g.Limit
}

// readStream reads the rest of a streamed answer.
func (s *session) readStream(c *candidate) error {
	timer := newGapTimer(s.forwarder.clock, s.deadlines.gap, c.cancel)
	defer timer.disarm()
	c.watch(&s.forwarder.group, s.continuable, func() { timer.shorten(goneGrace, errGone) })
	for i, e := range c.head {
		more := i < len(c.head)-1 || c.done || c.events.Ready()
		if err := s.passDecoded(c, e.chunk, e.data, more); err != nil {
			return s.endAttempt(c, err)
		}
	}
	if c.done {
		_, err := s.passDone()
		return s.finishStream(c, timer, err)
	}
	for {
		if !c.events.Ready() {
			timer.arm()
		}
		data, err := c.events.Next()
		timer.disarm()
		if err != nil {
			return s.endAttempt(c, endError(err))
		}
		end, err := s.pass(c, data, c.events.Ready())
		if end || err != nil {
			return s.finishStream(c, timer, err)
		}
	}
}

// finishStream ends an attempt at the end marker. The caller has the whole
// answer by then. The end of the body is still read, usually from the buffer:
// the transport keeps no connection whose answer was not read to its end.
func (s *session) finishStream(c *candidate, timer *gapTimer, err error) error {
	if err == nil {
		c.slot.Release(scheduler.Completed, s.tokens-s.base)
		timer.shorten(drainTimeout, errLost)
		timer.arm()
		_, _ = c.events.Next()
	}
	return s.endAttempt(c, err)
}

func (s *session) endAttempt(c *candidate, err error) error {
	tokens := s.tokens - s.base
	if err == nil {
		c.close(scheduler.Completed, tokens)
		return nil
	}
	if sink, ok := err.(sinkError); ok {
		c.close(scheduler.Abandoned, tokens)
		return sink
	}
	if s.sink != nil && s.passed > 0 {
		// The next attempt may wait long for its slot.
		if err := s.sink.Flush(); err != nil {
			c.close(scheduler.Abandoned, tokens)
			return sinkError{err}
		}
	}
	return s.settle(c, tokens, err)
}

// pass takes one event; end reports that it was the last one.
func (s *session) pass(c *candidate, data []byte, more bool) (end bool, err error) {
	if bytes.Equal(data, doneMark) {
		return s.passDone()
	}
	if err := s.chunk.decode(data); err != nil {
		return false, fmt.Errorf("%w: %w", errBadAnswer, err)
	}
	return false, s.passDecoded(c, &s.chunk, data, more)
}

func (s *session) passDone() (end bool, err error) {
	if !s.complete() {
		return false, errNoEnd
	}
	return true, s.emit(doneMark, false)
}

// passDecoded takes one event in the candidate's turn: an attempt that was asked
// to give way does so where the answer can go on after what the caller has.
func (s *session) passDecoded(c *candidate, k *chunk, data []byte, more bool) error {
	c.turn.Lock()
	defer c.turn.Unlock()
	if err := context.Cause(c.context); errors.Is(err, errPreempted) {
		return err
	}
	if err := s.passEvent(c, k, data, more); err != nil {
		return err
	}
	return c.yield(s.continuable)
}

func (s *session) passEvent(c *candidate, k *chunk, data []byte, more bool) error {
	if k.failed {
		return fmt.Errorf("%w: error event", errBadAnswer)
	}
	if err := s.take(k); err != nil {
		return err
	}
	c.slot.Progress(s.tokens - s.base)
	if s.sink == nil {
		return nil
	}
	return s.passChunk(k, data, more)
}

// take adds the chunk to the answer so far.
func (s *session) take(k *chunk) error {
	if s.identity.id == "" {
		s.identity = identity{k.id, k.created, k.model}
		s.system = k.system
	}
	grew := false
	for i := range k.choices {
		p := &k.choices[i]
		if p.index < 0 || p.index >= maxChoices {
			return fmt.Errorf("%w: choice index", errBadAnswer)
		}
		s.choice.begin(p.index)
		if p.finish != "" {
			s.choice.end(p.index)
			s.reason = p.finish
		}
		grew = grew || p.text != ""
		if s.call.Generation.resumable {
			s.text.WriteString(p.text)
		}
		if p.beyondText() {
			s.mixed = true
			grew = true
			s.extras.add(p)
		}
	}
	return s.count(k, grew)
}

// count follows the token counts: the engine's own where it sends them, else
// one for each chunk with content.
func (s *session) count(k *chunk, grew bool) error {
	if k.usage == "" {
		if grew {
			s.tokens++
		}
		return nil
	}
	prompt := gjson.Get(k.usage, "prompt_tokens").Int()
	completion := gjson.Get(k.usage, "completion_tokens").Int()
	if prompt < 0 || completion < 0 || prompt > maxTokens || completion > maxTokens {
		return fmt.Errorf("%w: token counts", errBadAnswer)
	}
	s.tokens = s.base + int(completion)
	if s.prompt == 0 {
		s.prompt = max(int(prompt)-s.base, 0)
	}
	s.counted = s.counted || len(k.choices) == 0
	return nil
}

// counts returns the token counts of the answer over all attempts.
func (s *session) counts() *usage {
	return &usage{Prompt: s.prompt, Completion: s.tokens, Total: s.prompt + s.tokens}
}

func (s *session) passChunk(k *chunk, data []byte, more bool) error {
	g := s.call.Generation
	last := len(k.choices) == 0 && k.usage != ""
	if last && !g.IncludeUsage {
		return nil
	}
	keep := last || g.IncludeUsage && g.ContinuousUsage
	var err error
	switch {
	case s.base > 0 || s.passed > 0 && k.id != s.identity.id:
		if !last && !k.hasToken() {
			return nil
		}
		var counts *usage
		if keep {
			counts = s.counts()
		}
		data, err = s.identity.adopt(data, counts)
	case !keep:
		data, err = withoutUsage(data, k)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errBadAnswer, err)
	}
	s.passed++
	return s.emit(data, more)
}

func (s *session) emit(data []byte, more bool) error {
	if s.sink == nil {
		return nil
	}
	if err := s.sink.Event(data, more); err != nil {
		return sinkError{err}
	}
	return nil
}

// closeAnswer ends an answer whose text is whole and of which only the end of
// the stream was lost.
func (s *session) closeAnswer(cause error) error {
	if !s.complete() {
		s.reason = "length"
		if err := s.emitOwn(chunkEnd{Reason: s.reason}, nil); err != nil {
			return err
		}
	}
	if !s.counted && (s.prompt == 0 || s.tokens == 0) && s.wantsCounts() {
		return broken(cause, s.run)
	}
	if s.sink == nil {
		return nil
	}
	if !s.counted && s.wantsCounts() {
		if err := s.emitOwn(chunkEnd{}, s.counts()); err != nil {
			return err
		}
	}
	return s.emit(doneMark, false)
}

func (s *session) wantsCounts() bool {
	return s.sink == nil || s.call.Generation.IncludeUsage
}
