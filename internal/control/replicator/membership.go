package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// indexedMembership is a membership and the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership *record.Membership
}

// introduction is the hello reply of a blank founder and the time of its
// arrival.
type introduction struct {
	member *record.Member
	at     time.Time
}

// newcomer is a replica that introduced itself to the leader, and the time at
// which it did.
type newcomer struct {
	member *record.Member
	at     time.Time
}

// membership returns the latest membership in the log, committed or not.
func (r *Replicator) membership() *record.Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// committedMembership reports whether the latest membership is committed.
func (r *Replicator) committedMembership() bool {
	return r.memberships[len(r.memberships)-1].index <= r.commit
}

// membershipAt returns the membership in force at the index.
func (r *Replicator) membershipAt(index uint64) *record.Membership {
	m := r.memberships[0].membership
	for _, p := range r.memberships {
		if p.index <= index {
			m = p.membership
		}
	}
	return m
}

// addMemberships records the membership entries among new log entries. They
// take effect at once.
func (r *Replicator) addMemberships(entries []*record.Entry) {
	for _, e := range entries {
		if e.Kind != record.Entry_KIND_MEMBERSHIP {
			continue
		}
		r.memberships = append(r.memberships, indexedMembership{index: e.Index, membership: decodeMembership(e)})
		if r.role == Leader {
			r.syncProgress()
		}
	}
}

// dropMemberships forgets the memberships whose entries were at index or after
// it.
func (r *Replicator) dropMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Replicator) member(id ID) *record.Member {
	for _, m := range r.membership().Members {
		if ID(m.Id) == id {
			return m
		}
	}
	return nil
}

func (r *Replicator) isVoter(id ID) bool {
	m := r.member(id)
	return m != nil && m.Voter
}

// quorum returns the number of voters that form a majority.
func (r *Replicator) quorum() int { return countVoters(r.membership())/2 + 1 }

func countVoters(m *record.Membership) int {
	count := 0
	for _, x := range m.Members {
		if x.Voter {
			count++
		}
	}
	return count
}

// changeMembership appends a membership entry if the previous one is committed
// and the new one differs by at most one voter, so that every quorum of the old
// membership overlaps every quorum of the new one. Otherwise it emits Refused.
func (r *Replicator) changeMembership(m *record.Membership) {
	if !r.ready() || r.transferee != 0 || !r.committedMembership() || !r.changesOneVoterAtMost(m) {
		r.emit(Refused{})
		return
	}
	if over := len(m.Retired) - maximumRetired; over > 0 {
		m.Retired = m.Retired[over:]
	}
	r.appendEntries([]*record.Entry{{
		Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(m), Time: r.now.UnixNano(),
	}})
	r.advanceCommit()
}

// changesOneVoterAtMost reports whether the new membership adds or removes at
// most one voter, keeps at least one and contains no retired identity.
func (r *Replicator) changesOneVoterAtMost(m *record.Membership) bool {
	changed := 0
	for _, x := range m.Members {
		if x.Voter && !r.isVoter(ID(x.Id)) {
			changed++
		}
		if slices.Contains(r.membership().Retired, x.Id) {
			return false
		}
	}
	for _, x := range r.membership().Members {
		if x.Voter && !slices.ContainsFunc(m.Members, func(y *record.Member) bool { return y.Id == x.Id && y.Voter }) {
			changed++
		}
	}
	return changed <= 1 && countVoters(m) > 0
}

// hello introduces a replica without a leader to the other hosts. The only
// founder of a group forms it at once.
func (r *Replicator) hello() {
	if r.group == 0 && len(r.options.Founders) == 1 && r.options.Founders[0] == r.options.Name {
		r.formGroup()
		return
	}
	for _, n := range r.helloTargets() {
		r.introduce(record.Message_KIND_HELLO, n, 0)
	}
}

