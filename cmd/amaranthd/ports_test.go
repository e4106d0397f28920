package main_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// The ports lie below the range that the kernel takes ports from for outgoing
// connections and for listeners without a port (32768 on Linux by default).
const (
	firstPort     = 10_240
	lastPort      = 32_767
	portsPerBlock = 1024
)

// portBlock hands out ports that the kernel gives to no other process. A port that the
// kernel chose and that was closed again can go to any other process before the program
// under test listens on it. A listener on the first port reserves the block, so that
// other runs of these tests choose another one.
type portBlock struct {
	mu    sync.Mutex
	guard net.Listener
	next  int
	end   int
}

var ports = sync.OnceValues(reserveBlock)

func reserveBlock() (*portBlock, error) {
	for start := firstPort; start+portsPerBlock <= lastPort+1; start += portsPerBlock {
		l, err := net.Listen("tcp", loopback(start))
		if err != nil {
			continue
		}
		return &portBlock{guard: l, next: start + 1, end: start + portsPerBlock}, nil
	}
	return nil, fmt.Errorf("no block of ports is free from %d to %d", firstPort, lastPort)
}

func loopback(port int) string { return fmt.Sprint("127.0.0.1:", port) }

// take returns an address with a port that is not in use. Ports are handed out in turn,
// so that one is reused only long after the test that had it.
func (b *portBlock) take() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range portsPerBlock {
		address := loopback(b.next)
		if b.next++; b.next == b.end {
			b.next = b.end - portsPerBlock + 1
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("all ports from %d to %d are in use", b.end-portsPerBlock, b.end-1)
}

func freePort(t testing.TB) string {
	t.Helper()
	b, err := ports()
	assert.NilError(t, err)
	address, err := b.take()
	assert.NilError(t, err)
	return address
}

// TestFreePort guards against a port that the kernel gives to another process
// between its choice and its use by the program under test.
func TestFreePort(t *testing.T) {
	chosen := map[string]bool{}
	for range 10 {
		chosen[freePort(t)] = true
	}
	assert.Equal(t, len(chosen), 10, "a port was handed out twice")
	for range 2_000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
	}
	for address := range chosen {
		l, err := net.Listen("tcp", address)
		assert.NilError(t, err, "another listener was given the port")
		assert.NilError(t, l.Close())
	}
	other, err := reserveBlock()
	assert.NilError(t, err)
	defer func() { _ = other.guard.Close() }()
	b, err := ports()
	assert.NilError(t, err)
	assert.Assert(t, other.end != b.end, "two runs share a block of ports")
}
