package coordinator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

// port is what the core needs from its surroundings.
type port interface {
	// enqueue adds work to the ordered disk queue.
	enqueue(work)
	// transmit sends a message at once.
	transmit(replicator.Send)
	// background runs f on another goroutine and feeds its event to the replica.
	background(f func() replicator.Event)
	// retire ends a replica that the group has removed.
	retire()
	// note logs an event.
	note(text string, fields ...zap.Field)
}

// work is an item of the disk queue: a save, or a message that waits for the
// saves before it.
type work struct {
	save *replicator.Save
	send *replicator.Send
}

// flush makes the work durable with one write and returns the messages that
// may be sent then, and the events for the replica.
func flush(j *journaler.Journal, items []work) ([]replicator.Send, []replicator.Event, error) {
	var saves []journaler.Save
	var sends []replicator.Send
	var events []replicator.Event
	for _, w := range items {
		if w.send != nil {
			sends = append(sends, *w.send)
			continue
		}
		s := w.save
		saves = append(saves, journaler.Save{
			Vote: s.Vote, Snapshot: s.Snapshot, Reset: s.Reset, Entries: s.Entries,
		})
		e := replicator.Saved{Term: s.Term, Index: s.Index, IndexTerm: s.IndexTerm}
		events = append(events, e)
	}
	if len(saves) > 0 {
		if err := j.Write(saves); err != nil {
			return nil, nil, err
		}
	}
	return sends, events, nil
}

// proposal is a command that waits to be committed.
type proposal struct {
	command []byte
	reply   func(outcome)
}

// placed is a proposal with its place in the log.
type placed struct {
	term  uint64
	reply func(outcome)
}

// coreOptions configure a core.
type coreOptions struct {
	replica replicator.Options
	compact int
}

