package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const group = 99

// harness drives one replica step by step; the test plays the other replicas.
type harness struct {
	t   *testing.T
	r   *Replicator
	now time.Time
}

// voter returns a voter with the given identity and host name.
func voter(id uint64, name string) *record.Member {
	return &record.Member{Id: id, Name: name, Voter: true}
}

// newHarness starts replica 1 with the log of a formed group of the hosts a, b
// and c, followed by the extra entries.
func newHarness(t *testing.T, extra ...*record.Entry) *harness {
	m := &record.Membership{
		Members: []*record.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")},
		Retired: []uint64{66},
	}
	entries := append([]*record.Entry{{
		Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(m),
	}}, extra...)
	return startReplica(t, Stored{
		Vote:    &record.Vote{Id: 1, Name: "a", Group: group, Term: entries[len(entries)-1].Term},
		Entries: entries,
	})
}

// startReplica starts host a from the given durable state.
func startReplica(t *testing.T, s Stored) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.r = New(h.now, Options{Name: "a", Founders: []string{"c", "b", "a"}, Seed: 1}, s)
	return h
}

// step feeds an event to the replica and reports each Save as durable at once.
func (h *harness) step(e Event) []Action {
	actions := h.r.Step(h.now, e)
	for i := 0; i < len(actions); i++ {
		if s, ok := actions[i].(Save); ok {
			actions = append(actions, h.r.Step(h.now, Saved{Term: s.Term, Index: s.Index, IndexTerm: s.IndexTerm})...)
		}
	}
	return actions
}

// advance moves the clock forward in ticks.
func (h *harness) advance(d time.Duration) []Action {
	var actions []Action
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(TickInterval)
		actions = append(actions, h.step(Tick{})...)
	}
	return actions
}

// receive delivers a message from another replica.
func (h *harness) receive(from uint64, name string, m *record.Message) []Action {
	m.Group, m.From, m.To, m.Name = group, from, uint64(h.r.id), name
	return h.step(Receive{Message: m})
}

// elect makes the replica the leader with the vote of b.
func (h *harness) elect() {
	h.t.Helper()
	h.advance(2 * ElectionTimeout)
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_PREVOTE_REPLY, Term: h.r.term + 1})
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_VOTE_REPLY, Term: h.r.term})
	assert.Equal(h.t, h.r.role, Leader)
}

// acknowledge reports that a follower holds the log up to index.
func (h *harness) acknowledge(from uint64, name string, index uint64) []Action {
	return h.receive(from, name, &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: h.r.term, Index: index, Round: h.r.round,
	})
}

// TestCommitsOnlyOwnTerm guards against committing an entry of an earlier term
// by counting replicas; a later leader may still replace it.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	h := newHarness(t, &record.Entry{Index: 2, Term: 2, Kind: record.Entry_KIND_COMMAND})
	h.elect()
	h.acknowledge(2, "b", 2)
	assert.Equal(t, h.r.commit, uint64(0))
	h.acknowledge(2, "b", 3)
	assert.Equal(t, h.r.commit, uint64(3))
}

// TestLeaderCountsItselfWhenDurable guards against a commit that counts an
// entry that is only in the leader's memory.
func TestLeaderCountsItselfWhenDurable(t *testing.T) {
	h := newHarness(t)
	h.elect()
	h.acknowledge(2, "b", 2)
	h.r.Step(h.now, Propose{Commands: [][]byte{[]byte("x")}})
	h.r.Step(h.now, Receive{Message: &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Group: group, From: 2, To: 1, Term: h.r.term, Index: 3,
	}})
	assert.Equal(t, h.r.commit, uint64(2))
	h.step(Saved{Term: h.r.term, Index: 3, IndexTerm: h.r.term})
	assert.Equal(t, h.r.commit, uint64(3))
}

