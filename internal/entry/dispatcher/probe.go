package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// probeInterval is the time between two tries of an acting owner to reach the owner.
const probeInterval = 250 * time.Millisecond

// probeOwner tries to reach the owner of the membership while this host acts for it, and
// ends that when the owner accepts a link: it is not gone, and two would grant the same
// slots.
func (f *ownerTracker) probeOwner(ctx context.Context) {
	s := f.cell.settings
	owner, ok := s.Membership.Owner(s.Cell)
	if !f.owning || !ok || owner == s.Host {
		f.stopProbe()
		return
	}
	now := s.Clock.Now()
	switch {
	case f.probe == nil && now.Before(f.probeAt):
	case f.probe == nil:
		f.probeAt = now.Add(probeInterval)
		if address, ok := s.Membership.Address(owner); ok {
			f.probe = openLink(ctx, s, owner, address)
		}
	case f.probe.ready():
		if s.Local.ownership.ownerHeard(now, owner) {
			s.Logger.Info("the owner of the cell answers again; this host no longer acts for it", zap.String("owner", string(owner)))
		}
		f.stopProbe()
	case f.probe.ended():
		f.stopProbe()
	}
}

// stopProbe ends the probe of the owner, if there is one.
func (f *ownerTracker) stopProbe() {
	if f.probe == nil {
		return
	}
	f.probe.stop()
	f.cell.group.Go(f.probe.close)
	f.probe = nil
}

// ended reports whether the link has failed.
func (l *link) ended() bool {
	select {
	case <-l.broken:
		return true
	default:
		return false
	}
}