// core connects the replica with the applied state. It has no goroutines and
// does no input or output, so that fault tests can run many of them. Only view
// and the methods that read the state may be called from other goroutines.
type core struct {
	options coreOptions
	port    port
	replica *replicator.Replicator

	pending  map[uint64]placed
	reads    map[uint64]func(error)
	readings uint64
	// observe is given all committed entries; tests set it.
	observe func([]*record.Entry)
	// since is the size of the entries applied after the last snapshot.
	since int
	// snapshot is the size of the last snapshot.
	snapshot int
	// encoding is true while a snapshot is being encoded.
	encoding bool
	// delay is added to the size at which the next snapshot is taken, so that
	// the replicas don't all write theirs at the same time.
	delay  int
	random *rand.Rand

	mu      sync.RWMutex
	state   *applier.State
	current view
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

// view is what handlers need to know about the replica.
type view struct {
	role    replicator.Role
	ready   bool
	leader  *record.Member
	voters  int
	heard   time.Time
	replica replicator.Status
}

// newCore restores a core from the data folder.
func newCore(now time.Time, o coreOptions, s *journaler.Stored, p port) (*core, error) {
	c := &core{
		options: o, port: p, state: applier.New(), changed: make(chan struct{}),
		pending: map[uint64]placed{}, reads: map[uint64]func(error){},
		random: rand.New(rand.NewPCG(o.replica.Seed, s.Vote.Id)),
	}
	c.drawDelay()
	if s.Snapshot != nil {
		if err := c.restore(s.Snapshot); err != nil {
			return nil, err
		}
	}
	c.replica = replicator.New(now, o.replica, replicator.Stored{
		Vote: s.Vote, Snapshot: s.Snapshot, Entries: s.Entries,
	})
	c.updateView()
	return c, nil
}

// restore replaces the applied state.
func (c *core) restore(s *record.Snapshot) error {
	state, err := applier.Decode(s.Data)
	if err != nil {
		return fmt.Errorf("snapshot at entry %d: %w", s.Index, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.since, c.snapshot = 0, len(s.Data)
	c.notifyWatchers()
	return nil
}

// step feeds an event to the replica and carries out its actions.
func (c *core) step(now time.Time, e replicator.Event) {
	if s, ok := e.(replicator.Compact); ok {
		c.encoding, c.snapshot = false, len(s.Data)
		c.drawDelay()
	}
	for _, a := range c.replica.Step(now, e) {
		c.perform(a, nil)
	}
	c.compact()
	c.updateView()
}

// propose appends the commands of several callers.
func (c *core) propose(now time.Time, proposals []proposal) {
	commands := make([][]byte, 0, len(proposals))
	for _, p := range proposals {
		commands = append(commands, p.command)
	}
	actions := c.replica.Step(now, replicator.Propose{Commands: commands, Time: now.UnixNano()})
	for _, a := range actions {
		c.perform(a, proposals)
	}
	c.compact()
	c.updateView()
}

// read calls reply when the applied state is current, or with an error.
func (c *core) read(now time.Time, reply func(error)) {
	c.readings++
	c.reads[c.readings] = reply
	c.step(now, replicator.Read{Token: c.readings})
}

// perform carries out one action. The proposals are those of this step.
func (c *core) perform(a replicator.Action, proposals []proposal) {
	switch a := a.(type) {
	case replicator.Save:
		c.port.enqueue(work{save: &a})
	case replicator.Send:
		if a.Durable {
			c.port.enqueue(work{send: &a})
			return
		}
		c.port.transmit(a)
	case replicator.Appended:
		for i, p := range proposals {
			c.pending[a.First+uint64(i)] = placed{term: a.Term, reply: p.reply}
		}
	case replicator.Refused:
		for _, p := range proposals {
			p.reply(outcome{err: errNotLeader})
		}
	case replicator.Apply:
		c.apply(a.Entries)
	case replicator.Restore:
		if err := c.restore(a.Snapshot); err != nil {
			panic(err)
		}
	case replicator.ReadReady:
		c.finishRead(a.Token, nil)
	case replicator.ReadFailed:
		c.finishRead(a.Token, errNotLeader)
	case replicator.LeadershipChanged:
		c.port.note(fmt.Sprintf("now %s in term %d", a.Role, a.Term), zap.Uint64("leader", uint64(a.Leader)))
		if a.Role != replicator.Leader {
			c.failPending(errUnknown)
		}
	case replicator.Retired:
		c.port.retire()
	case replicator.Note:
		c.port.note(a.Text, zap.String("host", a.Name), zap.Uint64("replica", uint64(a.ID)))
	}
}

func (c *core) finishRead(token uint64, err error) {
	if reply := c.reads[token]; reply != nil {
		delete(c.reads, token)
		reply(err)
	}
}

// failPending answers all waiting proposals and reads.
func (c *core) failPending(err error) {
	for i, p := range c.pending {
		delete(c.pending, i)
		p.reply(outcome{err: err})
	}
	for t := range c.reads {
		c.finishRead(t, err)
	}
}

// apply applies committed entries and answers their callers.
func (c *core) apply(entries []*record.Entry) {
	if c.observe != nil {
		c.observe(entries)
	}
	c.mu.Lock()
	before := revisionOf(c.state)
	results := make([]applier.Result, 0, len(entries))
	for _, e := range entries {
		results = append(results, c.state.Apply(e))
		c.since += len(e.Data)
	}
	if revisionOf(c.state) != before {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	for i, e := range entries {
		p, found := c.pending[e.Index]
		if !found {
			continue
		}
		delete(c.pending, e.Index)
		if p.term != e.Term {
			p.reply(outcome{err: errUnknown})
			continue
		}
		p.reply(outcome{result: results[i]})
	}
}

func revisionOf(s *applier.State) uint64 {
	if r := s.Current(); r != nil {
		return r.Number
	}
	return 0
}

// notifyWatchers wakes the streams that wait for a revision.
func (c *core) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// compact takes a snapshot when the log has grown enough. The bound grows with
// the snapshot so that writing snapshots stays a fraction of all writing. The
// state is encoded in the background: a full claim table takes about as long
// as an election timeout.
func (c *core) compact() {
	if c.since < max(c.options.compact, c.snapshot)+c.delay {
		return
	}
	if c.encoding {
		return
	}
	c.encoding, c.since = true, 0
	frozen, index := c.state.Freeze(), c.replica.Status().Applied
	c.port.background(func() replicator.Event {
		data, err := frozen.Encode()
		if err != nil {
			panic(err)
		}
		return replicator.Compact{Index: index, Data: data}
	})
}

func (c *core) drawDelay() {
	c.delay = c.random.IntN(max(c.options.compact, c.snapshot)/2 + 1)
}

// updateView copies what handlers read.
func (c *core) updateView() {
	s := c.replica.Status()
	v := view{role: s.Role, ready: s.Ready, heard: s.Heard, replica: s}
	for _, m := range s.Membership.Members {
		if m.Voter {
			v.voters++
		}
		if replicator.ID(m.Id) == s.Leader {
			v.leader = m
		}
	}
	c.mu.Lock()
	c.current = v
	c.mu.Unlock()
}

// view returns the replica's state after the last event.
func (c *core) view() view {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// inspect calls f with the applied state, which f must not keep.
func (c *core) inspect(f func(*applier.State)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.state)
}

// awaitChange returns a channel that is closed at the next revision.
func (c *core) awaitChange() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}