// TestUncommittedBound guards against a leader whose uncommitted log grows
// until memory runs out because its followers are slow.
func TestUncommittedBound(t *testing.T) {
	h := newHarness(t)
	h.elect()
	h.acknowledge(2, "b", 2)
	large := make([]byte, maximumUncommittedBytes/2)
	for range 2 {
		h.step(Propose{Commands: [][]byte{large}})
	}
	assert.DeepEqual(t, h.step(Propose{Commands: [][]byte{large}}), []Action{Refused{}})
	assert.Equal(t, h.r.log.last(), uint64(4))
	h.acknowledge(2, "b", 4)
	assert.Equal(t, h.r.uncommittedBytes, 0)
	h.step(Propose{Commands: [][]byte{large}})
	assert.Equal(t, h.r.log.last(), uint64(5))
}

// TestLeaderWithoutQuorum guards against a leader that is cut off but still
// answers reads or accepts proposals.
func TestLeaderWithoutQuorum(t *testing.T) {
	h := newHarness(t)
	h.elect()
	h.acknowledge(2, "b", 2)
	for _, a := range h.step(Read{Token: 1}) {
		_, ready := a.(ReadReady)
		assert.Assert(t, !ready, "a read was answered without a quorum")
	}
	failed := false
	for _, a := range h.advance(2 * ElectionTimeout) {
		if f, ok := a.(ReadFailed); ok {
			failed = f.Token == 1
		}
	}
	assert.Assert(t, failed)
	assert.Assert(t, h.r.role != Leader)
	assert.DeepEqual(t, h.step(Propose{Commands: [][]byte{nil}}), []Action{Refused{}})
}

// TestVotes guards against a second vote in a term, a vote for a less complete
// log, and a vote that deposes a leader that was heard recently.
func TestVotes(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  *record.Message
		message *record.Message
		answer  bool
		granted bool
	}{
		{"first", nil, &record.Message{Term: 5, Index: 2, Previous: 2}, true, true},
		{"shorter log", nil, &record.Message{Term: 5, Index: 1, Previous: 1}, true, false},
		{"longer log of an older term", nil, &record.Message{Term: 5, Index: 9, Previous: 1}, true, false},
		{"second in the term", &record.Message{Kind: record.Message_KIND_VOTE, Term: 5, Index: 2, Previous: 2},
			&record.Message{Term: 5, Index: 2, Previous: 2}, true, false},
		{"leader heard", &record.Message{Kind: record.Message_KIND_APPEND, Term: 5}, &record.Message{Term: 6, Index: 2, Previous: 2}, false, false},
		{"leader hands over", &record.Message{Kind: record.Message_KIND_APPEND, Term: 5},
			&record.Message{Term: 6, Index: 2, Previous: 2, Transfer: true}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, &record.Entry{Index: 2, Term: 2, Kind: record.Entry_KIND_COMMAND})
			if c.before != nil {
				h.receive(2, "b", c.before)
			}
			c.message.Kind = record.Message_KIND_VOTE
			answered := false
			for _, a := range h.receive(3, "c", c.message) {
				if s, ok := a.(Send); ok {
					answered = true
					assert.Assert(t, s.Durable, "a vote must wait for the disk")
					assert.Equal(t, s.Message.Reject, !c.granted)
				}
			}
			assert.Equal(t, answered, c.answer)
		})
	}
}

// TestOtherIdentity guards against a replica that handles a message for the
// identity that its host had before it lost its disk, or a message of another
// group.
func TestOtherIdentity(t *testing.T) {
	h := newHarness(t)
	m := &record.Message{Kind: record.Message_KIND_VOTE, Group: group, From: 2, To: 1234, Term: 9, Index: 9, Previous: 9}
	assert.Equal(t, len(h.step(Receive{Message: m})), 0)
	assert.Equal(t, h.r.term, uint64(1))
	m.To, m.Group = 1, group+1
	assert.Equal(t, len(h.step(Receive{Message: m})), 0)
}

