package follower

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Times of the freshness rules.
const (
	// LeaseDuration is how long a confirmation is good for, from the start of the
	// exchange that confirmed.
	LeaseDuration = 5 * time.Second
	// FetchInterval is the least time between two attempts to get the same
	// revision.
	FetchInterval = 300 * time.Millisecond
	// MaxSources bounds the remembered sources of a newer revision.
	MaxSources = 8
)

// Source is the address of the host that a revision or confirmation came from.
type Source struct {
	Address string
	// Peer is true for an entry host and false for a control host.
	Peer bool
}

// Revision is an accepted configuration as control hands it out.
type Revision struct {
	Number uint64
	// Document is the configuration in JSON.
	Document []byte
	// Digest is the hex SHA-256 of the document.
	Digest string
	// Accepted is when control accepted it.
	Accepted time.Time
}

// Snapshot is the configuration in force.
type Snapshot struct {
	Revision uint64
	Document *validator.Document
	Digest   string
}

// Event is an input of the core.
type Event interface{ event() }

// Offered is a revision received from control or a peer.
type Offered struct {
	Revision Revision
	Source   Source
}

// Stored tells that a revision is durable, or that none needs to be.
type Stored struct{ Number uint64 }

// Heard tells that a host has the revision in force.
type Heard struct {
	Number uint64
	// Check is HashDigest of the digest.
	Check  uint64
	Source Source
}

// Confirmed tells that the revision was the current one at a time.
type Confirmed struct {
	Number uint64
	Check  uint64
	// At is the start of the exchange with control that confirmed.
	At     time.Time
	Source Source
}

// Tick lets time pass.
type Tick struct{}

func (Offered) event()   {}
func (Stored) event()    {}
func (Heard) event()     {}
func (Confirmed) event() {}
func (Tick) event()      {}

// Action is an output of the core.
type Action interface{ action() }

// Store asks to make a revision durable and to answer with Stored.
type Store struct{ Revision Revision }

// Enforce puts a revision in force.
type Enforce struct{ Snapshot Snapshot }

// Fetch asks for a revision, or a later one, from the source.
type Fetch struct {
	Number uint64
	Source Source
}

// Fault reports a revision that must not be enforced.
type Fault struct {
	Number uint64
	Source Source
	Err    error
}

// Freshness tells that the freshness lease started or ended.
type Freshness struct{ Fresh bool }

func (Store) action()     {}
func (Enforce) action()   {}
func (Fetch) action()     {}
func (Fault) action()     {}
func (Freshness) action() {}

// Decode reads a configuration document.
type Decode func([]byte) (*validator.Document, error)

// HashDigest is a short form of a digest for comparisons between peers.
func HashDigest(digest string) uint64 { return xxhash.Sum64String(digest) }

// Faults switches off single rules, so that tests can show that the checks
// detect a core without them.
type Faults struct {
	AcceptLower  bool
	RenewOnRelay bool
	TrustNumber  bool
}

// Core decides which revision is in force and whether it is fresh.
type Core struct {
	decode  Decode
	faults  Faults
	current Revision
	pending map[uint64]candidate
	// confirmed is the latest time up to which no revision after the current
	// one was accepted.
	confirmed time.Time
	fresh     bool
	// ahead is the newest revision known to exist, with the time of its
	// confirmation.
	ahead   ahead
	fetched time.Time
}

type candidate struct {
	revision Revision
	document *validator.Document
}

type ahead struct {
	number    uint64
	check     uint64
	confirmed time.Time
	sources   []Source
	next      int
}

// NewCore makes a core.
func NewCore(decode Decode, faults Faults) *Core {
	return &Core{decode: decode, faults: faults, pending: map[uint64]candidate{}}
}

// Step takes an event and returns what follows from it.
func (c *Core) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Offered:
		actions = c.offer(e)
	case Stored:
		actions = c.enforce(e.Number)
	case Heard:
		actions = c.hear(now, e)
	case Confirmed:
		actions = c.confirm(now, e)
	case Tick:
		actions = c.fetch(now)
	}
	if fresh := c.Fresh(now); fresh != c.fresh {
		c.fresh = fresh
		actions = append(actions, Freshness{Fresh: fresh})
	}
	return actions
}

// Current returns the revision in force; its number is 0 when there is none.
func (c *Core) Current() Revision { return c.current }

// Until returns the end of the freshness lease.
func (c *Core) Until() time.Time {
	if c.confirmed.IsZero() {
		return time.Time{}
	}
	return c.confirmed.Add(LeaseDuration)
}

// Confirmed returns the time up to which no later revision was accepted.
func (c *Core) Confirmed() time.Time { return c.confirmed }

