package dispatcher

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// ledger is a service with short requests.
const ledger validator.PoolName = "ledger"

// newServiceMembers returns a cell with an owner, "a", and other hosts, whose five upstreams
// of the service have six slots each.
func newServiceMembers(t *testing.T, others int, wrap func(net.Listener) net.Listener) map[registrar.HostName]*member {
	t.Helper()
	names := []registrar.HostName{"a"}
	for i := range others {
		names = append(names, registrar.HostName(fmt.Sprint("host", i)))
	}
	view, all := startMembers(t, slots, wrap, names...)
	for i := range 5 {
		u := registrar.Upstream{Name: registrar.UpstreamID(fmt.Sprint("ledger-", i)), Services: []validator.PoolName{ledger}, Slots: 6, Incarnation: 1}
		view.upstreams[u.Name] = u
		for _, m := range all {
			m.local.Observe(u)
		}
	}
	waitFor(t, "links", func() bool {
		for _, m := range all {
			if m != all["a"] && !m.linked() {
				return false
			}
		}
		return all["a"].usesAllSlots()
	})
	return all
}

// unchanged is a wrap of newServiceMembers.
func unchanged(l net.Listener) net.Listener { return l }

// delayScheduler holds the lock of a host's scheduler for most of the time until the test
// ends or stop is called: whatever passes the scheduler waits up to d.
func delayScheduler(t *testing.T, l *Local, d time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var g conc.WaitGroup
	g.Go(func() {
		for ctx.Err() == nil {
			l.mu.Lock()
			time.Sleep(d)
			l.mu.Unlock()
			time.Sleep(d / 20)
		}
	})
	return func() {
		cancel()
		g.Wait()
	}
}

// TestShortWorkIsServedBesideALateOwner guards against a service that is idle while its
// requests are refused: a few slots with 15 ms of work each, held while messages to a late
// owner travel, serve only a small part of their rate.
func TestShortWorkIsServedBesideALateOwner(t *testing.T) {
	const (
		hosts    = 20
		rate     = 15
		work     = 15 * time.Millisecond
		target   = 120 * time.Millisecond
		patience = 600 * time.Millisecond
		duration = 2 * time.Second
	)
	all := newServiceMembers(t, hosts, unchanged)
	defer delayScheduler(t, all["a"].local, 200*time.Millisecond)()
	time.Sleep(time.Second)
	var sent, served atomic.Int64
	var g conc.WaitGroup
	for i := range hosts {
		cell := all[registrar.HostName(fmt.Sprint("host", i))].cell
		g.Go(func() {
			ticker := time.NewTicker(time.Second / rate)
			defer ticker.Stop()
			for n := range int(duration.Seconds() * rate) {
				<-ticker.C
				r := request(fmt.Sprint("r", i, "-", n))
				r.Pool, r.Whole = ledger, true
				sent.Add(1)
				g.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					defer cancel()
					s, err := cell.Acquire(ctx, r)
					if err != nil {
						return
					}
					if time.Since(r.Arrived) <= target {
						served.Add(1)
					}
					time.Sleep(work)
					s.Release(scheduler.Completed, 0)
				})
			}
		})
	}
	g.Wait()
	assert.Assert(t, served.Load()*10 >= sent.Load()*9, "%d of %d requests got a slot within %s", served.Load(), sent.Load(), target)
}

// TestLateSchedulerJudgesNoSilence guards against an owner that ends live attempts: the
// reports of their activity wait where it has not read them yet.
func TestLateSchedulerJudgesNoSilence(t *testing.T) {
	view, all := newMembers(t, "a")
	addSecondUpstream(view, all)
	l := all["a"].local
	waitFor(t, "the whole cell", all["a"].usesAllSlots)
	r := request("running")
	r.Rescue = true
	s, err := all["a"].cell.Acquire(t.Context(), r)
	assert.NilError(t, err)
	s.FirstToken()
	time.Sleep(reportInterval)
	l.mu.Lock()
	var g conc.WaitGroup
	g.Go(func() {
		time.Sleep(200 * time.Millisecond)
		s.Progress(10)
	})
	time.Sleep(1300 * time.Millisecond)
	l.mu.Unlock()
	g.Wait()
	time.Sleep(5 * scheduler.TickInterval)
	select {
	case <-s.Preempted():
		t.Fatal("a live attempt was asked to go elsewhere")
	default:
	}
	s.Release(scheduler.Completed, 10)
}

// TestShortWorkAfterTheLossOfTheOwner guards against a service without service while its
// hosts find out that the owner is lost: the time is bounded by the silence after which a
// link fails.
func TestShortWorkAfterTheLossOfTheOwner(t *testing.T) {
	var gates []*gate
	all := newServiceMembers(t, 3, func(l net.Listener) net.Listener {
		g := &gate{Listener: l, open: map[net.Conn]bool{}}
		gates = append(gates, g)
		return g
	})
	cell := all["host0"].cell
	longest, worked := time.Duration(0), 0
	for i := range 100 {
		if i == 20 {
			for _, g := range gates {
				g.silent.Store(true)
			}
		}
		r := request(fmt.Sprint("r", i))
		r.Pool, r.Whole = ledger, true
		ctx, cancel := context.WithTimeout(t.Context(), 2*maxSilence)
		s, err := cell.Acquire(ctx, r)
		cancel()
		longest = max(longest, time.Since(r.Arrived))
		if err != nil {
			continue
		}
		worked++
		time.Sleep(10 * time.Millisecond)
		s.Release(scheduler.Completed, 0)
	}
	assert.Equal(t, worked, 100)
	assert.Assert(t, longest <= maxSilence, "a request waited %s", longest)
	t.Logf("the longest wait took %s", longest)
}
