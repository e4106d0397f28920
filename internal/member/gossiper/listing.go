package gossiper

import (
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// logListing writes a line for each decision on an upstream that is more than a renewal
// of its lease: what was said, by whom, and what came of it. The view is the one from
// before the event. Each host writes one for each upstream when it starts or is parted, so
// that they are for the level debug.
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
			g.log.Debug("an upstream is listed", zap.String("upstream", string(a.Upstream.Name)),
				zap.Uint64("incarnation", uint64(a.Upstream.Incarnation)), zap.Uint64("sequence", a.Upstream.Sequence),
				source(e), zap.Duration("lease", a.Until.Sub(now)))
		case registrar.Removed:
			g.log.Debug("an upstream is listed no longer", zap.String("upstream", string(a.UpstreamID)),
				zap.Uint64("incarnation", uint64(a.Incarnation)), zap.Bool("leaving", a.Leaving), source(e))
		case registrar.Ignored:
			if a.Reason == registrar.Repeated || a.Reason == registrar.Stalled {
				continue
			}
			g.log.Debug("an announcement is ignored", zap.String("upstream", string(a.UpstreamID)),
				zap.Uint64("known", uint64(a.Known)), zap.String("reason", string(a.Reason)), source(e))
		}
	}
}

// source tells from whom an event comes.
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
