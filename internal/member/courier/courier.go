// Package courier exchanges the summaries of cells between entry hosts.
//
// About once a second every host asks one other host, chosen at random, for the
// summaries that it lacks. That is a host of another cell in one of OtherCellRounds
// rounds, and otherwise a host of its own cell. The dispatcher of the cell also
// publishes the summary of it, and asks another cell in one of
// DispatcherOtherCellRounds rounds.
//
// # Usage
//
//	c := courier.New(courier.Options{Cell: "east", Address: advertise, Seeds: seeds, Membership: membership, Pools: pools})
//	mux.Handle(wireconnect.NewCellsHandler(c))
//	c.Start()
//	defer c.Close()
//	cells := c.Known()
package courier

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

const (
	// Interval is the mean time between two rounds of a host.
	Interval = time.Second
	// OtherCellRounds is the mean number of rounds of which a host makes one with
	// another cell instead of its own. If only dispatchers did so, every summary
	// would enter a cell through one host, which sent four times the mean.
	OtherCellRounds = 10
	// DispatcherOtherCellRounds is the same for the dispatcher, whose decisions depend
	// on the round trips that it measures.
	DispatcherOtherCellRounds = 2
	// Timeout bounds one exchange, so that a round ends before the next.
	Timeout = 700 * time.Millisecond
	// MaxAskBacks bounds the concurrent requests that ask a requesting host back.
	MaxAskBacks = 8
	// Fallbacks is the largest number of hosts that a summary names beside the
	// dispatcher.
	Fallbacks = 2
)

// Membership is the own cell as this host sees it.
type Membership struct {
	// IsDispatcher is set on the dispatcher of the cell. HasDispatcher is set if the cell
	// has a dispatcher at all.
	IsDispatcher, HasDispatcher bool
	// Others are the peers addresses of the other hosts, the next dispatchers
	// first.
	Others []string
}

// Exchanger makes calls to the host at an address.
type Exchanger interface {
	// Summarize makes one exchange.
	Summarize(ctx context.Context, address string, q *wire.SummaryRequest) (*wire.SummaryResponse, error)
	// Close closes the connections.
	Close()
}

// Options configures a Courier.
type Options struct {
	Cell   registrar.CellName
	Region summarizer.Region
	// Address is where this host serves other hosts.
	Address string
	// Seeds are the addresses of hosts of other cells to ask first.
	Seeds      []string
	Membership func() Membership
	Pools      func() []summarizer.Pool
	// Exchanger makes the calls; nil for calls over the network.
	Exchanger Exchanger
	// TLS is for the calls to other hosts; nil means plain connections.
	TLS    dialer.TLS
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Seed is the seed of the random choices; 0 for a random one.
	Seed uint64
}

// Courier keeps the summaries of all cells up to date. It is safe for concurrent use,
// except for Round.
type Courier struct {
	options Options
	random  *rand.Rand

	mu         sync.Mutex
	summarizer *summarizer.Summarizer
	targets    *targets
	// dispatched is set once this host has published a summary.
	dispatched bool
	closed     bool
	slots      chan struct{}

	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup
	closing sync.Once
	traffic traffic
}

// New returns a courier.
func New(o Options) *Courier {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Exchanger == nil {
		o.Exchanger = newCaller(o.TLS)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Courier{
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
		summarizer: summarizer.New(o.Cell, o.Region),
		targets:    newTargets(o.Address, o.Seeds),
		slots:      make(chan struct{}, MaxAskBacks),
	}
	c.context, c.cancel = context.WithCancel(context.Background())
	return c
}

// Start starts the exchanges of summaries.
func (c *Courier) Start() { c.group.Go(c.run) }

// Close stops the exchanges and waits until all goroutines have ended.
func (c *Courier) Close() {
	c.closing.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.cancel()
		c.group.Wait()
		c.options.Exchanger.Close()
	})
}

// Known lists the other cells, including those whose summaries have expired. The
// list is shared and must not be changed.
func (c *Courier) Known() []summarizer.Cell { return c.summarizer.Known() }

// run makes rounds until Close, with a jitter of a quarter of Interval.
func (c *Courier) run() {
	for {
		d := time.Duration(float64(Interval) * (0.75 + c.random.Float64()/2))
		select {
		case <-c.context.Done():
			return
		case <-c.options.Clock.After(d):
			c.Round(c.context)
		}
	}
}

// Round publishes the summary of the own cell if this host dispatches it, and makes the
// exchange of one interval.
func (c *Courier) Round(ctx context.Context) {
	m := c.options.Membership()
	c.publish(m)
	c.mu.Lock()
	list := c.targets.choose(c.options.Clock.Now(), c.random, m, c.summarizer.Known())
	q := &wire.SummaryRequest{Known: encodeStamps(c.summarizer.KnownStamps()), Address: c.options.Address}
	c.mu.Unlock()
	calls := pool.New()
	for _, t := range list {
		calls.Go(func() { c.exchange(ctx, t, q) })
	}
	calls.Wait()
}

