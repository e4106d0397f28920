// Package runner starts the roles of amaranthd according to its settings and stops
// them in order.
//
// # Usage
//
//	d, err := runner.Start(settings, runner.WithLogger(logger))
//	if err != nil {
//		return err
//	}
//	<-stop
//	err = d.Close(ctx) // drains the entry role and hands control over first
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/entry/ledger"
	"github.com/amaranthcart/amaranthcart/internal/entry/relayer"
	"github.com/amaranthcart/amaranthcart/internal/member/gossiper"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// stopTimeout bounds the closing of servers once their work has ended.
const stopTimeout = 5 * time.Second

// Daemon is a running amaranthd.
type Daemon struct {
	settings     *loader.Settings
	logger       *zap.Logger
	clock        clockwork.Clock
	notice       time.Duration
	decode       follower.Decode
	protocol     relayer.Protocol
	inventory    dispatcher.Inventory
	provider     provider.Provider
	trustControl bool
	security     *authenticator.Authenticator
	guardian     *guardian.Guardian
	reporter     *reporter.Reporter
	entry        *entry
	control      *control
	servers      []*http.Server
	group        conc.WaitGroup
	fatal        chan error
	stop         chan struct{}
	stopOnce     sync.Once

	callers string
	admin   string
	// ledger accounts for what the process holds for callers and upstreams.
	ledger *ledger.Ledger

	closeOnce sync.Once
	closeErr  error
}

// Option configures a new Daemon.
type Option func(*Daemon)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(d *Daemon) { d.logger = l } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithNotice sets how long a planned stop keeps accepting requests after the process
// has become unready, so that a load balancer can take the host out.
func WithNotice(t time.Duration) Option { return func(d *Daemon) { d.notice = t } }

// WithDecode replaces the decoder of configuration documents. The function
// returns an error that lists all problems of a document.
func WithDecode(f follower.Decode) Option { return func(d *Daemon) { d.decode = f } }

// WithTrustedControl lets control hosts pass on operators' changes to each other without a
// key, for programs that serve operators themselves.
func WithTrustedControl() Option { return func(d *Daemon) { d.trustControl = true } }

// WithProtocol makes the callers' listener serve the routes of the configuration in
// the given protocol, in place of the OpenAI protocol and /svc.
func WithProtocol(p relayer.Protocol) Option { return func(d *Daemon) { d.protocol = p } }

// WithInventory lets the scheduler ask upstreams which parts of prompts they have cached.
func WithInventory(i dispatcher.Inventory) Option { return func(d *Daemon) { d.inventory = i } }

// WithProvider sets the provider that takes the calls of the duties. Without it, or without
// the setting provider, none are made.
func WithProvider(p provider.Provider) Option { return func(d *Daemon) { d.provider = p } }

// DefaultNotice is the notice without WithNotice. It suits a load balancer that checks
// readiness once a second and takes a host out after two failed checks.
const DefaultNotice = 3 * time.Second

// Start opens the listeners and starts the roles. When it returns an error, it has
// stopped everything that it started.
func Start(settings *loader.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		logger:   zap.NewNop(),
		clock:    clockwork.NewRealClock(),
		notice:   DefaultNotice,
		decode:   decodeDocument,
		fatal:    make(chan error, 1),
		stop:     make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.ledger = ledger.New(ledger.Bytes(settings.Limits.Memory))
	if err := d.openSecurity(); err != nil {
		return nil, fmt.Errorf("open the certificates: %w", err)
	}
	d.reporter = reporter.New(reporter.WithClock(d.clock), reporter.WithReady(d.readiness), reporter.WithCertificates(d.certificates))
	d.ledger.Register(d.reporter.Registry())
	if err := d.start(); err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return nil, errors.Join(err, d.shutdown(ctx))
	}
	return d, nil
}

func (d *Daemon) start() error {
	peers := http.NewServeMux()
	if d.settings.HasRole(loader.Control) {
		if err := d.startControl(peers); err != nil {
			return fmt.Errorf("start control: %w", err)
		}
	}
	if d.settings.HasRole(loader.Entry) {
		if err := d.startEntry(peers); err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
	}
	if _, err := d.serve(d.peersServer(peers), d.settings.Peers, nil); err != nil {
		return err
	}
	address, err := d.serve(d.adminServer(), d.settings.Admin, nil)
	if err != nil {
		return err
	}
	d.admin = address
	if d.entry == nil {
		return nil
	}
	d.entry.start()
	switch {
	case d.entry.relayer != nil:
		d.callers, err = d.serve(d.entry.relayer.Server(), d.settings.Callers, d.entry.relayer.Limit)
	case d.entry.receiver != nil:
		r := d.entry.receiver
		d.callers, err = d.serve(d.callersServer(r), d.settings.Callers, r.Limit)
	}
	return err
}

