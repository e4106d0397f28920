package interposer

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts a server that sends back what it receives, and returns its address.
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
	// patience bounds the wait for a byte that must come back, and silence is how long
	// to wait for one that must not.
	patience = 10 * time.Second
	silence  = 100 * time.Millisecond
)

// caller sends numbered bytes on a connection to the echo server.
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

// exchange sends a byte and reads all bytes that are not back yet, so that none is in
// flight when the next fault begins.
func (c *caller) exchange() {
	c.t.Helper()
	assert.Assert(c.t, c.send())
	for c.back != c.sent {
		assert.NilError(c.t, c.read(patience))
	}
}

// expectSilence sends a byte and checks that none comes back.
func (c *caller) expectSilence() {
	c.t.Helper()
	if c.send() {
		assert.Assert(c.t, c.read(silence) != nil, "byte %d came back", c.back)
	}
}

// TestFaults guards against faults that have no effect, and against ones that don't
// end.
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
	c.exchange()
	n.Hold("server", "")
	c.expectSilence()
	n.Restore("server", "")
	c.exchange()

	assert.Equal(t, n.Silence("", "server"), 1)
	c.expectSilence()
	n.Heal()
	// A silent connection stays silent, and new ones work.
	c.expectSilence()
	c = dial()
	c.exchange()

	n.Reset("", "server")
	c.expectSilence()
	n.Cut("", "server")
	dial().expectSilence()
	n.Restore("", "server")
	dial().exchange()
}