// TestNewcomers guards against a replacement that takes the place of a live
// replica, readmits a removed identity, or starts without a quorum of the other
// voters.
func TestNewcomers(t *testing.T) {
	for _, c := range []struct {
		name   string
		id     uint64
		host   string
		alive  []uint64
		caught bool
		want   []*record.Member
	}{
		{"new address", 3, "c", []uint64{2, 3}, false,
			[]*record.Member{voter(1, "a"), voter(2, "b"), {Id: 3, Name: "c", Address: "new", Voter: true}}},
		{"removed before", 66, "c", []uint64{2}, false, nil},
		{"unknown host", 4, "x", []uint64{2}, false, nil},
		{"host is alive", 4, "c", []uint64{2, 3}, false, nil},
		{"learner behind", 4, "c", []uint64{2}, false,
			[]*record.Member{voter(1, "a"), voter(2, "b"), voter(3, "c"), {Id: 4, Name: "c"}}},
		{"replaced", 4, "c", []uint64{2}, true,
			[]*record.Member{voter(1, "a"), voter(2, "b"), voter(4, "c")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.elect()
			h.acknowledge(2, "b", 2)
			names := map[uint64]string{2: "b", 3: "c", 4: "c"}
			for range 20 {
				h.advance(ElectionTimeout / 5)
				for _, id := range c.alive {
					h.acknowledge(id, names[id], h.r.log.last())
				}
				h.step(Receive{Message: &record.Message{Kind: record.Message_KIND_HELLO, From: c.id, Name: c.host, Address: "new"}})
				if c.caught && h.r.member(ID(c.id)) != nil {
					h.acknowledge(c.id, c.host, h.r.log.last())
				}
			}
			want := c.want
			if want == nil {
				want = []*record.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
			}
			got := h.r.membership().Members
			assert.Equal(t, len(got), len(want))
			for i, m := range got {
				assert.Equal(t, m.Id, want[i].Id)
				assert.Equal(t, m.Voter, want[i].Voter)
				assert.Equal(t, m.Address == "new", m.Id > 3 || want[i].Address == "new")
			}
		})
	}
}

// TestReplacedReturns guards against the removal of a replica that was only cut
// off while a second host took its name.
func TestReplacedReturns(t *testing.T) {
	h := newHarness(t)
	h.elect()
	for i := range 20 {
		h.advance(ElectionTimeout / 5)
		h.acknowledge(2, "b", h.r.log.last())
		h.step(Receive{Message: &record.Message{Kind: record.Message_KIND_HELLO, From: 4, Name: "c"}})
		if i > 10 {
			h.acknowledge(3, "c", h.r.log.last())
			h.acknowledge(4, "c", h.r.log.last())
		}
	}
	assert.Assert(t, h.r.member(4) != nil && !h.r.isVoter(4))
	assert.Assert(t, h.r.isVoter(3))
}

// TestMembershipFollowsLog guards against a membership that stays in force
// after its entry was replaced, and against a snapshot that contains a
// membership from after its index.
func TestMembershipFollowsLog(t *testing.T) {
	h := newHarness(t)
	two := &record.Membership{Members: []*record.Member{voter(1, "a"), voter(2, "b")}}
	h.receive(2, "b", &record.Message{
		Kind: record.Message_KIND_APPEND, Term: 2, Index: 1, Previous: 1, Commit: 2,
		Entries: []*record.Entry{
			{Index: 2, Term: 2}, {Index: 3, Term: 2, Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(two)},
		},
	})
	assert.Equal(t, len(h.r.membership().Members), 2)
	for _, a := range h.step(Compact{Index: 2}) {
		if s, ok := a.(Save); ok {
			assert.Equal(t, len(s.Snapshot.Membership.Members), 3)
		}
	}
	assert.Equal(t, h.r.log.snapshot.Index, uint64(2))
	h.receive(3, "c", &record.Message{
		Kind: record.Message_KIND_APPEND, Term: 3, Index: 2, Previous: 2,
		Entries: []*record.Entry{{Index: 3, Term: 3}},
	})
	assert.Equal(t, len(h.r.membership().Members), 3)
}