// Ready reports whether the process takes work, and why not.
func (d *Daemon) Ready() (bool, string) { return d.readiness() }

// Ledger returns the account of the memory that the process holds for others, which further
// listeners of the process share.
func (d *Daemon) Ledger() *ledger.Ledger { return d.ledger }

// Metrics returns the registry of the process, for further listeners.
func (d *Daemon) Metrics() metrics.Registry { return d.reporter.Registry() }

// Control returns the control host of the process, or nil.
func (d *Daemon) Control() *coordinator.Coordinator {
	if d.control == nil {
		return nil
	}
	return d.control.coordinator
}

// Members returns the gossip exchange of upstreams and hosts. It is nil on a host
// without the entry role and on one that may own no cell.
func (d *Daemon) Members() *gossiper.Gossiper {
	if d.entry == nil {
		return nil
	}
	return d.entry.gossiper
}

// SetContacts replaces the control hosts that are asked for the group and the entry
// hosts that are asked first for the membership.
func (d *Daemon) SetContacts(control []loader.ControlHost, seeds []string) {
	if d.entry != nil {
		d.entry.setContacts(control, seeds)
	}
	if d.control != nil {
		d.control.coordinator.SetContacts(peersAmong(control, func(m loader.ControlHost) bool { return m.Name != d.settings.Name }))
	}
}

// serve opens a listener, serves in the background until the server is closed, and returns
// the address of the listener. An error while serving is passed to fail.
func (d *Daemon) serve(s *http.Server, address string, limit func(net.Listener) net.Listener) (string, error) {
	listener, err := dialer.Listen(context.Background(), address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	if limit != nil {
		listener = limit(listener)
	}
	d.servers = append(d.servers, s)
	d.group.Go(func() {
		serve := s.Serve
		if s.TLSConfig != nil {
			serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
		}
		if err := serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	})
	return listener.Addr().String(), nil
}

// fail passes an error that the process cannot survive to Fatal. Only the first one
// is kept until it is read.
func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// Fatal returns a channel that yields an error after which the process must stop.
func (d *Daemon) Fatal() <-chan error { return d.fatal }

// requestStop closes the channel of StopRequested and reports whether this call was the
// first.
func (d *Daemon) requestStop() bool {
	first := false
	d.stopOnce.Do(func() {
		first = true
		close(d.stop)
	})
	return first
}

// StopRequested returns a channel that is closed when an operator has asked for a planned
// stop.
func (d *Daemon) StopRequested() <-chan struct{} { return d.stop }

// Callers returns the address of the callers' listener; it is empty when there is none.
func (d *Daemon) Callers() string { return d.callers }

// Admin returns the address that serves metrics, health and operators' requests.
func (d *Daemon) Admin() string { return d.admin }

// Close stops the process in order: the entry role drains, a control leader
// hands over, then the listeners close. It waits until all goroutines have ended. Later
// calls return the same error.
func (d *Daemon) Close(ctx context.Context) error {
	d.closeOnce.Do(func() { d.closeErr = d.close(ctx) })
	return d.closeErr
}

func (d *Daemon) close(ctx context.Context) error {
	var failed error
	if d.entry != nil {
		failed = errors.Join(failed, d.entry.drain(ctx))
	}
	return errors.Join(failed, d.shutdown(ctx))
}

// shutdown closes all parts that have been started, without draining the entry role.
func (d *Daemon) shutdown(ctx context.Context) error {
	var failed error
	if d.entry != nil {
		failed = errors.Join(failed, d.entry.close())
	}
	if d.control != nil {
		failed = errors.Join(failed, d.control.close(ctx))
	}
	for _, s := range d.servers {
		failed = errors.Join(failed, s.Close())
	}
	if d.security != nil {
		d.security.Close()
	}
	d.group.Wait()
	return failed
}
