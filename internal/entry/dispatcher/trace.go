package dispatcher

import (
	"context"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Trace tells where a request was scheduled, for the log line of its end. Acquire fills
// it in before it returns.
type Trace struct {
	// Scheduler is the host that was asked last; empty if none was.
	Scheduler registrar.HostName
	// Moves counts how often the request was handed over to another scheduler.
	Moves int
	// Asked is when the last scheduler got the request.
	Asked time.Time
}

type traceKey struct{}

// WithTrace returns a context with which Acquire fills in t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// record fills in the trace of the context, if it has one.
func (c *Cell) record(ctx context.Context, t *ticket) {
	trace, ok := ctx.Value(traceKey{}).(*Trace)
	if !ok {
		return
	}
	t.orderMu.Lock()
	defer t.orderMu.Unlock()
	trace.Scheduler, trace.Asked = c.schedulerOf(t.route), t.asked
	trace.Moves += max(t.epoch-1, 0)
}

// schedulerOf returns the host that schedules the requests of a route.
func (c *Cell) schedulerOf(r route) registrar.HostName {
	if l, ok := r.(*link); ok {
		return l.owner
	}
	return c.settings.Host
}
