package forwarder

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Kind distinguishes the two generating calls of the OpenAI protocol.
type Kind int

// Kinds of generation.
const (
	Chat Kind = iota
	Completion
)

// path returns the path of the call at an engine.
func (k Kind) path() string {
	if k == Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// content returns the name of the field with the prompt.
func (k Kind) content() string {
	if k == Chat {
		return "messages"
	}
	return "prompt"
}

const (
	// bytesPerToken is used to estimate prompt lengths; English text has about four
	// bytes a token.
	bytesPerToken = 4
	// prefixBlock is the number of prompt bytes that one prefix hash covers, about 64
	// tokens.
	prefixBlock = 64 * bytesPerToken
	// maxPrefixBlocks bounds the hashes to the first 8,192 tokens or so.
	maxPrefixBlocks = 128
	// maxChoices bounds the field n, the number of choices.
	maxChoices = 128
)

// RequestError tells what is wrong with a caller's request. Param is the field at
// fault; empty if it is the body as a whole.
type RequestError struct {
	Param   string
	Message string
}

// Error describes the fault.
func (e *RequestError) Error() string {
	return e.Message
}

// Generation is a decoded request for an answer of a model.
type Generation struct {
	Kind  Kind
	Model validator.PoolName
	// Stream asks for a streamed answer.
	Stream bool
	// IncludeUsage asks for token counts at the end of the stream.
	IncludeUsage bool
	// ContinuousUsage asks for token counts in every chunk.
	ContinuousUsage bool
	// Limit is the largest number of tokens to generate; zero means unknown.
	Limit int

	fields     map[string]json.RawMessage
	names      []string
	limitField string
	minTokens  int
	stops      []string
	prompt     string
	choices    int
	resumable  bool
	// messages are those of a conversation.
	messages []json.RawMessage
}

// knownFields are the fields that the forwarder reads.
type knownFields struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	StreamOptions struct {
		IncludeUsage         bool `json:"include_usage"`
		ContinuousUsageStats bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	MinTokens           int             `json:"min_tokens"`
	Choices             int             `json:"n"`
	BestOf              int             `json:"best_of"`
	Stop                json.RawMessage `json:"stop"`
}

// DecodeGeneration decodes the body of a request of kind k. Unknown fields are passed
// to the engine. A body that is not valid returns a *RequestError.
func DecodeGeneration(k Kind, body []byte) (*Generation, error) {
	fields, err := decodeFields(body)
	if err != nil {
		return nil, &RequestError{Message: "the body is not a JSON object"}
	}
	var n knownFields
	if err := json.Unmarshal(body, &n); err != nil {
		return nil, &RequestError{Message: "the body has a field of the wrong type: " + typeFault(err)}
	}
	g := &Generation{
		Kind:            k,
		Model:           validator.PoolName(n.Model),
		Stream:          n.Stream,
		IncludeUsage:    n.StreamOptions.IncludeUsage,
		ContinuousUsage: n.StreamOptions.ContinuousUsageStats,
		fields:          fields,
		minTokens:       n.MinTokens,
		choices:         max(n.Choices, 1),
	}
	if n.Model == "" {
		return nil, &RequestError{Param: "model", Message: "the model is missing"}
	}
	if n.Choices < 0 || n.Choices > maxChoices {
		return nil, &RequestError{Param: "n", Message: fmt.Sprintf("n must be between 1 and %d", maxChoices)}
	}
	if n.MaxTokens < 0 || n.MaxCompletionTokens < 0 {
		return nil, &RequestError{Param: "max_tokens", Message: "the largest number of tokens is negative"}
	}
	if err := g.decodeContent(); err != nil {
		return nil, err
	}
	if g.stops, err = decodeStops(n.Stop); err != nil {
		return nil, err
	}
	g.decodeLimit(n)
	g.resumable = g.resumable && n.Choices <= 1 && n.BestOf <= 1 && !g.needsOneEngine()
	delete(fields, "stream")
	delete(fields, "stream_options")
	delete(fields, "priority")
	g.names = slices.Sorted(maps.Keys(fields))
	return g, nil
}

// typeFault describes a JSON error by the field's name, without quoting the request.
func typeFault(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("%s must be %s", t.Field, t.Type)
	}
	return "it is not valid JSON"
}

// decodeContent checks the prompt and decides whether the answer can be resumed.
func (g *Generation) decodeContent() error {
	name := g.Kind.content()
	raw := bytes.TrimSpace(g.fields[name])
	if !present(raw) {
		return &RequestError{Param: name, Message: "the " + name + " field is missing or empty"}
	}
	if g.Kind == Chat {
		var messages []json.RawMessage
		if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
			return &RequestError{Param: name, Message: "messages must be a list with at least one message"}
		}
		g.resumable = true
		g.messages = messages
		return nil
	}
	// Lists of prompts and token IDs are passed to the engine, but their answers
	// can't be resumed.
	g.resumable = json.Unmarshal(raw, &g.prompt) == nil
	return nil
}