// introduce sends a hello or the reply to one. It includes the founders, so
// that hosts with different settings never form a group together.
func (r *Replicator) introduce(kind record.Message_Kind, name string, to uint64) {
	m := &record.Message{
		Kind: kind, Group: r.group, From: uint64(r.id), To: to,
		Name: r.options.Name, Address: r.options.Address, Centre: r.options.Centre,
		Founders: r.options.Founders, Index: r.log.last(),
	}
	if kind == record.Message_KIND_HELLO_REPLY {
		m.Members = r.membership().Members
	}
	r.emit(Send{Name: name, Durable: true, Message: m})
}

// receiveHello replies to a hello, and records who sent the hello or the reply.
func (r *Replicator) receiveHello(m *record.Message) {
	if m.To != 0 && ID(m.To) != r.id || ID(m.From) == r.id {
		return
	}
	if m.Kind == record.Message_KIND_HELLO {
		r.introduce(record.Message_KIND_HELLO_REPLY, m.Name, m.From)
	}
	r.rememberNames(m.Members)
	member := &record.Member{Id: m.From, Name: m.Name, Address: m.Address, Centre: m.Centre}
	switch {
	case r.group == 0 && m.Kind == record.Message_KIND_HELLO_REPLY:
		r.collectIntroduction(m, member)
	case r.role == Leader && (m.Group == 0 || m.Group == r.group):
		r.newcomers[m.Name] = newcomer{member: member, at: r.now}
	}
}

// collectIntroduction records the reply of a blank founder. The first founder
// forms the group when all others have replied within introductionLifetime.
func (r *Replicator) collectIntroduction(m *record.Message, member *record.Member) {
	if m.Group != 0 || !slices.Equal(m.Founders, r.options.Founders) {
		delete(r.introductions, m.Name)
		return
	}
	r.introductions[m.Name] = introduction{member: member, at: r.now}
	if len(r.options.Founders) == 0 || r.options.Founders[0] != r.options.Name {
		return
	}
	for _, n := range r.options.Founders {
		i, found := r.introductions[n]
		if n != r.options.Name && (!found || r.now.Sub(i.at) > introductionLifetime) {
			return
		}
	}
	if r.agrees() {
		r.startBallotEarly()
		return
	}
	r.formGroup()
}

// formGroup writes the initial membership into the log of the first founder.
func (r *Replicator) formGroup() {
	membership := &record.Membership{Members: []*record.Member{{
		Id: uint64(r.id), Name: r.options.Name, Address: r.options.Address,
		Centre: r.options.Centre, Voter: true,
	}}}
	for _, n := range r.options.Founders {
		if i, found := r.introductions[n]; found && n != r.options.Name {
			i.member.Voter = true
			membership.Members = append(membership.Members, i.member)
		}
	}
	r.introductions = map[string]introduction{}
	for r.group == 0 {
		r.group = r.random.Uint64()
	}
	r.term = 1
	e := &record.Entry{
		Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP,
		Data: encode(membership), Time: r.now.UnixNano(),
	}
	r.log.append([]*record.Entry{e})
	r.addMemberships([]*record.Entry{e})
	r.saveVote()
	r.saveEntries([]*record.Entry{e})
	r.emit(Note{Text: "formed a new group"})
	r.electionDeadline = r.now
}

// joinGroup reports whether the message belongs to this replica's group. A
// blank replica joins the group of the first message addressed to its identity,
// because the members of that group chose the identity.
func (r *Replicator) joinGroup(m *record.Message) bool {
	if r.group == 0 && m.Group != 0 {
		r.group = m.Group
		r.introductions = map[string]introduction{}
		r.saveVote()
		r.emit(Note{Text: "joined the group", Name: m.Name, ID: ID(m.From)})
	}
	return r.group != 0 && m.Group == r.group
}

// advanceMembership makes the next automatic membership change, such as a step
// towards replacing a replica that lost its disk. It waits until the previous
// change is committed.
func (r *Replicator) advanceMembership() {
	if !r.ready() || r.transferee != 0 || !r.committedMembership() {
		return
	}
	if m := r.nextMembership(); m != nil {
		r.changeMembership(m)
	}
}

