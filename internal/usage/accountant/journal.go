package accountant

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/usage/collector"
)

const (
	// journalInterval is how often changed counts of open windows are written to the log.
	// Together with the 200 ms that a host collects its counts it is less than half a
	// second, for hosts that are lost together with the owner.
	journalInterval = 250 * time.Millisecond
	// journalSlots is the number of values that are used in turn. Each holds what has
	// changed since the one before and all open counts of a part of the hosts, so that
	// together they hold all.
	journalSlots = 16
	// maxJournal bounds a value in bytes.
	maxJournal = 48 << 10
	// recoveryCalls is how many values a new holder reads at the same time.
	recoveryCalls = 4
)

func slotName(n int) string { return fmt.Sprintf("usage/open/%d", n) }

// journal is the position of a holder in the values of open counts.
type journal struct {
	fence provider.Fence
	slot  int
	mark  collector.Mark
}

// runJournal writes the counts of the open windows while this host holds the duty.
func (a *Accountant) runJournal(ctx context.Context) {
	ticker := a.options.Clock.NewTicker(journalInterval)
	defer ticker.Stop()
	var j journal
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.writeJournal(ctx, &j)
		}
	}
}

// writeJournal writes what has changed. A holder begins once it has merged what its
// predecessor has written.
func (a *Accountant) writeJournal(ctx context.Context, j *journal) {
	held, ok := a.options.Keeper.Authority()
	if !ok || provider.Fence(a.recovered.Load()) != held.Fence {
		return
	}
	if j.fence != held.Fence {
		*j = journal{fence: held.Fence}
	}
	a.mu.Lock()
	changed, mark := a.collector.Open(j.mark, collector.Part{Number: j.slot, Of: journalSlots})
	a.mu.Unlock()
	if mark == j.mark {
		return
	}
	value := collector.Encode(changed)
	if len(value) > maxJournal {
		// The counts are written with the parts of their hosts in the next slots.
		a.meters.unkept.Inc(1)
		a.logger.Warn("the counts of open windows are too large for the log", zap.Int("bytes", len(value)))
		j.slot, j.mark = (j.slot+1)%journalSlots, mark
		return
	}
	r, err := a.call(ctx, &wire.KeepRequest{Name: slotName(j.slot), Value: value, Fence: uint64(held.Fence)})
	if err != nil || !r.Kept {
		a.meters.unkept.Inc(1)
		return
	}
	j.slot, j.mark = (j.slot+1)%journalSlots, mark
}

// recoverCounts merges the counts of open windows that earlier holders wrote to the log.
func (a *Accountant) recoverCounts(ctx context.Context, held provider.Authority) error {
	g := pool.NewWithResults[[]collector.Entry]().WithContext(ctx).WithMaxGoroutines(recoveryCalls).WithFirstError()
	for n := range journalSlots {
		g.Go(func(ctx context.Context) ([]collector.Entry, error) {
			r, err := a.call(ctx, &wire.KeepRequest{Name: slotName(n), Read: true, Fence: uint64(held.Fence)})
			if err != nil || len(r.Value) == 0 {
				return nil, err
			}
			entries, err := collector.Decode(r.Value)
			if err != nil {
				// The counts of the other slots and of the hosts that live are still known.
				a.meters.unkept.Inc(1)
				a.logger.Error("counts of open windows can't be read", zap.Int("slot", n), zap.Error(err))
			}
			return entries, nil
		})
	}
	slots, err := g.Wait()
	if err != nil {
		return fmt.Errorf("read the counts of open windows: %w", err)
	}
	merged := 0
	a.mu.Lock()
	for _, entries := range slots {
		for _, e := range entries {
			if e.Window > a.book.settled {
				merged++
				a.mergeOpen(e)
			}
		}
	}
	a.mu.Unlock()
	a.recovered.Store(uint64(held.Fence))
	a.logger.Info("counts of open windows read", zap.Int("entries", merged))
	return nil
}
