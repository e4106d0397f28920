package watcher

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

func hostsIn(centres ...registrar.DataCentre) []registrar.Host {
	var all []registrar.Host
	for i, c := range centres {
		all = append(all, registrar.Host{
			Name: registrar.HostName(fmt.Sprint("control-", i)), Address: fmt.Sprintf("10.0.%d.1:1", i), Centre: c,
		})
	}
	return all
}

func TestChoose(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	hosts := hostsIn("a", "b", "c")
	self := registrar.Host{Name: "entry-1", Centre: "b"}
	none := targets{failed: map[string]time.Time{}}
	assert.Equal(t, none.choose(now, self, hosts), "10.0.1.1:1", "one in the own data centre")

	failed := targets{failed: map[string]time.Time{"10.0.1.1:1": now}}
	other := failed.choose(now, self, hosts)
	assert.Assert(t, other != "" && other != "10.0.1.1:1", other)
	assert.Equal(t, failed.choose(now.Add(failureMemory), self, hosts), "10.0.1.1:1", "it is asked again after a time")

	left := hostsIn("b")
	left[0].Left = true
	assert.Equal(t, none.choose(now, self, left), "")
	assert.Equal(t, none.choose(now, self, nil), "")
}

// Guards against all hosts asking the same one after a host is lost.
func TestWatchersAreSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	none := targets{failed: map[string]time.Time{}}
	hosts := hostsIn("a", "b", "c", "d", "e")
	const watchers = 300
	asked := map[string]int{}
	for i := range watchers {
		self := registrar.Host{Name: registrar.HostName(fmt.Sprint("entry-", i)), Centre: "lost"}
		asked[none.choose(now, self, hosts)]++
	}
	assert.Equal(t, len(asked), len(hosts))
	for address, n := range asked {
		assert.Assert(t, n < 2*watchers/len(hosts), "%s has %d of %d", address, n, watchers)
	}
}

// Guards against an address that is never tried while none responds: all are tried in turn.
func TestSeedsInTurn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	u := targets{failed: map[string]time.Time{}}
	hosts := hostsIn("a")
	tried := map[string]bool{}
	for i := range 3 {
		a := u.seed(now, []string{"10.1.0.1:1", "10.1.0.2:1"}, hosts)
		tried[a] = true
		u.fail(a, now.Add(time.Duration(i+1)*time.Millisecond))
	}
	assert.Equal(t, len(tried), 3)
	assert.Equal(t, u.seed(now, nil, nil), "")
}
