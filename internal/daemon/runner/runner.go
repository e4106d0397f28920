// Package runner builds the roles of amaranthd from its settings and stops
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
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/config/follower"
	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
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
	settings  *loader.Settings
	logger    *zap.Logger
	clock     clockwork.Clock
	notice    time.Duration
	decode    follower.Decode
	protocol  relayer.Protocol
	inventory dispatcher.Inventory
	trusting  bool
	security  *authenticator.Authenticator
	guardian  *guardian.Guardian
	reporter  *reporter.Reporter
	entry     *entry
	control   *control
	servers   []*http.Server
	group     conc.WaitGroup
	fatal     chan error
	stop      chan struct{}
	stopping  sync.Once

	callers string
	admin   string

	closing sync.Once
	closed  error
}

// Option changes a new Daemon.
type Option func(*Daemon)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(d *Daemon) { d.logger = l } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithNotice sets how long a planned stop keeps accepting requests after it
// became unready, so that the balancer in front can take notice.
func WithNotice(t time.Duration) Option { return func(d *Daemon) { d.notice = t } }

// WithDecode replaces the format of configuration documents. The function
// returns an error that lists all problems of a document.
func WithDecode(f follower.Decode) Option { return func(d *Daemon) { d.decode = f } }

// WithTrustedControl lets control hosts pass on operators' changes to each other without a
// key, for programs that serve operators themselves.
func WithTrustedControl() Option { return func(d *Daemon) { d.trusting = true } }

// WithProtocol makes the callers' listener serve the routes of the configuration in
// the given protocol, in place of the OpenAI protocol and /svc.
func WithProtocol(p relayer.Protocol) Option { return func(d *Daemon) { d.protocol = p } }

// WithInventory lets the scheduler ask upstreams what they keep of prompts.
func WithInventory(i dispatcher.Inventory) Option { return func(d *Daemon) { d.inventory = i } }

// DefaultNotice covers a balancer that checks readiness once a second and
// takes a host out after two failed checks.
const DefaultNotice = 3 * time.Second

// Start opens the listeners and starts the roles.
func Start(s *loader.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s,
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
	if err := d.openSecurity(); err != nil {
		return nil, fmt.Errorf("open the certificates: %w", err)
	}
	d.reporter = reporter.New(reporter.WithClock(d.clock), reporter.WithReady(d.readiness), reporter.WithCertificates(d.certificates))
	if err := d.start(); err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return nil, errors.Join(err, d.abort(ctx))
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

// Control returns the control host of the process, or nil.
func (d *Daemon) Control() *coordinator.Coordinator {
	if d.control == nil {
		return nil
	}
	return d.control.coordinator
}

// Members returns the exchange of news about upstreams and hosts, or nil on a
// host without the role entry.
func (d *Daemon) Members() *gossiper.Gossiper {
	if d.entry == nil {
		return nil
	}
	return d.entry.gossiper
}

// SetContacts replaces the hosts that are asked for the group and for news.
func (d *Daemon) SetContacts(control []loader.ControlHost, seeds []string) {
	if d.entry != nil {
		d.entry.meet(control, seeds)
	}
	if d.control != nil {
		d.control.coordinator.SetContacts(peersAmong(control, func(m loader.ControlHost) bool { return m.Name != d.settings.Name }))
	}
}

// serve listens and serves until the server is closed.
func (d *Daemon) serve(s *http.Server, address string, limit func(net.Listener) net.Listener) (string, error) {
	l, err := dialer.Listen(context.Background(), address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	if limit != nil {
		l = limit(l)
	}
	d.servers = append(d.servers, s)
	d.group.Go(func() {
		serve := s.Serve
		if s.TLSConfig != nil {
			serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
		}
		if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	})
	return l.Addr().String(), nil
}

// fail reports an error that the process cannot go on after.
func (d *Daemon) fail(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// Fatal yields an error after which the process has to stop.
func (d *Daemon) Fatal() <-chan error { return d.fatal }

// requestStop asks the owner of the Daemon to stop it and reports whether this
// was the first time.
func (d *Daemon) requestStop() bool {
	first := false
	d.stopping.Do(func() {
		first = true
		close(d.stop)
	})
	return first
}

// StopRequested is closed when an operator has asked for a planned stop.
func (d *Daemon) StopRequested() <-chan struct{} { return d.stop }

// Callers is the address at which callers' requests are received.
func (d *Daemon) Callers() string { return d.callers }

// Admin is the address of metrics, health and operators' requests.
func (d *Daemon) Admin() string { return d.admin }

// Close stops the process in order: the entry role drains, a control leader
// hands over, then the listeners close. It waits until nothing runs.
func (d *Daemon) Close(ctx context.Context) error {
	d.closing.Do(func() { d.closed = d.close(ctx) })
	return d.closed
}

func (d *Daemon) close(ctx context.Context) error {
	var failed error
	if d.entry != nil {
		failed = errors.Join(failed, d.entry.drain(ctx))
	}
	return errors.Join(failed, d.abort(ctx))
}

// abort stops what has been started.
func (d *Daemon) abort(ctx context.Context) error {
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
