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

// maxTokens bounds the token counts that an engine reports.
const maxTokens = 1 << 30

// drainTimeout bounds the wait for the end of a body after its end marker.
const drainTimeout = 20 * time.Millisecond

// choices records which choices of an answer have begun and ended, one bit for each.
type choices struct {
	begun [maxChoices / 64]uint64
	ended [maxChoices / 64]uint64
}

func (c *choices) begin(i int) { c.begun[i/64] |= 1 << (i % 64) }
func (c *choices) end(i int)   { c.ended[i/64] |= 1 << (i % 64) }

// complete reports whether at least the expected number of choices have ended, and all
// that have begun.
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

// exhausted reports whether the answer is as long as the caller's limit permits, so
// that only its end marker is missing.
func (s *session) exhausted() bool {
	g := s.call.Generation
	return g.resumable && g.Limit > 0 && s.tokens >= g.Limit
}

// readStream reads the rest of a streamed answer.
func (s *session) readStream(c *candidate) error {
	timer := newGapTimer(s.forwarder.clock, s.deadlines.gap, c.cancel)
	defer timer.disarm()
	c.watch(&s.forwarder.group, s.continuable, func() { timer.shorten(leaseEndGrace, errLeaseEnded) })
	for i, e := range c.head {
		more := i < len(c.head)-1 || c.done || c.events.Ready()
		if err := s.handleChunk(c, e.chunk, e.data, more); err != nil {
			return s.endAttempt(c, err)
		}
	}
	if c.done {
		_, err := s.handleEnd()
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
		end, err := s.handleEvent(c, data, c.events.Ready())
		if end || err != nil {
			return s.finishStream(c, timer, err)
		}
	}
}

// finishStream ends an attempt at the end marker. The caller has the whole answer by
// then. The rest of the body is still read, usually from the buffer, because the
// transport does not reuse a connection whose answer was not read to its end.
func (s *session) finishStream(c *candidate, timer *gapTimer, err error) error {
	if err == nil {
		c.slot.Release(scheduler.Completed, s.tokens-s.base)
		timer.shorten(drainTimeout, errDiscarded)
		timer.arm()
		_, _ = c.events.Next()
	}
	return s.endAttempt(c, err)
}

// endAttempt closes the candidate after the error that ended its stream, or after
// success if err is nil.
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
	if s.sink != nil && s.forwarded > 0 {
		// The caller gets what there is, as the next attempt may wait long for its
		// slot.
		if err := s.sink.Flush(); err != nil {
			c.close(scheduler.Abandoned, tokens)
			return sinkError{err}
		}
	}
	return s.settle(c, tokens, err)
}

// handleEvent handles one event; end reports that it was the end marker.
func (s *session) handleEvent(c *candidate, data []byte, more bool) (end bool, err error) {
	if bytes.Equal(data, doneMark) {
		return s.handleEnd()
	}
	if err := s.chunk.decode(data); err != nil {
		return false, fmt.Errorf("%w: %w", errBadAnswer, err)
	}
	return false, s.handleChunk(c, &s.chunk, data, more)
}

// handleEnd handles the end marker, which is an error if the answer is not complete.
func (s *session) handleEnd() (end bool, err error) {
	if !s.complete() {
		return false, errNoEnd
	}
	return true, s.emit(doneMark, false)
}

// handleChunk handles one chunk while it holds the candidate's eventMu. A preempted
// attempt ends here if the answer can be resumed after what the caller has.
func (s *session) handleChunk(c *candidate, k *chunk, data []byte, more bool) error {
	c.eventMu.Lock()
	defer c.eventMu.Unlock()
	if err := context.Cause(c.context); errors.Is(err, errPreempted) {
		return err
	}
	if err := s.addEvent(c, k, data, more); err != nil {
		return err
	}
	return c.stopIfPreempted(s.continuable)
}

// addEvent adds the chunk to the answer and sends it to the caller.
func (s *session) addEvent(c *candidate, k *chunk, data []byte, more bool) error {
	if k.failed {
		return fmt.Errorf("%w: error event", errBadAnswer)
	}
	if err := s.addToAnswer(k); err != nil {
		return err
	}
	c.slot.Progress(s.tokens - s.base)
	if s.sink == nil {
		return nil
	}
	return s.emitChunk(k, data, more)
}

// addToAnswer adds the chunk to the answer so far.
func (s *session) addToAnswer(k *chunk) error {
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
			s.beyondText = true
			grew = true
			s.extras.add(p)
		}
	}
	return s.count(k, grew)
}

// count updates the token counts: from the engine's counts if it sends them, otherwise
// by one for each chunk with content.
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

// emitChunk sends the chunk to the sink. It removes token counts that the caller did
// not request, and rewrites chunks of resumed attempts.
func (s *session) emitChunk(k *chunk, data []byte, more bool) error {
	g := s.call.Generation
	last := len(k.choices) == 0 && k.usage != ""
	if last && !g.IncludeUsage {
		return nil
	}
	keep := last || g.IncludeUsage && g.ContinuousUsage
	var err error
	switch {
	case s.base > 0 || s.forwarded > 0 && k.id != s.identity.id:
		if !last && !k.hasToken() {
			return nil
		}
		var counts *usage
		if keep {
			counts = s.counts()
		}
		data, err = s.identity.rewrite(data, counts)
	case !keep:
		data, err = withoutUsage(data, k)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errBadAnswer, err)
	}
	s.forwarded++
	return s.emit(data, more)
}

// emit sends an event to the sink, if there is one.
func (s *session) emit(data []byte, more bool) error {
	if s.sink == nil {
		return nil
	}
	if err := s.sink.Event(data, more); err != nil {
		return sinkError{err}
	}
	return nil
}

// completeAnswer ends an answer whose text is complete and of which only the end of the
// stream was lost. It fails if the caller needs token counts that are not known.
func (s *session) completeAnswer(cause error) error {
	if !s.complete() {
		s.reason = "length"
		if err := s.emitFinal(chunkEnd{Reason: s.reason}, nil); err != nil {
			return err
		}
	}
	if !s.counted && (s.prompt == 0 || s.tokens == 0) && s.wantsCounts() {
		return finalFailure(cause, s.run)
	}
	if s.sink == nil {
		return nil
	}
	if !s.counted && s.wantsCounts() {
		if err := s.emitFinal(chunkEnd{}, s.counts()); err != nil {
			return err
		}
	}
	return s.emit(doneMark, false)
}

// wantsCounts reports whether the answer must have token counts at its end.
func (s *session) wantsCounts() bool {
	return s.sink == nil || s.call.Generation.IncludeUsage
}
