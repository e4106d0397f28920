package follower_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

func revision(n uint64) follower.Revision { return variant(n, "") }

func variant(n uint64, text string) follower.Revision {
	d := fmt.Appendf(nil, `{"revision":%d,"text":%q}`, n, text)
	sum := sha256.Sum256(d)
	return follower.Revision{Number: n, Document: d, Digest: hex.EncodeToString(sum[:])}
}

func decode(data []byte) (*validator.Document, error) {
	if len(data) == 0 {
		return nil, errors.New("empty")
	}
	return &validator.Document{}, nil
}

func check(n uint64) uint64 { return follower.HashDigest(revision(n).Digest) }

// step applies an event and answers each Store at once.
func step(c *follower.Core, now time.Time, e follower.Event) (enforced uint64, faults int, fetches []follower.Fetch) {
	queue := []follower.Event{e}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, a := range c.Step(now, next) {
			switch a := a.(type) {
			case follower.Store:
				queue = append(queue, follower.Stored{Number: a.Revision.Number})
			case follower.Enforce:
				enforced = a.Snapshot.Revision
			case follower.Fault:
				faults++
			case follower.Fetch:
				fetches = append(fetches, a)
			}
		}
	}
	return enforced, faults, fetches
}

// TestFreshness guards against a lease that is renewed by a confirmation that says
// nothing about the revision in force, and against one that is lost by a change.
func TestFreshness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	confirmed := func(n uint64, s float64) follower.Event {
		return follower.Confirmed{Number: n, Check: check(n), At: at(s)}
	}
	type timed struct {
		at    float64
		event follower.Event
	}
	for _, c := range []struct {
		name   string
		events []timed
		ask    float64
		fresh  bool
	}{
		{"never confirmed", []timed{{0, follower.Offered{Revision: revision(1)}}}, 0.1, false},
		{"confirmed", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(1, 0.5)}}, 5.4, true},
		{"counted from the start of the exchange", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(1, 0.5)}}, 5.6, false},
		{"confirmed before it arrived", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(2, 1)}, {2, follower.Offered{Revision: revision(2)}}}, 5.5, true},
		{"a later revision can't be fetched", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(1, 1)}, {2, confirmed(2, 2)}, {4, confirmed(2, 4)}}, 6.1, false},
		{"a change keeps the lease", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(1, 1)}, {2, follower.Offered{Revision: revision(2)}}}, 5.9, true},
		{"an earlier revision was current before", []timed{{0, follower.Offered{Revision: revision(2)}}, {1, confirmed(1, 1)}}, 5.9, true},
		{"another digest", []timed{{0, follower.Offered{Revision: variant(1, "x")}}, {1, confirmed(1, 1)}}, 1.1, false},
		{"from the future", []timed{{0, follower.Offered{Revision: revision(1)}}, {1, confirmed(1, 9)}}, 6.1, false},
		{"an older confirmation arrives later", []timed{{0, follower.Offered{Revision: revision(1)}}, {3, confirmed(1, 3)}, {4, confirmed(1, 1)}}, 7.9, true},
		{"nothing in force", []timed{{1, confirmed(0, 1)}}, 1.1, false},
	} {
		core := follower.NewCore(decode, follower.Faults{})
		for _, e := range c.events {
			step(core, at(e.at), e.event)
		}
		assert.Equal(t, core.Fresh(at(c.ask)), c.fresh, c.name)
	}
}

