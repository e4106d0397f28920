// Package collector merges, at the owner of a cell, what entry hosts count of the requests
// that upstreams began, and estimates the time of day from the clocks of many hosts.
//
// Counts are cumulative for a source, which is one start of a process, and a window: the
// largest one counts. Messages can be applied twice and in any order, and the counts of a
// host that is gone stay.
//
// # Usage
//
//	c := collector.New()
//	late := c.Merge(collector.Source{Host: "e1", Boot: boot}, counts)
//	totals := c.Total(window)
//	c.Close(window) // what arrives from now on for it is late
//
// The package has no goroutines and no clock. Its types aren't safe for concurrent use.
package collector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/duty/provider"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/usage/counter"
)

const (
	// maxWindows is how many windows are kept; the oldest ones are dropped.
	maxWindows = 16
	// closedWindows is how many closed windows are kept, to recognise late counts.
	closedWindows = 2
	// maxEntries bounds the counts that are kept of a window: 1,024 hosts that each serve
	// 64 organisations in it.
	maxEntries = 1 << 16
	// maxName bounds the name of an organisation in a message, in bytes.
	maxName = 256
)

// Source is one start of a process on a host.
type Source struct {
	Host registrar.HostName
	Boot int64
}

// key identifies a count within a window.
type key struct {
	source       Source
	organisation validator.OrganisationName
}

// tally is one count and the position of its last change.
type tally struct {
	count   uint64
	changed Mark
	// hash is that of the host's name.
	hash uint64
}

// Mark is a position in the changes of a collector.
type Mark uint64

// window holds the counts of one window.
type window struct {
	counts map[key]tally
}

// Collector holds the counts of all sources.
type Collector struct {
	windows map[provider.Window]*window
	last    Mark
	// closed is the last window that is closed.
	closed provider.Window
}

// New returns a collector without counts.
func New() *Collector { return &Collector{windows: map[provider.Window]*window{}} }

// Merge takes over counts of a source. It returns how many requests belong to windows that
// are closed; they are not added.
func (c *Collector) Merge(s Source, counts []counter.Count) (late uint64) {
	for _, n := range counts {
		late += c.merge(s, n)
	}
	return late
}

func (c *Collector) merge(s Source, n counter.Count) (late uint64) {
	if n.Organisation == "" || len(n.Organisation) > maxName || n.Window <= c.closed-closedWindows {
		return 0
	}
	w := c.window(n.Window)
	k := key{source: s, organisation: n.Organisation}
	before, known := w.counts[k]
	if n.Count <= before.count || !known && len(w.counts) >= maxEntries {
		return 0
	}
	c.last++
	if !known {
		before.hash = xxhash.Sum64String(string(s.Host))
	}
	w.counts[k] = tally{count: n.Count, changed: c.last, hash: before.hash}
	if n.Window <= c.closed {
		return n.Count - before.count
	}
	return 0
}

// window returns the window, and drops the oldest ones beyond maxWindows.
func (c *Collector) window(k provider.Window) *window {
	w := c.windows[k]
	if w != nil {
		return w
	}
	w = &window{counts: map[key]tally{}}
	c.windows[k] = w
	for len(c.windows) > maxWindows {
		delete(c.windows, slices.Min(c.listWindows()))
	}
	return w
}

func (c *Collector) listWindows() []provider.Window {
	list := make([]provider.Window, 0, len(c.windows))
	for k := range c.windows {
		list = append(list, k)
	}
	return list
}

// Total returns the requests of each organisation in the window.
func (c *Collector) Total(k provider.Window) map[validator.OrganisationName]uint64 {
	total := map[validator.OrganisationName]uint64{}
	if w := c.windows[k]; w != nil {
		for n, t := range w.counts {
			total[n.organisation] += t.count
		}
	}
	return total
}

// Close ends the window and all before it. Counts that arrive for them from now on are
// late. The last of these windows are kept only to recognise repeats.
func (c *Collector) Close(k provider.Window) {
	c.closed = max(c.closed, k)
	for w := range c.windows {
		if w <= c.closed-closedWindows {
			delete(c.windows, w)
		}
	}
}

// Entry is one count of a source.
type Entry struct {
	Source Source
	counter.Count
}

// Part is one of several parts of the hosts. The zero value has none of them.
type Part struct{ Number, Of int }

// has reports whether the host with the hash belongs to the part.
func (p Part) has(hash uint64) bool { return p.Of > 0 && hash%uint64(p.Of) == uint64(p.Number) }

// Open lists the counts of the windows that are not closed and have changed since the
// mark, in a fixed order, and the mark for the next call. Mark 0 stands before all changes.
// The counts of the hosts in the part are listed whether they have changed or not.
func (c *Collector) Open(since Mark, part Part) ([]Entry, Mark) {
	var all []Entry
	for k, w := range c.windows {
		if k <= c.closed {
			continue
		}
		for n, t := range w.counts {
			if t.changed > since || part.has(t.hash) {
				all = append(all, Entry{n.source, counter.Count{Window: k, Organisation: n.organisation, Count: t.count}})
			}
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.Source.Host, b.Source.Host), cmp.Compare(a.Source.Boot, b.Source.Boot),
			cmp.Compare(a.Window, b.Window), cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return all, c.last
}
