package main_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// deployCells starts a deployment with one entry host for each of the given cells,
// which may repeat. It restarts the entry hosts of a plain deployment.
func deployCells(t *testing.T, cells ...string) *deployment {
	t.Helper()
	d := deploy(t, 1, len(cells))
	var all []string
	for _, e := range d.entries {
		all = append(all, d.settings[e].Peers)
	}
	for i, e := range d.entries {
		d.kill(e)
		s := d.settings[e]
		s.Cell, s.Seeds, s.Cells = registrar.CellName(cells[i]), nil, nil
		for j := range cells {
			if cells[j] == cells[i] {
				s.Seeds = append(s.Seeds, all[j])
			} else {
				s.Cells = append(s.Cells, all[j])
			}
		}
		d.startDaemon(e)
	}
	return d
}

// waitCells waits until an entry host has logged that it knows count other cells.
func (d *deployment) waitCells(entry string, count int) {
	d.t.Helper()
	d.waitFor(entry+" to know the other cells", func() bool {
		data, err := os.ReadFile(filepath.Join(d.folder, entry+".log"))
		return err == nil && strings.Count(string(data), "another cell is known") >= count
	})
}

// TestCells guards against callers of a cell that are refused or get a broken answer
// when its only engine is killed while another cell has engines, and against work that
// stays in the other cell after the engine has come back.
func TestCells(t *testing.T) {
	d := deployCells(t, "west", "west", "east")
	d.apply(document(t, "a"), 0)
	west := d.entries[:2]
	d.startReference()
	d.startStub("engine-west", "--cell", "west", "--model", "lucka")
	// There are two engines, because requests in flight at a crash are resumed one at
	// a time on an upstream: eight in a row on a single engine take longer than the
	// target of 2 s.
	east := []string{"engine-east-1", "engine-east-2"}
	for _, s := range east {
		d.startStub(s, "--cell", "east", "--model", "lucka")
	}
	d.startStub("shop-east", "--cell", "east", "--service", "shop")
	for _, e := range west {
		d.waitUpstreams(e, 1)
		d.waitCells(e, 1)
	}
	d.waitUpstreams("entry-3", 3)
	for _, s := range append([]string{"engine-west"}, east...) {
		d.controlStub(s, `{"behaviour": {"gap": "5ms"}}`)
	}

	// The service has upstreams in the other cell only. That cell may be known by a
	// summary that it made before its service came; the next one follows within
	// seconds.
	for _, e := range west {
		d.waitFor(e+" to know the service of the other cell", func() bool {
			return d.send(t.Context(), e, "GET", "/svc/shop/boxes", "").status == http.StatusOK
		})
	}
	for i, e := range west {
		a := d.send(t.Context(), e, "POST", "/svc/shop/renew", "{}", "Idempotency-Key", fmt.Sprint("renewal-", i))
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
	runs := d.runs("shop-east")
	assert.Equal(t, runs["renewal-0"], 1, "%v", runs)
	assert.Equal(t, runs["renewal-1"], 1, "%v", runs)

	entries := d.entries
	d.entries = west
	l := startLoad(d, newBalancer(d), 8, 60)
	served := func(more int64) {
		from := l.served.Load()
		d.waitFor("requests to be served", func() bool { return l.served.Load() >= from+more })
	}
	served(50)
	assert.Equal(t, d.runs(east...)["generations"], 0, "work left a cell that could serve it")
	d.kill("engine-west")
	served(100)
	assert.Assert(t, d.runs(east...)["generations"] >= 100)
	d.entries = entries
	d.restart("engine-west")
	d.entries = west
	for _, e := range west {
		d.waitUpstreams(e, 1)
	}
	d.controlStub("engine-west", `{"behaviour": {"gap": "5ms"}}`)
	served(50)
	before := d.runs(east...)["generations"]
	served(100)
	assert.Equal(t, d.runs(east...)["generations"], before, "work stays in the other cell")
	assert.Assert(t, d.runs("engine-west")["generations"] >= 100)
	for _, f := range l.stop() {
		t.Error(f)
	}
}
