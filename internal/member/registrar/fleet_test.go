package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// fleet runs registrars with a fake clock and network. A run is determined by its seed and
// its script.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	queue   []scheduled
	hosts   []*member
	sources []*source
	// loss is the share of messages that are lost. copies is the share of messages
	// that arrive a second time, up to late afterwards.
	loss, copies float64
	late         time.Duration
	// severed reports whether two hosts can't reach each other.
	severed func(a, b int) bool
	failure string
}

type member struct {
	*registrar.Registrar
	index  int
	dead   bool
	frozen bool
	// buffered holds what arrived while the host was frozen.
	buffered []func()
	rotation registrar.Rotation
	rounds   int
}

// source is an upstream and what the checks know of it.
type source struct {
	// news is its latest announcement.
	news   registrar.Upstream
	silent bool
	// received is when a host last received an announcement of the live upstream.
	received time.Time
}

type scheduled struct {
	at  time.Time
	run func()
}

const (
	exchangeInterval = 200 * time.Millisecond
	exchangeTimeout  = 700 * time.Millisecond
	beat             = 50 * time.Millisecond
)

func newFleet(seed uint64, hosts, upstreams int, options ...registrar.Option) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_000_000, 0),
		severed: func(int, int) bool { return false },
	}
	for i := range hosts {
		m := &member{index: i, Registrar: registrar.New(f.now, registrar.Host{
			Name: registrar.HostName(fmt.Sprintf("entry-%02d", i)), Address: fmt.Sprint(i), Incarnation: 1,
		}, options...)}
		f.hosts = append(f.hosts, m)
		f.after(f.spread(beat), func() { f.beat(m) })
		f.after(f.spread(exchangeInterval), func() { f.exchange(m) })
	}
	for i := range upstreams {
		s := &source{news: registrar.Upstream{
			Name: registrar.UpstreamID(fmt.Sprintf("hay-%02d", i)), Address: "a:1", Incarnation: 1,
			Models: []validator.PoolName{"hay"}, Slots: 4,
		}}
		f.sources = append(f.sources, s)
		f.after(f.spread(registrar.RenewalInterval), func() { f.renew(s) })
	}
	return f
}

func (f *fleet) spread(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

func (f *fleet) after(d time.Duration, run func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.queue, at, func(s scheduled, t time.Time) int { return s.at.Compare(t) })
	f.queue = slices.Insert(f.queue, i, scheduled{at, run})
}

// advance runs the fleet and checks every host after each event.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) && f.failure == "" {
		s := f.queue[0]
		f.queue = f.queue[1:]
		f.now = s.at
		s.run()
		f.checkGone()
	}
	f.now = end
}

// at runs a delivery to a host: at once, after the thaw if it is frozen, or never if it is
// dead.
func (f *fleet) at(m *member, run func()) {
	switch {
	case m.dead:
	case m.frozen:
		m.buffered = append(m.buffered, run)
	default:
		run()
	}
}

func (f *fleet) unfreeze(m *member) {
	m.frozen = false
	waiting := m.buffered
	m.buffered = nil
	for _, run := range waiting {
		run()
	}
}

func (f *fleet) beat(m *member) {
	f.at(m, func() { m.Step(f.now, registrar.Tick{}) })
	f.after(beat, func() { f.beat(m) })
}

// send carries a message with delay, loss and copies.
func (f *fleet) send(run func()) {
	if f.random.Float64() >= f.loss {
		f.after(time.Millisecond+f.spread(5*time.Millisecond), run)
	}
	if f.random.Float64() < f.copies {
		f.after(f.spread(f.late), run)
	}
}

// choose picks a live host, and in every tenth round any host, as seeds do.
func (f *fleet) choose(m *member) *member {
	m.rounds++
	var live []string
	for _, h := range m.Snapshot().Hosts() {
		if h.Address != m.Self().Host.Address {
			live = append(live, h.Address)
		}
	}
	if len(live) == 0 || m.rounds%10 == 0 {
		if i := f.random.IntN(len(f.hosts)); i != m.index {
			return f.hosts[i]
		}
	}
	next := m.rotation.Next(f.random, live)
	if next == "" {
		return nil
	}
	return f.hosts[slices.IndexFunc(f.hosts, func(h *member) bool { return h.Self().Host.Address == next })]
}