// decodeStops decodes the field stop, which is a string or a list of strings.
func decodeStops(raw json.RawMessage) ([]string, error) {
	if !present(raw) {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	var many []string
	if err := json.Unmarshal(raw, &many); err != nil {
		return nil, &RequestError{Param: "stop", Message: "stop must be a string or a list of strings"}
	}
	return many, nil
}

// decodeLimit sets the limit and the field that it comes from.
func (g *Generation) decodeLimit(n knownFields) {
	switch {
	case n.MaxCompletionTokens > 0:
		g.Limit, g.limitField = n.MaxCompletionTokens, "max_completion_tokens"
	case n.MaxTokens > 0:
		g.Limit, g.limitField = n.MaxTokens, "max_tokens"
	}
}

// needsOneEngine reports whether the answer has parts other than text, or depends on
// state that another engine can't recover from a partial answer: tool calls, log
// probabilities, grammars, and partial messages that the caller itself sends.
func (g *Generation) needsOneEngine() bool {
	for _, name := range []string{
		"tools", "functions", "top_logprobs", "prompt_logprobs", "suffix",
		"response_format", "guided_json", "guided_regex", "guided_choice",
		"guided_grammar", "structured_outputs", "audio", "modalities",
	} {
		if present(g.fields[name]) {
			return true
		}
	}
	for _, name := range []string{"logprobs", "echo", "continue_final_message", "use_beam_search"} {
		raw := g.fields[name]
		if present(raw) && string(raw) != "false" {
			return true
		}
	}
	return false
}

// canResume reports whether another engine can resume the answer after the text. It
// can't if the text ends with the start of a stop string, because the next engine would
// not see that start as a part of the answer.
func (g *Generation) canResume(text string) bool {
	if !g.resumable {
		return false
	}
	for _, s := range g.stops {
		for n := 1; n < len(s); n++ {
			if strings.HasSuffix(text, s[:n]) {
				return false
			}
		}
	}
	return true
}

// PromptTokens estimates the length of the prompt in tokens.
func (g *Generation) PromptTokens() int {
	return len(g.fields[g.Kind.content()])/bytesPerToken + 1
}

// Fingerprint returns a hash that identifies the model and the prompt.
func (g *Generation) Fingerprint() string {
	h := sha256.New()
	_, _ = h.Write([]byte(g.Model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(g.fields[g.Kind.content()])
	return hex.EncodeToString(h.Sum(nil))
}

const (
	// maxFirstParts and maxLastParts bound the messages of a conversation that are tracked
	// as parts. The first ones are the instructions that many conversations share.
	maxFirstParts = 12
	maxLastParts  = 4
)

// Parts returns the hashes of the messages of a conversation, which other conversations
// may share at any position. It returns nil for a single message and for other prompts,
// whose parts are the blocks of the prefix.
func (g *Generation) Parts() []uint64 {
	if len(g.messages) < 2 {
		return nil
	}
	var list []uint64
	for i, m := range g.messages {
		if i >= maxFirstParts && i < len(g.messages)-maxLastParts {
			continue
		}
		list = append(list, xxhash.Sum64(m))
	}
	return list
}

// Prefix returns the chained hashes of the prompt's complete blocks, up to
// maxPrefixBlocks of them.
func (g *Generation) Prefix() []uint64 {
	raw := g.fields[g.Kind.content()]
	blocks := min(len(raw)/prefixBlock, maxPrefixBlocks)
	list := make([]uint64, 0, blocks)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(g.Model))
	for i := range blocks {
		_, _ = d.Write(raw[i*prefixBlock : (i+1)*prefixBlock])
		list = append(list, d.Sum64())
	}
	return list
}

// body encodes the request for an engine. If text is not empty, it requests what
// follows the text that the caller already has, which has emitted tokens.
func (g *Generation) body(stream bool, priority int, text string, emitted int) []byte {
	fields := g.fields
	names := g.names
	if text != "" {
		fields = g.continued(text, emitted)
		names = slices.Sorted(maps.Keys(fields))
	}
	size := 128
	for _, name := range names {
		size += len(name) + len(fields[name]) + 4
	}
	b := make([]byte, 0, size)
	b = append(b, '{')
	for _, name := range names {
		b = append(b, mustMarshal(name)...)
		b = append(b, ':')
		b = append(b, fields[name]...)
		b = append(b, ',')
	}
	b = append(b, `"priority":`...)
	b = strconv.AppendInt(b, int64(priority), 10)
	if stream {
		b = append(b, `,"stream":true,"stream_options":{"include_usage":true,"continuous_usage_stats":true}`...)
	}
	return append(b, '}')
}

// continued returns the fields of a request for what follows the text; the token limits
// are reduced by emitted.
func (g *Generation) continued(text string, emitted int) map[string]json.RawMessage {
	fields := maps.Clone(g.fields)
	if g.Kind == Chat {
		type message struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		}
		raw := bytes.TrimSpace(fields["messages"])
		list := append(bytes.Clone(raw[:len(raw)-1]), ',')
		list = append(list, mustMarshal(message{"assistant", text})...)
		fields["messages"] = append(list, ']')
		fields["continue_final_message"] = mustMarshal(true)
		fields["add_generation_prompt"] = mustMarshal(false)
	} else {
		fields["prompt"] = mustMarshal(g.prompt + text)
	}
	if g.limitField != "" {
		fields[g.limitField] = mustMarshal(max(g.Limit-emitted, 1))
	}
	if g.minTokens > 0 {
		fields["min_tokens"] = mustMarshal(max(g.minTokens-emitted, 0))
	}
	return fields
}
