package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// readBody reads the request's body, which must arrive within bodyTimeout and be no
// longer than the limit.
func (c *call) readBody() ([]byte, error) {
	limit := c.receiver.options.Limits.Body
	tooLong := refuse(http.StatusRequestEntityTooLarge, "invalid_request_error", "too_large", "the body is too long", 0)
	if c.request.ContentLength > limit {
		return nil, tooLong
	}
	if c.request.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var b bytes.Buffer
	if n := c.request.ContentLength; n > 0 {
		b.Grow(int(n) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(c.request.Body, limit+1))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_request_error", "incomplete_body", "the body did not arrive whole", 0)
	}
	if n > limit {
		return nil, tooLong
	}
	_ = control.SetReadDeadline(time.Time{})
	return b.Bytes(), nil
}

// generate returns the handler of the generation requests of kind k.
func generate(k forwarder.Kind) func(*call) error {
	return func(c *call) error {
		body, err := c.readBody()
		if err != nil {
			return err
		}
		g, err := forwarder.DecodeGeneration(k, body)
		if err != nil {
			return err
		}
		m := c.index.models[g.Model]
		if m == nil {
			return refuse(http.StatusNotFound, "invalid_request_error", "model_not_found", "the model does not exist", 0)
		}
		class, ok := c.index.modelClass(m, validator.ClassName(c.request.Header.Get(ClassHeader)))
		if !ok {
			return badRequest("class_not_permitted", "the model does not permit the class")
		}
		c.class = class.Name
		return c.generate(forwarder.GenerationCall{
			Trace:      &c.trace,
			Generation: g,
			Class:      class,
			Request: scheduler.Request{
				ID:           c.id,
				Pool:         g.Model,
				Class:        class.Name,
				Organisation: c.organisation.Name,
				Prompt:       g.PromptTokens(),
				Limit:        g.Limit,
				Prefix:       g.Prefix(),
				Parts:        g.Parts(),
				Repeatable:   true,
				Fingerprint:  g.Fingerprint(),
				Arrived:      c.arrived,
			},
		})
	}
}

// generate runs the generation and sends its answer as a stream or as one JSON body.
func (c *call) generate(g forwarder.GenerationCall) error {
	ctx := c.request.Context()
	if !g.Generation.Stream {
		answer, err := c.receiver.options.Forwarder.Collect(ctx, g)
		if err != nil {
			return err
		}
		c.writer.Header()[RunHeader] = []string{string(forwarder.DidRun)}
		writeResponse(c.writer, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, answer)
		return nil
	}
	s := &eventSink{writer: c.writer, control: http.NewResponseController(c.writer), buffer: buffers.Get().(*[]byte)}
	defer s.release()
	err := c.receiver.options.Forwarder.Stream(ctx, g, s)
	if err == nil || !s.started {
		return err
	}
	c.receiver.failures.Inc(1)
	c.receiver.logger.Info("stream aborted", zap.String("request", string(c.id)), zap.Error(err))
	var e *forwarder.Error
	if errors.As(err, &e) && ctx.Err() == nil {
		_ = s.Event(encodeError(e, ""), false)
	}
	// Without the abort the caller would take the answer for complete.
	panic(http.ErrAbortHandler)
}

// buffers holds the write buffers of streams for reuse.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 2*maxUnflushed)
	return &b
}}

// eventSink writes server-sent events to the caller.
type eventSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	buffer  *[]byte
	started bool
}

// release returns the buffer to the pool, unless a long event made it large.
func (s *eventSink) release() {
	if cap(*s.buffer) <= 4*maxUnflushed {
		buffers.Put(s.buffer)
	}
}

// maxUnflushed bounds in bytes the events that are collected for one write.
const maxUnflushed = 16 << 10

// Event appends one event and writes it at once, unless more is set and less than
// maxUnflushed has been collected.
func (s *eventSink) Event(data []byte, more bool) error {
	if !s.started {
		s.started = true
		h := s.writer.Header()
		h["Content-Type"] = []string{"text/event-stream"}
		h["Cache-Control"] = []string{"no-cache"}
		h[RunHeader] = []string{string(forwarder.DidRun)}
	}
	b := *s.buffer
	for line := range bytes.SplitSeq(data, []byte{'\n'}) {
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	b = append(b, '\n')
	*s.buffer = b
	if more && len(b) < maxUnflushed {
		return nil
	}
	return s.Flush()
}

// Flush writes the collected events.
func (s *eventSink) Flush() error {
	b := *s.buffer
	if len(b) == 0 {
		return nil
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.writer.Write(b)
	*s.buffer = b[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

// listModels answers with the models of the configuration.
func listModels(c *call) error {
	type model struct {
		ID      validator.PoolName `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		OwnedBy string             `json:"owned_by"`
	}
	list := make([]model, 0, len(c.index.document.Models))
	for _, m := range c.index.document.Models {
		list = append(list, model{m.Name, "model", 0, "amaranthcart"})
	}
	body, err := json.Marshal(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
	if err != nil {
		return err
	}
	writeResponse(c.writer, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
	return nil
}
