package courier

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
)

// target is a host to ask. Its cell is empty for a host of the own cell, and for a
// seed whose cell is not known.
type target struct {
	cell    registrar.CellName
	address string
}

// targets chooses the host to ask. It reads no clock and makes no calls.
type targets struct {
	self  string
	seeds []string
	// seedCells are the cells of the seeds that have responded, by address.
	seedCells map[string]registrar.CellName
	// ownCell chooses among the hosts of the own cell, otherCells among the other cells.
	ownCell, otherCells registrar.Rotation
}

func newTargets(self string, seeds []string) *targets {
	return &targets{self: self, seeds: seeds, seedCells: map[string]registrar.CellName{}}
}

// choose returns the host to ask in a round, or nothing if there is none.
func (t *targets) choose(now time.Time, random *rand.Rand, m Membership, known []summarizer.Cell) []target {
	often := OtherCellRounds
	if m.IsDispatcher {
		often = DispatcherOtherCellRounds
	}
	if random.IntN(often) == 0 || len(m.Others) == 0 {
		if list := t.chooseOtherCell(random, t.otherCellTargets(now, random, known)); len(list) > 0 {
			return list
		}
	}
	if a := t.ownCell.Next(random, m.Others); a != "" {
		return []target{{address: a}}
	}
	return nil
}

// chooseOtherCell picks the host of one of the other cells, so that all cells are visited
// in turn.
func (t *targets) chooseOtherCell(random *rand.Rand, candidates []target) []target {
	names := make([]string, 0, len(candidates))
	for _, a := range candidates {
		names = append(names, a.rotationKey())
	}
	if i := slices.Index(names, t.otherCells.Next(random, names)); i >= 0 {
		return candidates[i : i+1]
	}
	return nil
}

// rotationKey identifies the cell in the rotation, or the seed if its cell is not known.
func (a target) rotationKey() string {
	if a.cell != "" {
		return string(a.cell)
	}
	return a.address
}

// otherCellTargets lists one random host of each other cell, and the seeds whose cell is
// not known or has no valid summary. Cells whose summaries have expired are still tried,
// because their region may be reachable again.
func (t *targets) otherCellTargets(now time.Time, random *rand.Rand, known []summarizer.Cell) []target {
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
		if home, met := t.seedCells[s]; !used[s] && !(met && live[home]) {
			used[s] = true
			list = append(list, target{cell: home, address: s})
		}
	}
	return list
}

// answered records the cell of a seed that has responded.
func (t *targets) answered(a target, from registrar.CellName, ok bool) {
	if ok && slices.Contains(t.seeds, a.address) {
		t.seedCells[a.address] = from
	}
}
