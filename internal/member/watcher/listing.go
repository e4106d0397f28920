package watcher

import (
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// maxNames bounds the upstreams that a line names; of more it has the number.
const maxNames = 16

// logListing writes a line when an answer changes which upstreams are listed. The view is
// the one from before the answer. Hundreds of hosts write one at the same time, so that it
// is for the level debug.
func (w *Watcher) logListing(now time.Time, before *registrar.View, address string, full bool, actions []registrar.Action) {
	if !w.logger.Core().Enabled(zap.DebugLevel) {
		return
	}
	var listed, left, ended []string
	for _, a := range actions {
		switch a := a.(type) {
		case registrar.Changed:
			if u, ok := before.Upstream(now, a.Upstream.Name); !ok || u.Incarnation != a.Upstream.Incarnation {
				listed = append(listed, string(a.Upstream.Name))
			}
		case registrar.Removed:
			if a.Leaving {
				left = append(left, string(a.UpstreamID))
				continue
			}
			ended = append(ended, string(a.UpstreamID))
		}
	}
	if len(listed)+len(left)+len(ended) == 0 {
		return
	}
	w.logger.Debug("the listed upstreams have changed", zap.String("address", address), zap.Bool("full", full),
		names("listed", listed), names("left", left), names("ended", ended))
}

// names returns a field with the names, or their number.
func names(key string, list []string) zap.Field {
	switch {
	case len(list) == 0:
		return zap.Skip()
	case len(list) > maxNames:
		return zap.Int(key, len(list))
	}
	return zap.Strings(key, list)
}
