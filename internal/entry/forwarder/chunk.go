package forwarder

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// doneMark ends a stream of the OpenAI protocol.
var doneMark = []byte("[DONE]")

// delta is the part of a chat answer that a chunk adds.
type delta struct {
	Role             string          `json:"role"`
	Content          string          `json:"content"`
	ReasoningContent string          `json:"reasoning_content"`
	Reasoning        string          `json:"reasoning"`
	Refusal          string          `json:"refusal"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
	FunctionCall     json.RawMessage `json:"function_call"`
	Audio            json.RawMessage `json:"audio"`
}

// beyondText reports whether the delta holds anything that a partial
// assistant message cannot carry over to another engine.
func (d *delta) beyondText() bool {
	return d.ReasoningContent != "" || d.Reasoning != "" || d.Refusal != "" ||
		present(d.ToolCalls) || present(d.FunctionCall) || present(d.Audio)
}

type choice struct {
	Index        int             `json:"index"`
	Delta        delta           `json:"delta"`
	Text         string          `json:"text"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	Choices           []choice        `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
	Error             json.RawMessage `json:"error"`
}

// usage counts tokens.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func decodeChunk(data []byte) (*chunk, error) {
	c := &chunk{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode chunk: %w", err)
	}
	return c, nil
}

// hasToken reports whether the chunk carries a part of the answer.
func (c *chunk) hasToken() bool {
	for i := range c.Choices {
		p := &c.Choices[i]
		if p.Delta.Content != "" || p.Text != "" || p.FinishReason != "" || p.Delta.beyondText() {
			return true
		}
	}
	return false
}

func present(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("[]"))
}

// withoutUsage removes the token counts that the forwarder asked for and the
// caller did not.
func withoutUsage(data []byte, c *chunk) ([]byte, error) {
	if !present(c.Usage) {
		return data, nil
	}
	// Engines write the counts last, which spares encoding the chunk again.
	tail := len(data) - len(c.Usage) - len(`,"usage":}`)
	if tail > 0 && bytes.Equal(data[tail:tail+len(`,"usage":`)], []byte(`,"usage":`)) {
		data[tail] = '}'
		return data[:tail+1], nil
	}
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	delete(fields, "usage")
	return json.Marshal(fields)
}

// identity is what all chunks of one answer share.
type identity struct {
	id      string
	created int64
	model   string
}

// adopt rewrites a chunk of a resumed attempt so that it continues the answer
// that the caller already has.
func (n identity) adopt(data []byte, counts *usage) ([]byte, error) {
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	fields["id"] = encode(n.id)
	fields["created"] = encode(n.created)
	fields["model"] = encode(n.model)
	delete(fields, "usage")
	if counts != nil {
		fields["usage"] = encode(counts)
	}
	choices, err := withoutRoles(fields["choices"])
	if err != nil {
		return nil, err
	}
	fields["choices"] = choices
	return json.Marshal(fields)
}

// withoutRoles removes the roles that start a message.
func withoutRoles(raw json.RawMessage) (json.RawMessage, error) {
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &choices); err != nil {
		return nil, fmt.Errorf("decode choices: %w", err)
	}
	for _, c := range choices {
		if c["delta"] == nil {
			continue
		}
		d, err := decodeFields(c["delta"])
		if err != nil {
			return nil, err
		}
		delete(d, "role")
		c["delta"] = encode(d)
	}
	return encode(choices), nil
}

func decodeFields(data []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("decode object: %w", err)
	}
	if fields == nil {
		return nil, fmt.Errorf("decode object: found null")
	}
	return fields, nil
}

// encode marshals a value that always can be.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("forwarder: cannot encode %T: %v", v, err))
	}
	return data
}
