package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// orphanTime is how long the slots of a host that the membership doesn't list are kept
// after its link broke. A live host opens the next link well before.
const orphanTime = 1500 * time.Millisecond

// listedOrphanTime is the same for a host that the membership lists. Such a host may be out
// of reach and run its requests on, or schedule alone or at another host.
const listedOrphanTime = 15 * time.Second

// Server answers the slot requests of other hosts while this host owns the cell. Its
// Dispatch method implements the Peer service.
type Server struct {
	settings Settings

	// replacing is held while a new link of a host takes over from the last one, so that
	// the slots of the last one always move to a link in use.
	replacing sync.Mutex

	mu sync.Mutex
	// orphans are the requests of each host whose link broke while they held slots. They
	// keep their slots until their host reports again or is gone.
	orphans map[registrar.HostName]orphans
	// orphanedAt is when the last orphan of each host was added.
	orphanedAt map[registrar.HostName]time.Time
	// sessions holds the latest link of each host.
	sessions map[registrar.HostName]*session
}

// orphans holds the slots of requests whose link broke. The host may not have received
// all of these grants.
type orphans map[scheduler.RequestID][]registrar.UpstreamID

// NewServer returns the serving side of a cell. It registers itself with s.Local.
func NewServer(s Settings) *Server {
	n := &Server{
		settings:   s,
		orphans:    map[registrar.HostName]orphans{},
		orphanedAt: map[registrar.HostName]time.Time{},
		sessions:   map[registrar.HostName]*session{},
	}
	s.Local.onNotOwner(n.freeAllOrphans)
	s.Local.onLimitChanged(n.broadcastLimit)
	s.Local.onUnheard(n.unheard)
	s.Local.onOwnershipLost(n.endSessions)
	return n
}

// freeAllOrphans frees the slots kept for hosts with a broken link once this host no
// longer owns the cell: these hosts report to the next owner.
func (s *Server) freeAllOrphans() {
	s.mu.Lock()
	all := s.orphans
	s.orphans = map[registrar.HostName]orphans{}
	s.mu.Unlock()
	for _, kept := range all {
		s.free(kept)
	}
}

// endSessions ends all links once this host no longer owns the cell, so that their hosts
// look for the next owner at once and take their parts of the retry budgets along.
func (s *Server) endSessions() {
	s.mu.Lock()
	all := make([]*session, 0, len(s.sessions))
	for _, n := range s.sessions {
		all = append(all, n)
	}
	s.mu.Unlock()
	for _, n := range all {
		n.end()
	}
}

// free ends the requests, which frees their slots.
func (s *Server) free(kept orphans) {
	for id := range kept {
		s.settings.Local.report(scheduler.Cancel{ID: id})
	}
}

// HostDown frees the slots of a host whose lease has ended.
func (s *Server) HostDown(h registrar.HostName) {
	s.free(s.takeOrphans(h))
}

// takeOrphans removes and returns the orphans of a host.
func (s *Server) takeOrphans(h registrar.HostName) orphans {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.orphans[h]
	delete(s.orphans, h)
	return ids
}

// orphan keeps the slots of a request whose link broke.
func (s *Server) orphan(h registrar.HostName, id scheduler.RequestID, held []registrar.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphans[h] == nil {
		s.orphans[h] = orphans{}
	}
	s.orphans[h][id] = held
	s.orphanedAt[h] = s.settings.Clock.Now()
}

func (s *Server) owns() bool { return s.settings.owns() }

// Owns reports whether this host acts as the owner of the cell.
func (s *Server) Owns() bool { return s.owns() }

// Dispatch serves one link until it ends. It rejects a first message that names no host,
// or another host than the peer's certificate does. On a host that isn't the owner it
// answers that the cell has moved.
func (s *Server) Dispatch(ctx context.Context, stream *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	hello, err := stream.Receive()
	if err != nil {
		return fmt.Errorf("receive hello: %w", err)
	}
	if hello.Host == "" {
		return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("the first message names no host"))
	}
	if name := authenticator.ClientName(ctx, authenticator.Entry); name != "" && name != hello.Host {
		return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("the certificate is that of entry host %s, the message that of %s", name, hello.Host))
	}
	if hello.Doubts {
		s.settings.Local.ownership.doubt(s.settings.Clock.Now(), registrar.HostName(hello.Host), hello.Standby)
	}
	if !s.owns() {
		return stream.Send(&wire.DispatchResponse{Moved: true})
	}
	n := s.begin(registrar.HostName(hello.Host), hello.Cell != "" && registrar.CellName(hello.Cell) != s.settings.Cell)
	s.settings.Local.ownership.confirmLoss(s.settings.Clock.Now())
	n.allowSpill = hello.Roams && !n.foreign
	n.standby = hello.Standby || n.foreign
	n.centre = registrar.DataCentre(hello.Centre)
	defer s.finish(n)
	return n.serve(ctx, stream)
}

