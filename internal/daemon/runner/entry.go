package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/entry/claimer"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
	"github.com/amaranthcart/amaranthcart/internal/entry/receiver"
	"github.com/amaranthcart/amaranthcart/internal/entry/relayer"
	"github.com/amaranthcart/amaranthcart/internal/member/courier"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/member/publisher"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// folderMode keeps other users out of the data folder.
const folderMode = 0o700

// entry holds the parts of the entry role.
type entry struct {
	settings *loader.Settings
	clock    clockwork.Clock
	// leaseClock also counts the time for which the machine was suspended, because
	// leases run on meanwhile.
	leaseClock clockwork.Clock
	logger     *zap.Logger
	notice     time.Duration
	started    time.Time
	directory  directory
	reporter   *reporter.Reporter
	tls        dialer.TLS
	upstreams  dialer.TLS
	client     *dialer.Client
	inventory  dispatcher.Inventory
	local      *dispatcher.Local
	// members is this host's part in the membership protocol.
	// On hosts that may own a cell it is the gossiper, and the publisher tells the
	// others; both are nil elsewhere.
	members   members
	gossiper  *gossiper.Gossiper
	publisher *publisher.Publisher
	follower  *follower.Follower
	cell      *dispatcher.Cell
	server    *dispatcher.Server
	forwarder *forwarder.Forwarder
	claimer   *claimer.Claimer
	// receiver serves callers in the OpenAI protocol, relayer by routes; both are
	// nil on a host that only schedules.
	receiver *receiver.Receiver
	relayer  *relayer.Relayer
	// front is the receiver or the relayer, whichever is used.
	front  front
	decode follower.Decode
	orders *orders
	// ordering is nil on a host that orders no upstreams.
	ordering *ordering
	// usage is nil without usage reports.
	usage *usage
	index indexCache
	// courier and fleet are nil on a host that works with its own cell only.
	courier     *courier.Courier
	fleet       *dispatcher.Fleet
	cellsClient *dialer.Client

	// cancelCandidacy stops runCandidacy; it is nil before start.
	cancelCandidacy context.CancelFunc
	group           conc.WaitGroup
}

// front is the part that serves callers.
type front interface {
	Unready()
	Draining() bool
	Open() int
	Drain(ctx context.Context) error
	Close() error
}

// indexCache holds the index of the latest document that was asked for.
type indexCache struct {
	index atomic.Pointer[validator.Index]
}

// get returns the index of the document and builds it when the document has changed.
func (c *indexCache) get(d *validator.Document) *validator.Index {
	x := c.index.Load()
	if x == nil || x.Document() != d {
		x = validator.Compile(d)
		c.index.Store(x)
	}
	return x
}

// directory holds the control hosts of the settings, which may change.
type directory struct {
	mu      sync.Mutex
	control []loader.ControlHost
}

func (d *directory) set(m []loader.ControlHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.control = m
}

func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, m := range d.control {
		all = append(all, m.Address)
	}
	return all
}

func (d *Daemon) startEntry(mux *http.ServeMux) error {
	e := &entry{
		settings:   d.settings,
		clock:      d.clock,
		leaseClock: newSuspendClock(d.clock, suspendedTime),
		logger:     d.logger.Named("entry"),
		notice:     d.notice,
		started:    d.clock.Now(),
		reporter:   d.reporter,
		tls:        d.tls(),
		upstreams:  d.upstreamTLS(),
		inventory:  d.inventory,
		client:     dialer.New(dialer.WithTLS(d.tls())),
	}
	policy := scheduler.New(
		scheduler.WithSeed(uint64(d.clock.Now().UnixNano())),
		scheduler.WithRetryBudget(d.settings.Retries.Share, d.settings.Retries.Burst))
	e.local = dispatcher.NewLocal(policy, d.clock, dispatcher.WithLogger(d.logger.Named("dispatcher")))
	e.decode = d.decode
	e.directory.set(e.settings.Control)
	d.entry = e
	if err := e.startFollower(); err != nil {
		return err
	}
	e.startMembers()
	if len(e.settings.Cells) > 0 {
		e.startCourier(d.logger, mux)
	}
	e.usage = newUsage(e, d.provider)
	e.startDispatcher(d.logger)
	switch {
	case e.settings.Callers == "":
	case d.protocol != nil:
		e.startRelayer(d.logger, d.protocol, d.ledger)
	default:
		e.startReceiver(d.logger)
	}
	if e.settings.MayOwnCell() {
		e.orders = newOrders(e)
	}
	e.ordering = newOrdering(e, d.provider)
	mux.Handle(wireconnect.NewPeerHandler(e.peer()))
	mux.Handle(gossiper.AnnouncePath, e.members.Announcements())
	return nil
}

