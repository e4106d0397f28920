package runner

import (
	"context"
	"net/http"
	"path/filepath"
	"slices"

	"connectrpc.com/connect"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// control holds the control role.
type control struct{ coordinator *coordinator.Coordinator }

func (d *Daemon) startControl(mux *http.ServeMux) error {
	s := d.settings
	c, err := coordinator.Open(coordinator.Settings{
		Name:    string(s.Name),
		Address: s.Advertise,
		Folder:  filepath.Join(s.Data, "control"),
		Centre:  string(s.Centre),
		Peers:   voters(s),
		TLS:     d.tls(),
		Check:   checkDocument,
		Fatal:   d.fail,
		Clock:   d.clock,
		Logger:  d.logger.Named("control"),
	})
	if err != nil {
		return err
	}
	d.control = &control{c}
	mux.Handle(c.Handler(connect.WithInterceptors(d.guardian)))
	return nil
}

// voters are the hosts that form the group when there is none yet.
func voters(s *loader.Settings) []coordinator.Peer {
	var all []coordinator.Peer
	for _, m := range s.Control {
		if len(s.Bootstrap) > 0 && !slices.Contains(s.Bootstrap, m.Name) {
			continue
		}
		all = append(all, coordinator.Peer{Name: string(m.Name), Address: m.Address})
	}
	return all
}

func checkDocument(data []byte) []string {
	_, problems := validator.Decode(data)
	return describe(problems)
}

func (c *control) close(ctx context.Context) error {
	return c.coordinator.Close(ctx)
}
