// Package coordinator runs a control host: it drives the replicated log with a
// journal, a transport and a clock, and serves the Control service.
//
// # Structure
//
// One goroutine owns the replicator and the applied state (the event loop).
// Another one owns the journal: it takes everything that is queued, writes it
// with one sync, then sends the messages that waited for it, so that many
// proposals share a sync. A goroutine for each other control host sends
// messages in batches. Handlers hand proposals and reads to the event loop and
// wait for the answer.
//
// # Guarantees
//
// Any control host answers any call; one that isn't the leader forwards calls
// to the leader. A call is answered only when its entry is committed, or for
// reads when a quorum has confirmed the leader. A proposal whose outcome is
// unknown, because the leader changed, is proposed again: change IDs and claim
// tokens make this safe. Without a quorum calls fail with Unavailable after
// callTimeout.
//
// A failed write to the data folder is final: the coordinator stops and calls
// Settings.Fatal. The process should exit.
//
// # Usage
//
//	c, err := coordinator.Open(coordinator.Settings{
//		Name: "control-1", Address: "10.0.0.1:7070", Folder: "/var/lib/amaranth",
//		Peers: peers, Clock: clockwork.NewRealClock(), Logger: logger,
//	})
//	path, handler := c.Handler()
//	mux.Handle(path, handler)
//	// serve mux over HTTP/2 without TLS
//	err = c.Close(ctx)
package coordinator

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

// Peer is a control host.
type Peer struct {
	Name    string
	Address string
}

// Settings configure a control host.
type Settings struct {
	// Name is the name of this host, the same after it lost its disk.
	Name string
	// Address is the host and port at which other control hosts reach it.
	Address string
	// Folder is the path of the data folder.
	Folder string
	// Disk replaces Folder in tests.
	Disk journaler.Folder
	// Centre is the data centre.
	Centre string
	// Peers are the initial voters, including this host. All control hosts
	// must be given the same names. With Voters a host that is no founder has
	// none.
	Peers []Peer
	// Contacts are control hosts that a host without a leader asks for the
	// group.
	Contacts []Peer
	// Voters is the number of voters that the group grows to by taking in hosts
	// that introduce themselves. Until it has them, no change is accepted,
	// since a smaller group could lose it with its disks. 0 keeps the founders.
	Voters int
	// TLS protects calls to other control hosts; nil means without.
	TLS dialer.TLS
	// Check returns the problems of a configuration document.
	Check func([]byte) []string
	// Fatal is called once when the coordinator can't go on. It must return
	// without waiting for Close, which waits for the caller of Fatal.
	Fatal  func(error)
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Seed randomises election timeouts; 0 takes a random one.
	Seed uint64
	// Compact is the size of the log after which a snapshot is taken; 0 takes
	// the default.
	Compact int
}

const (
	// defaultCompact bounds the log that a restart replays.
	defaultCompact = 16 << 20
	// callTimeout bounds a call to the Control service without an earlier
	// deadline of its own.
	callTimeout = 5 * time.Second
	// retryInterval is the wait before a call is tried again after the leader
	// changed.
	retryInterval = 20 * time.Millisecond
	// fullInterval is the wait before a write that a full disk refused is tried
	// again.
	fullInterval = 100 * time.Millisecond
	// handoverTimeout bounds the wait for another leader at Close.
	handoverTimeout = 2 * time.Second
)

var (
	errNotLeader = errors.New("this control host is not the leader")
	errUnknown   = errors.New("the leader changed before the outcome was known")
	errStopped   = errors.New("this control host is stopping")
	errBusy      = errors.New("too many calls are waiting")
	errSmall     = errors.New("the group does not have all its voters yet")
)

// ErrRetired is the reason for stopping on a host that the group has removed.
// Its data folder has been cleared, so that it can join anew.
var ErrRetired = errors.New("the group has removed this replica")

// Coordinator is a running control host.
type Coordinator struct {
	settings  Settings
	logger    *zap.Logger
	clock     clockwork.Clock
	core      *core
	queue     eventQueue
	disk      diskQueue
	journal   *journaler.Journal
	transport *transport
	followers followerTable

	group    conc.WaitGroup
	handlers handlerGroup
	// stopped is closed when no further event is handled.
	stopped  chan struct{}
	stopOnce sync.Once
	failOnce sync.Once
	closing  sync.Once
	closed   error

	notes noteLimiter
	// retired is set when the group has removed this replica.
	retired atomic.Bool
}

