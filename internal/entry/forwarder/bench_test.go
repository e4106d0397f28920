package forwarder

import "testing"

func BenchmarkDecodeChunk(b *testing.B) {
	data := []byte(`{"id":"chatcmpl-a-1","object":"chat.completion.chunk","created":1700000000,"model":"story","choices":[{"index":0,"delta":{"content":" under"},"logprobs":null,"finish_reason":null}],"usage":{"prompt_tokens":4,"completion_tokens":1,"total_tokens":5}}`)
	var c chunk
	b.ReportAllocs()
	for b.Loop() {
		if err := c.decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeGeneration(b *testing.B) {
	data := []byte(`{"model":"story","stream":true,"messages":[{"role":"user","content":"quick bid advice for a lot of dry hay [[length=8]]"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		g, err := DecodeGeneration(Chat, data)
		if err != nil {
			b.Fatal(err)
		}
		_, _, _ = g.Prefix(), g.Fingerprint(), g.body(true, 0, "", 0)
	}
}
