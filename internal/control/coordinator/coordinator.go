// Package coordinator runs a control host: it drives the replicated log with a
// journal, a transport and a clock, and serves the Control service.
//
// # Structure
//
// One goroutine, the event loop, owns the replicator and the applied state. A
// second one owns the journal: it takes everything in the disk queue, writes it
// with one sync and then sends the messages that waited for it, so that many
// proposals share a sync. One goroutine per other control host sends messages in
// batches. Handlers of calls pass proposals and reads to the event loop and wait
// for the answer.
//
// # Guarantees
//
// Every control host answers every call; one that isn't the leader forwards the
// call to the leader. A call is answered only when its entry is committed or,
// for reads, when a quorum has confirmed the leader. A proposal whose outcome is
// unknown because the leader changed is proposed again; change IDs and claim
// tokens make this safe. Without a quorum calls fail with Unavailable after
// callTimeout.
//
// A failed write to the data folder is final, unless the disk is full: the
// coordinator stops and calls Settings.Fatal. The process should exit.
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

// Peer is the name and the address (host and port) of a control host.
type Peer struct {
	Name    string
	Address string
}

// Settings configure a control host.
type Settings struct {
	// Name is the name of this host. It must stay the same after a disk loss.
	Name string
	// Address is the host and port at which other control hosts reach it.
	Address string
	// Folder is the path of the data folder.
	Folder string
	// Disk replaces Folder in tests.
	Disk journaler.Folder
	// Centre is the data centre.
	Centre string
	// Peers are the initial voters, including this host. All control hosts must
	// get the same names. When Voters is set, hosts that aren't among the
	// initial voters leave Peers empty.
	Peers []Peer
	// Contacts are control hosts to which a host without a leader introduces
	// itself in order to find the group.
	Contacts []Peer
	// Voters is the number of voters up to which the group admits hosts that
	// introduce themselves. No change is accepted until the group has that
	// many, because a smaller group could lose the change with its disks. 0
	// keeps the initial voters.
	Voters int
	// TLS secures calls to other control hosts; nil means unencrypted calls.
	TLS dialer.TLS
	// Check returns the problems of a configuration document; none means that
	// it is valid.
	Check func([]byte) []string
	// Fatal is called once when the coordinator can't continue. It must return
	// without waiting for Close, which waits for the caller of Fatal.
	Fatal func(error)
	// Retired is called on a host that the group has removed, before its data folder is
	// cleared. It makes sure that the host is no founder at its next start: one that
	// has forgotten what it promised might form a second group.
	Retired func() error
	Clock   clockwork.Clock
	Logger  *zap.Logger
	// Seed seeds the random election timeouts; 0 selects a random seed.
	Seed uint64
	// CompactBytes is the size of the applied entries after which a snapshot is
	// taken; 0 selects the default.
	CompactBytes int
}

const (
	// defaultCompactBytes limits the log that a restart replays.
	defaultCompactBytes = 16 << 20
	// callTimeout limits a call to the Control service that has no earlier
	// deadline.
	callTimeout = 5 * time.Second
	// retryInterval is the delay before a call is retried after the leader
	// changed.
	retryInterval = 20 * time.Millisecond
	// fullDiskRetryInterval is the delay before a write that a full disk
	// refused is retried.
	fullDiskRetryInterval = 100 * time.Millisecond
	// handoverTimeout limits the time that Close waits for another leader.
	handoverTimeout = 2 * time.Second
)

var (
	errNotLeader      = errors.New("this control host is not the leader")
	errOutcomeUnknown = errors.New("the leader changed before the outcome was known")
	errStopped        = errors.New("this control host is stopping")
	errBusy           = errors.New("too many calls are waiting")
	errTooFewVoters   = errors.New("the group does not have all its voters yet")
)

// ErrRetired is passed to Settings.Fatal on a host that the group has removed.
// Its data folder has been cleared, so that it can join again under a new
// identity.
var ErrRetired = errors.New("the group has removed this replica")

// Coordinator is a running control host.
type Coordinator struct {
	settings   Settings
	logger     *zap.Logger
	clock      clockwork.Clock
	core       *core
	queue      eventQueue
	disk       diskQueue
	journal    *journaler.Journal
	transport  *transport
	entryHosts entryHostTable
	sizes      sizeLimits

	group    conc.WaitGroup
	handlers handlerGroup
	// stopped is closed when no further events are handled.
	stopped    chan struct{}
	stopOnce   sync.Once
	failOnce   sync.Once
	closeOnce  sync.Once
	closeError error

	notes noteLimiter
	// retired is set when the group has removed this replica.
	retired atomic.Bool
}

// Open reads the data folder and starts the control host. It returns an error
// when the settings are incomplete or the data folder can't be used.
func Open(s Settings) (*Coordinator, error) {
	if err := completeSettings(&s); err != nil {
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
		journal: j, stopped: make(chan struct{}), sizes: newSizeLimits(),
	}
	c.queue.init()
	c.disk.init()
	c.transport = newTransport(c.logger, s.Name, slices.Concat(s.Contacts, s.Peers), s.TLS, &c.group)
	c.core, err = newCore(s.Clock.Now(), coreOptions{
		replica: replicator.Options{
			Name: s.Name, Address: s.Address, Centre: s.Centre,
			Founders: names(s.Peers), Contacts: names(s.Contacts), Voters: s.Voters, Seed: s.Seed,
		},
		compactBytes: s.CompactBytes,
	}, stored, c)
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	c.logOpened(stored)
	c.group.Go(c.failOnPanic(c.runEvents))
	c.group.Go(c.failOnPanic(c.runDisk))
	return c, nil
}

