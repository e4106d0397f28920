package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/control/coordinator"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
	"github.com/amaranthcart/amaranthcart/internal/storage/journaler"
)

const (
	// foundersFile is the name of the file in the data folder that holds the founders.
	foundersFile = "founders.json"
	// dataMode is the mode of a data folder that the control role creates.
	dataMode = 0o750
)

// founder is an entry of foundersFile.
type founder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// founders returns the hosts that form the control group when there is none yet. When
// the settings name them at the first start only, they are stored in the data folder: the
// host may stop before the group has formed, and a majority of the founders must take part
// in forming it. Stored ones take precedence, because this host may have promised under
// them. A host that has lost its disk is no longer a founder.
func (d *Daemon) founders() []coordinator.Peer {
	settings := d.settings
	if settings.Voters > 0 {
		if kept, found := d.keptFounders(); found {
			return kept
		}
	}
	if settings.Voters == 0 || len(settings.Bootstrap) > 0 {
		list := peersAmong(settings.Control, func(m loader.ControlHost) bool {
			return len(settings.Bootstrap) == 0 || slices.Contains(settings.Bootstrap, m.Name)
		})
		if settings.Voters > 0 {
			d.keepFounders(list)
		}
		return list
	}
	return nil
}

// forgetFounders replaces the stored founders by none, so that this host is no founder at
// later starts, whatever its settings say.
func (d *Daemon) forgetFounders() error {
	if err := journaler.ReplaceFile(d.settings.Data, foundersFile, []byte("[]")); err != nil {
		return fmt.Errorf("forget the founders: %w", err)
	}
	return nil
}

func (d *Daemon) keepFounders(list []coordinator.Peer) {
	kept := make([]founder, 0, len(list))
	for _, p := range list {
		kept = append(kept, founder{Name: p.Name, Address: p.Address})
	}
	data, err := json.Marshal(kept)
	if err == nil {
		err = errors.Join(os.MkdirAll(d.settings.Data, dataMode), journaler.ReplaceFile(d.settings.Data, foundersFile, data))
	}
	if err != nil {
		d.logger.Warn("could not store the founders of the control group; if this host restarts before the group has formed, it can't take part in forming it", zap.Error(err))
	}
}

// keptFounders returns the stored founders, and whether there is a file of them.
func (d *Daemon) keptFounders() ([]coordinator.Peer, bool) {
	data, err := os.ReadFile(filepath.Join(d.settings.Data, foundersFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false
	}
	var kept []founder
	if err == nil {
		err = json.Unmarshal(data, &kept)
	}
	if err != nil {
		d.logger.Warn("could not read the founders of the control group; waiting for a group to join", zap.Error(err))
		return nil, true
	}
	list := make([]coordinator.Peer, 0, len(kept))
	for _, f := range kept {
		list = append(list, coordinator.Peer{Name: f.Name, Address: f.Address})
	}
	return list, true
}
