package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// losePower stops all nodes at the same moment and lets as many of them lose their disks
// as a group survives. All are back after a while.
func (s *simulation) losePower() {
	order := s.random.Perm(len(s.nodes))
	lost := (len(s.nodes) - 1) / 2
	for i, at := range order {
		n := s.nodes[at]
		n.stop()
		if i < lost {
			s.wipes++
			n.disk.Wipe()
			n.lostID, n.id = n.id, 0
		}
		s.after(s.between(20, 2000), func() {
			if !n.up {
				n.start()
			}
		})
	}
}

// TestDisksLostWhileAllLosePower guards against accepted changes that are gone, or shown in
// an older state, when all machines lose power at the moment at which some of them lose
// their disks. It happens right after an acknowledgement and up to two seconds after.
func TestDisksLostWhileAllLosePower(t *testing.T) {
	calls, wipes := 0, 0
	for seed := range uint64(300) {
		s := newSimulation(seed, intact)
		// The clients call; no other fault is scheduled.
		s.faults = true
		s.runUntil(s.now.Add(10*time.Second), func() bool {
			return s.repaired() && len(s.history) > 5+int(seed%20)
		})
		if seed%2 == 1 {
			s.runUntil(s.now.Add(s.between(0, 2000)), func() bool { return false })
		}
		before := len(s.history)
		s.losePower()
		s.runUntil(s.now.Add(3*time.Second), func() bool { return false })
		s.run(0)
		if s.failure == "" {
			s.checkLinearizable()
		}
		assert.Equal(t, s.failure, "", "seed %d", seed)
		calls += before
		wipes += s.wipes
	}
	t.Logf("%d calls before the loss, %d lost disks", calls, wipes)
	assert.Assert(t, calls > 1500 && wipes >= 300)
}
