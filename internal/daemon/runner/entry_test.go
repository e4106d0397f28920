package runner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// TestStandby guards against a host that becomes owner of the cell before it knows the
// upstreams: it would refuse the requests that the other hosts send it.
func TestStandby(t *testing.T) {
	v, err := StartDev(t.TempDir(), "127.0.0.1:0", zap.NewNop())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	defer func() { assert.NilError(t, v.Close(ctx)) }()
	first := v.entry.gossiper
	for i, name := range []registrar.HostName{"a", "b", "c", "d"} {
		peers, err := freeAddress()
		assert.NilError(t, err)
		s := loader.Default()
		s.Name, s.Centre, s.Roles = name, "local", []loader.Role{loader.Entry}
		s.Peers, s.Advertise, s.Seeds = peers, peers, []string{v.settings.Advertise}
		s.Callers, s.Admin, s.Control = "127.0.0.1:0", "127.0.0.1:0", v.settings.Control
		d, err := Start(s, WithNotice(0))
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			h, ok := first.Snapshot().Host(name)
			switch {
			case !ok:
				return poll.Continue("%s is not known yet", name)
			case !h.Draining:
				return poll.Error(fmt.Errorf("%s offered itself with its first news", name))
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if h, _ := first.Snapshot().Host(name); h.Draining {
				return poll.Continue("%s has not offered itself", name)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(time.Minute))
		assert.Equal(t, len(d.entry.gossiper.Snapshot().Upstreams(time.Now())), len(v.stubs), "host %d", i)
		assert.NilError(t, d.Close(ctx))
	}
}
