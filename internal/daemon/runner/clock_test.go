package runner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// TestSuspensionEndsTheLease guards against a host that was suspended and still treats its
// configuration as confirmed: a key could have been revoked meanwhile.
func TestSuspensionEndsTheLease(t *testing.T) {
	suspended := time.Hour
	fake := clockwork.NewFakeClock()
	clock := newSuspendClock(fake, func() time.Duration { return suspended })
	decode := func([]byte) (*validator.Document, error) { return &validator.Document{}, nil }
	core := follower.NewCore(decode, follower.Faults{})
	confirmed := clock.Now()
	core.Step(confirmed, follower.Offered{Revision: follower.Revision{Number: 1, Digest: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}})
	core.Step(confirmed, follower.Stored{Number: 1})
	core.Step(confirmed, follower.Confirmed{Number: 1, Check: follower.HashDigest("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"), At: confirmed})
	fake.Advance(time.Second)
	assert.Assert(t, core.Fresh(clock.Now()))
	suspended += follower.LeaseDuration
	assert.Assert(t, !core.Fresh(clock.Now()))
	assert.Equal(t, clock.Since(confirmed), follower.LeaseDuration+time.Second)
}

// TestSuspendedTimeStandsStill guards against time that counts as suspended while the
// machine runs.
func TestSuspendedTimeStandsStill(t *testing.T) {
	before := suspendedTime()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, suspendedTime()-before <= suspendResolution)
}
