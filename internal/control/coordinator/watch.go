package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// watchHeartbeat is the time between the empty messages of a Watch stream.
	watchHeartbeat = time.Second
	// leaderContactTimeout is how long a control host may go without hearing
	// from the leader before it ends its Watch streams, so that entry hosts
	// switch to another control host.
	leaderContactTimeout = 2 * time.Second
	// maximumEntryHosts limits the table of entry hosts.
	maximumEntryHosts = 2048
	// entryHostRetention is the time after its last report at which an entry
	// host is forgotten.
	entryHostRetention = 10 * time.Minute
)

var errLeaderContactLost = errors.New("this control host has lost contact with the leader")

// Watch streams the revisions after the one in the request. An entry host that
// is further behind than the kept revisions, or than maximumBacklogBytes, gets a
// later one next.
func (s service) Watch(ctx context.Context, q *connect.Request[wire.WatchRequest], out *connect.ServerStream[wire.WatchResponse]) error {
	m := q.Msg
	if err := checkLengths(m.Host, m.Centre); err != nil {
		return err
	}
	c := s.c
	if !c.handlers.enter() {
		return connect.NewError(connect.CodeUnavailable, errStopped)
	}
	defer c.handlers.leave()
	c.entryHosts.record(c.clock.Now(), m.Host, m.Centre, m.Revision)
	ticker := c.clock.NewTicker(watchHeartbeat)
	defer ticker.Stop()
	sent := m.Revision
	for {
		changed := c.core.changeSignal()
		var news []*wire.Revision
		c.core.inspect(func(a *applier.State) { news = a.After(sent) })
		for _, r := range skipBacklog(news) {
			if err := c.sendRevision(ctx, r, out); err != nil {
				return err
			}
			sent = r.Number
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.stopped:
			return connect.NewError(connect.CodeUnavailable, errStopped)
		case <-changed:
		case <-ticker.Chan():
			if !c.hasLeaderContact() {
				return connect.NewError(connect.CodeUnavailable, errLeaderContactLost)
			}
			if err := out.Send(&wire.WatchResponse{}); err != nil {
				return err
			}
		}
	}
}

// hasLeaderContact reports whether this host leads or heard from the leader
// within leaderContactTimeout.
func (c *Coordinator) hasLeaderContact() bool {
	v := c.core.view()
	return v.role == replicator.Leader || c.clock.Since(v.heard) < leaderContactTimeout
}

// entryHostTable holds the last report of each entry host.
type entryHostTable struct {
	mu      sync.Mutex
	reports map[string]entryHostReport
}

// entryHostReport is the revision in force on an entry host, and when it was
// reported.
type entryHostReport struct {
	centre   string
	revision uint64
	at       time.Time
}

// record stores the revision in force on an entry host. A new host is ignored
// while the table is full.
func (t *entryHostTable) record(now time.Time, host, centre string, revision uint64) {
	if host == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]entryHostReport{}
	}
	if _, found := t.reports[host]; !found && len(t.reports) >= maximumEntryHosts {
		t.forget(now)
		if len(t.reports) >= maximumEntryHosts {
			return
		}
	}
	t.reports[host] = entryHostReport{centre: centre, revision: revision, at: now}
}

// forget drops the hosts whose last report is at least entryHostRetention old.
func (t *entryHostTable) forget(now time.Time) {
	for h, r := range t.reports {
		if now.Sub(r.at) >= entryHostRetention {
			delete(t.reports, h)
		}
	}
}

// list returns the entry hosts sorted by name.
func (t *entryHostTable) list(now time.Time) []*wire.Follower {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	l := make([]*wire.Follower, 0, len(t.reports))
	for h, r := range t.reports {
		l = append(l, &wire.Follower{
			Host: h, Centre: r.centre, Revision: r.revision, Age: now.Sub(r.at).Milliseconds(),
		})
	}
	slices.SortFunc(l, func(a, b *wire.Follower) int { return cmp.Compare(a.Host, b.Host) })
	return l
}
