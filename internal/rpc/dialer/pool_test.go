package dialer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPool guards against a new connection for each call, and against clients of
// lost hosts that are kept forever.
func TestPool(t *testing.T) {
	p := NewPool(2)
	defer p.Close()
	a := p.Client("10.0.0.1:1")
	assert.Equal(t, p.Client("10.0.0.1:1"), a)
	assert.Assert(t, p.Client("10.0.0.2:1") != a)
	p.Client("10.0.0.3:1")
	assert.Assert(t, len(p.clients) <= 2)
	assert.Assert(t, p.Client("10.0.0.1:1") != a)
}