// nextMembership returns the membership after the next automatic change, or
// nil. In order of precedence, a change updates the address or data centre of
// this replica, admits or updates a member that sent a hello, or replaces a
// voter by a learner or promotes the learner.
func (r *Replicator) nextMembership() *record.Membership {
	o := r.options
	if m := r.member(r.id); m != nil && (m.Address != o.Address || m.Centre != o.Centre) {
		return r.admitMember(&record.Member{Id: m.Id, Name: m.Name, Address: o.Address, Centre: o.Centre})
	}
	names := make([]string, 0, len(r.newcomers))
	for n := range r.newcomers {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		c := r.newcomers[n]
		delete(r.newcomers, n)
		if r.now.Sub(c.at) > introductionLifetime {
			continue
		}
		if m := r.admitMember(c.member); m != nil {
			return m
		}
	}
	for _, x := range r.membership().Members {
		if x.Voter {
			continue
		}
		if m := r.promoteLearner(x); m != nil {
			return m
		}
	}
	return nil
}

// admitMember returns the membership with the joining replica as a learner or,
// if it is a member already, with its new address and data centre. A learner
// takes the name of a lost member, or a new name if the group may grow. It
// returns nil when nothing changes or the replica is refused.
func (r *Replicator) admitMember(joining *record.Member) *record.Membership {
	m := proto.CloneOf(r.membership())
	if slices.Contains(m.Retired, joining.Id) {
		r.emit(Note{Text: "refused a removed replica; it must join again under a new identity", Name: joining.Name, ID: ID(joining.Id)})
		r.sendRetired(joining)
		return nil
	}
	named := false
	for i, x := range m.Members {
		if x.Id == joining.Id {
			if x.Address == joining.Address && x.Centre == joining.Centre {
				return nil
			}
			x.Address, x.Centre = joining.Address, joining.Centre
			return m
		}
		if x.Name != joining.Name {
			continue
		}
		named = true
		if r.active(ID(x.Id)) {
			r.emit(Note{Text: "refused a replica whose name belongs to a live replica", Name: joining.Name, ID: ID(joining.Id)})
			return nil
		}
		if !x.Voter {
			m.Retired = append(m.Retired, x.Id)
			m.Members[i] = joining
			return m
		}
	}
	if !named && !r.mayGrow(m) {
		r.emit(Note{Text: "refused a replica under an unknown name", Name: joining.Name, ID: ID(joining.Id)})
		return nil
	}
	m.Members = append(m.Members, joining)
	return m
}

// promoteLearner returns the next membership on the way to making a learner
// that caught up a voter: first without the voter that it replaces, then with
// the learner promoted. It returns nil while it has to wait.
func (r *Replicator) promoteLearner(learner *record.Member) *record.Membership {
	p := r.progress[ID(learner.Id)]
	if p == nil || !r.active(ID(learner.Id)) || p.match+catchUpLag < r.log.last() || p.match < r.commit-min(r.commit, catchUpLag) {
		return nil
	}
	m := proto.CloneOf(r.membership())
	for i, x := range m.Members {
		if !x.Voter || x.Name != learner.Name {
			continue
		}
		remaining := countVoters(m) - 1
		if r.active(ID(x.Id)) || r.countActive(ID(x.Id)) < remaining/2+1 {
			return nil
		}
		m.Members = slices.Delete(m.Members, i, i+1)
		m.Retired = append(m.Retired, x.Id)
		return m
	}
	if r.options.Voters > 0 && countVoters(m) >= r.options.Voters {
		return r.removeSilentVoter(m)
	}
	for _, x := range m.Members {
		if x.Id == learner.Id {
			x.Voter = true
		}
	}
	return m
}

// active reports whether a member answered within ElectionTimeout.
func (r *Replicator) active(id ID) bool {
	if id == r.id {
		return true
	}
	p := r.progress[id]
	return p != nil && !p.lastReplyAt.IsZero() && r.now.Sub(p.lastReplyAt) < ElectionTimeout
}