func (e *entry) startFollower() error {
	settings := e.settings
	options := []follower.Option{
		follower.WithHost(string(settings.Name), string(settings.Centre)),
		follower.WithDirectory(e.controls),
		follower.WithStale(follower.StaleRule(settings.Stale)),
		follower.WithClock(e.leaseClock),
		follower.WithLogger(e.logger),
		follower.WithRank(e.rank),
		follower.WithOthers(e.others),
		follower.WithOnEnforce(e.enforce),
		follower.WithTLS(e.tls),
	}
	// A host that serves no callers enforces nothing and needs no copy.
	if settings.Data != "" && settings.Callers != "" {
		if err := os.MkdirAll(settings.Data, folderMode); err != nil {
			return fmt.Errorf("make the data folder: %w", err)
		}
		options = append(options, follower.WithFolder(settings.Data))
	}
	f, err := follower.New(e.decode, options...)
	if err != nil {
		return fmt.Errorf("open the stored revision: %w", err)
	}
	e.follower = f
	return nil
}

// enforce puts a revision in force in every part that keeps one.
func (e *entry) enforce(c follower.Snapshot) {
	e.local.Configure(c.Document)
	e.reporter.Configure(c.Document)
}

// rank returns the position of this host by name among the live hosts of its cell. A
// watching host comes after all others, which confirm the configuration to it.
func (e *entry) rank() follower.Rank {
	hosts := e.members.Snapshot().Hosts()
	if e.gossiper == nil {
		return follower.Rank{Place: follower.Askers, Hosts: e.members.Snapshot().FleetSize()}
	}
	place := slices.IndexFunc(hosts, func(h registrar.Host) bool { return h.Name == e.settings.Name })
	return follower.Rank{Place: max(place, 0), Hosts: len(hosts)}
}

// others lists the revisions in force on the other entry hosts, for operators.
func (e *entry) others() []*wire.Follower {
	var all []*wire.Follower
	for _, h := range e.members.Snapshot().Hosts() {
		if h.Name != e.settings.Name {
			all = append(all, &wire.Follower{Host: string(h.Name), Centre: string(h.Centre), Revision: h.Revision})
		}
	}
	if e.publisher != nil {
		all = append(all, e.publisher.Watchers()...)
	}
	return all
}

// controls lists the addresses of the control hosts in the settings and of those known
// from the membership view.
func (e *entry) controls() []string {
	all := e.directory.addresses()
	if e.members == nil {
		return all
	}
	for _, h := range e.members.Snapshot().Hosts() {
		if h.Control && !slices.Contains(all, h.Address) {
			all = append(all, h.Address)
		}
	}
	return all
}

// setContacts replaces the control hosts and the seeds of the settings.
func (e *entry) setContacts(control []loader.ControlHost, seeds []string) {
	e.directory.set(control)
	e.members.Seed(seeds...)
}

func decodeDocument(data []byte) (*validator.Document, error) {
	d, problems := validator.Decode(data)
	if len(problems) > 0 {
		return nil, &documentError{problems}
	}
	return d, nil
}

// documentError reports a document that this version does not accept.
type documentError struct{ problems []decoder.Problem }

// Error lists the problems.
func (e *documentError) Error() string { return strings.Join(describe(e.problems), "; ") }

func describe(problems []decoder.Problem) []string {
	var all []string
	for _, p := range problems {
		all = append(all, p.String())
	}
	return all
}

func (e *entry) startDispatcher(logger *zap.Logger) {
	settings := dispatcher.Settings{
		Host:            e.settings.Name,
		Centre:          e.settings.Centre,
		Cell:            e.settings.Cell,
		Membership:      membership{e.members, e.leaseClock, e.leaseClock.Now()},
		Local:           e.local,
		Client:          e.client,
		AllowSpill:      e.courier != nil,
		Standby:         e.settings.MayOwnCell(),
		ReportDeparture: func(d registrar.Departure) { e.members.Depart(d) },
		Inventory:       e.inventory,
		Usage:           e.usage.messages(),
		Clock:           e.clock,
		Logger:          logger.Named("dispatcher"),
	}
	e.server = dispatcher.NewServer(settings)
	e.cell = dispatcher.NewCell(settings)
	if e.courier != nil {
		// Links to other cells get connections of their own, which are
		// replaced without those inside the cell.
		settings.Client = e.cellsClient
		e.fleet = dispatcher.NewFleet(settings, e.cell, e.courier)
	}
}

// dispatcher returns the part that grants slots: the fleet, or the own cell when this host
// works with no other cell.
func (e *entry) dispatcher() dispatcher.Dispatcher {
	if e.fleet != nil {
		return e.fleet
	}
	return e.cell
}

// notices returns the function that takes what upstreams say about new work.
func (e *entry) notices() func(dispatcher.Notice) {
	if e.fleet != nil {
		return e.fleet.Notice
	}
	return e.cell.Notice
}