// Fresh reports whether the current revision may be enforced.
func (c *Core) Fresh(now time.Time) bool {
	return c.current.Number > 0 && now.Before(c.Until())
}

func (c *Core) offer(e Offered) []Action {
	r := e.Revision
	fault := func(format string, args ...any) []Action {
		return []Action{Fault{Number: r.Number, Source: e.Source, Err: fmt.Errorf(format, args...)}}
	}
	if r.Number < c.current.Number && !c.faults.AcceptLower {
		return nil
	}
	if r.Number == c.current.Number {
		if r.Digest != c.current.Digest {
			return fault("revision %d has digest %s here and %s there", r.Number, c.current.Digest, r.Digest)
		}
		return nil
	}
	if sum := sha256.Sum256(r.Document); hex.EncodeToString(sum[:]) != r.Digest {
		return fault("the document of revision %d does not match its digest %s", r.Number, r.Digest)
	}
	if r.Number == c.ahead.number && c.ahead.check != HashDigest(r.Digest) && !c.ahead.confirmed.IsZero() {
		return fault("revision %d has digest %s, but control confirmed another one", r.Number, r.Digest)
	}
	if p, ok := c.pending[r.Number]; ok {
		if p.revision.Digest != r.Digest {
			return fault("revision %d arrived with the digests %s and %s", r.Number, p.revision.Digest, r.Digest)
		}
		return []Action{Store{Revision: p.revision}}
	}
	d, err := c.decode(r.Document)
	if err != nil {
		return fault("decode revision %d: %w", r.Number, err)
	}
	c.pending[r.Number] = candidate{revision: r, document: d}
	return []Action{Store{Revision: r}}
}

// enforce puts a durable revision in force, unless a later one already is.
func (c *Core) enforce(number uint64) []Action {
	p, ok := c.pending[number]
	delete(c.pending, number)
	if !ok || number <= c.current.Number && !c.faults.AcceptLower {
		return nil
	}
	c.current = p.revision
	for n := range c.pending {
		if n < number {
			delete(c.pending, n)
		}
	}
	// What was known of the revision before holds for a later one too: nothing
	// after it was accepted up to that time.
	if c.ahead.number <= number {
		if c.ahead.confirmed.After(c.confirmed) {
			c.confirmed = c.ahead.confirmed
		}
		c.ahead = ahead{}
	}
	return []Action{Enforce{Snapshot: Snapshot{Revision: number, Document: p.document, Digest: p.revision.Digest}}}
}

func (c *Core) hear(now time.Time, e Heard) []Action {
	switch {
	case e.Number == c.current.Number && e.Number > 0 && e.Check != HashDigest(c.current.Digest):
		return []Action{Fault{Number: e.Number, Source: e.Source, Err: fmt.Errorf("revision %d has another digest than %s there", e.Number, c.current.Digest)}}
	case e.Number <= c.current.Number:
		return nil
	case e.Number > c.ahead.number:
		c.ahead = ahead{number: e.Number, check: e.Check}
		c.fetched = time.Time{}
	case e.Number < c.ahead.number:
		return c.fetch(now)
	}
	c.ahead.add(e.Source)
	return c.fetch(now)
}

func (a *ahead) add(s Source) {
	for _, known := range a.sources {
		if known == s {
			return
		}
	}
	if len(a.sources) < MaxSources {
		a.sources = append(a.sources, s)
	}
}

// fetch asks the known sources of a newer revision in turn.
func (c *Core) fetch(now time.Time) []Action {
	if c.ahead.number <= c.current.Number || len(c.ahead.sources) == 0 || now.Sub(c.fetched) < FetchInterval {
		return nil
	}
	c.fetched = now
	s := c.ahead.sources[c.ahead.next%len(c.ahead.sources)]
	c.ahead.next++
	return []Action{Fetch{Number: c.ahead.number, Source: s}}
}

// confirm renews the lease when no revision after the current one was accepted
// up to the time of the confirmation. A confirmation of a later revision is kept
// until that one is in force; it does nothing for the current one, whose lease
// then ends.
func (c *Core) confirm(now time.Time, e Confirmed) []Action {
	if e.At.After(now) || c.faults.RenewOnRelay {
		e.At = now
	}
	actions := c.hear(now, Heard{Number: e.Number, Check: e.Check, Source: e.Source})
	switch {
	case e.Number == 0:
	case e.Number == c.current.Number && e.Check != HashDigest(c.current.Digest):
	case e.Number <= c.current.Number || c.faults.TrustNumber:
		if e.At.After(c.confirmed) {
			c.confirmed = e.At
		}
	case e.Number == c.ahead.number:
		if e.At.After(c.ahead.confirmed) {
			c.ahead.check, c.ahead.confirmed = e.Check, e.At
		}
	}
	return actions
}
