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
	// reachTries bounds the hosts of a cell that are tried for one request.
	reachTries = 3
	// reachPause is how long a cell is not tried after all of its hosts failed.
	reachPause = time.Second
	// idleTime is how long an unused link to another cell stays open, and
	// idleReview how often links are looked at.
	idleTime   = 30 * time.Second
	idleReview = 5 * time.Second
)

// errUnreachable tells that no host of another cell accepted a link, or that
// the link broke before the answer.
var errUnreachable = errors.New("cell is out of reach")

// Fleet implements Dispatcher over all cells. Its requests go to the own cell
// first, and to another one when the own dispatcher names it.
type Fleet struct {
	settings Settings
	cell     *Cell
	cells    Cells

	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup

	// bars are those of upstreams of other cells, and limited the ones of them that have
	// named a limit.
	bars    bars
	limited sync.Map

	mu      sync.Mutex
	remotes map[registrar.CellName]*remote
}

// remote is another cell. Its lock is held while a link is opened.
type remote struct {
	mu     sync.Mutex
	link   *link
	used   time.Time
	failed time.Time
}

// NewFleet returns the dispatcher of a host that works with other cells.
func NewFleet(s Settings, own *Cell, cells Cells) *Fleet {
	f := &Fleet{settings: s, cell: own, cells: cells, remotes: map[registrar.CellName]*remote{}}
	f.context, f.cancel = context.WithCancel(context.Background())
	f.group.Go(f.review)
	return f
}

// Close closes the links to other cells. Requests must have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.group.Wait()
	f.each(func(m *remote) { m.drop() })
}

// Acquire implements Dispatcher. A request is sent to one other cell only; when
// that cell does not grant it, it waits in its own queue.
func (f *Fleet) Acquire(ctx context.Context, r scheduler.Request) (Slot, error) {
	if r.Spilled = f.foreign(r.Cell); r.Spilled == "" {
		s, err := f.cell.Acquire(ctx, r)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != scheduler.Elsewhere {
			return s, err
		}
		r.Spilled = refused.Cell
	}
	s, err := f.ask(ctx, r)
	if err == nil || ctx.Err() != nil || final(err) {
		return s, err
	}
	f.settings.Logger.Info("another cell did not grant a slot",
		zap.String("request", string(r.ID)), zap.String("cell", string(r.Spilled)), zap.Error(err))
	r.Busy = busy(err)
	return f.cell.Acquire(ctx, r)
}

// Permit tells why a request must not be sent to the upstream, if so. What leaves another
// cell is known there.
func (f *Fleet) Permit(u registrar.Upstream) error {
	if u.Cell == "" || f.foreign(u.Cell) == "" {
		return f.cell.Permit(u)
	}
	return nil
}

// Notice takes what an upstream said about new work. The owner of its cell is told.
func (f *Fleet) Notice(n Notice) {
	if n.Upstream.Cell == "" || f.foreign(n.Upstream.Cell) == "" {
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
	if e, ok := n.limit(now); ok && f.concerns(e) {
		m.link.limit(e)
	}
	if n.bars() && f.bars.add(now, n) {
		m.link.bar(f.bars.all(now))
	}
}

// concerns reports whether a report on a limit is news to the owner of another cell: one
// of an upstream that has never named a limit is not.
func (f *Fleet) concerns(e scheduler.Limit) bool {
	if e.Rate > 0 {
		f.limited.Store(e.Upstream, true)
		return true
	}
	_, ok := f.limited.Load(e.Upstream)
	return ok
}

// busy reports whether another cell refused for want of time or retries, which
// tells little about the next request: one that has met a crash waits there for
// an upstream of its own.
func busy(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason != scheduler.NoUpstream
}

// foreign returns the cell unless it is the own one. A further attempt of a
// request that was sent to another cell stays with that cell.
func (f *Fleet) foreign(c registrar.CellName) registrar.CellName {
	if c == f.settings.Cell {
		return ""
	}
	return c
}

// final reports whether the refusal of another cell holds in every cell.
func final(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && (refused.Reason == scheduler.Poisonous || refused.Reason == scheduler.OverLimit)
}

// ask obtains a slot from another cell.
func (f *Fleet) ask(ctx context.Context, r scheduler.Request) (Slot, error) {
	l, err := f.connect(ctx, r.Spilled)
	if err != nil {
		return nil, err
	}
	r.Origin = identify(r.ID)
	r.ID = f.cell.unique(r.Origin)
	// The own cell has admitted the first attempt; the other cell must not
	// count further ones against its retries.
	r.Moved = r.Retry || r.Emitted > 0
	t := newTicket(r, f.settings.Clock, l.find, func(scheduler.RequestID) {})
	l.introduce()
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
		return f.broken(t)
	}
}

// broken ends a request whose link broke. The answer may have come first.
func (f *Fleet) broken(t *ticket) (Slot, error) {
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

// connect returns a link to the dispatcher of another cell.
func (f *Fleet) connect(ctx context.Context, c registrar.CellName) (*link, error) {
	m := f.remote(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := f.settings.Clock.Now()
	m.used = now
	if m.link != nil && m.link.ready() {
		return m.link, nil
	}
	m.drop()
	if now.Sub(m.failed) < reachPause {
		return nil, fmt.Errorf("open a link to cell %s: %w", c, errUnreachable)
	}
	for _, address := range f.addresses(c) {
		l := openForeign(f.context, f.settings, c, address)
		if accepted(ctx, l) {
			if list := f.bars.all(f.settings.Clock.Now()); len(list) > 0 {
				l.bar(list)
			}
			m.link = l
			return l, nil
		}
		l.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	m.failed = f.settings.Clock.Now()
	return nil, fmt.Errorf("open a link to cell %s: %w", c, errUnreachable)
}

// accepted waits until the link is accepted or fails, at the latest after
// foreignSilence.
func accepted(ctx context.Context, l *link) bool {
	select {
	case <-l.accepted:
		return true
	case <-l.broken:
	case <-ctx.Done():
	}
	return false
}

// addresses lists the hosts of a cell to try, its dispatcher first.
func (f *Fleet) addresses(c registrar.CellName) []string {
	for _, k := range f.cells.Known() {
		if k.Cell == c {
			all := append([]string{k.Dispatcher}, k.Fallbacks...)
			return all[:min(len(all), reachTries)]
		}
	}
	return nil
}

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

// drop closes the link; the lock is held.
func (m *remote) drop() {
	if m.link != nil {
		m.link.close()
		m.link = nil
	}
}

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

// review closes links that nothing has used for a while: each costs the other
// side a message in every beat.
func (f *Fleet) review() {
	t := f.settings.Clock.NewTicker(idleReview)
	defer t.Stop()
	for {
		select {
		case <-f.context.Done():
			return
		case <-t.Chan():
			f.each(func(m *remote) {
				if m.link != nil && m.link.idle() && f.settings.Clock.Since(m.used) > idleTime {
					m.drop()
				}
			})
		}
	}
}
