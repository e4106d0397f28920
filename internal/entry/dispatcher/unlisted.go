package dispatcher

import (
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// logUnlisted logs that a scheduler granted a slot at an upstream that is not in this
// host's membership view.
func (c *Cell) logUnlisted(u registrar.Upstream, by registrar.HostName) {
	c.settings.Logger.Info("granted a slot at an upstream that is not in this host's view",
		zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)), zap.String("by", string(by)))
}
