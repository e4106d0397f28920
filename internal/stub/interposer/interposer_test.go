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

// caller sends numbered bytes on a connection that returns them.
type caller struct {
	net.Conn
	t          *testing.T
	sent, back byte
}

// send sends the next byte. It reports false on a connection that has ended.
func (c *caller) send() bool {
	c.sent++
	_, err := c.Write([]byte{c.sent})
	return err == nil
}

// read waits for the next byte, which must be the first one that is not back yet.
func (c *caller) read(limit time.Duration) error {
	c.t.Helper()
	assert.NilError(c.t, c.SetReadDeadline(time.Now().Add(limit)))
	b := make([]byte, 1)
	_, err := c.Read(b)
	if err == nil {
		c.back++
		assert.Equal(c.t, b[0], c.back)
	}
	return err
}

// exchanges sends a byte and reads all bytes that are not back yet, so that none is
// under way when the next disturbance begins.
func (c *caller) exchanges() {
	c.t.Helper()
	assert.Assert(c.t, c.send())
	for c.back != c.sent {
		assert.NilError(c.t, c.read(patience))
	}
}

// isSilent sends a byte and checks that none comes back.
func (c *caller) isSilent() {
	c.t.Helper()
	if c.send() {
		assert.Assert(c.t, c.read(silence) != nil, "byte %d came back", c.back)
	}
}

// TestFaults guards against disturbances that don't disturb, and against ones that
// don't end.
func TestFaults(t *testing.T) {
	n := New()
	defer n.Close()
	address, err := n.Relay("server", "127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	dial := func() *caller {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return &caller{Conn: c, t: t}
	}
	// This process itself has the empty name.
	c := dial()
	c.exchanges()
	n.Hold("server", "")
	c.isSilent()
	n.Restore("server", "")
	c.exchanges()

	assert.Equal(t, n.Silence("", "server"), 1)
	c.isSilent()
	n.Heal()
	// A silent connection stays silent, and new ones work.
	c.isSilent()
	c = dial()
	c.exchanges()

	n.Reset("", "server")
	c.isSilent()
	n.Cut("", "server")
	dial().isSilent()
	n.Restore("", "server")
	dial().exchanges()
}