// publish publishes the summary of the own cell if this host dispatches it, or if it did and
// the cell has no dispatcher any more.
func (c *Courier) publish(m Membership) {
	// The last host of a cell informs the other cells before it stops.
	leaving := !m.HasDispatcher && c.dispatched
	if !m.IsDispatcher && !leaving {
		return
	}
	c.dispatched = true
	c.step(summarizer.Publish{
		Pools:      c.options.Pools(),
		Leaving:    leaving,
		Dispatcher: c.options.Address,
		Fallbacks:  m.Others[:min(len(m.Others), Fallbacks)],
	})
}

// step applies an event to the summarizer and logs its actions.
func (c *Courier) step(e summarizer.Event) {
	c.mu.Lock()
	actions := c.summarizer.Step(c.options.Clock.Now(), e)
	c.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case summarizer.Appeared:
			c.options.Logger.Info("another cell is known", zap.String("cell", string(a.Cell)))
		case summarizer.Expired:
			c.options.Logger.Warn("the summary of another cell has expired", zap.String("cell", string(a.Cell)))
		}
	}
}

// exchange asks one host and merges its response. A failure is only logged.
func (c *Courier) exchange(ctx context.Context, t target, q *wire.SummaryRequest) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	began := c.options.Clock.Now()
	a, err := c.options.Exchanger.Summarize(ctx, t.address, q)
	c.mu.Lock()
	c.targets.answered(t, registrar.CellName(a.GetCell()), err == nil)
	c.mu.Unlock()
	if err != nil {
		c.options.Logger.Debug("could not get summaries from a host", zap.String("address", t.address), zap.Error(err))
		c.step(summarizer.Tick{})
		return
	}
	c.traffic.asked(q, a)
	c.step(summarizer.Merge{From: registrar.CellName(a.GetCell()), Began: began, Summaries: decodeSummaries(a.GetSummaries())})
}

// Summarize implements wireconnect.CellsHandler.
func (c *Courier) Summarize(_ context.Context, r *connect.Request[wire.SummaryRequest]) (*connect.Response[wire.SummaryResponse], error) {
	a, back := c.Answer(r.Msg)
	c.startAskBack(back)
	return connect.NewResponse(a), nil
}

// startAskBack runs back in the background, unless too many requests are open or the
// courier is closing. A nil function is ignored.
func (c *Courier) startAskBack(back func(context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if back == nil || c.closed {
		return
	}
	select {
	case c.slots <- struct{}{}:
		c.group.Go(func() {
			defer func() { <-c.slots }()
			back(c.context)
		})
	default:
	}
}

// Answer returns the response to the request of another host. If that host has newer
// summaries, back asks it for these; otherwise back is nil. Summaries travel only in
// responses, so that their age counts from a request of the host that receives them.
func (c *Courier) Answer(q *wire.SummaryRequest) (a *wire.SummaryResponse, back func(context.Context)) {
	marks := decodeStamps(q.GetKnown())
	c.mu.Lock()
	news := c.summarizer.Answer(c.options.Clock.Now(), marks, q.GetOnly())
	wanted := c.summarizer.Wanted(marks)
	c.mu.Unlock()
	a = &wire.SummaryResponse{Cell: string(c.options.Cell), Summaries: encodeSummaries(news)}
	c.traffic.answered(q, a)
	if q.GetOnly() || len(wanted) == 0 || q.GetAddress() == "" {
		return a, nil
	}
	return a, func(ctx context.Context) {
		c.exchange(ctx, target{address: q.GetAddress()}, &wire.SummaryRequest{Known: encodeStamps(wanted), Only: true})
	}
}

// Traffic counts the exchanges that this host started, and the bytes of all messages of
// this host.
type Traffic struct{ Exchanges, Sent, Received uint64 }

// traffic holds the counters of Traffic.
type traffic struct{ exchanges, sent, received atomic.Uint64 }

// Traffic returns the traffic since the courier was created, in requests of this host and in
// responses to others.
func (c *Courier) Traffic() Traffic {
	return Traffic{c.traffic.exchanges.Load(), c.traffic.sent.Load(), c.traffic.received.Load()}
}

// asked counts a request of this host and its response.
func (t *traffic) asked(q *wire.SummaryRequest, a *wire.SummaryResponse) {
	t.exchanges.Add(1)
	t.sent.Add(uint64(proto.Size(q)))
	t.received.Add(uint64(proto.Size(a)))
}

// answered counts a request of another host and the response to it.
func (t *traffic) answered(q *wire.SummaryRequest, a *wire.SummaryResponse) {
	t.received.Add(uint64(proto.Size(q)))
	t.sent.Add(uint64(proto.Size(a)))
}
