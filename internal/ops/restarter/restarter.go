// Package restarter restarts the long-lived loops of a process when they panic.
//
// A panic in a goroutine of a conc.WaitGroup ends that loop and is reported only when the
// group is waited for, so the process goes on without the loop. This package logs the
// panic with its stack and restarts the loop after a pause.
//
// # Usage
//
//	r := restarter.New(logger, clock)
//	group.Go(func() { r.Run(ctx, "review", review) })
package restarter

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Pause is the delay before a loop is restarted.
const Pause = 100 * time.Millisecond

// Restarter runs loops and recovers from their panics.
type Restarter struct {
	logger *zap.Logger
	clock  clockwork.Clock
}

// New returns a Restarter that logs to the logger.
func New(l *zap.Logger, c clockwork.Clock) Restarter { return Restarter{logger: l, clock: c} }

// Run calls the loop, and again after each panic until the context ends. It returns when
// the loop returns. The name appears in the log.
func (r Restarter) Run(ctx context.Context, name string, loop func()) {
	for !r.Contain(name, loop) {
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(Pause):
		}
	}
}

// Contain calls f and reports whether it returned normally. It recovers from a panic in f
// and logs it under the name; f must release its locks by defer.
func (r Restarter) Contain(name string, f func()) (returned bool) {
	defer func() {
		if p := recover(); p != nil {
			r.logger.Error("recovered from a panic", zap.String("in", name), zap.String("panic", fmt.Sprint(p)), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
	return true
}
