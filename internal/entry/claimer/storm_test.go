package claimer

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// failingClient counts the calls, which all fail at once.
type failingClient struct{ calls atomic.Int64 }

func (f *failingClient) Do(*http.Request) (*http.Response, error) {
	f.calls.Add(1)
	return nil, errors.New("no way to the control host")
}

// TestFailingClaimsAreNoStorm guards against calls that keep control hosts late: a claim
// that failed was tried again after 50 ms each time, 60 times in its time limit.
func TestFailingClaimsAreNoStorm(t *testing.T) {
	client := &failingClient{}
	c := New(Options{Addresses: []string{"control:1"}, Client: client})
	_, err := c.claim(t.Context(), &wire.ClaimRequest{})
	assert.Assert(t, errors.Is(err, ErrNoQuorum))
	most := int64(claimTimeout/maxRetryInterval) * 2
	assert.Assert(t, client.calls.Load() <= most, "%d calls; at most %d are allowed", client.calls.Load(), most)
	assert.NilError(t, c.Close())
}
