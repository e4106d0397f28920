package accountant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// markName is the name of the watermark in the log.
	markName = "usage/mark"
	// retention is how long settled counts are kept, in replicated time. That may jump with
	// the clock of a new control leader; a window whose counts are gone is not reported.
	retention = 20 * time.Minute
)

// errKept says that control has kept another value than the one that was written.
var errKept = errors.New("another holder has written the value")

// meters are the counters on the metrics address.
type meters struct {
	settled, reported, overdue, repeated, refused, abandoned, late, unkept metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		settled:   metrics.GetOrRegisterCounter("usage.settled", r),
		reported:  metrics.GetOrRegisterCounter("usage.reported", r),
		overdue:   metrics.GetOrRegisterCounter("usage.overdue", r),
		repeated:  metrics.GetOrRegisterCounter("usage.repeated", r),
		refused:   metrics.GetOrRegisterCounter("usage.refused", r),
		abandoned: metrics.GetOrRegisterCounter("usage.abandoned", r),
		late:      metrics.GetOrRegisterCounter("usage.late", r),
		unkept:    metrics.GetOrRegisterCounter("usage.unkept", r),
	}
}

func windowField(k provider.Window) zap.Field { return zap.Int64("window", int64(k)) }

// valueName is the name of the settled counts of a window.
func valueName(k provider.Window) string { return fmt.Sprintf("usage/%d", k) }

// perform takes an action and notes its result. It reports whether another one may follow
// at once.
func (a *Accountant) perform(ctx context.Context, held provider.Authority, next action, wall time.Time) bool {
	var err error
	switch next := next.(type) {
	case nil:
		return false
	case resume:
		err = a.resume(ctx, held, wall)
	case recall:
		err = a.recall(ctx, held, next.window)
	case settle:
		err = a.settle(ctx, held, next.window)
	case advance:
		err = a.advance(ctx, held, next.mark)
	case send:
		a.send(ctx, held, next)
		return true
	}
	if err != nil {
		a.logger.Warn("control did not carry out a step of a usage report", zap.String("step", fmt.Sprintf("%T", next)), zap.Error(err))
	}
	return err == nil
}

// call calls control.
func (a *Accountant) call(ctx context.Context, q *wire.KeepRequest) (*wire.KeepResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, a.options.Clock, storeTimeout)
	defer cancel()
	return a.options.Store.Keep(ctx, q)
}

func (a *Accountant) resume(ctx context.Context, held provider.Authority, wall time.Time) error {
	r, err := a.call(ctx, &wire.KeepRequest{Name: markName, Read: true, Fence: uint64(held.Fence)})
	if err != nil {
		return fmt.Errorf("read the watermark: %w", err)
	}
	var mark watermark
	found := len(r.Value) > 0
	if found {
		if err := json.Unmarshal(r.Value, &mark); err != nil {
			return fmt.Errorf("decode the watermark: %w", err)
		}
	}
	skipped := a.book.begin(wall, mark, found)
	a.logger.Info("usage reports resumed", zap.Bool("found", found), zap.Int64("settled", int64(a.book.settled)),
		zap.Int("open", len(a.book.entries)), zap.Int("skipped", skipped))
	a.meters.abandoned.Inc(int64(skipped))
	a.mu.Lock()
	a.collector.Close(a.book.settled)
	a.mu.Unlock()
	if err := a.recoverCounts(ctx, held); err != nil {
		a.book = newBook(a.options.Window, a.options.Late)
		return err
	}
	return nil
}

func (a *Accountant) recall(ctx context.Context, held provider.Authority, k provider.Window) error {
	r, err := a.call(ctx, &wire.KeepRequest{Name: valueName(k), Read: true, Fence: uint64(held.Fence)})
	if err != nil {
		return fmt.Errorf("read the counts: %w", err)
	}
	if len(r.Value) == 0 {
		a.meters.abandoned.Inc(1)
		a.logger.Error("usage report given up: its settled counts are gone", windowField(k))
		a.book.recalled(k, nil, false)
		return nil
	}
	n, err := decodeCounts(r.Value)
	if err != nil {
		return err
	}
	a.book.recalled(k, n, true)
	return nil
}