// permit returns the function that checks whether a request may still be sent.
func (e *entry) permit() func(registrar.Upstream) error {
	if e.fleet != nil {
		return e.fleet.Permit
	}
	return e.cell.Permit
}

func (e *entry) startReceiver(logger *zap.Logger) {
	e.forwarder = forwarder.New(forwarder.Options{Dispatcher: e.dispatcher(), Clock: e.clock, Logger: logger, TLS: e.upstreams})
	e.claimer = claimer.New(claimer.Options{
		Addresses: e.controls(),
		Host:      string(e.settings.Name),
		Client:    e.client,
		Clock:     e.clock,
		Logger:    logger.Named("claimer"),
	})
	limits := e.settings.Limits
	e.receiver = receiver.New(receiver.Options{
		Forwarder:     e.forwarder,
		Claimer:       e.claimer,
		Configuration: e.configuration,
		Clock:         e.clock,
		Logger:        logger,
		Report:        e.reporter.ReportRequest,
		Limits:        receiver.Limits{Connections: limits.Connections, Body: limits.Body, Header: limits.Header},
	})
	e.front = e.receiver
}

func (e *entry) startRelayer(logger *zap.Logger, p relayer.Protocol, l *ledger.Ledger) {
	e.relayer = relayer.New(relayer.Options{
		Protocol:       p,
		Dispatcher:     e.dispatcher(),
		Sender:         forwarder.NewSender(e.clock, e.upstreams),
		Configuration:  e.routes,
		MaxBody:        e.settings.Limits.Body,
		MaxConnections: e.settings.Limits.Connections,
		Ledger:         l,
		Host:           string(e.settings.Name),
		Clock:          e.clock,
		Logger:         logger,
		Metrics:        e.reporter.Registry(),
		Permit:         e.permit(),
		ViewAge:        e.members.Age,
		Notice:         e.notices(),
		Begun:          e.usage.begun(),
		Report:         e.reporter.ReportRequest,
	})
	e.front = e.relayer
}

// routes returns the routes in force, if they are confirmed.
func (e *entry) routes() (*validator.Index, bool) {
	s, fresh := e.follower.Current()
	if s.Document == nil {
		return nil, false
	}
	return e.index.get(s.Document), fresh && e.joined()
}

func (e *entry) configuration() (receiver.Snapshot, bool) {
	s, fresh := e.follower.Current()
	return receiver.Snapshot{Revision: s.Revision, Document: s.Document}, fresh && e.joined()
}

// open counts the requests in progress.
func (e *entry) open() int {
	if e.front == nil {
		return 0
	}
	return e.front.Open()
}

// start starts the background work of the parts. The host does not take over a cell before
// it knows the upstreams: the other hosts send their requests to a new owner as soon
// as they know it, and it would refuse them.
func (e *entry) start() {
	e.members.Start()
	if e.publisher != nil {
		e.publisher.Start()
	}
	e.follower.Start()
	if e.courier != nil {
		e.courier.Start()
	}
	if e.orders != nil {
		e.orders.Start()
	}
	e.ordering.start()
	e.usage.start()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelCandidacy = cancel
	if !e.alone() && e.settings.MayOwnCell() {
		e.group.Go(func() { e.runCandidacy(ctx) })
	}
}

// drain performs a planned stop. The host becomes unready at once, accepts no new requests
// after the notice, and lets the open ones finish for the drain time of the settings at
// most. Another host takes over the cell meanwhile.
func (e *entry) drain(ctx context.Context) error {
	if e.front != nil {
		e.front.Unready()
	}
	e.endCandidacy()
	e.members.Drain(true)
	if e.front == nil {
		return nil
	}
	select {
	case <-e.clock.After(e.notice):
	case <-ctx.Done():
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, time.Duration(e.settings.Drain))
	defer cancel()
	if err := e.front.Drain(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

func (e *entry) close() error {
	var failed error
	e.endCandidacy()
	if e.orders != nil {
		e.orders.Close()
	}
	e.ordering.close()
	e.usage.close()
	if e.receiver != nil {
		failed = errors.Join(failed, e.receiver.Close(), e.claimer.Close(), e.forwarder.Close())
	}
	if e.relayer != nil {
		failed = errors.Join(failed, e.relayer.Close())
	}
	if e.fleet != nil {
		e.fleet.Close()
	}
	if e.cell != nil {
		e.cell.Close()
	}
	if e.courier != nil {
		e.courier.Close()
		e.cellsClient.Close()
	}
	if e.publisher != nil {
		e.publisher.Close()
	}
	if e.members != nil {
		e.members.Close()
	}
	if e.follower != nil {
		e.follower.Close()
	}
	e.local.Close()
	e.client.Close()
	return failed
}