// completeSettings fills in defaults and returns an error for invalid peers.
func completeSettings(s *Settings) error {
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
	if s.Retired == nil {
		s.Retired = func() error { return nil }
	}
	if s.CompactBytes == 0 {
		s.CompactBytes = defaultCompactBytes
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

// randomNumber returns a random number other than 0.
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
	if s.CutBytes > 0 {
		c.logger.Warn("cut a torn tail from the log", zap.Int("bytes", s.CutBytes))
	}
	c.logger.Info("opened the data folder", fields...)
}

// failOnPanic turns a panic of f into a fatal failure: a control host whose
// event loop has ended must not go on answering calls.
func (c *Coordinator) failOnPanic(f func()) func() {
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

// handle feeds a batch of events to the replica. Messages come before the tick,
// so that replies that waited in the queue count before timeouts are evaluated.
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

// runDisk writes the queued tasks, all that are waiting at a time, until the
// queue is closed.
func (c *Coordinator) runDisk() {
	for {
		tasks, open := c.disk.take()
		if !open {
			c.clearIfRetired()
			return
		}
		sends, saved, err := c.flush(tasks)
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

// flush makes the tasks durable. While the disk is full it retries every
// fullDiskRetryInterval: nothing that isn't on disk is acknowledged, and the
// other control hosts carry on without this one.
func (c *Coordinator) flush(tasks []diskTask) ([]replicator.Send, []replicator.Event, error) {
	for waiting := false; ; waiting = true {
		sends, saved, err := flush(c.journal, tasks)
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
		case <-c.clock.After(fullDiskRetryInterval):
		}
	}
}

// fail stops the coordinator after an unrecoverable failure. Only the first
// failure is reported.
func (c *Coordinator) fail(err error) {
	c.failOnce.Do(func() {
		c.logger.Error("stopping after a fatal failure", zap.Error(err))
		c.stop()
		c.settings.Fatal(err)
	})
}

// stop ends the event loop, the disk goroutine and the transport without
// waiting for them.
func (c *Coordinator) stop() {
	c.stopOnce.Do(func() {
		close(c.stopped)
		c.disk.close()
		c.transport.close()
	})
}

// Close hands over the leadership, stops the control host and waits until all
// its goroutines have ended. ctx limits only the handover, which takes at most
// handoverTimeout. Later calls return the result of the first.
func (c *Coordinator) Close(ctx context.Context) error {
	c.closeOnce.Do(func() {
		c.handOver(ctx)
		c.stop()
		c.handlers.wait()
		c.group.Wait()
		c.closeError = c.journal.Close()
	})
	return c.closeError
}

// handOver hands over the leadership and waits until another control host
// leads. It returns at once on a host that isn't the leader or is the only
// voter.
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

// enqueue adds a task of the core to the disk queue.
func (c *Coordinator) enqueue(task diskTask) { c.disk.add(task) }

// transmit sends a message of the core that needn't wait for the disk.
func (c *Coordinator) transmit(s replicator.Send) { c.transport.send(s) }

// background runs a long computation of the core on another goroutine.
func (c *Coordinator) background(f func() replicator.Event) {
	c.group.Go(c.failOnPanic(func() { c.queue.events(f()) }))
}

// retire stops a replica that the group has removed.
func (c *Coordinator) retire() {
	c.retired.Store(true)
	c.stop()
}

// clearIfRetired clears the data folder of a removed replica. It must run after
// the last write.
func (c *Coordinator) clearIfRetired() {
	if !c.retired.Load() {
		return
	}
	if err := c.settings.Retired(); err != nil {
		c.fail(errors.Join(ErrRetired, err))
		return
	}
	c.fail(errors.Join(ErrRetired, c.journal.Clear()))
}

// SetContacts replaces Settings.Contacts, the control hosts to which this host
// introduces itself while it has no leader.
func (c *Coordinator) SetContacts(contacts []Peer) {
	c.transport.addAddresses(contacts)
	c.queue.events(replicator.SetContacts{Names: names(contacts)})
}

// note logs an event of the core, at most once per noteInterval for each text.
func (c *Coordinator) note(text string, fields ...zap.Field) {
	if c.notes.allow(c.clock.Now(), text) {
		c.logger.Info(text, fields...)
	}
}

// receive queues a message of size bytes from another control host for the event loop.
func (c *Coordinator) receive(m *record.Message, size int) {
	c.transport.learnAddresses(m)
	c.queue.message(m, size)
}

// noteLimiter limits how often the same text is logged.
type noteLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

const (
	noteInterval = 10 * time.Second
	maximumNotes = 256
)

func (l *noteLimiter) allow(now time.Time, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, found := l.last[text]; found && now.Sub(at) < noteInterval {
		return false
	}
	if l.last == nil || len(l.last) >= maximumNotes {
		l.last = map[string]time.Time{}
	}
	l.last[text] = now
	return true
}

// outcome is the result of a proposal: err is set when it was not applied or
// when that isn't known.
type outcome struct {
	result applier.Result
	err    error
}
