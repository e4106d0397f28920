package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// placedMembership is a membership and the index of its entry.
type placedMembership struct {
	index      uint64
	membership *record.Membership
}

// introduction is a hello reply of a blank founder.
type introduction struct {
	member *record.Member
	at     time.Time
}

// newcomer is a replica that asked to be added.
type newcomer struct {
	member *record.Member
	at     time.Time
}

// membership is the latest one in the log, committed or not.
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

// addMemberships notes the membership entries among new entries.
func (r *Replicator) addMemberships(entries []*record.Entry) {
	for _, e := range entries {
		if e.Kind != record.Entry_KIND_MEMBERSHIP {
			continue
		}
		r.memberships = append(r.memberships, placedMembership{index: e.Index, membership: decodeMembership(e)})
		if r.role == Leader {
			r.syncProgress()
		}
	}
}

// dropMemberships forgets the memberships of entries from index on.
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

// quorum is the number of voters that decide.
func (r *Replicator) quorum() int { return voters(r.membership())/2 + 1 }

func voters(m *record.Membership) int {
	count := 0
	for _, x := range m.Members {
		if x.Voter {
			count++
		}
	}
	return count
}

// changeMembership appends a membership entry when the previous one is
// committed and the new one differs by one voter at most: then every quorum of
// the one meets every quorum of the other.
func (r *Replicator) changeMembership(m *record.Membership) {
	if !r.ready() || r.transferee != 0 || !r.committedMembership() || !r.oneStep(m) {
		r.emit(Refused{})
		return
	}
	if over := len(m.Retired) - keptRetired; over > 0 {
		m.Retired = m.Retired[over:]
	}
	r.appendEntries([]*record.Entry{{
		Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(m), Time: r.now.UnixNano(),
	}})
	r.advanceCommit()
}

// oneStep reports whether the change adds or removes at most one voter.
func (r *Replicator) oneStep(m *record.Membership) bool {
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
	return changed <= 1 && voters(m) > 0
}

// hello introduces a replica that has no leader to the other founders.
func (r *Replicator) hello() {
	if r.group == 0 && len(r.options.Founders) == 1 && r.options.Founders[0] == r.options.Name {
		r.form()
		return
	}
	for _, n := range r.acquaintances() {
		r.introduce(record.Message_KIND_HELLO, n, 0)
	}
}

// introduce sends a hello or the answer to one. The founders are in it so that
// hosts with different settings never form groups with each other.
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

// receiveHello answers an introduction and notes it.
func (r *Replicator) receiveHello(m *record.Message) {
	if m.To != 0 && ID(m.To) != r.id || ID(m.From) == r.id {
		return
	}
	if m.Kind == record.Message_KIND_HELLO {
		r.introduce(record.Message_KIND_HELLO_REPLY, m.Name, m.From)
	}
	r.remember(m.Members)
	member := &record.Member{Id: m.From, Name: m.Name, Address: m.Address, Centre: m.Centre}
	switch {
	case r.group == 0 && m.Kind == record.Message_KIND_HELLO_REPLY:
		r.meet(m, member)
	case r.role == Leader && (m.Group == 0 || m.Group == r.group):
		r.newcomers[m.Name] = newcomer{member: member, at: r.now}
	}
}

// meet collects the replies of blank founders and forms the group when all of
// them are blank.
func (r *Replicator) meet(m *record.Message, member *record.Member) {
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
		if n != r.options.Name && (!found || r.now.Sub(i.at) > introductionAge) {
			return
		}
	}
	r.form()
}

// form writes the initial membership into the log of the first founder.
func (r *Replicator) form() {
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
	r.electionAt = r.now
}

// join reports whether the message belongs to this replica's group, and enters
// the group on first contact: its members chose this identity.
func (r *Replicator) join(m *record.Message) bool {
	if r.group == 0 && m.Group != 0 {
		r.group = m.Group
		r.introductions = map[string]introduction{}
		r.saveVote()
		r.emit(Note{Text: "joined the group", Name: m.Name, ID: ID(m.From)})
	}
	return r.group != 0 && m.Group == r.group
}

