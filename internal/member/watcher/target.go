package watcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// targets chooses the host to ask.
type targets struct {
	// failed holds when each address last failed to respond.
	failed map[string]time.Time
}

// fail records that the address did not respond.
func (t *targets) fail(address string, now time.Time) { t.failed[address] = now }

// available reports whether the address has not failed within failureMemory.
func (t *targets) available(address string, now time.Time) bool {
	at, ok := t.failed[address]
	if ok && now.Sub(at) >= failureMemory {
		delete(t.failed, address)
		return true
	}
	return !ok
}

// choose returns the address of an available host. Hosts in the own data centre are
// preferred, and among equals the one with the highest rendezvous hash with this host's
// name, so that each host is asked by about as many others. It returns "" if there is none.
func (t *targets) choose(now time.Time, self registrar.Host, hosts []registrar.Host) string {
	best, near, highest := "", false, uint64(0)
	for _, h := range hosts {
		if h.Address == "" || h.Left || !t.available(h.Address, now) {
			continue
		}
		weight := xxhash.Sum64String(string(self.Name) + " " + string(h.Name))
		local := h.Centre == self.Centre
		if best == "" || local && !near || local == near && weight > highest {
			best, near, highest = h.Address, local, weight
		}
	}
	return best
}

// seed returns an address to ask if no host is available. The one whose last failure is the
// oldest comes first, so that all are tried in turn. It returns "" if there is none.
func (t *targets) seed(now time.Time, seeds []string, hosts []registrar.Host) string {
	all := slices.Clone(seeds)
	for _, h := range hosts {
		if h.Address != "" && !slices.Contains(all, h.Address) {
			all = append(all, h.Address)
		}
	}
	if len(all) == 0 {
		return ""
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return slices.MinFunc(all, func(a, b string) int { return t.failed[a].Compare(t.failed[b]) })
}
