package gossiper

import (
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// logListing logs each action that does more than renew the lease of a listed upstream,
// with the source of the event. before is the view from before the event. Each host logs a
// line per upstream when it starts or is partitioned, so the level is debug.
func (g *Gossiper) logListing(now time.Time, before *registrar.View, e registrar.Event, actions []registrar.Action) {
	if !g.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case registrar.Changed:
			known, listed := before.Upstream(now, a.Upstream.Name)
			if listed && known.Incarnation == a.Upstream.Incarnation {
				continue
			}
			g.log.Debug("upstream added to the view", zap.String("upstream", string(a.Upstream.Name)),
				zap.Uint64("incarnation", uint64(a.Upstream.Incarnation)), zap.Uint64("sequence", a.Upstream.Sequence),
				source(e), zap.Duration("lease", a.Until.Sub(now)))
		case registrar.Removed:
			g.log.Debug("upstream removed from the view", zap.String("upstream", string(a.UpstreamID)),
				zap.Uint64("incarnation", uint64(a.Incarnation)), zap.Bool("leaving", a.Leaving), source(e))
		case registrar.Ignored:
			if a.Reason == registrar.Repeated || a.Reason == registrar.Stalled {
				continue
			}
			g.log.Debug("announcement ignored", zap.String("upstream", string(a.UpstreamID)),
				zap.Uint64("known", uint64(a.Known)), zap.String("reason", string(a.Reason)), source(e))
		}
	}
}

// source returns the log field that names the origin of an event.
func source(e registrar.Event) zap.Field {
	switch e := e.(type) {
	case registrar.Announce:
		return zap.String("by", "upstream")
	case registrar.Merge:
		return zap.String("by", string(e.From))
	case registrar.Restore, registrar.Depart:
		return zap.String("by", "watching host")
	}
	return zap.String("by", "clock")
}