// begin starts a session that replaces the host's earlier one, which may not have noticed
// yet that its link is broken.
func (s *Server) begin(h registrar.HostName, foreign bool) *session {
	s.replacing.Lock()
	defer s.replacing.Unlock()
	n := newSession(s, h)
	n.foreign = foreign
	n.noteHeard()
	s.mu.Lock()
	earlier := s.sessions[h]
	s.sessions[h] = n
	s.countLinks()
	s.mu.Unlock()
	if earlier != nil {
		earlier.end()
	}
	n.adopt(s.takeOrphans(h))
	if !foreign {
		n.queueLimits(s.settings.Local.knownLimits()...)
	}
	return n
}

// adopt takes over what the host held on its earlier links. A session may have ended since
// it was listed, for example because the host went down; the slots stay orphans then.
func (n *session) adopt(kept orphans) {
	n.takeMu.Lock()
	defer n.takeMu.Unlock()
	if !n.ended {
		n.orphans = kept
		return
	}
	for id, held := range kept {
		n.server.orphan(n.host, id, held)
	}
}

// finish ends a session whose link ended.
func (s *Server) finish(n *session) {
	n.end()
	s.mu.Lock()
	if s.sessions[n.host] == n {
		delete(s.sessions, n.host)
		s.countLinks()
	}
	s.mu.Unlock()
	// The membership reports when a host that may own a cell is gone. For other hosts,
	// and for one that went down before its link broke, the end of the link is the only
	// sign.
	kept := listedOrphanTime
	if _, alive := s.settings.Membership.Address(n.host); !alive {
		kept = orphanTime
	}
	s.settings.Clock.AfterFunc(kept, func() { s.expireOrphans(n.host, kept) })
}

// expireOrphans frees the slots of a host that has had no link for the given time.
func (s *Server) expireOrphans(h registrar.HostName, kept time.Duration) {
	s.mu.Lock()
	gone := s.sessions[h] == nil && s.settings.Clock.Since(s.orphanedAt[h]) >= kept
	if gone {
		delete(s.orphanedAt, h)
	}
	s.mu.Unlock()
	if gone {
		s.HostDown(h)
	}
}

// session is the owner's end of one link.
type session struct {
	server *Server
	host   registrar.HostName
	// foreign is set for a host of another cell. It does not know this cell's upstreams
	// and has no lease here; its slots are freed orphanTime after its link breaks.
	foreign bool
	// allowSpill is set when the host can send its requests to other cells.
	allowSpill bool
	// standby is set when the host has to notice soon that this one is lost.
	standby bool
	// centre is the data centre of the host.
	centre registrar.DataCentre

	// takeMu orders the host's messages and the end of the session.
	takeMu  sync.Mutex
	orphans orphans
	ended   bool
	// done is closed at the end of the session. The host is then told to open a new link:
	// first messages can arrive out of order, so the link that the host uses may be the
	// replaced one.
	done chan struct{}

	mu sync.Mutex
	// open holds the requests of the host, and whether each of them waits; waiting counts
	// those that do.
	open    map[scheduler.RequestID]bool
	waiting int
	pending *wire.DispatchResponse
	// limits are sent with pending. Their ages count up to when they are sent.
	limits []scheduler.Limit
	// told is the host's part of the retry budgets, as it was last told.
	told map[validator.PoolName]float64
	// clockTold is when the host was last told the time of day.
	clockTold time.Time
	// heardAt is when the last message of the host arrived.
	heardAt atomic.Pointer[time.Time]
	// queued counts the answers in pending. overflowed is set once an answer was dropped
	// because there were too many.
	queued     int
	overflowed bool
	wake       chan struct{}
}

func newSession(s *Server, h registrar.HostName) *session {
	return &session{
		server:  s,
		host:    h,
		done:    make(chan struct{}),
		open:    map[scheduler.RequestID]bool{},
		pending: &wire.DispatchResponse{},
		told:    map[validator.PoolName]float64{},
		wake:    make(chan struct{}, 1),
	}
}

// noteHeard records that a message of the host has arrived.
func (n *session) noteHeard() {
	now := n.clock().Now()
	n.heardAt.Store(&now)
}

