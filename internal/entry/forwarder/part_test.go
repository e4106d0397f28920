package forwarder

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartsOfConversations guards against conversations that crash engines because of one
// message and share no part, and against thousands of messages that are all tracked.
func TestPartsOfConversations(t *testing.T) {
	parts := func(k Kind, content string) []uint64 {
		g, err := DecodeGeneration(k, []byte(`{"model":"m",`+content+`}`))
		assert.NilError(t, err)
		return g.Parts()
	}
	message := func(text string) string { return `{"role":"user","content":"` + text + `"}` }
	conversation := func(texts ...string) []uint64 {
		var list []string
		for _, s := range texts {
			list = append(list, message(s))
		}
		return parts(Chat, `"messages":[`+strings.Join(list, ",")+`]`)
	}
	a, b := conversation("rules", "deadly", "one"), conversation("deadly", "two")
	assert.Equal(t, len(a), 3)
	assert.Equal(t, a[1], b[0])
	assert.Assert(t, a[0] != b[0] && a[2] != b[1])
	assert.Equal(t, len(conversation("alone")), 0)
	assert.Equal(t, len(parts(Completion, `"prompt":"x"`)), 0)
	var many []string
	for i := range 5000 {
		many = append(many, fmt.Sprint("message ", i))
	}
	assert.Equal(t, len(conversation(many...)), maxFirstParts+maxLastParts)
}
