package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/builder"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/stub/responder"
)

// DevKey, DevModel and DevService are the API key, the model and the service of the
// development set-up. Each of its upstreams has devSlots slots, devTimeout bounds its
// start, and devPoll is the pause between two attempts or checks meanwhile.
const (
	DevKey     = "development-key-1"
	DevModel   = "demo"
	DevService = "shop"

	devSlots   = 8
	devTimeout = 15 * time.Second
	devPoll    = 50 * time.Millisecond
)

// Dev is one process with a control host, an entry host and two stub upstreams.
type Dev struct {
	*Daemon
	stubs []*responder.Responder
	group conc.WaitGroup
}

// StartDev starts the parts that otherwise run in separate processes, on loopback, and
// waits until the entry host is ready and knows both upstreams. It stops everything and
// returns an error when this takes longer than devTimeout.
func StartDev(folder, callers string, logger *zap.Logger) (*Dev, error) {
	settings, err := devSettings(folder, callers)
	if err != nil {
		return nil, err
	}
	daemon, err := Start(settings, WithLogger(logger), WithNotice(0))
	if err != nil {
		return nil, err
	}
	v := &Dev{Daemon: daemon}
	ctx, cancel := context.WithTimeout(context.Background(), devTimeout)
	defer cancel()
	if err := v.prepare(ctx, settings); err != nil {
		return nil, errors.Join(err, v.Close(ctx))
	}
	return v, nil
}

func (v *Dev) prepare(ctx context.Context, s *loader.Settings) error {
	for _, name := range []registrar.UpstreamID{"stub-1", "stub-2"} {
		if err := v.startStub(name, s.Advertise); err != nil {
			return err
		}
	}
	if err := applyDev(ctx, s.Advertise); err != nil {
		return err
	}
	return v.waitReady(ctx)
}

func devSettings(folder, callers string) (*loader.Settings, error) {
	settings := loader.Default()
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	settings.Name = "dev"
	settings.Centre = "local"
	settings.Data = filepath.Clean(folder)
	settings.Roles = []loader.Role{loader.Entry, loader.Control}
	settings.Callers = callers
	settings.Peers = peers
	settings.Advertise = peers
	settings.Admin = "127.0.0.1:0"
	settings.Seeds = []string{peers}
	settings.Control = []loader.ControlHost{{Name: settings.Name, Address: peers}}
	settings.Bootstrap = []registrar.HostName{settings.Name}
	if problems := loader.Check(settings); len(problems) > 0 {
		return nil, &documentError{problems}
	}
	return settings, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return l.Addr().String(), l.Close()
}

func (v *Dev) startStub(name registrar.UpstreamID, entry string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	stub := responder.New(responder.Options{
		Name:     name,
		Address:  l.Addr().String(),
		Centre:   "local",
		Models:   []validator.PoolName{DevModel},
		Services: []validator.PoolName{DevService},
		Slots:    devSlots,
		Entries:  []string{entry},
		Logger:   v.logger.Named("stub"),
	})
	v.stubs = append(v.stubs, stub)
	v.group.Go(func() {
		if err := stub.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			v.fail(fmt.Errorf("serve %s: %w", name, err))
		}
	})
	return nil
}

// devDocument is a configuration with one class of each kind.
func devDocument() ([]byte, error) {
	var buffer bytes.Buffer
	chat := builder.Class("chat", builder.Tier(0), builder.First(time.Second), builder.Gap(100*time.Millisecond), builder.Wait(10*time.Second))
	plain := builder.Class("plain", builder.Tier(1), builder.Total(2*time.Second), builder.Wait(10*time.Second))
	err := builder.New(
		chat,
		plain,
		builder.Organisation("dev", builder.Share(1), builder.Key(DevKey)),
		builder.Model(DevModel, chat),
		builder.Service(DevService, plain),
	).Print(&buffer)
	return buffer.Bytes(), err
}

// applyDev submits the configuration until the control group answers. The data folder
// of an earlier run may hold a later configuration, which stays in force.
func applyDev(ctx context.Context, address string) error {
	document, err := devDocument()
	if err != nil {
		return fmt.Errorf("build the configuration: %w", err)
	}
	client := dialer.New()
	defer client.Close()
	control := wireconnect.NewControlClient(client, dialer.URL(address))
	request := &wire.ApplyRequest{Change: uuid.NewString(), Document: document, Note: "development set-up"}
	for {
		_, err := control.Apply(ctx, connect.NewRequest(request))
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("apply the configuration: %w", err)
		case <-time.After(devPoll):
		}
	}
}

func (v *Dev) waitReady(ctx context.Context) error {
	for {
		ready, reason := v.readiness()
		if ready && len(v.entry.members.Snapshot().Upstreams(v.clock.Now())) == len(v.stubs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the entry host: %w: %s", ctx.Err(), reason)
		case <-time.After(devPoll):
		}
	}
}

// Close stops the daemon and the stub upstreams and returns all their errors.
func (v *Dev) Close(ctx context.Context) error {
	failed := v.Daemon.Close(ctx)
	for _, r := range v.stubs {
		failed = errors.Join(failed, r.Close())
	}
	v.group.Wait()
	return failed
}