// TestRefusedRevisions guards against enforcing a revision that is lower, damaged,
// unreadable or another one with the same number.
func TestRefusedRevisions(t *testing.T) {
	damaged := revision(3)
	damaged.Document = append(damaged.Document, ' ')
	empty := follower.Revision{Number: 3, Digest: hex.EncodeToString(sha256.New().Sum(nil))}
	for _, c := range []struct {
		name     string
		event    follower.Event
		enforced uint64
		faults   int
	}{
		{"higher", follower.Offered{Revision: revision(3)}, 3, 0},
		{"lower", follower.Offered{Revision: revision(1)}, 0, 0},
		{"same", follower.Offered{Revision: revision(2)}, 0, 0},
		{"same number, other digest", follower.Offered{Revision: variant(2, "x")}, 0, 1},
		{"damaged", follower.Offered{Revision: damaged}, 0, 1},
		{"unreadable", follower.Offered{Revision: empty}, 0, 1},
		{"peer has another digest", follower.Heard{Number: 2, Check: 7}, 0, 1},
		{"control has another digest", follower.Confirmed{Number: 2, Check: 7, At: time.Unix(1000, 0)}, 0, 1},
	} {
		core := follower.NewCore(decode, follower.Faults{})
		now := time.Unix(1000, 0)
		step(core, now, follower.Offered{Revision: revision(2)})
		enforced, faults, _ := step(core, now, c.event)
		assert.Equal(t, enforced, c.enforced, c.name)
		assert.Equal(t, faults, c.faults, c.name)
	}
	core := follower.NewCore(decode, follower.Faults{})
	step(core, time.Unix(1000, 0), follower.Confirmed{Number: 3, Check: check(3), At: time.Unix(1000, 0)})
	enforced, faults, _ := step(core, time.Unix(1000, 0), follower.Offered{Revision: variant(3, "x")})
	assert.Equal(t, enforced, uint64(0))
	assert.Equal(t, faults, 1, "a revision that differs from the confirmed one")
}

// fleet simulates cores and three control hosts under partitions.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	committed uint64
	// accepted is when each revision was accepted.
	accepted []time.Time
	// known is the newest revision on each control host; a host that is cut
	// off keeps an old one.
	known   []uint64
	cut     []bool
	cores   []*follower.Core
	highest []uint64
	parted  func(a, b int) bool
	control func(i int) bool
	frozen  []bool
	repeats []func()
	// starved gets confirmations but no documents.
	starved int
}

const controls = 3

func newFleet(seed uint64, hosts int, faults follower.Faults) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 2)),
		now:     time.Unix(1000, 0),
		known:   make([]uint64, controls),
		cut:     make([]bool, controls),
		highest: make([]uint64, hosts),
		frozen:  make([]bool, hosts),
		starved: -1,
		parted:  func(int, int) bool { return false },
		control: func(int) bool { return true },
	}
	f.accepted = append(f.accepted, f.now)
	for range hosts {
		f.cores = append(f.cores, follower.NewCore(decode, faults))
	}
	return f
}

func (f *fleet) commit() {
	f.committed++
	f.accepted = append(f.accepted, f.now)
	for i := range f.known {
		if !f.cut[i] {
			f.known[i] = f.committed
		}
	}
}

func (f *fleet) apply(i int, e follower.Event) {
	_, _, fetches := step(f.cores[i], f.now, e)
	for _, x := range fetches {
		if i == f.starved {
			continue
		}
		var from uint64
		var p int
		if _, err := fmt.Sscanf(x.Source.Address, "peer-%d", &p); err == nil {
			if f.parted(i, p) || f.frozen[p] {
				continue
			}
			from = f.cores[p].Current().Number
		} else if f.control(i) {
			from = f.committed
		}
		if from >= x.Number {
			step(f.cores[i], f.now, follower.Offered{Revision: revision(from), Source: x.Source})
		}
	}
}

// run advances the time in steps of 100 ms. In each step a host may watch control,
// confirm with it and ask a peer; answers may be late or duplicated.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for i := range f.cores {
			if f.frozen[i] {
				continue
			}
			f.apply(i, follower.Tick{})
			f.exchange(i)
		}
		if len(f.repeats) > 0 && f.random.IntN(3) == 0 {
			k := f.random.IntN(len(f.repeats))
			f.repeats[k]()
			f.repeats = append(f.repeats[:k], f.repeats[k+1:]...)
		}
		if err := f.verify(); err != nil {
			return err
		}
	}
	return nil
}

