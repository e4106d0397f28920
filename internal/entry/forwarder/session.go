package forwarder

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Sink receives the events of a streamed answer.
type Sink interface {
	// Event takes the data of one event, which is valid only during the call. more
	// tells that the next event has already arrived, so that this one need not be
	// flushed.
	Event(data []byte, more bool) error
	// Flush sends the events that were not flushed because another one followed.
	Flush() error
}

// sinkError is a failure to send an event to the caller.
type sinkError struct{ error }

// Unwrap returns the cause.
func (e sinkError) Unwrap() error { return e.error }

// session is one generation with all its attempts.
type session struct {
	forwarder *Forwarder
	call      *GenerationCall
	deadlines deadlines
	sink      Sink
	request   scheduler.Request
	run       Run
	silent    []registrar.UpstreamID

	// chunk is reused for each event.
	chunk    chunk
	identity identity
	system   string
	// forwarded counts the chunks that the caller has.
	forwarded int
	text      strings.Builder
	extras    extras
	// base is the number of tokens from earlier attempts.
	base   int
	tokens int
	prompt int
	// counted is set when the engine sent its final token counts.
	counted bool
	choice  choices
	reason  string
	// beyondText is set when the answer holds more than text.
	beyondText bool
}

// extras collects the text fields of a whole answer beyond its content.
type extras struct {
	reasoningContent string
	reasoning        string
	refusal          string
}

func (f *Forwarder) newSession(c *GenerationCall, sink Sink) *session {
	s := &session{
		forwarder: f,
		call:      c,
		deadlines: newDeadlines(c.Class),
		sink:      sink,
		request:   c.Request,
		run:       NotRun,
	}
	s.request.Whole = !s.streams()
	return s
}

// Stream sends a streamed answer to the sink. If it returns an error after an event was
// sent, the caller must be shown a broken stream.
func (f *Forwarder) Stream(ctx context.Context, c GenerationCall, sink Sink) error {
	s := f.newSession(&c, sink)
	return s.runAttempts(ctx, s.readStream)
}

// Collect returns a whole answer as JSON. A text answer is collected from a
// stream, so that it can be resumed and a silent upstream is noticed between
// tokens. An answer with other parts is requested whole and restarted after a
// failure, because nothing of it has been forwarded.
func (f *Forwarder) Collect(ctx context.Context, c GenerationCall) ([]byte, error) {
	s := f.newSession(&c, nil)
	if !c.Generation.resumable {
		var body []byte
		err := s.runAttempts(ctx, func(c *candidate) error {
			body = c.body
			s.noteTokens(c)
			c.close(scheduler.Completed, s.tokens)
			return nil
		})
		return body, err
	}
	if err := s.runAttempts(ctx, s.readStream); err != nil {
		return nil, err
	}
	return s.encode(), nil
}

// streams reports whether the upstream is asked for a stream.
func (s *session) streams() bool {
	return s.sink != nil || s.call.Generation.resumable
}

// runAttempts makes attempts until the answer is complete or the request has failed for
// good.
func (s *session) runAttempts(ctx context.Context, read func(*candidate) error) error {
	attempts, preemptions := 1, 0
	defer func() { s.call.Trace.end(s.tokens) }()
	for {
		s.request.Avoid = s.forwarder.avoided.extend(s.forwarder.clock.Now(), s.request.Avoid)
		slot, err := s.forwarder.dispatcher.Acquire(ctx, s.request)
		if err != nil && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return refusal(err, s.run)
		}
		s.request.Cell = slot.Upstream().Cell
		s.call.Trace.grant(s.forwarder.clock.Now())
		err = s.attempt(ctx, slot, read)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		var final *Error
		var sink sinkError
		if errors.As(err, &final) || errors.As(err, &sink) {
			return err
		}
		s.forwarder.logger.Info("attempt failed",
			zap.String("request", string(s.request.ID)),
			zap.String("upstream", string(slot.Upstream().Name)),
			zap.Int("attempt", attempts),
			zap.Int("tokens", s.tokens),
			zap.Error(err))
		if s.complete() || s.exhausted() {
			return s.completeAnswer(err)
		}
		if !s.prepareNext() {
			return finalFailure(err, s.run)
		}
		s.request.Retry = !errors.Is(err, errPreempted)
		if s.request.Retry {
			attempts++
		} else {
			preemptions++
		}
		if attempts > maxAttempts || preemptions > maxPreemptions {
			return finalFailure(err, s.run)
		}
	}
}

// continuable reports whether another attempt could take over the answer now.
func (s *session) continuable() bool {
	text := s.text.String()
	return s.forwarded == 0 || text != "" && !s.beyondText && s.call.Generation.canResume(text)
}

// prepareNext prepares the session for another attempt; false means that the answer
// can't be continued without repeating or losing a part.
func (s *session) prepareNext() bool {
	s.counted = false
	text := s.text.String()
	if text != "" && !s.beyondText && s.call.Generation.canResume(text) {
		s.base = s.tokens
		s.request.Emitted = s.tokens
		return true
	}
	if s.forwarded > 0 {
		return false
	}
	s.text.Reset()
	s.extras = extras{}
	s.choice = choices{}
	s.beyondText = false
	s.call.Trace.restart(s.tokens)
	s.tokens, s.base = 0, 0
	s.request.Emitted = 0
	return true
}

// attempt uses one granted slot and, before the first token, its hedge.
func (s *session) attempt(ctx context.Context, slot dispatcher.Slot, read func(*candidate) error) error {
	c, err := s.open(ctx, slot)
	if err != nil {
		return err
	}
	c.slot.FirstToken()
	s.call.Trace.first(s.forwarder.clock.Now())
	return read(c)
}

