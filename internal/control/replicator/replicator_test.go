package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

const group = 99

// harness steps one replica by hand.
type harness struct {
	t   *testing.T
	r   *Replicator
	now time.Time
}

// member returns a voter with the identity and the name that belongs to it.
func voter(id uint64, name string) *record.Member {
	return &record.Member{Id: id, Name: name, Voter: true}
}

// newHarness starts replica 1 with the log of a formed group of a, b and c.
func newHarness(t *testing.T, extra ...*record.Entry) *harness {
	m := &record.Membership{
		Members: []*record.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")},
		Retired: []uint64{66},
	}
	entries := append([]*record.Entry{{
		Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(m),
	}}, extra...)
	return start(t, Stored{
		Vote:    &record.Vote{Id: 1, Name: "a", Group: group, Term: entries[len(entries)-1].Term},
		Entries: entries,
	})
}

func start(t *testing.T, s Stored) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.r = New(h.now, Options{Name: "a", Founders: []string{"c", "b", "a"}, Seed: 1}, s)
	return h
}

// step feeds an event and reports saves as done.
func (h *harness) step(e Event) []Action {
	actions := h.r.Step(h.now, e)
	for i := 0; i < len(actions); i++ {
		if s, ok := actions[i].(Save); ok {
			actions = append(actions, h.r.Step(h.now, Saved{Term: s.Term, Index: s.Index, IndexTerm: s.IndexTerm})...)
		}
	}
	return actions
}

// pass lets time pass.
func (h *harness) pass(d time.Duration) []Action {
	var actions []Action
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(TickInterval)
		actions = append(actions, h.step(Tick{})...)
	}
	return actions
}

// receive passes a message from another replica to this one.
func (h *harness) receive(from uint64, name string, m *record.Message) []Action {
	m.Group, m.From, m.To, m.Name = group, from, uint64(h.r.id), name
	return h.step(Receive{Message: m})
}

// elect makes the replica the leader with the vote of b.
func (h *harness) elect() {
	h.t.Helper()
	h.pass(2 * ElectionTimeout)
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_PREVOTE_REPLY, Term: h.r.term + 1})
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_VOTE_REPLY, Term: h.r.term})
	assert.Equal(h.t, h.r.role, Leader)
}

// acknowledge reports that a follower holds the log up to an index.
func (h *harness) acknowledge(from uint64, name string, index uint64) []Action {
	return h.receive(from, name, &record.Message{
		Kind: record.Message_KIND_APPEND_REPLY, Term: h.r.term, Index: index, Round: h.r.round,
	})
}

// TestCommitsOnlyOwnTerm guards against counting replicas for an entry of an
// earlier term, which a later leader may still replace.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	h := newHarness(t, &record.Entry{Index: 2, Term: 2, Kind: record.Entry_KIND_COMMAND})
	h.elect()
	h.acknowledge(2, "b", 2)
	assert.Equal(t, h.r.commit, uint64(0))
	h.acknowledge(2, "b", 3)
	assert.Equal(t, h.r.commit, uint64(3))
}

// TestLeaderCountsItselfWhenDurable guards against a commit that rests on an
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

// TestUncommittedBound guards against a leader whose followers are slow and
// whose log grows until the memory is full.
func TestUncommittedBound(t *testing.T) {
	h := newHarness(t)
	h.elect()
	h.acknowledge(2, "b", 2)
	large := make([]byte, maximumUncommitted/2)
	for range 2 {
		h.step(Propose{Commands: [][]byte{large}})
	}
	assert.DeepEqual(t, h.step(Propose{Commands: [][]byte{large}}), []Action{Refused{}})
	assert.Equal(t, h.r.log.last(), uint64(4))
	h.acknowledge(2, "b", 4)
	assert.Equal(t, h.r.uncommitted, 0)
	h.step(Propose{Commands: [][]byte{large}})
	assert.Equal(t, h.r.log.last(), uint64(5))
}

// TestLeaderWithoutQuorum guards against a leader that is cut off and goes on
// answering reads or taking proposals.
func TestLeaderWithoutQuorum(t *testing.T) {
	h := newHarness(t)
	h.elect()
	h.acknowledge(2, "b", 2)
	for _, a := range h.step(Read{Token: 1}) {
		_, ready := a.(ReadReady)
		assert.Assert(t, !ready, "a read was answered without a quorum")
	}
	failed := false
	for _, a := range h.pass(2 * ElectionTimeout) {
		if f, ok := a.(ReadFailed); ok {
			failed = f.Token == 1
		}
	}
	assert.Assert(t, failed)
	assert.Assert(t, h.r.role != Leader)
	assert.DeepEqual(t, h.step(Propose{Commands: [][]byte{nil}}), []Action{Refused{}})
}

