package interposer

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo listens and sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

const (
	// patience is how long a byte may take that has to come back, and silence how long
	// one is waited for that must not.
	patience = 10 * time.Second
	silence  = 100 * time.Millisecond
)

// exchange sends a byte and reports whether it comes back in time.
func exchange(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte{1})
	if err != nil {
		return false
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(limit)))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

// TestFaults guards against disturbances that don't disturb, and against ones that
// don't end.
func TestFaults(t *testing.T) {
	n := New()
	defer n.Close()
	address, err := n.Relay("server", "127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	// This process itself has the empty name.
	c := dial()
	assert.Assert(t, exchange(t, c, patience))
	n.Hold("server", "")
	assert.Assert(t, !exchange(t, c, silence))
	n.Pass("server", "")
	assert.Assert(t, exchange(t, c, patience))

	assert.Equal(t, n.Silence("", "server"), 1)
	assert.Assert(t, !exchange(t, c, silence))
	n.Heal()
	assert.Assert(t, !exchange(t, c, silence), "a silent connection stays silent")
	c = dial()
	assert.Assert(t, exchange(t, c, patience), "new ones work")

	n.Reset("", "server")
	assert.Assert(t, !exchange(t, c, silence))
	n.Cut("", "server")
	assert.Assert(t, !exchange(t, dial(), silence))
	n.Pass("", "server")
	assert.Assert(t, exchange(t, dial(), patience))
}
