package coordinator

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

// TestFullDisksInTurn guards against a group that refuses changes, or leaves
// them unanswered, after the disk of each host in turn was full for a while. A
// host must resume writing without a restart, and the group must carry on while
// the disk of its leader is full.
func TestFullDisksInTurn(t *testing.T) {
	for _, size := range []int{3, 5} {
		// The disk takes nothing, or only a part of the next write.
		for _, room := range []int{0, 1, 700} {
			t.Run(fmt.Sprint(size, " hosts, room for ", room, " bytes"), func(t *testing.T) {
				c := newCluster(t, size)
				disks := make([]*journaler.Memory, size)
				var failures atomic.Int32
				for i, h := range c.hosts {
					h.stop(t)
					disks[i] = journaler.NewMemory()
					h.settings.Disk, h.settings.CompactBytes = disks[i], 4000
					h.settings.Fatal = func(error) { failures.Add(1) }
				}
				for _, h := range c.hosts {
					h.start(t, nil)
				}
				revision := uint64(0)
				// A change must be answered, however busy the machine is.
				change := func(h *host) {
					t.Helper()
					apply(t, h, fmt.Sprint("c", revision), revision, strings.Repeat("x", 500)+fmt.Sprint(revision))
					revision++
				}
				change(c.hosts[0])
				// Fill the disk of each host once, and then that of the current leader.
				for turn := range 2 * size {
					i := turn
					if turn >= size {
						i = c.leader()
					}
					disks[i].SetRoom(room)
					for range 3 {
						change(c.hosts[(i+1)%size])
					}
					disks[i].SetRoom(-1)
					change(c.hosts[i])
				}
				for range 10 {
					change(c.hosts[0])
				}
				assert.Equal(t, failures.Load(), int32(0), "hosts have stopped")
			})
		}
	}
}