// Open reads the data folder and starts the control host.
func Open(s Settings) (*Coordinator, error) {
	if err := complete(&s); err != nil {
		return nil, err
	}
	folder := s.Disk
	if folder == nil {
		d, err := journaler.OpenDirectory(s.Folder)
		if err != nil {
			return nil, err
		}
		folder = d
	}
	j, stored, err := journaler.Open(folder, s.Name, randomNumber)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	c := &Coordinator{
		settings: s, clock: s.Clock, logger: s.Logger.Named("coordinator"),
		journal: j, stopped: make(chan struct{}),
	}
	c.queue.init()
	c.disk.init()
	c.transport = newTransport(c.logger, s.Name, slices.Concat(s.Contacts, s.Peers), s.TLS, &c.group)
	c.core, err = newCore(s.Clock.Now(), coreOptions{
		replica: replicator.Options{
			Name: s.Name, Address: s.Address, Centre: s.Centre,
			Founders: names(s.Peers), Contacts: names(s.Contacts), Voters: s.Voters, Seed: s.Seed,
		},
		compact: s.Compact,
	}, stored, c)
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	c.logOpened(stored)
	c.group.Go(c.guard(c.runEvents))
	c.group.Go(c.guard(c.runDisk))
	return c, nil
}

// complete fills in defaults and refuses settings that can't work.
func complete(s *Settings) error {
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	if s.Check == nil {
		s.Check = func([]byte) []string { return nil }
	}
	if s.Fatal == nil {
		s.Fatal = func(error) {}
	}
	if s.Compact == 0 {
		s.Compact = defaultCompact
	}
	if s.Seed == 0 {
		s.Seed = randomNumber()
	}
	seen := map[string]bool{}
	for _, p := range s.Peers {
		if p.Name == "" || p.Address == "" || seen[p.Name] {
			return fmt.Errorf("control host %q: each peer needs its own name and an address", p.Name)
		}
		seen[p.Name] = true
	}
	if !seen[s.Name] && s.Voters == 0 {
		return fmt.Errorf("control host %q is not among the peers", s.Name)
	}
	return nil
}

func names(peers []Peer) []string {
	l := make([]string, 0, len(peers))
	for _, p := range peers {
		l = append(l, p.Name)
	}
	return l
}

