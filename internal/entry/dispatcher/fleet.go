package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

const (
	// maxHostsTried bounds the hosts of another cell that are tried for one request.
	maxHostsTried = 3
	// unreachablePause is how long a cell is not tried after all of its hosts failed.
	unreachablePause = time.Second
	// idleLinkTimeout is how long an unused link to another cell stays open, and
	// idleLinkInterval how often links are checked for it.
	idleLinkTimeout  = 30 * time.Second
	idleLinkInterval = 5 * time.Second
)

// errUnreachable means that no host of another cell accepted a link, or that the link
// broke before the answer.
var errUnreachable = errors.New("cell is out of reach")

// Fleet implements Dispatcher over all cells. It asks this host's own cell first, and
// another one when the dispatcher of the own cell names it.
type Fleet struct {
	settings Settings
	cell     *Cell
	cells    Cells

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	// bars are those of upstreams in other cells. rateLimited holds the IDs of upstreams
	// in other cells that have ever named a rate limit.
	bars        bars
	rateLimited sync.Map

	mu      sync.Mutex
	remotes map[registrar.CellName]*remote
}

// remote is another cell. Its lock is held while a link is opened.
type remote struct {
	mu       sync.Mutex
	link     *link
	lastUsed time.Time
	failedAt time.Time
}

// NewFleet returns the dispatcher of a host that works with other cells. It runs until
// Close.
func NewFleet(s Settings, own *Cell, cells Cells) *Fleet {
	f := &Fleet{settings: s, cell: own, cells: cells, remotes: map[registrar.CellName]*remote{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.group.Go(f.closeIdleLinks)
	return f
}

// Close closes the links to other cells. All requests must have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.group.Wait()
	f.each(func(m *remote) { m.closeLink() })
}

// Acquire implements Dispatcher. It sends a request to at most one other cell. When that
// cell grants no slot, the request waits in the queue of this host's own cell.
func (f *Fleet) Acquire(ctx context.Context, r scheduler.Request) (Slot, error) {
	if r.Spilled = f.foreignCell(r.Cell); r.Spilled == "" {
		s, err := f.cell.Acquire(ctx, r)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != scheduler.Elsewhere {
			return s, err
		}
		r.Spilled = refused.Cell
	}
	s, err := f.acquireFrom(ctx, r)
	if err == nil || ctx.Err() != nil || isFinal(err) {
		return s, err
	}
	f.settings.Logger.Info("another cell did not grant a slot",
		zap.String("request", string(r.ID)), zap.String("cell", string(r.Spilled)), zap.Error(err))
	r.Busy = busy(err)
	return f.cell.Acquire(ctx, r)
}

// Permit returns an error when a request must not be sent to the upstream. It always
// allows upstreams of other cells, whose departures are known there.
func (f *Fleet) Permit(u registrar.Upstream) error {
	if u.Cell == "" || f.foreignCell(u.Cell) == "" {
		return f.cell.Permit(u)
	}
	return nil
}

// Notice handles what an upstream said about further requests, and reports it to the
// owner of the upstream's cell. For another cell it does nothing while there is no link
// to it.
func (f *Fleet) Notice(n Notice) {
	if n.Upstream.Cell == "" || f.foreignCell(n.Upstream.Cell) == "" {
		f.cell.Notice(n)
		return
	}
	m := f.remote(n.Upstream.Cell)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link == nil || !m.link.ready() {
		return
	}
	now := f.settings.Clock.Now()
	if e, ok := n.limit(now); ok && f.isNews(e) {
		m.link.limit(e)
	}
	if n.forbidsWork() && f.bars.add(now, n) {
		m.link.setBars(f.bars.unreported(now))
	}
}

// isNews reports whether the owner of another cell needs a report on a rate limit. It
// doesn't need the report that there is none, unless the upstream has named one before.
func (f *Fleet) isNews(e scheduler.Limit) bool {
	if e.Rate > 0 {
		f.rateLimited.Store(e.Upstream, true)
		return true
	}
	_, ok := f.rateLimited.Load(e.Upstream)
	return ok
}

// busy reports whether another cell refused a request for another reason than a lack of
// upstreams. Such a refusal, for want of time or retries, says little about the next
// request: one that has met a crash waits there for an upstream of its own.
func busy(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason != scheduler.NoUpstream
}

// foreignCell returns c, or an empty name when c is this host's own cell. A further
// attempt of a request that was sent to another cell stays with that cell.
func (f *Fleet) foreignCell(c registrar.CellName) registrar.CellName {
	if c == f.settings.Cell {
		return ""
	}
	return c
}

// isFinal reports whether the refusal of another cell holds in every cell.
func isFinal(err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case scheduler.Poisonous, scheduler.PoisonousPart, scheduler.OverLimit:
		return true
	}
	return false
}

