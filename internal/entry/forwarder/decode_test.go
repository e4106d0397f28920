package forwarder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readEvents(r io.Reader) ([]string, error) {
	events := NewEventReader(r)
	defer events.Close()
	var list []string
	for {
		data, err := events.Next()
		if err != nil {
			return list, err
		}
		list = append(list, string(data))
	}
}

// TestEventReader guards against events that are lost, split or made up, and against a
// stream that is cut off within an event and looks complete.
func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 3*readBuffer)
	cases := []struct {
		name, stream string
		events       []string
		err          error
	}{
		{"lines", "data: a\n\ndata:b\n\n", []string{"a", "b"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"a", "b"}, io.EOF},
		{"comments and fields", ": ping\n\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, io.EOF},
		{"several lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"long line", "data: " + long + "\n\n", []string{long}, io.EOF},
		{"cut in a line", "data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		{"cut before the end of an event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"cut in a long line", "data: " + long, nil, io.ErrUnexpectedEOF},
		{"too long", "data: " + strings.Repeat("x", maxEvent+1), nil, errEventTooLong},
		{"many lines too long", strings.Repeat("data: "+long+"\n", maxEvent/len(long)+1), nil, errEventTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events, err := readEvents(strings.NewReader(c.stream))
			assert.DeepEqual(t, events, c.events)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzEventReader guards against crashes, events without a size bound, and a result
// that depends on how the stream is split into reads.
func FuzzEventReader(f *testing.F) {
	for _, s := range []string{"data: a\n\n", ": c\n\ndata: a\r\ndata: b\r\n\r\n", "data", "\n\n\n", "data: [DONE]\n\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readEvents(bytes.NewReader(stream))
		split, splitErr := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		assert.DeepEqual(t, whole, split)
		assert.Equal(t, err.Error(), splitErr.Error())
		for _, e := range whole {
			assert.Assert(t, len(e) <= maxEvent)
		}
	})
}

// FuzzDecodeGeneration guards against crashes on callers' bodies, and against bodies
// for engines that are not JSON or lose what the caller sent.
func FuzzDecodeGeneration(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"stop":"a"}`,
		`{"model":"m","prompt":"x","max_completion_tokens":3,"min_tokens":2,"stream":true,"stream_options":null}`,
		`{"model":"m","prompt":["a","b"],"n":2,"stop":["a","b"],"seed":1e3}`,
		`{"model":"m","messages":[ ],"priority":9}`, `null`, `[]`, `{"model":1}`,
	} {
		f.Add(true, []byte(s))
		f.Add(false, []byte(s))
	}
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		k := Completion
		if chat {
			k = Chat
		}
		g, err := DecodeGeneration(k, body)
		if err != nil {
			var fault *RequestError
			assert.Assert(t, errors.As(err, &fault))
			return
		}
		texts := []string{""}
		if g.canResume("so far") {
			texts = append(texts, "so far")
		}
		for _, text := range texts {
			sent, err := decodeFields(g.body(true, 3, text, 1))
			assert.NilError(t, err)
			assert.Equal(t, string(sent["priority"]), "3")
			for name, raw := range g.fields {
				if text == "" {
					assert.Equal(t, string(sent[name]), string(raw))
				}
				assert.Assert(t, sent[name] != nil, name)
			}
		}
		_, _, _ = g.Prefix(), g.Fingerprint(), g.PromptTokens()
	})
}

// TestContinued guards against a resumed request that repeats, loses or lengthens the
// answer.
func TestContinued(t *testing.T) {
	chat, err := DecodeGeneration(Chat, []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5,"min_tokens":3,"top_k":2,"stop":[" end","\n\n"]}`))
	assert.NilError(t, err)
	assert.Equal(t, string(chat.body(true, -1, " a \"b\"", 2)),
		`{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":3,`+
			`"messages":[{"role":"user","content":"x"},{"role":"assistant","content":" a \"b\""}],`+
			`"min_tokens":1,"model":"m","stop":[" end","\n\n"],"top_k":2,"priority":-1,`+
			`"stream":true,"stream_options":{"include_usage":true,"continuous_usage_stats":true}}`)
	assert.Assert(t, chat.canResume("the quick"))
	assert.Assert(t, !chat.canResume("the e"), "a stop string may have begun")
	assert.Assert(t, !chat.canResume("the e\n"), "a stop string may have begun")
	text, err := DecodeGeneration(Completion, []byte(`{"model":"m","prompt":"x"}`))
	assert.NilError(t, err)
	assert.Equal(t, string(text.body(false, 0, " y", 1)), `{"model":"m","prompt":"x y","priority":0}`)
}

// TestWithoutUsage guards against chunks that lose more than the token counts
// that the caller did not ask for.
func TestWithoutUsage(t *testing.T) {
	for _, c := range [][2]string{
		{`{"id":"a","choices":[],"usage":{"x":{"y":1}}}`, `{"id":"a","choices":[]}`},
		{`{"usage":{"x":1},"id":"a","choices":[{"text":",\"usage\":{}"}]}`, `{"id":"a","choices":[{"text":",\"usage\":{}"}]}`},
		{`{"id":"a", "usage": {"x":1} }`, `{"id":"a"}`},
		{`{"id":"a","usage":null}`, `{"id":"a","usage":null}`},
	} {
		k, err := decodeChunk([]byte(c[0]))
		assert.NilError(t, err)
		got, err := withoutUsage([]byte(c[0]), k)
		assert.NilError(t, err)
		var a, b any
		assert.NilError(t, json.Unmarshal(got, &a))
		assert.NilError(t, json.Unmarshal([]byte(c[1]), &b))
		assert.DeepEqual(t, a, b)
	}
}

// FuzzChunk guards against crashes on engines' events, and against events that
// lose or gain a field when the token counts are removed.
func FuzzChunk(f *testing.F) {
	for _, s := range []string{
		`{"id":"a","choices":[{"index":0,"delta":{"content":" b"},"finish_reason":null}],"usage":{"prompt_tokens":1}}`,
		`{"usage":{"x":1},"a":{"b":1,"usage":{"x":1}}}`, `{"usage":[],"choices":null}`, `{"choices":[{"text":1}]}`, `[]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		k, err := decodeChunk(data)
		if err != nil {
			return
		}
		fields, err := decodeFields(data)
		if err != nil {
			return
		}
		shorter, err := withoutUsage(bytes.Clone(data), k)
		assert.NilError(t, err)
		rest, err := decodeFields(shorter)
		assert.NilError(t, err)
		if k.usage != "" {
			delete(fields, "usage")
			delete(rest, "usage") // JSON permits duplicate names
		}
		assert.Equal(t, len(rest), len(fields))
		for name := range fields {
			assert.Assert(t, rest[name] != nil)
		}
	})
}
