package dispatcher

import (
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// logUnlisted tells that an upstream is used on the word of a scheduler although this
// host doesn't list it.
func (c *Cell) logUnlisted(u registrar.Upstream, by registrar.HostName) {
	c.settings.Logger.Info("a slot at an upstream that this host does not list",
		zap.String("upstream", string(u.Name)), zap.Uint64("incarnation", uint64(u.Incarnation)), zap.String("by", string(by)))
}
