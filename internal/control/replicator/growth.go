package replicator

import (
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const (
	// silentVoterTimeout is how long a voter must be silent before a learner
	// that caught up under another name replaces it. It is longer than an
	// election takes, and short because the group tolerates one loss less until
	// then.
	silentVoterTimeout = 2 * time.Second
	// maximumMembers limits the members of the group, voters and learners
	// together.
	maximumMembers = 16
)

// helloTargets returns the names of the hosts to which a replica without a
// leader sends hellos, sorted.
func (r *Replicator) helloTargets() []string {
	names := slices.Concat(r.options.Founders, r.options.Contacts)
	for _, m := range r.membership().Members {
		names = append(names, m.Name)
	}
	for n := range r.knownNames {
		names = append(names, n)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(n string) bool { return n == r.options.Name })
}

// rememberNames records the members that a hello reply named. The contacts of a
// replica that joins late may all be followers, but the hello has to reach the
// leader.
func (r *Replicator) rememberNames(members []*record.Member) {
	for _, m := range members {
		if r.knownNames == nil {
			r.knownNames = map[string]bool{}
		}
		if len(r.knownNames) < maximumMembers {
			r.knownNames[m.Name] = true
		}
	}
}

// mayGrow reports whether the group admits a host whose name isn't in the
// membership.
func (r *Replicator) mayGrow(m *record.Membership) bool {
	return r.options.Voters > 0 && len(m.Members) < maximumMembers
}

// removeSilentVoter returns the membership without the voter that was silent
// for longest, so that a learner can take its place. It returns nil when no
// voter is silent or the others don't form a quorum without it.
func (r *Replicator) removeSilentVoter(m *record.Membership) *record.Membership {
	silent, longest := -1, silentVoterTimeout
	for i, x := range m.Members {
		if d := r.silentFor(ID(x.Id)); x.Voter && d > longest {
			silent, longest = i, d
		}
	}
	if silent < 0 {
		return nil
	}
	lost := m.Members[silent]
	if remaining := countVoters(m) - 1; r.countActive(ID(lost.Id)) < remaining/2+1 {
		return nil
	}
	m.Members = slices.Delete(m.Members, silent, silent+1)
	m.Retired = append(m.Retired, lost.Id)
	r.emit(Note{Text: "removed a silent voter in favour of a host that caught up", Name: lost.Name, ID: ID(lost.Id)})
	return m
}

// silentFor returns how long this replica, while leading, has not heard from a
// member.
func (r *Replicator) silentFor(id ID) time.Duration {
	p := r.progress[id]
	if p == nil {
		return 0
	}
	since := p.lastReplyAt
	if since.Before(r.leadingAt) {
		since = r.leadingAt
	}
	return r.now.Sub(since)
}

// sendRetired tells a replica that the group has removed it.
func (r *Replicator) sendRetired(removed *record.Member) {
	r.emit(Send{Name: removed.Name, Address: removed.Address, Durable: true, Message: &record.Message{
		Kind: record.Message_KIND_RETIRED, Group: r.group, From: uint64(r.id), To: removed.Id, Term: r.term,
	}})
}

// receiveRetired reports that the group has removed this replica.
func (r *Replicator) receiveRetired(m *record.Message) {
	if ID(m.To) == r.id && m.Group == r.group && r.group != 0 {
		r.emit(Retired{})
	}
}
