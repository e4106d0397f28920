package watcher

import (
	"time"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// maxNames bounds the upstreams that a log line names. Of more, only the number is logged.
const maxNames = 16

// logListing logs which upstreams a response added to or removed from the view. before is
// the view from before the response. Hundreds of hosts log this at the same time, so the
// level is debug.
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
	w.logger.Debug("the upstreams of the view changed", zap.String("address", address), zap.Bool("full", full),
		names("listed", listed), names("left", left), names("ended", ended))
}

// names returns a log field with the names, or with their number if there are more than
// maxNames. It is skipped if there are none.
func names(key string, list []string) zap.Field {
	switch {
	case len(list) == 0:
		return zap.Skip()
	case len(list) > maxNames:
		return zap.Int(key, len(list))
	}
	return zap.Strings(key, list)
}
