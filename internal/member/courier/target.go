package courier

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
)

// target is a host to ask. Cell is empty for a host of the own cell, and for a
// seed whose cell is not known.
type target struct {
	cell    registrar.CellName
	address string
}

// targets chooses whom to ask. It reads no clock and makes no calls.
type targets struct {
	self  string
	seeds []string
	// homes are the cells of the seeds that have answered.
	homes        map[string]registrar.CellName
	near, abroad registrar.Rotation
}

func newTargets(self string, seeds []string) *targets {
	return &targets{self: self, seeds: seeds, homes: map[string]registrar.CellName{}}
}

// choose returns the host to ask in a round, if there is one.
func (t *targets) choose(now time.Time, random *rand.Rand, m Membership, known []summarizer.Cell) []target {
	often := Abroad
	if m.IsDispatcher {
		often = AbroadOwner
	}
	if random.IntN(often) == 0 || len(m.Others) == 0 {
		if list := t.other(random, t.abroadOf(now, random, known)); len(list) > 0 {
			return list
		}
	}
	if a := t.near.Next(random, m.Others); a != "" {
		return []target{{address: a}}
	}
	return nil
}

// other picks a host of the cells in turn.
func (t *targets) other(random *rand.Rand, abroad []target) []target {
	names := make([]string, 0, len(abroad))
	for _, a := range abroad {
		names = append(names, a.turn())
	}
	if i := slices.Index(names, t.abroad.Next(random, names)); i >= 0 {
		return abroad[i : i+1]
	}
	return nil
}

// turn identifies the cell in the rotation, or the seed of an unknown cell.
func (a target) turn() string {
	if a.cell != "" {
		return string(a.cell)
	}
	return a.address
}

// abroadOf lists one host of each other cell, and the seeds whose cell is not
// known. Cells whose summaries have expired are still tried: their region may
// be in reach again.
func (t *targets) abroadOf(now time.Time, random *rand.Rand, known []summarizer.Cell) []target {
	var list []target
	live := map[registrar.CellName]bool{}
	used := map[string]bool{t.self: true}
	for _, c := range known {
		live[c.Cell] = c.Live(now)
		hosts := append([]string{c.Dispatcher}, c.Fallbacks...)
		a := hosts[random.IntN(len(hosts))]
		if a != "" && !used[a] {
			used[a] = true
			list = append(list, target{cell: c.Cell, address: a})
		}
	}
	for _, s := range t.seeds {
		if home, met := t.homes[s]; !used[s] && !(met && live[home]) {
			used[s] = true
			list = append(list, target{cell: home, address: s})
		}
	}
	return list
}

// answered notes the end of an exchange.
func (t *targets) answered(a target, from registrar.CellName, ok bool) {
	if ok && slices.Contains(t.seeds, a.address) {
		t.homes[a.address] = from
	}
}