// TestSavedLate guards against a Saved event for a replaced entry that makes
// its replacement count as durable, and against a group of one whose replica
// leads before its vote is on disk.
func TestSavedLate(t *testing.T) {
	h := newHarness(t, &record.Entry{Index: 2, Term: 1})
	h.r.Step(h.now, Receive{Message: &record.Message{
		Kind: record.Message_KIND_APPEND, Group: group, From: 2, To: 1, Name: "b", Term: 2, Index: 1, Previous: 1,
		Entries: []*record.Entry{{Index: 2, Term: 2}},
	}})
	h.step(Saved{Term: 2, Index: 2, IndexTerm: 1})
	assert.Equal(t, h.r.log.durable, uint64(1))
	h.step(Saved{Term: 2, Index: 2, IndexTerm: 2})
	assert.Equal(t, h.r.log.durable, uint64(2))

	one := &record.Membership{Members: []*record.Member{voter(1, "a")}}
	h = startReplica(t, Stored{
		Vote:    &record.Vote{Id: 1, Name: "a", Group: group, Term: 1},
		Entries: []*record.Entry{{Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(one)}},
	})
	h.r.Step(h.now, Tick{})
	assert.Equal(t, h.r.role, Candidate)
	h.step(Saved{Term: 2})
	assert.Equal(t, h.r.role, Leader)
}

// TestOneVoterAtATime guards against a membership whose quorums need not
// overlap those of the previous one.
func TestOneVoterAtATime(t *testing.T) {
	h := newHarness(t)
	h.elect()
	twoChanges := &record.Membership{Members: []*record.Member{voter(1, "a"), voter(2, "b"), voter(4, "d")}}
	oneChange := &record.Membership{Members: []*record.Member{voter(1, "a"), voter(2, "b")}}
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: oneChange}), []Action{Refused{}})
	h.acknowledge(2, "b", 2)
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: twoChanges}), []Action{Refused{}})
	h.step(ChangeMembership{Membership: oneChange})
	assert.Equal(t, len(h.r.membership().Members), 2)
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: oneChange}), []Action{Refused{}})
}

// TestFormation guards against two groups: neither a founder that lost its disk
// nor hosts with different settings may form a second one.
func TestFormation(t *testing.T) {
	founders := []string{"a", "b", "c"}
	for _, c := range []struct {
		name    string
		b, c    *record.Message
		pause   time.Duration
		forming bool
	}{
		{"all blank", &record.Message{Founders: founders}, &record.Message{Founders: founders}, 0, true},
		{"one silent", &record.Message{Founders: founders}, nil, 0, false},
		{"one in a group", &record.Message{Founders: founders}, &record.Message{Founders: founders, Group: group}, 0, false},
		{"other founders", &record.Message{Founders: founders}, &record.Message{Founders: []string{"b", "c", "d"}}, 0, false},
		{"reply too old", &record.Message{Founders: founders}, &record.Message{Founders: founders}, 2 * introductionLifetime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startReplica(t, Stored{Vote: &record.Vote{Id: 1, Name: "a"}})
			h.advance(2 * helloInterval)
			for i, m := range []*record.Message{c.b, c.c} {
				if m == nil {
					continue
				}
				m.Kind, m.To, m.From, m.Name = record.Message_KIND_HELLO_REPLY, 1, uint64(i+2), founders[i+1]
				h.step(Receive{Message: m})
				h.advance(c.pause)
			}
			assert.Equal(t, h.r.group != 0, c.forming)
			assert.Equal(t, h.r.log.last() == 1, c.forming)
		})
	}
}

// TestElectionAfterStart guards against a group that waits a full
// ElectionTimeout for a leader that can't exist because all replicas have just
// started, and against replicas that start an early election although they have
// heard a leader.
func TestElectionAfterStart(t *testing.T) {
	campaigns := func(actions []Action) int {
		n := 0
		for _, a := range actions {
			if s, ok := a.(Send); ok && s.Message.Kind == record.Message_KIND_PREVOTE && s.Name == "b" {
				n++
			}
		}
		return n
	}
	h := newHarness(t)
	assert.Equal(t, campaigns(h.advance(StartTimeout-TickInterval)), 0)
	assert.Equal(t, campaigns(h.advance(StartTimeout+TickInterval)), 1)
	assert.Assert(t, campaigns(h.advance(4*StartTimeout)) >= 2, "no second campaign while the others are starting")
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_APPEND, Term: h.r.term, Index: 1, Previous: 1})
	assert.Equal(t, campaigns(h.advance(ElectionTimeout-TickInterval)), 0)

	late := newHarness(t)
	late.advance(startPeriod + 2*StartTimeout)
	assert.Assert(t, campaigns(late.advance(4*ElectionTimeout)) <= 4)
}
