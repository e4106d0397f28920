package courier

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
)

// Guards against counts of many upstreams that overflow when they are sent to another cell.
func TestLargeCounts(t *testing.T) {
	const most = 1 << 34
	m := encodePool(summarizer.Pool{Name: "m", Live: most, Free: most, Leaving: most})
	for _, d := range []int{decodePool(m).Live, decodePool(m).Free, decodePool(m).Leaving} {
		assert.Equal(t, d, maxCount)
	}
}
