package courier

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// Limits of messages.
const (
	// MaxPools bounds the models and services of a summary.
	MaxPools = 256
	// MaxText bounds each name and address in bytes.
	MaxText = 256
	// maxCount bounds each count, so that sums cannot overflow.
	maxCount = 1 << 20
)

func encodeStamps(marks []summarizer.KnownStamp) []*wire.CellStamp {
	var list []*wire.CellStamp
	for _, m := range marks {
		list = append(list, &wire.CellStamp{Key: m.Key, Incarnation: m.Stamp.Incarnation, Sequence: m.Stamp.Sequence})
	}
	return list
}

func decodeStamps(list []*wire.CellStamp) []summarizer.KnownStamp {
	marks := make([]summarizer.KnownStamp, 0, len(list))
	for _, m := range list {
		stamp := summarizer.Stamp{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()}
		marks = append(marks, summarizer.KnownStamp{Key: m.GetKey(), Stamp: stamp})
	}
	return marks
}

func encodeSummaries(news []summarizer.AgedSummary) []*wire.CellSummary {
	var list []*wire.CellSummary
	for _, n := range news {
		s := n.Summary
		m := &wire.CellSummary{
			Cell:        string(s.Cell),
			Region:      string(s.Region),
			Incarnation: s.Stamp.Incarnation,
			Sequence:    s.Stamp.Sequence,
			Leaving:     s.Leaving,
			Dispatcher:  s.Dispatcher,
			Fallbacks:   s.Fallbacks,
			Age:         roundUp(n.Age),
		}
		for _, p := range s.Pools[:min(len(s.Pools), MaxPools)] {
			m.Pools = append(m.Pools, encodePool(p))
		}
		list = append(list, m)
	}
	return list
}

func encodePool(p summarizer.Pool) *wire.PoolSummary {
	m := &wire.PoolSummary{Name: string(p.Name), Live: encodeCount(p.Live), Free: encodeCount(p.Free), Leaving: encodeCount(p.Leaving)}
	if p.Delay != (summarizer.Pool{}).Delay {
		for _, d := range p.Delay {
			m.Delay = append(m.Delay, uint32(roundUp(d)))
		}
	}
	return m
}

// roundUp converts a duration to milliseconds, and a negative one to 0. Rounding down would
// make a summary younger each time that it is relayed.
func roundUp(d time.Duration) int64 {
	return (max(d, 0) + time.Millisecond - 1).Milliseconds()
}

// decodeSummaries decodes summaries. Those that name no cell or exceed a limit are left out.
func decodeSummaries(list []*wire.CellSummary) []summarizer.AgedSummary {
	var news []summarizer.AgedSummary
	for _, m := range list {
		if n, ok := decodeSummary(m); ok {
			news = append(news, n)
		}
	}
	return news
}

// decodeSummary decodes a summary. It returns false if the summary names no cell or exceeds
// a limit.
func decodeSummary(m *wire.CellSummary) (summarizer.AgedSummary, bool) {
	for _, t := range append([]string{m.GetCell(), m.GetRegion(), m.GetDispatcher()}, m.GetFallbacks()...) {
		if len(t) > MaxText {
			return summarizer.AgedSummary{}, false
		}
	}
	if m.GetCell() == "" || len(m.GetPools()) > MaxPools || len(m.GetFallbacks()) > Fallbacks {
		return summarizer.AgedSummary{}, false
	}
	s := summarizer.Summary{
		Cell:       registrar.CellName(m.GetCell()),
		Region:     summarizer.Region(m.GetRegion()),
		Stamp:      summarizer.Stamp{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()},
		Leaving:    m.GetLeaving(),
		Dispatcher: m.GetDispatcher(),
		Fallbacks:  m.GetFallbacks(),
	}
	for _, p := range m.GetPools() {
		if len(p.GetName()) > MaxText {
			return summarizer.AgedSummary{}, false
		}
		s.Pools = append(s.Pools, decodePool(p))
	}
	age := time.Duration(min(max(m.GetAge(), 0), summarizer.Lifetime.Milliseconds())) * time.Millisecond
	return summarizer.AgedSummary{Summary: s, Age: age}, true
}

func decodePool(m *wire.PoolSummary) summarizer.Pool {
	p := summarizer.Pool{Name: validator.PoolName(m.GetName()), Live: count(m.GetLive()), Free: count(m.GetFree()), Leaving: count(m.GetLeaving())}
	for i, d := range m.GetDelay() {
		if i < len(p.Delay) {
			p.Delay[i] = time.Duration(d) * time.Millisecond
		}
	}
	return p
}

func encodeCount(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }

func count(n uint32) int { return int(min(n, maxCount)) }

// caller is an Exchanger that makes calls over the network.
type caller struct{ client *dialer.Client }

func newCaller(t dialer.TLS) *caller { return &caller{client: dialer.New(dialer.WithTLS(t))} }

// Summarize implements Exchanger. After a failure later calls use new connections, because
// the old one may be dead.
func (c *caller) Summarize(ctx context.Context, address string, q *wire.SummaryRequest) (*wire.SummaryResponse, error) {
	a, err := wireconnect.NewCellsClient(c.client, dialer.URL(address), dialer.Options()...).Summarize(ctx, connect.NewRequest(q))
	if err != nil {
		c.client.Renew()
		return nil, fmt.Errorf("ask %s for summaries: %w", address, err)
	}
	return a.Msg, nil
}

// Close implements Exchanger.
func (c *caller) Close() { c.client.Close() }