// replaceLost takes the next step of replacing replicas that lost their disk.
func (r *Replicator) replaceLost() {
	if !r.ready() || r.transferee != 0 || !r.committedMembership() {
		return
	}
	if m := r.nextMembership(); m != nil {
		r.changeMembership(m)
	}
}

// nextMembership returns the next membership on the way, or nil.
func (r *Replicator) nextMembership() *record.Membership {
	o := r.options
	if m := r.member(r.id); m != nil && (m.Address != o.Address || m.Centre != o.Centre) {
		return r.admit(&record.Member{Id: m.Id, Name: m.Name, Address: o.Address, Centre: o.Centre})
	}
	names := make([]string, 0, len(r.newcomers))
	for n := range r.newcomers {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		c := r.newcomers[n]
		delete(r.newcomers, n)
		if r.now.Sub(c.at) > introductionAge {
			continue
		}
		if m := r.admit(c.member); m != nil {
			return m
		}
	}
	for _, x := range r.membership().Members {
		if x.Voter {
			continue
		}
		if m := r.replace(x); m != nil {
			return m
		}
	}
	return nil
}

// admit adds a newcomer as a learner under the name of a lost member, or notes
// a member's new address.
func (r *Replicator) admit(c *record.Member) *record.Membership {
	m := proto.CloneOf(r.membership())
	if slices.Contains(m.Retired, c.Id) {
		r.emit(Note{Text: "refused a replica that was removed; it has to join anew", Name: c.Name, ID: ID(c.Id)})
		r.tellRetired(c)
		return nil
	}
	named := false
	for i, x := range m.Members {
		if x.Id == c.Id {
			if x.Address == c.Address && x.Centre == c.Centre {
				return nil
			}
			x.Address, x.Centre = c.Address, c.Centre
			return m
		}
		if x.Name != c.Name {
			continue
		}
		named = true
		if r.active(ID(x.Id)) {
			r.emit(Note{Text: "refused a second replica under the name of a live one", Name: c.Name, ID: ID(c.Id)})
			return nil
		}
		if !x.Voter {
			m.Retired = append(m.Retired, x.Id)
			m.Members[i] = c
			return m
		}
	}
	if !named && !r.grows(m) {
		r.emit(Note{Text: "refused a replica under an unknown name", Name: c.Name, ID: ID(c.Id)})
		return nil
	}
	m.Members = append(m.Members, c)
	return m
}

// replace removes the voter that a learner stands in for, and then promotes
// the learner.
func (r *Replicator) replace(learner *record.Member) *record.Membership {
	p := r.progress[ID(learner.Id)]
	if p == nil || !r.active(ID(learner.Id)) || p.match+catchUpLag < r.log.last() || p.match < r.commit-min(r.commit, catchUpLag) {
		return nil
	}
	m := proto.CloneOf(r.membership())
	for i, x := range m.Members {
		if !x.Voter || x.Name != learner.Name {
			continue
		}
		remaining := voters(m) - 1
		if r.active(ID(x.Id)) || r.countActive(ID(x.Id)) < remaining/2+1 {
			return nil
		}
		m.Members = slices.Delete(m.Members, i, i+1)
		m.Retired = append(m.Retired, x.Id)
		return m
	}
	if r.options.Voters > 0 && voters(m) >= r.options.Voters {
		return r.dropSilent(m)
	}
	for _, x := range m.Members {
		if x.Id == learner.Id {
			x.Voter = true
		}
	}
	return m
}

// active reports whether a member answered recently.
func (r *Replicator) active(id ID) bool {
	if id == r.id {
		return true
	}
	p := r.progress[id]
	return p != nil && !p.activeAt.IsZero() && r.now.Sub(p.activeAt) < ElectionTimeout
}
