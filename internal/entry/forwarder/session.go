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

// Sink takes the events of a streamed answer.
type Sink interface {
	// Event passes on the data of one event, which is valid during the call
	// only. more tells that the next event follows at once, so the event need
	// not be flushed.
	Event(data []byte, more bool) error
	// Flush sends the events that were kept because another one followed.
	Flush() error
}

// sinkError is a failure to pass an event to the caller.
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
	// passed counts the chunks that the caller has.
	passed int
	text   strings.Builder
	extras extras
	// base is the number of tokens from earlier attempts.
	base   int
	tokens int
	prompt int
	// counted is set when the engine sent its final token counts.
	counted bool
	choice  choices
	reason  string
	// mixed is set when the answer holds more than text.
	mixed bool
}

// extras collects the further text fields of a whole answer.
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

// Stream passes a streamed answer to the sink. When it returns an error after
// an event was passed, the caller must see a broken stream.
func (f *Forwarder) Stream(ctx context.Context, c GenerationCall, sink Sink) error {
	s := f.newSession(&c, sink)
	return s.drive(ctx, s.readStream)
}

// Collect returns a whole answer as JSON. A text answer is collected from a
// stream, so that it can be resumed and its upstream's silence shows between
// tokens; an answer with further parts is fetched whole and repeated from its
// start when it fails, because nothing of it has been passed on.
func (f *Forwarder) Collect(ctx context.Context, c GenerationCall) ([]byte, error) {
	s := f.newSession(&c, nil)
	if !c.Generation.resumable {
		var body []byte
		err := s.drive(ctx, func(c *candidate) error {
			body = c.whole
			s.noteTokens(c)
			c.close(scheduler.Completed, s.tokens)
			return nil
		})
		return body, err
	}
	if err := s.drive(ctx, s.readStream); err != nil {
		return nil, err
	}
	return s.encode(), nil
}

// streams reports whether the upstream is asked for a stream.
func (s *session) streams() bool {
	return s.sink != nil || s.call.Generation.resumable
}

// drive runs attempts until the answer is complete or given up.
func (s *session) drive(ctx context.Context, read func(*candidate) error) error {
	attempts, preemptions := 1, 0
	defer func() { s.call.Trace.end(s.tokens) }()
	for {
		s.request.Avoid = s.forwarder.distrust.extend(s.forwarder.clock.Now(), s.request.Avoid)
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
			return s.closeAnswer(err)
		}
		if !s.prepare() {
			return broken(err, s.run)
		}
		s.request.Retry = !errors.Is(err, errPreempted)
		if s.request.Retry {
			attempts++
		} else {
			preemptions++
		}
		if attempts > maxAttempts || preemptions > maxPreemptions {
			return broken(err, s.run)
		}
	}
}

// continuable reports whether another attempt can go on where this one is.
func (s *session) continuable() bool {
	text := s.text.String()
	return s.passed == 0 || text != "" && !s.mixed && s.call.Generation.canResume(text)
}

// prepare readies the session for a further attempt; false means that the
// answer cannot go on without repeating or losing a part.
func (s *session) prepare() bool {
	s.counted = false
	text := s.text.String()
	if text != "" && !s.mixed && s.call.Generation.canResume(text) {
		s.base = s.tokens
		s.request.Emitted = s.tokens
		return true
	}
	if s.passed > 0 {
		return false
	}
	s.text.Reset()
	s.extras = extras{}
	s.choice = choices{}
	s.mixed = false
	s.call.Trace.restart(s.tokens)
	s.tokens, s.base = 0, 0
	s.request.Emitted = 0
	return true
}

// attempt runs one granted slot and, before the first token, its hedge.
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
	// late is why the attempt ends when the timer expires.
	late error
}

// begin starts an attempt with a deadline of its own, so that the end of one
// says nothing about its hedge.
func (s *session) begin(ctx context.Context, slot dispatcher.Slot, results chan<- *candidate) opening {
	deadline := s.deadlines.first
	if !s.streams() {
		deadline = s.deadlines.total
	}
	timer := s.forwarder.clock.NewTimer(deadline)
	return opening{s.start(ctx, slot, results), timer, timer.Chan(), slot.Gone(), errSilent}
}

// leave gives an attempt whose upstream's lease has ended a short time.
func (o *opening) leave() {
	o.gone, o.late = nil, errGone
	o.timer.Reset(goneGrace)
}

func (o *opening) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}

// open starts the attempt and returns the candidate that had the first token.
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
				s.lose(running, results)
				return c, nil
			}
			err := s.settle(c, 0, c.err)
			var final *Error
			if errors.As(err, &final) || len(running) == 0 {
				s.lose(running, results)
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
			first.leave()
		case <-second.gone:
			second.leave()
		case <-first.expired:
			first.candidate.cancel(first.late)
		case <-second.expired:
			second.candidate.cancel(second.late)
		}
	}
}

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

// lose cancels the candidates that were not chosen.
func (s *session) lose(running []*candidate, results <-chan *candidate) {
	for _, c := range running {
		c.cancel(errLost)
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

// settle gives back the slot of a failed candidate and draws conclusions for
// the next attempt.
func (s *session) settle(c *candidate, tokens int, err error) error {
	o := c.outcome(err)
	s.forwarder.distrust.note(s.forwarder.clock.Now(), c.slot.Upstream().Name, err)
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
		// Only this connection may be dead: a new one is tried first.
		s.silent = append(s.silent, name)
		s.forwarder.pool.discard(c.slot.Upstream().Address, c.transport)
	case c.stale(err):
		s.forwarder.pool.discard(c.slot.Upstream().Address, c.transport)
	case o != scheduler.Preempted && o != scheduler.Abandoned && !slices.Contains(s.request.Avoid, name):
		s.request.Avoid = append(s.request.Avoid[:len(s.request.Avoid):len(s.request.Avoid)], name)
	}
	c.close(o, tokens)
	return err
}

// watch reacts to news of the slot while the answer is read.
func (c *candidate) watch(group *conc.WaitGroup, continuable func() bool, leaseEnded func()) {
	group.Go(func() {
		hedged, gone, preempted := c.slot.Hedged(), c.slot.Gone(), c.slot.Preempted()
		for {
			select {
			case <-preempted:
				preempted = nil
				c.turn.Lock()
				c.asked = true
				_ = c.yield(continuable)
				c.turn.Unlock()
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
