package gossiper

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

var coverageStart = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

func newCoverage(witnesses int) *coverage {
	return &coverage{witnesses: witnesses, hosts: map[registrar.HostName]hostCoverage{}}
}

func (c *coverage) up(names ...string) {
	for _, n := range names {
		c.observe(registrar.HostUp{Host: registrar.Host{Name: registrar.HostName(n), Incarnation: 1}})
	}
}

func (c *coverage) merge(name string, at time.Time) {
	c.observe(registrar.Merged{From: registrar.HostName(name), Began: at})
}

// Guards against a host that counts as up to date although it has asked none of the hosts
// that stored an acknowledged departure. The test tries all sets of asked and storing hosts.
func TestKnownUntilMeetsEachAcknowledgement(t *testing.T) {
	for _, c := range []struct{ hosts, witnesses int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}, {7, 3}, {3, 0}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.witnesses, " witnesses"), func(t *testing.T) {
			for asked := range 1 << (c.hosts - 1) {
				v := newCoverage(c.witnesses)
				for i := range c.hosts - 1 {
					name := fmt.Sprint(i)
					v.up(name)
					if asked>>i&1 == 1 {
						v.merge(name, coverageStart)
					}
				}
				_, known := v.knownUntil(coverageStart)
				// This host is the last one, and stores what it acknowledges itself.
				have := asked | 1<<(c.hosts-1)
				for keepers := range 1 << c.hosts {
					if bits.OnesCount(uint(keepers)) == c.witnesses+1 && keepers&have == 0 {
						assert.Assert(t, !known, "hosts %b were asked and hosts %b keep it", asked, keepers)
					}
				}
				all := asked == 1<<(c.hosts-1)-1
				assert.Assert(t, known || !all, "all hosts were asked")
			}
		})
	}
}

// Guards against a wrong time: it is that of the oldest exchange that is needed, and an
// exchange with an earlier incarnation of a host or with a lost host doesn't count.
func TestKnownUntilIsTheOldestOfTheLatest(t *testing.T) {
	c := newCoverage(2)
	c.up("a", "b", "c", "d")
	at := func(seconds int) time.Time { return coverageStart.Add(time.Duration(seconds) * time.Second) }
	c.merge("a", at(1))
	_, ok := c.knownUntil(at(9))
	assert.Assert(t, !ok, "one other host of four was asked")
	c.merge("b", at(2))
	known, ok := c.knownUntil(at(9))
	assert.Assert(t, ok && known.Equal(at(1)), "%v", known)
	c.merge("a", at(3))
	c.merge("a", at(2))
	known, _ = c.knownUntil(at(9))
	assert.Assert(t, known.Equal(at(2)), "%v", known)
	c.observe(registrar.HostChanged{Host: registrar.Host{Name: "b", Incarnation: 1, Revision: 7}})
	known, _ = c.knownUntil(at(9))
	assert.Assert(t, known.Equal(at(2)), "another description of the same process: %v", known)
	c.observe(registrar.HostChanged{Host: registrar.Host{Name: "b", Incarnation: 2}})
	_, ok = c.knownUntil(at(9))
	assert.Assert(t, !ok, "the process that was asked has ended")
	c.merge("c", at(4))
	known, ok = c.knownUntil(at(9))
	assert.Assert(t, ok && known.Equal(at(3)), "%v", known)
	c.observe(registrar.HostDown{Host: registrar.Host{Name: "c", Incarnation: 1}})
	_, ok = c.knownUntil(at(9))
	assert.Assert(t, !ok, "the host that was asked is lost")
}

// Guards against the smaller side of a partition that considers itself the whole group.
func TestSmallPartOfAGroupKnowsNothing(t *testing.T) {
	c := newCoverage(2)
	c.up("a")
	c.merge("a", coverageStart)
	_, ok := c.knownUntil(coverageStart)
	assert.Assert(t, !ok)
}
