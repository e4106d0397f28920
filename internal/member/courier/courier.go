// Package courier carries the summaries of cells between entry hosts.
//
// About once a second every host asks one other host of its cell, chosen at
// random, for the summaries that it lacks. The host that owns the cell also
// publishes the summary of it, and asks a few hosts of other cells.
//
// # Usage
//
//	c := courier.New(courier.Options{Cell: "east", Address: advertise, Seeds: seeds, Members: members, Loads: loads})
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
	// Abroad is the share of rounds, one in so many, in which a host asks
	// another cell in place of its own. With dispatchers alone every summary
	// would enter a cell through one host, which sent four times the mean.
	Abroad = 10
	// AbroadOwner is the same for the dispatcher, which decides by the round
	// trips that it measures.
	AbroadOwner = 2
	// Timeout bounds one exchange, so that a round ends before the next.
	Timeout = 700 * time.Millisecond
	// Concurrent bounds the open questions to hosts that are asked back.
	Concurrent = 8
	// Fallbacks is the number of hosts named beside the dispatcher.
	Fallbacks = 2
)

// Membership is the own cell as this host sees it.
type Membership struct {
	// IsDispatcher is set on the dispatcher; HasDispatcher when the cell has one at all.
	IsDispatcher, HasDispatcher bool
	// Others are the peers addresses of the other hosts, the next dispatchers
	// first.
	Others []string
}

// Exchanger makes one exchange with the host at an address.
type Exchanger interface {
	Summarize(ctx context.Context, address string, q *wire.SummaryRequest) (*wire.SummaryResponse, error)
	Close()
}

// Options configures a Courier.
type Options struct {
	Cell   registrar.CellName
	Region summarizer.Region
	// Address is where this host serves other hosts.
	Address string
	// Seeds are hosts of other cells that are asked first.
	Seeds      []string
	Membership func() Membership
	Pools      func() []summarizer.Pool
	// Exchanger replaces the network.
	Exchanger Exchanger
	// TLS is for the calls to other hosts; nil means plain connections.
	TLS    dialer.TLS
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Seed is that of the random choices; zero draws one.
	Seed uint64
}

// Courier keeps the summaries of all cells up to date.
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

// New makes a courier.
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
		slots:      make(chan struct{}, Concurrent),
	}
	c.context, c.cancel = context.WithCancel(context.Background())
	return c
}

// Start begins to exchange summaries.
func (c *Courier) Start() { c.group.Go(c.run) }

// Close waits until nothing runs.
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

// Known lists the other cells, those included whose summaries have expired. The
// list is shared and must not be changed.
func (c *Courier) Known() []summarizer.Cell { return c.summarizer.Known() }

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

// Round publishes the own cell where this host dispatches it, and makes the
// exchanges of one interval.
func (c *Courier) Round(ctx context.Context) {
	m := c.options.Membership()
	c.publish(m)
	c.mu.Lock()
	list := c.targets.choose(c.options.Clock.Now(), c.random, m, c.summarizer.Known())
	q := &wire.SummaryRequest{Known: encodeMarks(c.summarizer.KnownStamps()), Address: c.options.Address}
	c.mu.Unlock()
	calls := pool.New()
	for _, t := range list {
		calls.Go(func() { c.exchange(ctx, t, q) })
	}
	calls.Wait()
}

func (c *Courier) publish(m Membership) {
	// The last host of a cell tells the others before it stops.
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

func (c *Courier) exchange(ctx context.Context, t target, q *wire.SummaryRequest) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	began := c.options.Clock.Now()
	a, err := c.options.Exchanger.Summarize(ctx, t.address, q)
	c.mu.Lock()
	c.targets.answered(t, registrar.CellName(a.GetCell()), err == nil)
	c.mu.Unlock()
	if err != nil {
		c.options.Logger.Debug("no summaries from a host", zap.String("address", t.address), zap.Error(err))
		c.step(summarizer.Tick{})
		return
	}
	c.traffic.asked(q, a)
	c.step(summarizer.Merge{From: registrar.CellName(a.GetCell()), Began: began, Summaries: decodeNews(a.GetSummaries())})
}

// Summarize implements wireconnect.CellsHandler.
func (c *Courier) Summarize(_ context.Context, r *connect.Request[wire.SummaryRequest]) (*connect.Response[wire.SummaryResponse], error) {
	a, back := c.Answer(r.Msg)
	c.launch(back)
	return connect.NewResponse(a), nil
}

// launch asks back after the answer, unless too much is open or the courier
// closes.
func (c *Courier) launch(back func(context.Context)) {
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

// Answer answers the question of another host. When that host has newer
// summaries, back asks it for these. News travels only in answers, so that its
// age counts from a question of the host that takes it.
func (c *Courier) Answer(q *wire.SummaryRequest) (a *wire.SummaryResponse, back func(context.Context)) {
	marks := decodeMarks(q.GetKnown())
	c.mu.Lock()
	news := c.summarizer.Answer(c.options.Clock.Now(), marks, q.GetOnly())
	wanted := c.summarizer.Wanted(marks)
	c.mu.Unlock()
	a = &wire.SummaryResponse{Cell: string(c.options.Cell), Summaries: encodeNews(news)}
	c.traffic.answered(q, a)
	if q.GetOnly() || len(wanted) == 0 || q.GetAddress() == "" {
		return a, nil
	}
	return a, func(ctx context.Context) {
		c.exchange(ctx, target{address: q.GetAddress()}, &wire.SummaryRequest{Known: encodeMarks(wanted), Only: true})
	}
}

// Traffic counts the messages of this host in bytes.
type Traffic struct{ Exchanges, Sent, Received uint64 }

type traffic struct{ exchanges, sent, received atomic.Uint64 }

// Traffic returns what was carried so far, in questions of this host and
// answers to others.
func (c *Courier) Traffic() Traffic {
	return Traffic{c.traffic.exchanges.Load(), c.traffic.sent.Load(), c.traffic.received.Load()}
}

func (t *traffic) asked(q *wire.SummaryRequest, a *wire.SummaryResponse) {
	t.exchanges.Add(1)
	t.sent.Add(uint64(proto.Size(q)))
	t.received.Add(uint64(proto.Size(a)))
}

func (t *traffic) answered(q *wire.SummaryRequest, a *wire.SummaryResponse) {
	t.received.Add(uint64(proto.Size(q)))
	t.sent.Add(uint64(proto.Size(a)))
}