// TestVotes guards against a second vote in a term, a vote for a shorter log,
// and a vote that deposes a leader that was heard just now.
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

// TestOtherIdentity guards against a replica that acts on a message for the
// identity that its host had before the disk was lost.
func TestOtherIdentity(t *testing.T) {
	h := newHarness(t)
	m := &record.Message{Kind: record.Message_KIND_VOTE, Group: group, From: 2, To: 1234, Term: 9, Index: 9, Previous: 9}
	assert.Equal(t, len(h.step(Receive{Message: m})), 0)
	assert.Equal(t, h.r.term, uint64(1))
	m.To, m.Group = 1, group+1
	assert.Equal(t, len(h.step(Receive{Message: m})), 0)
}

// TestNewcomers guards against a replacement that takes a live replica's
// place, revives a removed identity, or is begun without a quorum of others.
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
				h.pass(ElectionTimeout / 5)
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

// TestReplacedReturns guards against the removal of a replica that was only
// cut off while a second host took its name.
func TestReplacedReturns(t *testing.T) {
	h := newHarness(t)
	h.elect()
	for i := range 20 {
		h.pass(ElectionTimeout / 5)
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
// after its entry was replaced, and against a snapshot that holds a membership
// from after its index.
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

// TestSavedLate guards against a report about a replaced entry that makes its
// successor count as durable, and against a group of one whose replica leads
// before its vote is on disk.
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
	h = start(t, Stored{
		Vote:    &record.Vote{Id: 1, Name: "a", Group: group, Term: 1},
		Entries: []*record.Entry{{Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP, Data: encode(one)}},
	})
	h.r.Step(h.now, Tick{})
	assert.Equal(t, h.r.role, Candidate)
	h.step(Saved{Term: 2})
	assert.Equal(t, h.r.role, Leader)
}

// TestOneVoterAtATime guards against a membership whose quorums need not meet
// those of the one before.
func TestOneVoterAtATime(t *testing.T) {
	h := newHarness(t)
	h.elect()
	two := &record.Membership{Members: []*record.Member{voter(1, "a"), voter(2, "b"), voter(4, "d")}}
	one := &record.Membership{Members: []*record.Member{voter(1, "a"), voter(2, "b")}}
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: one}), []Action{Refused{}})
	h.acknowledge(2, "b", 2)
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: two}), []Action{Refused{}})
	h.step(ChangeMembership{Membership: one})
	assert.Equal(t, len(h.r.membership().Members), 2)
	assert.DeepEqual(t, h.step(ChangeMembership{Membership: one}), []Action{Refused{}})
}

// TestFormation guards against two groups: a founder that lost its disk must
// not form a second one, nor may hosts with other settings.
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
		{"reply too old", &record.Message{Founders: founders}, &record.Message{Founders: founders}, 2 * introductionAge, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, Stored{Vote: &record.Vote{Id: 1, Name: "a"}})
			h.pass(2 * helloInterval)
			for i, m := range []*record.Message{c.b, c.c} {
				if m == nil {
					continue
				}
				m.Kind, m.To, m.From, m.Name = record.Message_KIND_HELLO_REPLY, 1, uint64(i+2), founders[i+1]
				h.step(Receive{Message: m})
				h.pass(c.pause)
			}
			assert.Equal(t, h.r.group != 0, c.forming)
			assert.Equal(t, h.r.log.last() == 1, c.forming)
		})
	}
}

// TestElectionAfterStart guards against a group that waits for a silence of a leader
// that can't live, since all of its replicas have just started, and against replicas
// that stand for election early when they have heard a leader.
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
	assert.Equal(t, campaigns(h.pass(StartTimeout-TickInterval)), 0)
	assert.Equal(t, campaigns(h.pass(StartTimeout+TickInterval)), 1)
	assert.Assert(t, campaigns(h.pass(4*StartTimeout)) >= 2, "no further try while the others start")
	h.receive(2, "b", &record.Message{Kind: record.Message_KIND_APPEND, Term: h.r.term, Index: 1, Previous: 1})
	assert.Equal(t, campaigns(h.pass(ElectionTimeout-TickInterval)), 0)

	late := newHarness(t)
	late.pass(startPeriod + 2*StartTimeout)
	assert.Assert(t, campaigns(late.pass(4*ElectionTimeout)) <= 4)
}
