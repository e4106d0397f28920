package forwarder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

// doneMark is the event data that ends a stream of the OpenAI protocol.
var doneMark = []byte("[DONE]")

// choice is the part that a chunk adds to one choice of an answer.
type choice struct {
	index            int
	text             string
	reasoningContent string
	reasoning        string
	refusal          string
	finish           string
	// other is set when the part has any other field, such as tool calls.
	other bool
}

// beyondText reports whether the part holds anything that can't be passed to another
// engine in a partial assistant message.
func (c *choice) beyondText() bool {
	return c.other || c.reasoningContent != "" || c.reasoning != "" || c.refusal != ""
}

// chunk is one event of a streamed answer, or a whole answer.
type chunk struct {
	id      string
	created int64
	model   string
	system  string
	choices []choice
	// usage is the JSON of the token counts; empty if there are none.
	usage string
	// usageAt is the byte offset of the usage value in the event.
	usageAt int
	// failed is set when the event reports an error.
	failed bool
}

// usage holds token counts.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// decodeChunk decodes a chunk in one pass without reflection, because every token of
// every answer passes through here; with encoding/json it took a third of the host's
// time.
func decodeChunk(data []byte) (*chunk, error) {
	c := &chunk{}
	return c, c.decode(data)
}

// decode overwrites the chunk with the decoded data. It returns an error if the data is
// not a chunk.
func (c *chunk) decode(data []byte) error {
	*c = chunk{choices: c.choices[:0]}
	if !gjson.ValidBytes(data) {
		return errors.New("chunk is not valid JSON")
	}
	root := gjson.ParseBytes(data)
	if !root.IsObject() {
		return errors.New("chunk is not an object")
	}
	var failed error
	root.ForEach(func(key, value gjson.Result) bool {
		failed = c.decodeField(key.Str, value)
		return failed == nil
	})
	return failed
}

// decodeField decodes one field of a chunk; unknown fields are ignored.
func (c *chunk) decodeField(name string, value gjson.Result) error {
	var err error
	switch name {
	case "id":
		c.id, err = text(name, value)
	case "created":
		c.created = value.Int()
	case "model":
		c.model, err = text(name, value)
	case "system_fingerprint":
		c.system, err = text(name, value)
	case "usage":
		if value.Type != gjson.Null {
			c.usage, c.usageAt = value.Raw, value.Index
		}
	case "error":
		c.failed = value.Type != gjson.Null
	case "choices":
		if !value.IsArray() {
			return errors.New("choices is not a list")
		}
		value.ForEach(func(_, part gjson.Result) bool {
			c.choices = append(c.choices, choice{})
			err = c.choices[len(c.choices)-1].decode(part)
			return err == nil
		})
	}
	return err
}

// decode decodes one choice.
func (c *choice) decode(value gjson.Result) error {
	if !value.IsObject() {
		return errors.New("choice is not an object")
	}
	var err error
	value.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "index":
			c.index = int(value.Int())
		case "text":
			c.text, err = text("text", value)
		case "finish_reason":
			c.finish, err = text("finish_reason", value)
		case "delta", "message":
			err = c.decodeDelta(value)
		}
		return err == nil
	})
	return err
}

// decodeDelta decodes the delta or message of a choice.
func (c *choice) decodeDelta(value gjson.Result) error {
	var err error
	value.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "role":
		case "content":
			c.text, err = text("content", value)
		case "reasoning_content":
			c.reasoningContent, err = text("reasoning_content", value)
		case "reasoning":
			c.reasoning, err = text("reasoning", value)
		case "refusal":
			c.refusal, err = text("refusal", value)
		default:
			c.other = c.other || present(json.RawMessage(value.Raw))
		}
		return err == nil
	})
	return err
}

// text returns the string value, or an empty string for null.
func text(name string, value gjson.Result) (string, error) {
	if value.Type != gjson.String && value.Type != gjson.Null {
		return "", fmt.Errorf("%s is not a string", name)
	}
	return value.Str, nil
}

// hasToken reports whether the chunk carries a part of the answer or its finish reason.
func (c *chunk) hasToken() bool {
	for i := range c.choices {
		p := &c.choices[i]
		if p.text != "" || p.finish != "" || p.beyondText() {
			return true
		}
	}
	return false
}

// present reports whether a JSON value is there and is neither null nor an empty list.
func present(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("[]"))
}

// withoutUsage removes the token counts, which the forwarder requested and the caller
// did not. It may overwrite data.
func withoutUsage(data []byte, c *chunk) ([]byte, error) {
	if c.usage == "" {
		return data, nil
	}
	// Engines write the counts last, so usually the chunk can be cut off there
	// without encoding it again.
	const name = `,"usage":`
	start := c.usageAt - len(name)
	last := c.usageAt+len(c.usage)+1 == len(data)
	if start > 0 && last && bytes.HasPrefix(data[start:], []byte(name+c.usage)) {
		data[start] = '}'
		return data[:start+1], nil
	}
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	delete(fields, "usage")
	return json.Marshal(fields)
}

// identity holds the fields that all chunks of one answer share.
type identity struct {
	id      string
	created int64
	model   string
}

// rewrite changes a chunk of a resumed attempt so that it continues the answer that the
// caller already has. The token counts are replaced, or removed if counts is nil.
func (n identity) rewrite(data []byte, counts *usage) ([]byte, error) {
	fields, err := decodeFields(data)
	if err != nil {
		return nil, err
	}
	fields["id"] = mustMarshal(n.id)
	fields["created"] = mustMarshal(n.created)
	fields["model"] = mustMarshal(n.model)
	delete(fields, "usage")
	if counts != nil {
		fields["usage"] = mustMarshal(counts)
	}
	choices, err := withoutRoles(fields["choices"])
	if err != nil {
		return nil, err
	}
	fields["choices"] = choices
	return json.Marshal(fields)
}

// withoutRoles removes the role from each delta, because a role starts a new message.
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
		c["delta"] = mustMarshal(d)
	}
	return mustMarshal(choices), nil
}

// decodeFields decodes a JSON object into its fields; null is an error.
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

// mustMarshal encodes a value that can always be encoded; it panics if that fails.
func mustMarshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("forwarder: cannot encode %T: %v", v, err))
	}
	return data
}
