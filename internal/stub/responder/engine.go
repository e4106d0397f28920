package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/amaranthcart/amaranthcart/internal/stub/batcher"
)

// Generations is the key under which Runs counts generations.
const Generations = "generations"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

// generation is a request for a chat answer or a completion.
type generation struct {
	Model                string        `json:"model"`
	Messages             []message     `json:"messages"`
	Prompt               string        `json:"prompt"`
	Stream               bool          `json:"stream"`
	StreamOptions        streamOptions `json:"stream_options"`
	MaxTokens            int           `json:"max_tokens"`
	MaxCompletionTokens  int           `json:"max_completion_tokens"`
	Choices              int           `json:"n"`
	Priority             int           `json:"priority"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
	AddGenerationPrompt  *bool         `json:"add_generation_prompt"`

	chat bool
	// text is what the answer continues, and continued is the number of tokens of
	// the answer that it contains already.
	text      string
	continued int
}

func (g *generation) limit() int {
	if g.MaxCompletionTokens > 0 {
		return g.MaxCompletionTokens
	}
	return g.MaxTokens
}

// render sets the text that the answer continues, as an engine's chat template
// does, and counts the tokens of the answer that the request contains already.
func (g *generation) render() error {
	if !g.chat {
		g.text = g.Prompt
		if _, rest, found := lastMarker(g.Prompt, "length"); found {
			g.continued = countTokens(rest)
		}
		return nil
	}
	add := g.AddGenerationPrompt == nil || *g.AddGenerationPrompt
	if g.ContinueFinalMessage && add {
		return fmt.Errorf("continue_final_message needs add_generation_prompt to be false")
	}
	if len(g.Messages) == 0 {
		return fmt.Errorf("messages is empty")
	}
	var b strings.Builder
	for i, m := range g.Messages {
		b.WriteString(m.Role + ":")
		b.WriteString(m.Content)
		if g.ContinueFinalMessage && i == len(g.Messages)-1 {
			g.continued = countTokens(m.Content)
			break
		}
		b.WriteString("\n")
	}
	if add {
		b.WriteString("assistant:")
	}
	g.text = b.String()
	return nil
}

func (r *Responder) chat(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	r.generate(w, q, &generation{chat: true})
}

func (r *Responder) complete(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	r.generate(w, q, &generation{})
}

func (r *Responder) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	loaded, _ := r.state.State(r.clock.Now())
	list := make([]model, 0, len(loaded.Models))
	for _, m := range loaded.Models {
		list = append(list, model{string(m), "model"})
	}
	writeJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

func (r *Responder) generate(w http.ResponseWriter, q *http.Request, g *generation) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if err != nil {
		return
	}
	if err := json.Unmarshal(body, g); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not a request that this engine knows")
		return
	}
	if err := g.render(); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	b := r.takeBehaviour()
	if !r.usable(q.Context()) {
		return
	}
	if b.Status != 0 {
		writeError(w, b.Status, "disturbed")
		return
	}
	if r.pacer == nil {
		if !r.semaphore.acquire(q.Context(), g.Priority) {
			return
		}
		defer r.semaphore.release()
	}
	r.count(Generations)
	a := &answer{
		responder:    r,
		request:      q,
		writer:       w,
		generation:   g,
		behaviour:    b,
		serial:       r.serial.Add(1),
		created:      r.clock.Now().Unix(),
		promptTokens: countTokens(strings.ReplaceAll(g.text, "\n", " ")) + 1,
	}
	a.length, _, _ = lastMarker(g.text, "length")
	a.crashAfter, _, a.mayCrash = lastMarker(g.text, "crash")
	if r.pacer != nil {
		a.paced = r.pacer.add(a.sequence())
		defer a.paced.cancel()
	}
	a.run()
}

// answer is the answer to one request, with one or more choices, in progress.
type answer struct {
	responder    *Responder
	request      *http.Request
	writer       http.ResponseWriter
	generation   *generation
	behaviour    Behaviour
	serial       uint64
	created      int64
	promptTokens int
	tokens       int
	length       int
	crashAfter   int
	mayCrash     bool
	buffer       []byte
	commonText   string
	// paced is nil unless the engine batches.
	paced *pacedSequence
}

// sequence describes the generation to the batching engine. Its length stays open
// with several choices or when the request states neither a length nor a limit.
func (a *answer) sequence() *batcher.Sequence {
	s := &batcher.Sequence{Priority: a.generation.Priority, Prompt: a.promptTokens, Prefix: prefixBlocks(a.generation.text)}
	if a.generation.Choices > 1 {
		return s
	}
	if a.length > 0 {
		s.Want = max(a.length-a.generation.continued, 1)
	}
	if limit := a.generation.limit(); limit > 0 && (s.Want == 0 || limit < s.Want) {
		s.Want = limit
	}
	return s
}

func (a *answer) run() {
	if !a.responder.pause(a.request.Context(), time.Duration(a.behaviour.First)) {
		return
	}
	if a.generation.Stream {
		a.writeStream()
		return
	}
	a.writeWhole()
}

// generateChoice passes the tokens of one choice to emit. It returns the finish
// reason, and false when the answer broke off.
func (a *answer) generateChoice(index int, emit func(token string)) (string, bool) {
	text := a.generation.text
	if index > 0 {
		text = strconv.Itoa(index) + text
	}
	g := newGenerator(text, a.length, a.generation.continued)
	limit := a.generation.limit()
	for n := 0; ; n++ {
		if !a.applyFaults(n) {
			return "", false
		}
		if limit > 0 && n >= limit {
			return "length", true
		}
		token, more := g.next()
		if !more {
			return "stop", true
		}
		if !a.waitForToken(n) {
			return "", false
		}
		a.tokens++
		emit(token)
	}
}

// waitForToken waits until token n is due. It reports false when the caller has
// disconnected.
func (a *answer) waitForToken(n int) bool {
	if a.paced != nil && !a.paced.next(a.request.Context()) {
		return false
	}
	return n == 0 || a.responder.pause(a.request.Context(), time.Duration(a.behaviour.Gap))
}

// applyFaults injects the fault that is due after n tokens. It reports whether the
// answer goes on, and panics with http.ErrAbortHandler to close the connection.
func (a *answer) applyFaults(n int) bool {
	b := a.behaviour
	switch {
	case a.mayCrash && n >= a.crashAfter:
		a.flush()
		a.responder.crash()
		return false
	case b.Cut > 0 && n >= b.Cut:
		return false
	case b.Break > 0 && n >= b.Break:
		a.flush()
		panic(http.ErrAbortHandler)
	case b.Hang > 0 && n >= b.Hang:
		a.flush()
		select {
		case <-a.request.Context().Done():
		case <-a.responder.context.Done():
		}
		return false
	}
	return a.responder.usable(a.request.Context())
}

func (a *answer) flush() {
	if len(a.buffer) > 0 {
		_, _ = a.writer.Write(a.buffer)
		a.buffer = a.buffer[:0]
	}
	if f, ok := a.writer.(http.Flusher); ok {
		f.Flush()
	}
}

func (a *answer) completionID() string {
	prefix := "cmpl-"
	if a.generation.chat {
		prefix = "chatcmpl-"
	}
	return prefix + string(a.responder.options.Name) + "-" + strconv.FormatUint(a.serial, 10)
}

func (a *answer) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		a.promptTokens, a.tokens, a.promptTokens+a.tokens)
}

func (a *answer) writeStream() {
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.Header().Set("Cache-Control", "no-cache")
	choices := max(a.generation.Choices, 1)
	for i := range choices {
		if a.generation.chat {
			a.appendChunk(i, `"delta":{"role":"assistant","content":""}`, "")
		}
		reason, ok := a.generateChoice(i, func(token string) { a.appendToken(i, token) })
		if !ok {
			a.flush()
			return
		}
		a.appendFinish(i, reason)
	}
	if a.generation.StreamOptions.IncludeUsage {
		a.buffer = fmt.Appendf(a.buffer, "data: %s,\"choices\":[],\"usage\":%s}\n\n", a.commonFields(".chunk"), a.usage())
	}
	a.buffer = append(a.buffer, "data: [DONE]\n\n"...)
	a.flush()
}

// commonFields returns the beginning of the JSON object that all chunks share.
func (a *answer) commonFields(suffix string) string {
	if a.commonText != "" {
		return a.commonText
	}
	object := "text_completion"
	if a.generation.chat {
		object = "chat.completion" + suffix
	}
	a.commonText = fmt.Sprintf(`{"id":%q,"object":%q,"created":%d,"model":%q`,
		a.completionID(), object, a.created, a.generation.Model)
	return a.commonText
}

func (a *answer) appendToken(index int, token string) {
	text, _ := json.Marshal(token)
	if a.generation.chat {
		a.appendChunk(index, `"delta":{"content":`+string(text)+`}`, "")
	} else {
		a.appendChunk(index, `"text":`+string(text), "")
	}
	if a.behaviour.Gap > 0 || a.paced != nil {
		a.flush()
	}
}

// appendFinish appends the last chunk of a choice.
func (a *answer) appendFinish(index int, reason string) {
	if a.generation.chat {
		a.appendChunk(index, `"delta":{}`, reason)
		return
	}
	a.appendChunk(index, `"text":""`, reason)
}

// appendChunk appends one event with a part of a choice to the buffer.
func (a *answer) appendChunk(index int, part, reason string) {
	finish := "null"
	if reason != "" {
		finish = strconv.Quote(reason)
	}
	a.buffer = append(a.buffer, "data: "...)
	a.buffer = append(a.buffer, a.commonFields(".chunk")...)
	a.buffer = append(a.buffer, `,"choices":[{"index":`...)
	a.buffer = strconv.AppendInt(a.buffer, int64(index), 10)
	a.buffer = append(a.buffer, ',')
	a.buffer = append(a.buffer, part...)
	a.buffer = append(a.buffer, `,"logprobs":null,"finish_reason":`...)
	a.buffer = append(a.buffer, finish...)
	a.buffer = append(a.buffer, "}]"...)
	if a.generation.StreamOptions.ContinuousUsageStats {
		a.buffer = append(a.buffer, `,"usage":`...)
		a.buffer = append(a.buffer, a.usage()...)
	}
	a.buffer = append(a.buffer, "}\n\n"...)
}

// writeWhole answers without streaming.
func (a *answer) writeWhole() {
	var choices []string
	for i := range max(a.generation.Choices, 1) {
		var text strings.Builder
		reason, ok := a.generateChoice(i, func(token string) { text.WriteString(token) })
		if !ok {
			panic(http.ErrAbortHandler)
		}
		content, _ := json.Marshal(text.String())
		part := `"text":` + string(content)
		if a.generation.chat {
			part = `"message":{"role":"assistant","content":` + string(content) + `}`
		}
		choices = append(choices, fmt.Sprintf(`{"index":%d,%s,"logprobs":null,"finish_reason":%q}`, i, part, reason))
	}
	body := fmt.Sprintf(`%s,"choices":[%s],"usage":%s}`, a.commonFields(""), strings.Join(choices, ","), a.usage())
	a.writer.Header().Set("Content-Type", "application/json")
	if a.behaviour.Short {
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(a.writer, body[:len(body)-1])
		a.flush()
		panic(http.ErrAbortHandler)
	}
	a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(a.writer, body)
}
