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
	// watchHeartbeat is the time between messages of a Watch stream.
	watchHeartbeat = time.Second
	// contactTimeout is how long a control host may be without a leader
	// before it ends its Watch streams, so that entry hosts go elsewhere.
	contactTimeout = 2 * time.Second
	// keptFollowers bounds the table of entry hosts.
	keptFollowers = 2048
	// forgottenFollower is the age at which an entry host is forgotten.
	forgottenFollower = 10 * time.Minute
)

var errContact = errors.New("this control host has lost contact with the leader")

// Watch streams revisions. A host that is more than the kept revisions behind
// gets the oldest one kept next.
func (s service) Watch(ctx context.Context, q *connect.Request[wire.WatchRequest], out *connect.ServerStream[wire.WatchResponse]) error {
	m := q.Msg
	if err := bounded(m.Host, m.Centre); err != nil {
		return err
	}
	c := s.c
	if !c.handlers.enter() {
		return connect.NewError(connect.CodeUnavailable, errStopped)
	}
	defer c.handlers.leave()
	c.followers.report(c.clock.Now(), m.Host, m.Centre, m.Revision)
	ticker := c.clock.NewTicker(watchHeartbeat)
	defer ticker.Stop()
	sent := m.Revision
	for {
		changed := c.core.awaitChange()
		var news []*wire.Revision
		c.core.inspect(func(a *applier.State) { news = a.After(sent) })
		for _, r := range news {
			if err := out.Send(&wire.WatchResponse{Revision: r}); err != nil {
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
			if !c.inContact() {
				return connect.NewError(connect.CodeUnavailable, errContact)
			}
			if err := out.Send(&wire.WatchResponse{}); err != nil {
				return err
			}
		}
	}
}

// inContact reports whether this host leads or hears from the leader.
func (c *Coordinator) inContact() bool {
	v := c.core.view()
	return v.role == replicator.Leader || c.clock.Since(v.heard) < contactTimeout
}

// followerTable keeps the last report of each entry host.
type followerTable struct {
	mu      sync.Mutex
	reports map[string]report
}

// report is what an entry host said last.
type report struct {
	centre   string
	revision uint64
	at       time.Time
}

// report notes the revision in force on an entry host.
func (t *followerTable) report(now time.Time, host, centre string, revision uint64) {
	if host == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]report{}
	}
	if _, found := t.reports[host]; !found && len(t.reports) >= keptFollowers {
		t.forget(now)
		if len(t.reports) >= keptFollowers {
			return
		}
	}
	t.reports[host] = report{centre: centre, revision: revision, at: now}
}

// forget drops the hosts that haven't reported for long.
func (t *followerTable) forget(now time.Time) {
	for h, r := range t.reports {
		if now.Sub(r.at) >= forgottenFollower {
			delete(t.reports, h)
		}
	}
}

// list returns the entry hosts in the order of their names.
func (t *followerTable) list(now time.Time) []*wire.Follower {
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