func (f *fleet) exchange(m *member) {
	f.after(time.Duration((0.75+f.random.Float64()/2)*float64(exchangeInterval)), func() { f.exchange(m) })
	if p := f.choose(m); p != nil {
		f.ask(m, p)
	}
}

// ask makes m ask p, which asks back if m has announcements that no host has asked for.
func (f *fleet) ask(m, p *member) {
	if m.dead || m.frozen || f.severed(m.index, p.index) {
		return
	}
	began := f.now
	known, heard, self := m.Vector(), m.Heard(), m.Self()
	fresh := m.HasUnsent()
	if m.TakeRepair() {
		known = nil
	}
	f.send(func() {
		f.at(p, func() {
			if fresh {
				f.ask(p, m)
			}
			p.Step(f.now, registrar.ObservePeer{Hosts: []registrar.HostDescription{self}, Heard: heard})
			u := p.Update(f.now, known)
			f.send(func() {
				f.at(m, func() {
					// Copies model messages that the network delayed. Other
					// responses are lost once the call has timed out.
					if f.late > 0 || f.now.Sub(began) < exchangeTimeout {
						m.Step(f.now, registrar.Merge{From: p.Self().Host.Name, Began: began, Update: u})
					}
				})
			})
		})
	})
}

// renew announces to a random host, and to up to two more while the chosen one doesn't
// answer. A frozen host receives the announcement after its thaw.
func (f *fleet) renew(s *source) {
	f.after(registrar.RenewalInterval, func() { f.renew(s) })
	if s.silent || s.news.Leaving {
		return
	}
	s.news.Sequence++
	news := s.news
	for range 3 {
		m := f.hosts[f.random.IntN(len(f.hosts))]
		f.announce(m, s, news)
		if !m.dead && !m.frozen {
			return
		}
	}
}

func (f *fleet) announce(m *member, s *source, news registrar.Upstream) {
	if !m.dead && !m.frozen && !news.Leaving {
		s.received = f.now.Add(7 * time.Millisecond)
	}
	deliver := func() { f.at(m, func() { m.Step(f.now, registrar.Announce{Upstream: news}) }) }
	// The upstream repeats an announcement that is not answered, so no announcement
	// is lost while hosts are reachable.
	f.after(time.Millisecond+f.spread(5*time.Millisecond), deliver)
	if f.random.Float64() < f.copies {
		f.after(f.spread(f.late), deliver)
	}
}

// leave announces the departure of an upstream to one host only.
func (f *fleet) leave(s *source, m *member) {
	s.news.Leaving = true
	s.news.Sequence++
	f.announce(m, s, s.news)
}

// checkGone records a failure if a host lists an upstream more than a lease after its last
// announcement.
func (f *fleet) checkGone() {
	for _, s := range f.sources {
		if f.now.Sub(s.received) <= registrar.Lease {
			continue
		}
		for _, m := range f.hosts {
			if _, ok := m.Snapshot().Upstream(f.now, s.news.Name); ok && !m.dead && !m.frozen {
				f.failure = fmt.Sprintf("%s shows %s %v after its last announcement", m.Self().Host.Name, s.news.Name, f.now.Sub(s.received))
			}
		}
	}
}

// missing names a live upstream that a host doesn't list, or returns "".
func (f *fleet) missing() string {
	for _, m := range f.hosts {
		for _, s := range f.sources {
			if _, ok := m.Snapshot().Upstream(f.now, s.news.Name); !ok && !m.dead && !m.frozen && !s.silent && !s.news.Leaving {
				return fmt.Sprintf("%s misses %s", m.Self().Host.Name, s.news.Name)
			}
		}
	}
	return ""
}

// divided describes how the views of two live hosts differ, or returns "".
func (f *fleet) divided() string {
	var first *member
	for _, m := range f.hosts {
		switch {
		case m.dead:
		case first == nil:
			first = m
		case m.Snapshot().Digest(f.now) != first.Snapshot().Digest(f.now) || m.Snapshot().Owner("main") != first.Snapshot().Owner("main"):
			return fmt.Sprintf("%s sees [%s], %s sees [%s]", first.Self().Host.Name, first, m.Self().Host.Name, m)
		}
	}
	return ""
}

// shown counts the hosts that list the upstream.
func (f *fleet) shown(s *source) int {
	n := 0
	for _, m := range f.hosts {
		if _, ok := m.Snapshot().Upstream(f.now, s.news.Name); ok {
			n++
		}
	}
	return n
}
