package runner

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// control holds the coordinator of a host with the control role.
type control struct{ coordinator *coordinator.Coordinator }

func (d *Daemon) startControl(mux *http.ServeMux) error {
	settings := d.settings
	c, err := coordinator.Open(coordinator.Settings{
		Name:     string(settings.Name),
		Address:  settings.Advertise,
		Folder:   filepath.Join(settings.Data, "control"),
		Centre:   string(settings.Centre),
		Peers:    d.founders(),
		Contacts: contacts(settings),
		Voters:   settings.Voters,
		TLS:      d.tls(),
		Check:    d.checkDocument,
		Fatal:    d.fail,
		Retired:  d.forgetFounders,
		Clock:    d.clock,
		Logger:   d.logger.Named("control"),
	})
	if err != nil {
		return err
	}
	d.control = &control{c}
	mux.Handle(c.Handler(connect.WithInterceptors(d.guardian)))
	return nil
}

// contacts returns the other control hosts, which know the members of the group.
func contacts(s *loader.Settings) []coordinator.Peer {
	return peersAmong(s.Control, func(m loader.ControlHost) bool { return m.Name != s.Name })
}

func peersAmong(members []loader.ControlHost, include func(loader.ControlHost) bool) []coordinator.Peer {
	var all []coordinator.Peer
	for _, m := range members {
		if include(m) {
			all = append(all, coordinator.Peer{Name: string(m.Name), Address: m.Address})
		}
	}
	return all
}

func (d *Daemon) checkDocument(data []byte) []string {
	if _, err := d.decode(data); err != nil {
		return strings.Split(err.Error(), "; ")
	}
	return nil
}

func (c *control) close(ctx context.Context) error {
	return c.coordinator.Close(ctx)
}
