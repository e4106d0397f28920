package receiver_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their requests.
func TestMain(m *testing.M) {
	// go-metrics keeps one goroutine for all meters of a process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