// settle keeps the counts of a window. If another holder has done so before, its counts
// are used.
func (a *Accountant) settle(ctx context.Context, held provider.Authority, k provider.Window) error {
	a.mu.Lock()
	total := a.collector.Total(k)
	a.mu.Unlock()
	value, err := json.Marshal(total)
	if err != nil {
		return fmt.Errorf("encode the counts: %w", err)
	}
	r, err := a.call(ctx, &wire.KeepRequest{
		Name: valueName(k), Value: value, Fence: uint64(held.Fence), Once: true, Retention: retention.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("keep the counts: %w", err)
	}
	n, err := decodeCounts(r.Value)
	if err != nil {
		return err
	}
	if err := a.book.keep(k, n); err != nil {
		return err
	}
	a.mu.Lock()
	a.collector.Close(k)
	a.mu.Unlock()
	a.meters.settled.Inc(1)
	a.logger.Info("usage settled", windowField(k), zap.Int("organisations", len(n)), zap.Uint64("requests", sum(n)), zap.Bool("found", !r.Kept))
	return nil
}

func (a *Accountant) advance(ctx context.Context, held provider.Authority, mark watermark) error {
	value, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("encode the watermark: %w", err)
	}
	r, err := a.call(ctx, &wire.KeepRequest{Name: markName, Value: value, Fence: uint64(held.Fence)})
	if err != nil {
		return fmt.Errorf("write the watermark: %w", err)
	}
	if !r.Kept {
		a.options.Keeper.Refused()
		return errKept
	}
	a.book.advanced(mark)
	return nil
}

// answer says that the provider has carried a call out.
type answer struct {
	send  send
	fence provider.Fence
}

// send begins a call that reports a window. Its counts are the settled ones.
func (a *Accountant) send(ctx context.Context, held provider.Authority, s send) {
	if s.attempt > 1 {
		a.meters.repeated.Inc(1)
	}
	a.mu.Lock()
	a.calls++
	a.mu.Unlock()
	a.start(func() {
		ctx, cancel := clockwork.WithTimeout(ctx, a.options.Clock, callTimeout)
		defer cancel()
		a.finish(held, s, a.options.Provider.ReportUsage(a.options.Keeper.Guard(ctx, held), held, s.report))
	})
}

// finish notes how a call has ended.
func (a *Accountant) finish(held provider.Authority, s send, err error) {
	fields := callFields(s, held.Fence)
	a.mu.Lock()
	a.calls--
	if err == nil {
		a.answered = append(a.answered, answer{send: s, fence: held.Fence})
	}
	a.mu.Unlock()
	switch {
	case err == nil:
		a.options.Keeper.Succeeded()
	case errors.Is(err, provider.ErrBusy):
		a.options.Keeper.Succeeded()
		a.logger.Info("usage report put off: the provider is busy", fields...)
	case errors.Is(err, provider.ErrNotPermitted):
		a.logger.Info("usage report not sent: the duty was lost", fields...)
	case errors.Is(err, provider.ErrRefused):
		a.meters.refused.Inc(1)
		a.logger.Warn("usage report refused: the provider has seen a higher fencing number", fields...)
		a.refuse(held)
	default:
		a.options.Keeper.Failed()
		a.logger.Warn("usage report without a clear answer; it will be repeated", append(fields, zap.Error(err))...)
	}
}

// refuse gives the duty up if it is still held under the number that was refused.
func (a *Accountant) refuse(held provider.Authority) {
	if now, ok := a.options.Keeper.Authority(); ok && now.Fence == held.Fence {
		a.options.Keeper.Refused()
	}
}

func callFields(s send, fence provider.Fence) []zap.Field {
	return []zap.Field{windowField(s.report.Window), zap.Int("attempt", s.attempt), zap.Uint64("fence", uint64(fence))}
}

// noteReported logs that a window has been reported.
func (a *Accountant) noteReported(n answer) {
	a.mu.Lock()
	after := a.now().Sub(n.send.report.Window.End(a.options.Window))
	a.mu.Unlock()
	a.meters.reported.Inc(1)
	if after > a.options.Late {
		a.meters.overdue.Inc(1)
	}
	a.logger.Info("usage reported", append(callFields(n.send, n.fence),
		zap.Uint64("requests", sum(n.send.report.Counts)), zap.Duration("after", after))...)
}

func decodeCounts(data []byte) (counts, error) {
	n := counts{}
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, fmt.Errorf("decode the counts: %w", err)
	}
	return n, nil
}

func sum(n counts) uint64 {
	var total uint64
	for _, count := range n {
		total += count
	}
	return total
}
