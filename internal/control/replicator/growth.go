package replicator

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const (
	// silentTime is how long a voter has to be silent before a caught-up
	// learner under another name takes its place. It is longer than an
	// election, and short because the group tolerates one loss less until then.
	silentTime = 2 * time.Second
	// maximumMembers bounds the group, voters and learners together.
	maximumMembers = 16
)

// acquaintances lists the hosts to which a replica without a leader introduces
// itself.
func (r *Replicator) acquaintances() []string {
	names := slices.Concat(r.options.Founders, r.options.Contacts)
	for _, m := range r.membership().Members {
		names = append(names, m.Name)
	}
	for n := range r.known {
		names = append(names, n)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(n string) bool { return n == r.options.Name })
}

// remember notes the members that the answer to a hello named: the contacts of a
// replica that joins late may all be followers, and the leader has to hear of it.
func (r *Replicator) remember(members []*record.Member) {
	for _, m := range members {
		if r.known == nil {
			r.known = map[string]bool{}
		}
		if len(r.known) < maximumMembers {
			r.known[m.Name] = true
		}
	}
}

// grows reports whether the group admits a host under a name that it doesn't
// know.
func (r *Replicator) grows(m *record.Membership) bool {
	return r.options.Voters > 0 && len(m.Members) < maximumMembers
}

// dropSilent removes the voter that was silent for longest, so that a learner
// can take its place, or returns nil when all voters answer. The others must
// still form a quorum without it.
func (r *Replicator) dropSilent(m *record.Membership) *record.Membership {
	silent, longest := -1, silentTime
	for i, x := range m.Members {
		if d := r.silence(ID(x.Id)); x.Voter && d > longest {
			silent, longest = i, d
		}
	}
	if silent < 0 {
		return nil
	}
	lost := m.Members[silent]
	if remaining := voters(m) - 1; r.countActive(ID(lost.Id)) < remaining/2+1 {
		return nil
	}
	m.Members = slices.Delete(m.Members, silent, silent+1)
	m.Retired = append(m.Retired, lost.Id)
	r.emit(Note{Text: "removed a silent voter in favour of a host that caught up", Name: lost.Name, ID: ID(lost.Id)})
	return m
}

// silence is how long the leader has not heard from a member.
func (r *Replicator) silence(id ID) time.Duration {
	p := r.progress[id]
	if p == nil {
		return 0
	}
	since := p.activeAt
	if since.Before(r.leadingAt) {
		since = r.leadingAt
	}
	return r.now.Sub(since)
}

// tellRetired tells a replica that the group has removed it.
func (r *Replicator) tellRetired(c *record.Member) {
	r.emit(Send{Name: c.Name, Address: c.Address, Durable: true, Message: &record.Message{
		Kind: record.Message_KIND_RETIRED, Group: r.group, From: uint64(r.id), To: c.Id, Term: r.term,
	}})
}

// receiveRetired passes on that this replica was removed.
func (r *Replicator) receiveRetired(m *record.Message) {
	if ID(m.To) == r.id && m.Group == r.group && r.group != 0 {
		r.emit(Retire{})
	}
}
