package receiver_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// TestHedgeOutlivesFirst guards against a hedge that is cancelled, and its
// upstream taken for crashed, because the lease of the first attempt's upstream
// has ended.
func TestHedgeOutlivesFirst(t *testing.T) {
	h := newHarness(t)
	h.dispatcher.hedge = 1
	h.responders[0].Set(responder.Behaviour{First: validator.Duration(time.Hour)})
	h.responders[1].Set(responder.Behaviour{First: validator.Duration(2 * time.Second)})
	var a answer
	var once sync.WaitGroup
	once.Go(func() { a = h.do(http.MethodPost, "/v1/chat/completions", chatBody("a lot", true, "")) })
	eventually(t, "both attempts run", func() bool {
		return h.responders[0].Runs()[responder.Generations] == 1 && h.responders[1].Runs()[responder.Generations] == 1
	})
	close(h.dispatcher.slot(0).gone)
	once.Wait()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.DeepEqual(t, h.dispatcher.outcomes(), []scheduler.Outcome{scheduler.Crashed, scheduler.Completed})
}
