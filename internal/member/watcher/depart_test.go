package watcher

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// recordingCaller is a control host that runs a function during the first call and records the
// departures that it receives.
type recordingCaller struct {
	mu     sync.Mutex
	during func()
	calls  int
	told   map[string]bool
}

func (c *recordingCaller) Members(_ context.Context, _ string, q *wire.MembersRequest) (*wire.MembersResponse, error) {
	c.mu.Lock()
	c.calls++
	first := c.calls == 1
	for _, d := range q.GetDepartures() {
		c.told[d.GetName()] = true
	}
	c.mu.Unlock()
	if first {
		c.during()
	}
	hosts := []*wire.EntryHost{gossiper.EncodeHost(registrar.HostDescription{Host: registrar.Host{Name: "c1", Address: "c1:1", Cell: "main"}})}
	return &wire.MembersResponse{Epoch: 7, Number: 1, Full: first, Hosts: hosts}, nil
}

func (c *recordingCaller) Announce(context.Context, string, *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return nil, errNoHost
}

func (c *recordingCaller) Reach(context.Context, string) error { return nil }

func (c *recordingCaller) Close() {}

func (c *recordingCaller) wasTold(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told[id]
}

func (c *recordingCaller) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Guards against a departure that is never sent to a control host because it was learned of
// while a call with earlier departures was open.
func TestDepartureHeardDuringACallIsTold(t *testing.T) {
	gone := func(id registrar.UpstreamID) registrar.Departure {
		return registrar.Departure{UpstreamID: id, Incarnation: 1, Leaving: true}
	}
	c := &recordingCaller{told: map[string]bool{}}
	w := New(registrar.Host{Name: "w", Cell: "main"}, Options{Seeds: []string{"c1:1"}, Lease: clusterLease, Caller: c})
	c.during = func() { w.Depart(gone("second")) }
	w.Depart(gone("first"))
	w.Start()
	defer w.Close()
	eventually(t, "calls", 5*time.Second, func() bool { return c.count() >= 6 })
	assert.Assert(t, c.wasTold("first"))
	assert.Assert(t, c.wasTold("second"), "no call of %d told that the second upstream leaves", c.count())
}
