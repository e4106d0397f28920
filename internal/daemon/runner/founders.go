package runner

import (
	"encoding/json"
	"errors"
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
	// foundersFile keeps the founders in the data folder.
	foundersFile = "founders.json"
	// dataMode is that of a data folder which this program makes.
	dataMode = 0o750
)

// founder is an entry of the file.
type founder struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// founders are the hosts that form the group when there is none yet. Where the
// settings name them at the first start only, they are kept in the data folder: the
// host may end before the group has formed, and all founders have to take part in it.
// A host that has lost its disk is no founder any more.
func (d *Daemon) founders() []coordinator.Peer {
	s := d.settings
	if s.Voters == 0 || len(s.Bootstrap) > 0 {
		list := peersAmong(s.Control, func(m loader.ControlHost) bool {
			return len(s.Bootstrap) == 0 || slices.Contains(s.Bootstrap, m.Name)
		})
		if s.Voters > 0 {
			d.keepFounders(list)
		}
		return list
	}
	return d.keptFounders()
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
		d.logger.Warn("The founders of the control group were not stored: after a restart before the group has formed this host can't take part in forming it.", zap.Error(err))
	}
}

func (d *Daemon) keptFounders() []coordinator.Peer {
	data, err := os.ReadFile(filepath.Join(d.settings.Data, foundersFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var kept []founder
	if err == nil {
		err = json.Unmarshal(data, &kept)
	}
	if err != nil {
		d.logger.Warn("The founders of the control group can't be read; this host waits for a group to join.", zap.Error(err))
		return nil
	}
	list := make([]coordinator.Peer, 0, len(kept))
	for _, f := range kept {
		list = append(list, coordinator.Peer{Name: f.Name, Address: f.Address})
	}
	return list
}
