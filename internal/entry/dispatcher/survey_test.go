package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// fakeInventory counts the calls for each engine. Those for the engine named deaf fail.
type fakeInventory struct {
	mu    sync.Mutex
	asked map[registrar.UpstreamID]int
}

func (f *fakeInventory) Kept(_ context.Context, u registrar.Upstream) ([]scheduler.Block, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[u.Name]++
	if u.Name == "deaf" {
		return nil, errors.New("no answer")
	}
	return []scheduler.Block{{Hash: 1, Tokens: 100}}, nil
}

// TestSurvey guards against calls to engines that nobody needs: only the owner of the
// cell asks, each engine once, and again after a restart of the engine or when the host
// has become the owner again.
func TestSurvey(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inventory := &fakeInventory{asked: map[registrar.UpstreamID]int{}}
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	d := document()
	d.Models[0].Memory = 100_000
	local.Configure(d)
	engine := registrar.Upstream{Name: "engine", Models: []validator.PoolName{"m"}, Slots: 4, Incarnation: 1}
	deaf := registrar.Upstream{Name: "deaf", Models: []validator.PoolName{"m"}, Slots: 4, Incarnation: 1}
	plain := registrar.Upstream{Name: "plain", Slots: 4, Incarnation: 1}
	for _, u := range []registrar.Upstream{engine, deaf, plain} {
		local.Observe(u)
	}
	v := newSurveyor(Settings{Local: local, Clock: clock, Logger: zap.NewNop(), Inventory: inventory})
	check := func(what string, owning bool, want map[registrar.UpstreamID]int) {
		t.Helper()
		t.Log(what)
		for range 3 {
			clock.Advance(surveyInterval)
			v.review(t.Context(), owning)
			v.close()
		}
		inventory.mu.Lock()
		defer inventory.mu.Unlock()
		assert.DeepEqual(t, inventory.asked, want)
	}
	check("another host is the owner", false, map[registrar.UpstreamID]int{})
	check("owner", true, map[registrar.UpstreamID]int{"engine": 1, "deaf": 1})
	engine.Incarnation = 2
	local.Observe(engine)
	check("the engine has restarted", true, map[registrar.UpstreamID]int{"engine": 2, "deaf": 1})
	check("no owner any more", false, map[registrar.UpstreamID]int{"engine": 2, "deaf": 1})
	check("owner again", true, map[registrar.UpstreamID]int{"engine": 3, "deaf": 2})
	none := newSurveyor(Settings{Local: local, Clock: clock, Logger: zap.NewNop()})
	none.review(t.Context(), true)
	none.close()
}

// TestSurveyKeepsRateLimits guards against calls to an engine beyond its rate limit.
func TestSurveyKeepsRateLimits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	inventory := &fakeInventory{asked: map[registrar.UpstreamID]int{}}
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	d := document()
	d.Models[0].Memory = 100_000
	local.Configure(d)
	u := registrar.Upstream{Name: "engine", Models: []validator.PoolName{"m"}, Slots: 4, Incarnation: 1}
	local.Observe(u)
	local.recordLimit(scheduler.LimitReport(u, 0.5, clock.Now()))
	v := newSurveyor(Settings{Local: local, Clock: clock, Logger: zap.NewNop(), Inventory: inventory})
	ask := func(after time.Duration) int {
		clock.Advance(after)
		v.review(t.Context(), true)
		v.close()
		return inventory.asked["engine"]
	}
	assert.Equal(t, ask(surveyInterval), 0)
	assert.Equal(t, ask(time.Second), 0)
	assert.Equal(t, ask(time.Second), 1)
	assert.Equal(t, ask(time.Minute), 1)
}

// countingInventory counts the calls that are open at a time.
type countingInventory struct{ open, most, calls atomic.Int64 }

func (f *countingInventory) Kept(context.Context, registrar.Upstream) ([]scheduler.Block, error) {
	n := f.open.Add(1)
	defer f.open.Add(-1)
	for most := f.most.Load(); n > most && !f.most.CompareAndSwap(most, n); {
		most = f.most.Load()
	}
	f.calls.Add(1)
	time.Sleep(time.Millisecond)
	return nil, nil
}

// TestSurveyOfManyEngines guards against a new owner that reads the answers of hundreds of
// engines at the same time.
func TestSurveyOfManyEngines(t *testing.T) {
	const engines = 100
	clock := clockwork.NewFakeClock()
	inventory := &countingInventory{}
	local := NewLocal(scheduler.New(), clock)
	defer local.Close()
	d := document()
	d.Models[0].Memory = 100_000
	local.Configure(d)
	for i := range engines {
		local.Observe(registrar.Upstream{Name: registrar.UpstreamID(fmt.Sprint("engine-", i)), Models: []validator.PoolName{"m"}, Slots: 4, Incarnation: 1})
	}
	v := newSurveyor(Settings{Local: local, Clock: clock, Logger: zap.NewNop(), Inventory: inventory})
	for range engines/surveyBatch + 1 {
		clock.Advance(surveyInterval)
		v.review(t.Context(), true)
	}
	v.close()
	assert.Equal(t, inventory.calls.Load(), int64(engines))
	assert.Assert(t, inventory.most.Load() <= surveyCalls)
}
