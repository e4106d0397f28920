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

// environment provides the disk, the network and the background work of a core.
type environment interface {
	// enqueue adds a task to the ordered disk queue.
	enqueue(diskTask)
	// transmit sends a message at once.
	transmit(replicator.Send)
	// background runs f on another goroutine and feeds its event to the replica.
	background(f func() replicator.Event)
	// retire stops a replica that the group has removed.
	retire()
	// note logs an event.
	note(text string, fields ...zap.Field)
}

// diskTask is an item of the disk queue: either a save, or a message that waits
// for the saves before it.
type diskTask struct {
	save *replicator.Save
	send *replicator.Send
}

// flush makes the saves among the tasks durable with one write. It returns the
// messages that may then be sent and the events for the replica.
func flush(j *journaler.Journal, items []diskTask) ([]replicator.Send, []replicator.Event, error) {
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

// proposal is a command to be committed. reply is called with its outcome.
type proposal struct {
	command []byte
	reply   func(outcome)
}

// pendingProposal is a proposal that was appended to the log in the given term.
type pendingProposal struct {
	term  uint64
	reply func(outcome)
}

// coreOptions configure a core. compactBytes is the size of the applied entries
// after which a snapshot is taken.
type coreOptions struct {
	replica      replicator.Options
	compactBytes int
}

// core connects the replica with the applied state. It has no goroutines and
// does no input or output, so that fault tests can run many of them. Only view
// and the methods that read the state may be called from other goroutines.
type core struct {
	options     coreOptions
	environment environment
	replica     *replicator.Replicator

	// pending holds the proposals that wait to be committed, by log index.
	pending map[uint64]pendingProposal
	// reads holds the callers that wait for a read, by token.
	reads         map[uint64]func(error)
	lastReadToken uint64
	// onCommitted is called with all committed entries; only tests set it.
	onCommitted func([]*record.Entry)
	// appliedBytes is the size of the entries applied since the last snapshot.
	appliedBytes int
	// snapshotBytes is the size of the last snapshot.
	snapshotBytes int
	// encoding is true while a snapshot is being encoded.
	encoding bool
	// compactJitter is a random number of bytes added to the size at which the
	// next snapshot is taken, so that the replicas don't all write theirs at
	// the same time.
	compactJitter int
	random        *rand.Rand
	// pace gives proposals their time; the steady clock counts from started.
	pace    pace
	started time.Time

	mu      sync.RWMutex
	state   *applier.State
	current view
	// revisionChanged is closed and replaced at each new revision.
	revisionChanged chan struct{}
}

// view is the part of the replica's state that handlers need. leader is nil
// when no leader is known, and voters is the number of voters in the
// membership.
type view struct {
	role    replicator.Role
	ready   bool
	leader  *record.Member
	voters  int
	heard   time.Time
	replica replicator.Status
}

// newCore restores a core from the contents of the data folder.
func newCore(now time.Time, o coreOptions, s *journaler.Stored, env environment) (*core, error) {
	c := &core{
		options: o, environment: env, state: applier.New(), revisionChanged: make(chan struct{}),
		pending: map[uint64]pendingProposal{}, reads: map[uint64]func(error){},
		random: rand.New(rand.NewPCG(o.replica.Seed, s.Vote.Id)), started: now,
	}
	c.drawCompactJitter()
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

// restore replaces the applied state with a snapshot.
func (c *core) restore(s *record.Snapshot) error {
	state, err := applier.Decode(s.Data)
	if err != nil {
		return fmt.Errorf("snapshot at entry %d: %w", s.Index, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.appliedBytes, c.snapshotBytes = 0, len(s.Data)
	c.notifyWatchers()
	return nil
}

// step feeds an event to the replica and performs the resulting actions.
func (c *core) step(now time.Time, e replicator.Event) {
	if s, ok := e.(replicator.Compact); ok {
		c.encoding, c.snapshotBytes = false, len(s.Data)
		c.drawCompactJitter()
		c.noteSizes()
	}
	for _, a := range c.replica.Step(now, e) {
		c.perform(a, nil)
	}
	c.compact()
	c.updateView()
}

// propose appends the commands of several callers to the log.
func (c *core) propose(now time.Time, proposals []proposal) {
	commands := make([][]byte, 0, len(proposals))
	for _, p := range proposals {
		commands = append(commands, p.command)
	}
	at := c.pace.next(now.UnixNano(), now.Sub(c.started), c.state.Time())
	actions := c.replica.Step(now, replicator.Propose{Commands: commands, Time: at})
	for _, a := range actions {
		c.perform(a, proposals)
	}
	c.compact()
	c.updateView()
}

// read calls reply with nil once the applied state is current, or with an
// error.
func (c *core) read(now time.Time, reply func(error)) {
	c.lastReadToken++
	c.reads[c.lastReadToken] = reply
	c.step(now, replicator.Read{Token: c.lastReadToken})
}

// perform carries out one action. proposals are those of the current step, if
// any.
func (c *core) perform(a replicator.Action, proposals []proposal) {
	switch a := a.(type) {
	case replicator.Save:
		c.environment.enqueue(diskTask{save: &a})
	case replicator.Send:
		if a.Durable {
			c.environment.enqueue(diskTask{send: &a})
			return
		}
		c.environment.transmit(a)
	case replicator.Appended:
		for i, p := range proposals {
			c.pending[a.First+uint64(i)] = pendingProposal{term: a.Term, reply: p.reply}
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
		c.environment.note(fmt.Sprintf("now %s in term %d", a.Role, a.Term), zap.Uint64("leader", uint64(a.Leader)))
		if a.Role != replicator.Leader {
			c.failPending(errOutcomeUnknown)
		}
	case replicator.Retired:
		c.environment.retire()
	case replicator.Note:
		c.environment.note(a.Text, zap.String("host", a.Name), zap.Uint64("replica", uint64(a.ID)))
	}
}

func (c *core) finishRead(token uint64, err error) {
	if reply := c.reads[token]; reply != nil {
		delete(c.reads, token)
		reply(err)
	}
}

// failPending answers all waiting proposals and reads with the error.
func (c *core) failPending(err error) {
	for i, p := range c.pending {
		delete(c.pending, i)
		p.reply(outcome{err: err})
	}
	for t := range c.reads {
		c.finishRead(t, err)
	}
}

// apply applies committed entries and answers the callers who proposed them.
func (c *core) apply(entries []*record.Entry) {
	if c.onCommitted != nil {
		c.onCommitted(entries)
	}
	c.mu.Lock()
	before := currentRevision(c.state)
	results := make([]applier.Result, 0, len(entries))
	for _, e := range entries {
		results = append(results, c.state.Apply(e))
		c.appliedBytes += len(e.Data)
	}
	if currentRevision(c.state) != before {
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
			p.reply(outcome{err: errOutcomeUnknown})
			continue
		}
		p.reply(outcome{result: results[i]})
	}
}

// currentRevision returns the number of the current revision, or 0 when there
// is none.
func currentRevision(s *applier.State) uint64 {
	if r := s.Current(); r != nil {
		return r.Number
	}
	return 0
}

// notifyWatchers wakes the streams that wait for a revision. The caller holds
// mu.
func (c *core) notifyWatchers() {
	close(c.revisionChanged)
	c.revisionChanged = make(chan struct{})
}

// compact takes a snapshot when the log has grown enough. The threshold grows
// with the snapshot, so that snapshots remain a fraction of all writes. The
// state is encoded in the background, because encoding a full claim table takes
// about as long as an election timeout.
func (c *core) compact() {
	if c.appliedBytes < max(c.options.compactBytes, c.snapshotBytes)+c.compactJitter {
		return
	}
	if c.encoding {
		return
	}
	c.encoding, c.appliedBytes = true, 0
	frozen, index := c.state.Freeze(), c.replica.Status().Applied
	c.environment.background(func() replicator.Event {
		data, err := frozen.Encode()
		if err != nil {
			panic(err)
		}
		return replicator.Compact{Index: index, Data: data}
	})
}

// noteSizes logs what a snapshot holds.
func (c *core) noteSizes() {
	sizes := c.state.Sizes()
	c.environment.note("took a snapshot",
		zap.Int("snapshotBytes", c.snapshotBytes), zap.Int("logBytes", c.replica.Status().LogBytes),
		zap.Int("documents", sizes.Revisions), zap.Int("documentBytes", sizes.Documents),
		zap.Int("auditBytes", sizes.Audit), zap.Int("valueBytes", sizes.Values), zap.Int("claimBytes", sizes.Claims))
}

// drawCompactJitter draws the jitter of the next snapshot, up to a quarter of the
// threshold.
func (c *core) drawCompactJitter() {
	c.compactJitter = c.random.IntN(max(c.options.compactBytes, c.snapshotBytes)/4 + 1)
}

// updateView copies the state that handlers read.
func (c *core) updateView() {
	status := c.replica.Status()
	v := view{role: status.Role, ready: status.Ready, heard: status.Heard, replica: status}
	for _, m := range status.Membership.Members {
		if m.Voter {
			v.voters++
		}
		if replicator.ID(m.Id) == status.Leader {
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

// inspect calls f with the applied state, which f must neither change nor keep.
func (c *core) inspect(f func(*applier.State)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.state)
}

// changeSignal returns a channel that is closed at the next revision.
func (c *core) changeSignal() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revisionChanged
}
