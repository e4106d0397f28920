package dispatcher

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Guards against a caller's request ID that breaks the link to the owner for all requests
// of its host: messages between hosts carry only valid UTF-8 of a bounded length.
func TestOddRequestIDs(t *testing.T) {
	_, all := newMembers(t, "a", "b")
	waitFor(t, "link", func() bool { return all["b"].linked() })
	waitFor(t, "collected", func() bool { return all["a"].usesAllSlots() })
	for name, id := range map[string]string{
		"no text": "id-\xff\xfe@b", "control characters": "id-\x00\r\n@b", "long": strings.Repeat("i", 1<<20), "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			waitFor(t, "link", func() bool { return all["b"].linked() })
			s := acquire(t, all["b"].cell, id)
			assert.Check(t, all["b"].linked(), "the link broke")
			s.Release(scheduler.Completed, 1)
		})
	}
}
