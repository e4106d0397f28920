package watcher

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// Announcements returns an HTTP handler that forwards announcements of upstreams to the
// followed host.
func (w *Watcher) Announcements() http.Handler {
	return gossiper.NewAnnouncements(w.announce, w.options.SecureUpstreams, w.logger)
}

// announce forwards an announcement to the followed host and returns its response.
func (w *Watcher) announce(ctx context.Context, u registrar.Upstream) (int, gossiper.Reply) {
	w.mu.Lock()
	address := w.source.address
	w.mu.Unlock()
	unreachable := gossiper.Reply{Reason: "no host that takes announcements can be reached"}
	if address == "" {
		return http.StatusServiceUnavailable, unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, briefTimeout)
	defer cancel()
	q := &wire.AnnounceRequest{Host: string(w.self.Name), Upstream: gossiper.EncodeUpstream(registrar.RelayedAnnouncement{Upstream: u})}
	a, err := w.caller.Announce(ctx, address, q)
	if err != nil {
		w.logger.Warn("could not forward an announcement", zap.String("upstream", string(u.Name)), zap.String("address", address), zap.Error(err))
		return http.StatusServiceUnavailable, unreachable
	}
	return int(a.GetStatus()), gossiper.Reply{Accepted: a.GetAccepted(), Reason: a.GetReason(), Known: registrar.Incarnation(a.GetKnown())}
}
