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
	text string
	done int
}

func (g *generation) limit() int {
	if g.MaxCompletionTokens > 0 {
		return g.MaxCompletionTokens
	}
	return g.MaxTokens
}

// render fills the text that the answer continues.
func (g *generation) render() error {
	if !g.chat {
		g.text = g.Prompt
		if _, rest, found := marker(g.Prompt, "length"); found {
			g.done = countTokens(rest)
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
			g.done = countTokens(m.Content)
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
	placed, _ := r.placer.State(r.clock.Now())
	list := make([]model, 0, len(placed.Models))
	for _, m := range placed.Models {
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
	b := r.take()
	if !r.speak(q.Context()) {
		return
	}
	if b.Status != 0 {
		writeError(w, b.Status, "disturbed")
		return
	}
	if r.pacer == nil {
		if !r.gate.enter(q.Context(), g.Priority) {
			return
		}
		defer r.gate.leave()
	}
	r.count(Generations)
	a := &answer{
		responder: r,
		request:   q,
		writer:    w,
		generate:  g,
		behaviour: b,
		serial:    r.serial.Add(1),
		created:   r.clock.Now().Unix(),
		prompt:    countTokens(strings.ReplaceAll(g.text, "\n", " ")) + 1,
	}
	a.length, _, _ = marker(g.text, "length")
	a.crash, _, a.crashes = marker(g.text, "crash")
	if r.pacer != nil {
		a.pace = r.pacer.join(a.sequence())
		defer a.pace.leave()
	}
	a.run()
}

// answer is one generation in progress.
type answer struct {
	responder *Responder
	request   *http.Request
	writer    http.ResponseWriter
	generate  *generation
	behaviour Behaviour
	serial    uint64
	created   int64
	prompt    int
	tokens    int
	length    int
	crash     int
	crashes   bool
	buffer    []byte
	headText  string
	// pace is nil unless the engine batches.
	pace *pace
}

// sequence describes the generation to a batching engine.
func (a *answer) sequence() *batcher.Sequence {
	s := &batcher.Sequence{Priority: a.generate.Priority, Prompt: a.prompt, Prefix: prefixBlocks(a.generate.text)}
	if a.generate.Choices > 1 {
		return s
	}
	if a.length > 0 {
		s.Want = max(a.length-a.generate.done, 1)
	}
	if limit := a.generate.limit(); limit > 0 && (s.Want == 0 || limit < s.Want) {
		s.Want = limit
	}
	return s
}

func (a *answer) run() {
	if !a.responder.pause(a.request.Context(), time.Duration(a.behaviour.First)) {
		return
	}
	if a.generate.Stream {
		a.stream()
		return
	}
	a.whole()
}

// generateChoice produces the tokens of one choice. It returns the finish
// reason; false means that the answer was broken off.
func (a *answer) generateChoice(index int, emit func(token string)) (string, bool) {
	text := a.generate.text
	if index > 0 {
		text = strconv.Itoa(index) + text
	}
	g := newGenerator(text, a.length, a.generate.done)
	limit := a.generate.limit()
	for n := 0; ; n++ {
		if !a.healthy(n) {
			return "", false
		}
		if limit > 0 && n >= limit {
			return "length", true
		}
		token, more := g.next()
		if !more {
			return "stop", true
		}
		if !a.await(n) {
			return "", false
		}
		a.tokens++
		emit(token)
	}
}

// await waits until token n is due; false means that the caller went away.
func (a *answer) await(n int) bool {
	if a.pace != nil && !a.pace.next(a.request.Context()) {
		return false
	}
	return n == 0 || a.responder.pause(a.request.Context(), time.Duration(a.behaviour.Gap))
}

// healthy shows the disturbance that is due after n tokens.
func (a *answer) healthy(n int) bool {
	b := a.behaviour
	switch {
	case a.crashes && n >= a.crash:
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
	return a.responder.speak(a.request.Context())
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

func (a *answer) identity() string {
	prefix := "cmpl-"
	if a.generate.chat {
		prefix = "chatcmpl-"
	}
	return prefix + string(a.responder.options.Name) + "-" + strconv.FormatUint(a.serial, 10)
}

func (a *answer) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		a.prompt, a.tokens, a.prompt+a.tokens)
}

func (a *answer) stream() {
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.Header().Set("Cache-Control", "no-cache")
	choices := max(a.generate.Choices, 1)
	for i := range choices {
		if a.generate.chat {
			a.chunk(i, `"delta":{"role":"assistant","content":""}`, "")
		}
		reason, ok := a.generateChoice(i, func(token string) { a.token(i, token) })
		if !ok {
			a.flush()
			return
		}
		a.finish(i, reason)
	}
	if a.generate.StreamOptions.IncludeUsage {
		a.buffer = fmt.Appendf(a.buffer, "data: %s,\"choices\":[],\"usage\":%s}\n\n", a.head(".chunk"), a.usage())
	}
	a.buffer = append(a.buffer, "data: [DONE]\n\n"...)
	a.flush()
}

// head returns the fields that all chunks share.
func (a *answer) head(suffix string) string {
	if a.headText != "" {
		return a.headText
	}
	object := "text_completion"
	if a.generate.chat {
		object = "chat.completion" + suffix
	}
	a.headText = fmt.Sprintf(`{"id":%q,"object":%q,"created":%d,"model":%q`,
		a.identity(), object, a.created, a.generate.Model)
	return a.headText
}

func (a *answer) token(index int, token string) {
	text, _ := json.Marshal(token)
	if a.generate.chat {
		a.chunk(index, `"delta":{"content":`+string(text)+`}`, "")
	} else {
		a.chunk(index, `"text":`+string(text), "")
	}
	if a.behaviour.Gap > 0 || a.pace != nil {
		a.flush()
	}
}

func (a *answer) finish(index int, reason string) {
	if a.generate.chat {
		a.chunk(index, `"delta":{}`, reason)
		return
	}
	a.chunk(index, `"text":""`, reason)
}

func (a *answer) chunk(index int, part, reason string) {
	finish := "null"
	if reason != "" {
		finish = strconv.Quote(reason)
	}
	a.buffer = append(a.buffer, "data: "...)
	a.buffer = append(a.buffer, a.head(".chunk")...)
	a.buffer = append(a.buffer, `,"choices":[{"index":`...)
	a.buffer = strconv.AppendInt(a.buffer, int64(index), 10)
	a.buffer = append(a.buffer, ',')
	a.buffer = append(a.buffer, part...)
	a.buffer = append(a.buffer, `,"logprobs":null,"finish_reason":`...)
	a.buffer = append(a.buffer, finish...)
	a.buffer = append(a.buffer, "}]"...)
	if a.generate.StreamOptions.ContinuousUsageStats {
		a.buffer = append(a.buffer, `,"usage":`...)
		a.buffer = append(a.buffer, a.usage()...)
	}
	a.buffer = append(a.buffer, "}\n\n"...)
}

func (a *answer) whole() {
	var choices []string
	for i := range max(a.generate.Choices, 1) {
		var text strings.Builder
		reason, ok := a.generateChoice(i, func(token string) { text.WriteString(token) })
		if !ok {
			panic(http.ErrAbortHandler)
		}
		content, _ := json.Marshal(text.String())
		part := `"text":` + string(content)
		if a.generate.chat {
			part = `"message":{"role":"assistant","content":` + string(content) + `}`
		}
		choices = append(choices, fmt.Sprintf(`{"index":%d,%s,"logprobs":null,"finish_reason":%q}`, i, part, reason))
	}
	body := fmt.Sprintf(`%s,"choices":[%s],"usage":%s}`, a.head(""), strings.Join(choices, ","), a.usage())
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