func (n *session) serve(ctx context.Context, stream *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	g := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	g.Go(func(ctx context.Context) error { return n.write(ctx, stream) })
	g.Go(func(context.Context) error { return n.read(stream) })
	return g.Wait()
}

// errLinkEnded stops the writer when the reader has ended.
var errLinkEnded = connect.NewError(connect.CodeUnavailable, fmt.Errorf("link ended"))

func (n *session) read(stream *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	for {
		m, err := stream.Receive()
		if err != nil {
			return errLinkEnded
		}
		n.noteHeard()
		n.take(m)
		now := n.clock().Now()
		n.server.settings.Local.lag.add(now, now.Sub(*n.heardAt.Load()))
	}
}

func (n *session) write(ctx context.Context, stream *connect.BidiStream[wire.DispatchRequest, wire.DispatchResponse]) error {
	beat := n.clock().NewTimer(n.heartbeat())
	defer beat.Stop()
	for {
		if !n.server.owns() || n.full() {
			n.end()
			return stream.Send(&wire.DispatchResponse{Moved: true})
		}
		if err := stream.Send(n.addCrashes(n.batch())); err != nil {
			return fmt.Errorf("send grants: %w", err)
		}
		beat.Reset(n.heartbeat())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return stream.Send(&wire.DispatchResponse{Moved: true})
		case <-n.wake:
		case <-beat.Chan():
		}
	}
}

// heartbeat is the longest time without a message to the host. A host that has no request
// here need not notice soon that this one is lost.
func (n *session) heartbeat() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.standby || n.waiting > 0:
		return heartbeatInterval
	case len(n.open) > 0:
		return heldHeartbeat
	}
	return idleHeartbeat
}

func (n *session) clock() clockwork.Clock { return n.server.settings.Clock }

// batch removes and returns the next message to the host.
func (n *session) batch() *wire.DispatchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.pending
	now := n.clock().Now()
	m.Limits = encodeLimits(n.limits, now)
	m.Lag = uint32(n.server.settings.Local.lag.value(now).Milliseconds())
	m.Retries = n.newShares()
	n.addClock(m)
	n.pending, n.limits = &wire.DispatchResponse{}, nil
	n.queued = 0
	return m
}

// addCrashes adds the known crashes to a message whose refusals need them: those that
// send the request to another cell, and for the other hosts of a foreign cell those of a
// request that crashes upstreams.
func (n *session) addCrashes(m *wire.DispatchResponse) *wire.DispatchResponse {
	for _, r := range m.Refusals {
		reason := scheduler.Reason(r.Reason)
		crashes := reason == scheduler.Poisonous || reason == scheduler.PoisonousPart
		if reason == scheduler.Elsewhere || crashes && n.foreign {
			m.Fingerprints = EncodeCrashes(n.server.settings.Local.Crashes(), n.clock().Now())
			break
		}
	}
	return m
}

// take handles a message of the host. It ignores messages after the end or an overflow.
func (n *session) take(m *wire.DispatchRequest) {
	n.takeMu.Lock()
	defer n.takeMu.Unlock()
	if n.ended || n.full() {
		return
	}
	now := n.clock().Now()
	if len(m.Fingerprints) > 0 {
		n.server.settings.Local.Learn(DecodeCrashes(m.Fingerprints, now))
	}
	n.server.settings.Local.setBars(decodeBars(n.host, m.Bars))
	n.recordLimits(m.Limits, now)
	n.takeUsage(m)
	if !n.foreign {
		n.server.settings.Local.deposit(decodeRepeats(m.Retries))
	}
	for _, r := range m.Submits {
		n.submit(r, now)
	}
	if m.Complete {
		n.freeUnconfirmed()
		if !n.foreign {
			n.server.settings.Local.ownership.report(n.host)
		}
	}
	for _, p := range m.Progress {
		n.progress(p)
	}
}

// submit handles a submission, of a request that waits or one that holds a slot already.
func (n *session) submit(m *wire.SlotRequest, now time.Time) {
	r := decodeRequest(m, now)
	r.Host, r.Centre = n.host, n.centre
	if !n.allowSpill && r.Spilled == "" {
		r.Spilled = n.server.settings.Cell
	}
	n.track(r.ID, m.Held == "")
	l := n.server.settings.Local
	if m.Held == "" {
		n.freeLostGrants(r.ID)
		l.submit(r, n.notify)
		n.wakeIfWaiting(r.ID)
		return
	}
	n.confirmSlot(r.ID, registrar.UpstreamID(m.Held))
	l.adopt(r, decodeHolding(m, now), n.notify)
}