// exchange lets the host receive from control and from a random peer. One message in
// ten is delivered again later.
func (f *fleet) exchange(i int) {
	deliver := func(e follower.Event) {
		f.apply(i, e)
		if f.random.IntN(10) == 0 {
			f.repeats = append(f.repeats, func() { f.apply(i, e) })
		}
	}
	c := f.random.IntN(controls)
	if f.control(i) && i != f.starved && f.random.IntN(4) == 0 && f.known[c] > 0 {
		deliver(follower.Offered{Revision: revision(f.known[c]), Source: follower.Source{Address: "control"}})
	}
	if f.control(i) && f.random.IntN(10) == 0 && !f.cut[c] && f.committed > 0 {
		deliver(follower.Confirmed{Number: f.committed, Check: check(f.committed), At: f.now, Source: follower.Source{Address: "control"}})
	}
	p := f.random.IntN(len(f.cores))
	n := f.cores[p].Current().Number
	if p == i || f.parted(i, p) || f.frozen[p] || n == 0 || f.random.IntN(2) > 0 {
		return
	}
	source := follower.Source{Address: fmt.Sprintf("peer-%d", p), Peer: true}
	if at := f.cores[p].Confirmed(); !at.IsZero() {
		deliver(follower.Confirmed{Number: n, Check: check(n), At: at, Source: source})
	} else {
		deliver(follower.Heard{Number: n, Check: check(n), Source: source})
	}
}

// verify returns an error when a host goes back to a lower revision, or is fresh
// with a revision whose successor was accepted more than a lease ago.
func (f *fleet) verify() error {
	for i, c := range f.cores {
		n := c.Current().Number
		if n < f.highest[i] {
			return fmt.Errorf("host %d went from revision %d to %d", i, f.highest[i], n)
		}
		f.highest[i] = n
		if c.Fresh(f.now) && n < f.committed && f.now.Sub(f.accepted[n+1]) > follower.LeaseDuration {
			return fmt.Errorf("host %d is fresh with revision %d, %v after %d was accepted", i, n, f.now.Sub(f.accepted[n+1]), n+1)
		}
	}
	return nil
}

// converged returns an error unless all hosts have the latest revision and are
// fresh.
func (f *fleet) converged() error {
	for i, c := range f.cores {
		if c.Current().Number != f.committed || !c.Fresh(f.now) {
			return fmt.Errorf("host %d has revision %d of %d, fresh %t", i, c.Current().Number, f.committed, c.Fresh(f.now))
		}
	}
	return nil
}

// runPartitions runs a random schedule of partitions, frozen hosts and changes. It
// returns an error when a host breaks a rule or doesn't converge at the end.
func runPartitions(seed uint64, faults follower.Faults) error {
	f := newFleet(seed, 6, faults)
	f.commit()
	for range 8 {
		cut, alone, frozen := f.random.IntN(controls), f.random.IntN(7), f.random.IntN(6)
		f.cut[cut] = f.random.IntN(2) == 0
		f.control = func(i int) bool { return i%2 == 0 && alone < 5 }
		f.parted = func(a, b int) bool { return alone == a || alone == b }
		f.frozen[frozen] = f.random.IntN(2) == 0
		f.starved = f.random.IntN(12)
		if f.random.IntN(4) > 0 {
			f.commit()
		}
		if err := f.run(time.Duration(2+f.random.IntN(10)) * time.Second); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		f.cut[cut], f.frozen[frozen] = false, false
	}
	f.control, f.parted = func(int) bool { return true }, func(int, int) bool { return false }
	f.starved = -1
	for i := range f.known {
		f.known[i] = f.committed
	}
	if err := f.run(follower.LeaseDuration); err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	if err := f.converged(); err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	return nil
}

// TestConfigurationConvergesAndNeverReverts guards against a configuration that is
// reverted, enforced too long after a change, or never reaches a host, under
// partitions of control and peers.
func TestConfigurationConvergesAndNeverReverts(t *testing.T) {
	for seed := range uint64(150) {
		assert.NilError(t, runPartitions(seed, follower.Faults{}))
	}
}

// TestChecksCatchBrokenCores guards against checks that can't fail.
func TestChecksCatchBrokenCores(t *testing.T) {
	for name, faults := range map[string]follower.Faults{
		"accepts lower revisions":            {AcceptLower: true},
		"counts the lease from the receipt":  {RenewAtReceipt: true},
		"renews the lease on newer revision": {RenewOnNewer: true},
	} {
		var caught error
		for seed := uint64(0); seed < 150 && caught == nil; seed++ {
			caught = runPartitions(seed, faults)
		}
		assert.Assert(t, caught != nil, name)
		t.Log(name, ":", caught)
	}
}