// randomNumber returns a random number that isn't zero.
func randomNumber() uint64 {
	for {
		var b [8]byte
		// Read never returns an error.
		_, _ = crand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

func (c *Coordinator) logOpened(s *journaler.Stored) {
	fields := []zap.Field{
		zap.Uint64("id", s.Vote.Id), zap.Uint64("group", s.Vote.Group),
		zap.Uint64("term", s.Vote.Term), zap.Int("entries", len(s.Entries)),
	}
	if s.Snapshot != nil {
		fields = append(fields, zap.Uint64("snapshot", s.Snapshot.Index))
	}
	if s.Cut > 0 {
		c.logger.Warn("cut a torn tail from the log", zap.Int("bytes", s.Cut))
	}
	c.logger.Info("opened the data folder", fields...)
}

// guard turns a panic into a fatal failure: a control host whose event loop is
// gone must not keep answering.
func (c *Coordinator) guard(f func()) func() {
	return func() {
		defer func() {
			if p := recover(); p != nil {
				c.fail(fmt.Errorf("panic: %v\n%s", p, debug.Stack()))
			}
		}()
		f()
	}
}

// runEvents is the event loop.
func (c *Coordinator) runEvents() {
	ticker := c.clock.NewTicker(replicator.TickInterval)
	defer ticker.Stop()
	for {
		tick := false
		select {
		case <-c.stopped:
			c.core.failPending(errStopped)
			c.queue.close(errStopped)
			return
		case <-c.queue.wake:
		case <-ticker.Chan():
			tick = true
		}
		c.handle(c.queue.take(), tick)
	}
}

// handle feeds a batch of events to the replica. Messages come before the
// tick, so that answers that waited in the queue count before timeouts do.
func (c *Coordinator) handle(b batch, tick bool) {
	now := c.clock.Now()
	for _, e := range b.events {
		c.core.step(now, e)
	}
	if len(b.proposals) > 0 {
		c.core.propose(now, b.proposals)
	}
	for _, r := range b.reads {
		c.core.read(now, r)
	}
	if tick {
		c.core.step(now, replicator.Tick{})
	}
}

// runDisk writes what is queued, as much at a time as there is.
func (c *Coordinator) runDisk() {
	for {
		w, open := c.disk.take()
		if !open {
			c.clearRetired()
			return
		}
		sends, saved, err := c.flush(w)
		if err != nil {
			c.fail(err)
			return
		}
		for _, s := range sends {
			c.transport.send(s)
		}
		c.queue.events(saved...)
	}
}

// flush makes the work durable. While the disk is full it waits: nothing that is
// not on disk is acknowledged, and the other control hosts go on without this one.
func (c *Coordinator) flush(w []work) ([]replicator.Send, []replicator.Event, error) {
	for waiting := false; ; waiting = true {
		sends, saved, err := flush(c.journal, w)
		if !errors.Is(err, journaler.ErrFull) {
			if waiting {
				c.logger.Info("the disk has room again", zap.Error(err))
			}
			return sends, saved, err
		}
		if !waiting {
			c.logger.Error("the disk is full; waiting for room", zap.Error(err))
		}
		select {
		case <-c.stopped:
			return nil, nil, err
		case <-c.clock.After(fullInterval):
		}
	}
}

// fail stops the coordinator after a failure that can't be retried.
func (c *Coordinator) fail(err error) {
	c.failOnce.Do(func() {
		c.logger.Error("stopping after a fatal failure", zap.Error(err))
		c.stop()
		c.settings.Fatal(err)
	})
}

// stop ends the loops.
func (c *Coordinator) stop() {
	c.stopOnce.Do(func() {
		close(c.stopped)
		c.disk.close()
		c.transport.close()
	})
}

// Close hands leadership over, stops the control host and waits until all its
// goroutines have ended.
func (c *Coordinator) Close(ctx context.Context) error {
	c.closing.Do(func() {
		c.handOver(ctx)
		c.stop()
		c.handlers.wait()
		c.group.Wait()
		c.closed = c.journal.Close()
	})
	return c.closed
}

// handOver waits until another control host leads, if there is one.
func (c *Coordinator) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		v := c.core.view()
		if v.role != replicator.Leader || v.voters < 2 {
			return
		}
		c.queue.events(replicator.TransferLeadership{})
		select {
		case <-ctx.Done():
			c.logger.Warn("no other control host took over the leadership")
			return
		case <-c.stopped:
			return
		case <-time.After(retryInterval):
		}
	}
}

// enqueue is called by the core for work that needs the disk.
func (c *Coordinator) enqueue(w work) { c.disk.add(w) }

// transmit is called by the core for messages that need no disk.
func (c *Coordinator) transmit(s replicator.Send) { c.transport.send(s) }

// background is called by the core for work that takes long.
func (c *Coordinator) background(f func() replicator.Event) {
	c.group.Go(c.guard(func() { c.queue.events(f()) }))
}

// retire is called by the core when the group has removed this replica.
func (c *Coordinator) retire() {
	c.retired.Store(true)
	c.stop()
}

// clearRetired empties the data folder of a removed replica. It runs after the
// last write.
func (c *Coordinator) clearRetired() {
	if !c.retired.Load() {
		return
	}
	c.fail(errors.Join(ErrRetired, c.journal.Clear()))
}

// SetContacts replaces the contacts of a host that has no leader.
func (c *Coordinator) SetContacts(contacts []Peer) {
	c.transport.add(contacts)
	c.queue.events(replicator.SetContacts{Names: names(contacts)})
}

// note is called by the core for events worth a line in the log.
func (c *Coordinator) note(text string, fields ...zap.Field) {
	if c.notes.allow(c.clock.Now(), text) {
		c.logger.Info(text, fields...)
	}
}

// receive queues messages from another control host.
func (c *Coordinator) receive(m *record.Message) {
	c.transport.learn(m)
	c.queue.message(m)
}

// noteLimiter keeps repeated notes from filling the log.
type noteLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

const (
	noteInterval = 10 * time.Second
	keptNotes    = 256
)

func (l *noteLimiter) allow(now time.Time, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, found := l.last[text]; found && now.Sub(at) < noteInterval {
		return false
	}
	if l.last == nil || len(l.last) >= keptNotes {
		l.last = map[string]time.Time{}
	}
	l.last[text] = now
	return true
}

// outcome is the answer to a proposal.
type outcome struct {
	result applier.Result
	err    error
}