// freeLostGrants frees the orphaned slots of a request that waits at its host: their
// grants were lost with the last link.
func (n *session) freeLostGrants(id scheduler.RequestID) {
	if _, ok := n.orphans[id]; ok {
		delete(n.orphans, id)
		n.server.settings.Local.report(scheduler.Cancel{ID: id})
	}
}

// confirmSlot keeps an orphaned slot that the host reports as held.
func (n *session) confirmSlot(id scheduler.RequestID, u registrar.UpstreamID) {
	held, ok := n.orphans[id]
	if !ok {
		return
	}
	held = slices.DeleteFunc(held, func(h registrar.UpstreamID) bool { return h == u })
	if n.orphans[id] = held; len(held) == 0 {
		delete(n.orphans, id)
	}
}

// freeUnconfirmed frees the remaining orphaned slots: those that the host released while
// its link was broken and those whose grants it never received.
func (n *session) freeUnconfirmed() {
	for id, held := range n.orphans {
		for _, u := range held {
			n.server.settings.Local.report(scheduler.Finished{ID: id, Upstream: u, Outcome: scheduler.Abandoned})
		}
	}
	n.orphans = nil
}

// progress handles a report on a slot. It ignores unknown kinds.
func (n *session) progress(m *wire.SlotProgress) {
	e := decodeProgress(m)
	if e == nil {
		return
	}
	if c, ok := e.(scheduler.Cancel); ok {
		n.untrack(c.ID)
	}
	n.server.settings.Local.report(e)
}

// track records an open request of the host.
func (n *session) track(id scheduler.RequestID, waits bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered(id)
	n.open[id] = waits
	if waits {
		n.waiting++
	}
}

// answered records that a request no longer waits. The caller holds mu.
func (n *session) answered(id scheduler.RequestID) {
	if n.open[id] {
		n.open[id] = false
		n.waiting--
	}
}

func (n *session) untrack(id scheduler.RequestID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered(id)
	delete(n.open, id)
}

// wakeIfWaiting makes the writer send more often for a request that got no answer at
// once, if it is the only one that waits.
func (n *session) wakeIfWaiting(id scheduler.RequestID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open[id] && n.waiting == 1 {
		n.signal()
	}
}

// signal wakes the writer.
func (n *session) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// full reports whether the host reads its answers too slowly. The session then ends, and
// the host submits again what was not answered.
func (n *session) full() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overflowed
}

// notify is the sink of the host's requests. A host that no longer owns the cell grants
// nothing: its hosts report their requests to the next owner.
func (n *session) notify(a scheduler.Action) bool {
	if !n.server.owns() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch a := a.(type) {
	case scheduler.Grant:
		n.answered(a.ID)
	case scheduler.Refuse:
		n.answered(a.ID)
		delete(n.open, a.ID)
	}
	if n.queued >= maxQueued {
		n.overflowed = true
		return false
	}
	n.queued++
	appendAction(n.pending, a)
	n.addLocation(n.pending)
	n.signal()
	return true
}

// addLocation adds the address and incarnation to the last grant: the requesting host may
// not have heard of the upstream yet, or may have heard already that it is leaving.
func (n *session) addLocation(m *wire.DispatchResponse) {
	if len(m.Grants) == 0 {
		return
	}
	g := m.Grants[len(m.Grants)-1]
	if u, ok := n.server.settings.Local.upstream(registrar.UpstreamID(g.Upstream)); ok {
		g.Address, g.Incarnation = u.Address, uint64(u.Incarnation)
	}
}

// end withdraws the host's waiting requests and keeps its slots as orphans until the host
// reports again or is gone, which means that its lease has ended, or that orphanTime has
// passed if the membership doesn't list it.
func (n *session) end() {
	n.takeMu.Lock()
	defer n.takeMu.Unlock()
	if n.ended {
		return
	}
	n.ended = true
	close(n.done)
	n.mu.Lock()
	ids := n.open
	n.open, n.waiting = map[scheduler.RequestID]bool{}, 0
	told := listRepeats(n.told)
	clear(n.told)
	n.mu.Unlock()
	n.server.settings.Local.withdraw(told)
	for id, held := range n.orphans {
		n.server.orphan(n.host, id, held)
	}
	for id := range ids {
		if held := n.server.settings.Local.detach(id); len(held) > 0 {
			n.server.orphan(n.host, id, held)
		}
	}
}
