package forwarder

import (
	"encoding/json"
)

// chunkEnd describes a final chunk that the forwarder itself writes; without a reason
// it has no choice.
type chunkEnd struct{ Reason string }

// ownDelta is the empty delta of a final chunk.
type ownDelta struct{}

// ownChoice is the choice of a final chunk.
type ownChoice struct {
	Index        int       `json:"index"`
	Delta        *ownDelta `json:"delta,omitempty"`
	Text         *string   `json:"text,omitempty"`
	Logprobs     *string   `json:"logprobs"`
	FinishReason string    `json:"finish_reason"`
}

// ownChunk is a chunk that the forwarder itself writes.
type ownChunk struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	System  string      `json:"system_fingerprint,omitempty"`
	Choices []ownChoice `json:"choices"`
	Usage   *usage      `json:"usage,omitempty"`
}

// ownChunk returns a chunk without choices that belongs to the session's answer.
func (s *session) ownChunk(object string) ownChunk {
	return ownChunk{
		ID:      s.identity.id,
		Object:  object,
		Created: s.identity.created,
		Model:   s.identity.model,
		System:  s.system,
		Choices: []ownChoice{},
	}
}

// emitFinal writes a chunk that ends the answer in place of the upstream's. counts may
// be nil.
func (s *session) emitFinal(end chunkEnd, counts *usage) error {
	object := "text_completion"
	if s.call.Generation.Kind == Chat {
		object = "chat.completion.chunk"
	}
	k := s.ownChunk(object)
	k.Usage = counts
	if end.Reason != "" {
		c := ownChoice{FinishReason: end.Reason}
		if s.call.Generation.Kind == Chat {
			c.Delta = &ownDelta{}
		} else {
			c.Text = new(string)
		}
		k.Choices = append(k.Choices, c)
	}
	return s.emit(mustMarshal(k), true)
}

// wholeMessage is the message of a whole chat answer.
type wholeMessage struct {
	Role             string `json:"role"`
	Content          string `json:"content"`
	ReasoningContent string `json:"reasoning_content,omitempty"`
	Reasoning        string `json:"reasoning,omitempty"`
	Refusal          string `json:"refusal,omitempty"`
}

// wholeChoice is the only choice of a whole answer.
type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	Logprobs     *string       `json:"logprobs"`
	FinishReason string        `json:"finish_reason"`
}

// wholeAnswer is a whole answer that was collected from streams.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	System  string        `json:"system_fingerprint,omitempty"`
	Choices []wholeChoice `json:"choices"`
	// Usage is absent when the engine sent no counts.
	Usage *usage `json:"usage,omitempty"`
}

// encode returns the JSON of the whole answer that was collected from streams.
func (s *session) encode() []byte {
	text := s.text.String()
	choice := wholeChoice{FinishReason: s.reason}
	answer := wholeAnswer{
		ID:      s.identity.id,
		Object:  "text_completion",
		Created: s.identity.created,
		Model:   s.identity.model,
		System:  s.system,
	}
	if s.counted || s.prompt > 0 {
		answer.Usage = s.counts()
	}
	if s.call.Generation.Kind == Chat {
		answer.Object = "chat.completion"
		choice.Message = &wholeMessage{
			Role:             "assistant",
			Content:          text,
			ReasoningContent: s.extras.reasoningContent,
			Reasoning:        s.extras.reasoning,
			Refusal:          s.extras.refusal,
		}
	} else {
		choice.Text = &text
	}
	answer.Choices = []wholeChoice{choice}
	return mustMarshal(answer)
}

// add appends the choice's further text fields.
func (e *extras) add(c *choice) {
	e.reasoningContent += c.reasoningContent
	e.reasoning += c.reasoning
	e.refusal += c.refusal
}

// noteTokens reads the token counts of an answer that was not streamed.
func (s *session) noteTokens(c *candidate) {
	var answer struct {
		Usage usage `json:"usage"`
	}
	if err := json.Unmarshal(c.body, &answer); err != nil {
		return
	}
	s.tokens = answer.Usage.Completion
	c.slot.Progress(s.tokens)
}