// acquireFrom acquires a slot from the cell r.Spilled.
func (f *Fleet) acquireFrom(ctx context.Context, r scheduler.Request) (Slot, error) {
	l, err := f.connect(ctx, r.Spilled)
	if err != nil {
		return nil, err
	}
	r.Origin = boundedID(r.ID)
	r.ID = f.cell.attemptID(r.Origin)
	r.Centre = f.settings.Centre
	t := newTicket(r, f.settings.Clock, l.find, func(scheduler.RequestID) {})
	l.sendCrashes()
	t.move(l)
	select {
	case g := <-t.result:
		if g.refusal != nil {
			return nil, g.refusal
		}
		return g.slot, nil
	case <-ctx.Done():
		if s := t.withdraw(); s != nil {
			s.Release(scheduler.Abandoned, 0)
		}
		return nil, ctx.Err()
	case <-l.broken:
		return f.linkBroken(t)
	}
}

// linkBroken returns the result of a request whose link broke: the answer, if it came
// first, and errUnreachable otherwise.
func (f *Fleet) linkBroken(t *ticket) (Slot, error) {
	select {
	case g := <-t.result:
		if g.refusal != nil {
			return nil, g.refusal
		}
		return g.slot, nil
	default:
	}
	if s := t.withdraw(); s != nil {
		return s, nil
	}
	return nil, fmt.Errorf("wait for a slot: %w", errUnreachable)
}

// connect returns a link to the dispatcher of another cell. It opens one if there is
// none, and returns errUnreachable when no host accepts it or all failed less than
// unreachablePause ago.
func (f *Fleet) connect(ctx context.Context, c registrar.CellName) (*link, error) {
	m := f.remote(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := f.settings.Clock.Now()
	m.lastUsed = now
	if m.link != nil && m.link.ready() {
		return m.link, nil
	}
	m.closeLink()
	if now.Sub(m.failedAt) < unreachablePause {
		return nil, fmt.Errorf("open a link to cell %s: %w", c, errUnreachable)
	}
	for _, address := range f.addresses(c) {
		l := openForeign(f.ctx, f.settings, c, address)
		if waitAccepted(ctx, l) {
			if list := f.bars.unreported(f.settings.Clock.Now()); len(list) > 0 {
				l.setBars(list)
			}
			m.link = l
			return l, nil
		}
		l.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	m.failedAt = f.settings.Clock.Now()
	return nil, fmt.Errorf("open a link to cell %s: %w", c, errUnreachable)
}

// waitAccepted waits until the link is accepted, fails or ctx ends, and reports whether
// it was accepted. A link fails after maxForeignSilence at the latest.
func waitAccepted(ctx context.Context, l *link) bool {
	select {
	case <-l.accepted:
		return true
	case <-l.broken:
	case <-ctx.Done():
	}
	return false
}

// addresses lists at most maxHostsTried hosts of a cell to try, its dispatcher first.
func (f *Fleet) addresses(c registrar.CellName) []string {
	for _, k := range f.cells.Known() {
		if k.Cell == c {
			all := append([]string{k.Dispatcher}, k.Fallbacks...)
			return all[:min(len(all), maxHostsTried)]
		}
	}
	return nil
}

// remote returns the state of another cell, which it creates if needed.
func (f *Fleet) remote(c registrar.CellName) *remote {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.remotes[c]
	if m == nil {
		m = &remote{}
		f.remotes[c] = m
	}
	return m
}

// closeLink closes the link, if any. The caller holds mu.
func (m *remote) closeLink() {
	if m.link != nil {
		m.link.close()
		m.link = nil
	}
}

// each calls do for every other cell, with the lock of that cell held.
func (f *Fleet) each(do func(*remote)) {
	f.mu.Lock()
	var all []*remote
	for _, m := range f.remotes {
		all = append(all, m)
	}
	f.mu.Unlock()
	for _, m := range all {
		m.mu.Lock()
		do(m)
		m.mu.Unlock()
	}
}

// closeIdleLinks closes links that were not used for idleLinkTimeout: on each of them the
// other side sends a message in every heartbeat interval.
func (f *Fleet) closeIdleLinks() {
	t := f.settings.Clock.NewTicker(idleLinkInterval)
	defer t.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-t.Chan():
			f.each(func(m *remote) {
				if m.link != nil && m.link.idle() && f.settings.Clock.Since(m.lastUsed) > idleLinkTimeout {
					m.closeLink()
				}
			})
		}
	}
}