// opening is an attempt that waits for its first token.
type opening struct {
	candidate *candidate
	timer     clockwork.Timer
	expired   <-chan time.Time
	gone      <-chan struct{}
	// timeoutCause is the cause with which the attempt ends when the timer expires.
	timeoutCause error
}

// begin starts an attempt with its own deadline, so that the end of one attempt says
// nothing about its hedge.
func (s *session) begin(ctx context.Context, slot dispatcher.Slot, results chan<- *candidate) opening {
	deadline := s.deadlines.first
	if !s.streams() {
		deadline = s.deadlines.total
	}
	timer := s.forwarder.clock.NewTimer(deadline)
	return opening{s.start(ctx, slot, results), timer, timer.Chan(), slot.Gone(), errSilent}
}

// leaseEnded gives an attempt whose upstream's lease has ended leaseEndGrace to get its
// first token.
func (o *opening) leaseEnded() {
	o.gone, o.timeoutCause = nil, errLeaseEnded
	o.timer.Reset(leaseEndGrace)
}

// stop stops the timer of an attempt that was started.
func (o *opening) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}

// open starts the attempt and returns the candidate that got the first token, which may
// be the hedge.
func (s *session) open(ctx context.Context, slot dispatcher.Slot) (*candidate, error) {
	results := make(chan *candidate, 2)
	first, second := s.begin(ctx, slot, results), opening{}
	defer func() {
		first.stop()
		second.stop()
	}()
	running := []*candidate{first.candidate}
	hedged, preempted := slot.Hedged(), slot.Preempted()
	for {
		select {
		case c := <-results:
			running = slices.DeleteFunc(running, func(o *candidate) bool { return o == c })
			if c.err == nil {
				s.run = DidRun
				s.discard(running, results)
				return c, nil
			}
			err := s.settle(c, 0, c.err)
			var final *Error
			if errors.As(err, &final) || len(running) == 0 {
				s.discard(running, results)
				return nil, err
			}
		case h, ok := <-hedged:
			hedged = nil
			if ok && h != nil {
				second = s.begin(ctx, h, results)
				running = append(running, second.candidate)
			}
		case <-preempted:
			preempted = nil
			cancelAll(running, errPreempted)
		case <-first.gone:
			first.leaseEnded()
		case <-second.gone:
			second.leaseEnded()
		case <-first.expired:
			first.candidate.cancel(first.timeoutCause)
		case <-second.expired:
			second.candidate.cancel(second.timeoutCause)
		}
	}
}

// start runs a candidate in the background, which is sent to results when it has its
// first token or an error.
func (s *session) start(ctx context.Context, slot dispatcher.Slot, results chan<- *candidate) *candidate {
	c := s.forwarder.newCandidate(ctx, slot, s.streams())
	text, emitted := s.text.String(), s.tokens
	c.err = errPanicked
	s.forwarder.group.Go(func() {
		defer func() { results <- c }()
		c.connect(s.call, text, emitted)
	})
	return c
}

// discard cancels the candidates that were not chosen and closes them in the
// background.
func (s *session) discard(running []*candidate, results <-chan *candidate) {
	for _, c := range running {
		c.cancel(errDiscarded)
		c.slot.Release(scheduler.Abandoned, 0)
	}
	if len(running) == 0 {
		return
	}
	n := len(running)
	s.forwarder.group.Go(func() {
		for range n {
			c := <-results
			c.close(scheduler.Abandoned, 0)
		}
	})
}

// settle releases the slot of a failed candidate and decides which upstreams and
// connections the next attempt avoids. It returns the cause of the failure.
func (s *session) settle(c *candidate, tokens int, err error) error {
	o := c.outcome(err)
	s.forwarder.avoided.note(s.forwarder.clock.Now(), c.slot.Upstream().Name, err)
	if cause := context.Cause(c.context); cause != nil {
		err = cause
	}
	if c.connected.Load() && s.run == NotRun {
		s.run = MayHaveRun
	}
	if c.answered {
		s.run = DidRun
	}
	name := c.slot.Upstream().Name
	switch {
	case o == scheduler.Silent && !slices.Contains(s.silent, name):
		// Perhaps only this connection is dead, so a new one is tried first.
		s.silent = append(s.silent, name)
		s.forwarder.pool.discard(c.slot.Upstream().Address, c.transport)
	case c.closedWhileIdle(err):
		s.forwarder.pool.discard(c.slot.Upstream().Address, c.transport)
	case o != scheduler.Preempted && o != scheduler.Abandoned && !slices.Contains(s.request.Avoid, name):
		s.request.Avoid = append(s.request.Avoid[:len(s.request.Avoid):len(s.request.Avoid)], name)
	}
	c.close(o, tokens)
	return err
}

// watch reacts to changes of the slot while the answer is read.
func (c *candidate) watch(group *conc.WaitGroup, continuable func() bool, leaseEnded func()) {
	group.Go(func() {
		hedged, gone, preempted := c.slot.Hedged(), c.slot.Gone(), c.slot.Preempted()
		for {
			select {
			case <-preempted:
				preempted = nil
				c.eventMu.Lock()
				c.preempted = true
				_ = c.stopIfPreempted(continuable)
				c.eventMu.Unlock()
			case <-gone:
				gone = nil
				leaseEnded()
			case h, ok := <-hedged:
				hedged = nil
				if ok && h != nil {
					h.Release(scheduler.Abandoned, 0)
				}
			case <-c.context.Done():
				return
			}
		}
	})
}

func cancelAll(list []*candidate, cause error) {
	for _, c := range list {
		c.cancel(cause)
	}
}
