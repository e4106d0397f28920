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
	// LeaseDuration is how long a confirmation keeps the revision fresh, from the
	// start of the exchange with control that confirmed it.
	LeaseDuration = 5 * time.Second
	// FetchInterval is the minimum time between two attempts to fetch the same
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

// Revision is an accepted configuration as control publishes it.
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

// Stored reports that a revision is durable, or doesn't need to be.
type Stored struct{ Number uint64 }

// Heard reports that another host has the revision in force.
type Heard struct {
	Number uint64
	// Check is the HashDigest of the revision's digest.
	Check  uint64
	Source Source
}

// Confirmed reports that the revision was the current one at a time.
type Confirmed struct {
	Number uint64
	// Check is the HashDigest of the revision's digest.
	Check uint64
	// At is the start of the exchange with control that confirmed.
	At     time.Time
	Source Source
}

// Tick reports that time has passed.
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

// Freshness reports that the freshness lease started or ended.
type Freshness struct{ Fresh bool }

func (Store) action()     {}
func (Enforce) action()   {}
func (Fetch) action()     {}
func (Fault) action()     {}
func (Freshness) action() {}

// Decode reads a configuration document. It returns an error for an invalid one.
type Decode func([]byte) (*validator.Document, error)

// HashDigest returns a short hash of a digest, for comparisons between hosts.
func HashDigest(digest string) uint64 { return xxhash.Sum64String(digest) }

// Faults switches off single rules, so that tests can show that the checks
// detect a core without them.
type Faults struct {
	// AcceptLower enforces revisions that are lower than the current one.
	AcceptLower bool
	// RenewAtReceipt counts the lease from the receipt of a confirmation, not from
	// the exchange with control.
	RenewAtReceipt bool
	// RenewOnNewer renews the lease of the current revision when a newer one is
	// confirmed.
	RenewOnNewer bool
}

// Core decides which revision is in force and whether it is fresh.
type Core struct {
	decode  Decode
	faults  Faults
	current Revision
	pending map[uint64]pendingRevision
	// confirmed is the latest time up to which no revision after the current
	// one was accepted.
	confirmed time.Time
	fresh     bool
	// newer is the newest revision known to exist that is not in force yet, with the
	// time of its confirmation.
	newer     newerRevision
	lastFetch time.Time
}

type pendingRevision struct {
	revision Revision
	document *validator.Document
}

type newerRevision struct {
	number    uint64
	check     uint64
	confirmed time.Time
	sources   []Source
	next      int
}

// NewCore makes a core.
func NewCore(decode Decode, faults Faults) *Core {
	return &Core{decode: decode, faults: faults, pending: map[uint64]pendingRevision{}}
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

// Until returns the end of the freshness lease, or the zero time when there is no
// confirmation.
func (c *Core) Until() time.Time {
	if c.confirmed.IsZero() {
		return time.Time{}
	}
	return c.confirmed.Add(LeaseDuration)
}

// Confirmed returns the time up to which no revision after the current one was
// accepted, or the zero time when it is unknown.
func (c *Core) Confirmed() time.Time { return c.confirmed }

// Fresh reports whether the current revision may be enforced.
func (c *Core) Fresh(now time.Time) bool {
	return c.current.Number > 0 && now.Before(c.Until())
}

// offer checks a revision and asks to store it before it is enforced.
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
	if r.Number == c.newer.number && c.newer.check != HashDigest(r.Digest) && !c.newer.confirmed.IsZero() {
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
	c.pending[r.Number] = pendingRevision{revision: r, document: d}
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
	// What was known before about this or an earlier revision holds for this one
	// too: nothing after it was accepted up to that time.
	if c.newer.number <= number {
		if c.newer.confirmed.After(c.confirmed) {
			c.confirmed = c.newer.confirmed
		}
		c.newer = newerRevision{}
	}
	return []Action{Enforce{Snapshot: Snapshot{Revision: number, Document: p.document, Digest: p.revision.Digest}}}
}

// hear records a source of a newer revision and fetches the revision from it.
func (c *Core) hear(now time.Time, e Heard) []Action {
	switch {
	case e.Number == c.current.Number && e.Number > 0 && e.Check != HashDigest(c.current.Digest):
		return []Action{Fault{Number: e.Number, Source: e.Source, Err: fmt.Errorf("revision %d has another digest than %s there", e.Number, c.current.Digest)}}
	case e.Number <= c.current.Number:
		return nil
	case e.Number > c.newer.number:
		c.newer = newerRevision{number: e.Number, check: e.Check}
		c.lastFetch = time.Time{}
	case e.Number < c.newer.number:
		return c.fetch(now)
	}
	c.newer.add(e.Source)
	return c.fetch(now)
}

func (a *newerRevision) add(s Source) {
	for _, known := range a.sources {
		if known == s {
			return
		}
	}
	if len(a.sources) < MaxSources {
		a.sources = append(a.sources, s)
	}
}

// fetch asks the known sources of a newer revision in turn, at most one in each
// FetchInterval.
func (c *Core) fetch(now time.Time) []Action {
	if c.newer.number <= c.current.Number || len(c.newer.sources) == 0 || now.Sub(c.lastFetch) < FetchInterval {
		return nil
	}
	c.lastFetch = now
	s := c.newer.sources[c.newer.next%len(c.newer.sources)]
	c.newer.next++
	return []Action{Fetch{Number: c.newer.number, Source: s}}
}

// confirm renews the lease when no revision after the current one was accepted
// up to the time of the confirmation. A confirmation of a later revision is kept
// until that one is in force; it does nothing for the current one, whose lease
// then ends.
func (c *Core) confirm(now time.Time, e Confirmed) []Action {
	if e.At.After(now) || c.faults.RenewAtReceipt {
		e.At = now
	}
	actions := c.hear(now, Heard{Number: e.Number, Check: e.Check, Source: e.Source})
	switch {
	case e.Number == 0:
	case e.Number == c.current.Number && e.Check != HashDigest(c.current.Digest):
	case e.Number <= c.current.Number || c.faults.RenewOnNewer:
		if e.At.After(c.confirmed) {
			c.confirmed = e.At
		}
	case e.Number == c.newer.number:
		if e.At.After(c.newer.confirmed) {
			c.newer.check, c.newer.confirmed = e.Check, e.At
		}
	}
	return actions
}
