package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
)

// Founders agree on one group with ballots, so that a founder that is gone for good
// doesn't keep the others from forming it. A ballot goes through two rounds, in each of
// which a majority of all founders has to answer: in the first they promise to ignore
// lower ballots and tell what they have accepted, in the second they accept the proposal
// of the ballot, which is the one accepted last among the answers, or a new one if there
// is none. What a majority has accepted is the group for good: each later ballot meets
// one of that majority and proposes the same.
//
// This holds because a founder answers only what is on its disk, and because one that has
// lost its disk never takes part again.

const (
	// formationPatience is how long founders wait for those that are missing. It is
	// longer than processes of one start differ in time.
	formationPatience = 2 * time.Second
	// promiseWait is how long a ballot waits for promises beyond a majority, so that
	// founders that are there become members at once.
	promiseWait = time.Second
	// prepareInterval is the time after which missing promises are asked for again.
	prepareInterval = 200 * time.Millisecond
	// ballotPause is the least time between two ballots, and the most that is added at
	// random so that founders don't overtake each other's ballots for good.
	ballotPause = 1500 * time.Millisecond
	// maximumFounders limits the founders that agree with ballots. The numbers of the
	// ballots of one founder are that far apart.
	maximumFounders = 64
)

// ballot is the ballot that this founder has started, if number isn't 0.
type ballot struct {
	number  uint64
	started time.Time
	// promised holds the founders that promised, accepted the names of those that
	// accepted.
	promised map[string]*record.Member
	accepted map[string]bool
	// last is the ballot of the proposal that the promises bind this one to.
	last     uint64
	proposal *record.Proposal
	proposed bool
	// next is when this founder may start another ballot, highest the highest ballot
	// that it has heard of.
	next    time.Time
	highest uint64
	// asked is when the promises were last asked for.
	asked time.Time
}

// agrees reports whether this replica still has to agree with the other founders on the
// group. One that has joined without the first entry learns it in this way.
func (r *Replicator) agrees() bool {
	return r.options.Voters > 0 && r.founderIndex() >= 0 && len(r.options.Founders) > 1 &&
		len(r.options.Founders) <= maximumFounders && r.log.last() == 0
}

// founderIndex returns the place of this replica among the founders, or -1.
func (r *Replicator) founderIndex() int { return slices.Index(r.options.Founders, r.options.Name) }

// foundersQuorum returns the number of founders that form a majority.
func (r *Replicator) foundersQuorum() int { return len(r.options.Founders)/2 + 1 }

// tickFormation goes on with the ballot of this founder, or starts one.
func (r *Replicator) tickFormation() {
	if r.ballot.number != 0 {
		r.continueBallot()
		r.askAgain()
	}
	if !r.now.Before(r.ballot.next) {
		r.startBallot()
	}
}

// startBallotEarly starts the first ballot as soon as all founders are there.
func (r *Replicator) startBallotEarly() {
	if r.ballot.number == 0 && r.ballot.highest == 0 {
		r.startBallot()
	}
}

// startBallot asks the founders to promise.
func (r *Replicator) startBallot() {
	if !r.mayPromise(r.options.Founders) {
		return
	}
	highest := max(r.ballot.highest, r.formation.GetPromised())
	number := (highest/maximumFounders+1)*maximumFounders + uint64(r.founderIndex())
	r.ballot = ballot{
		number: number, started: r.now, asked: r.now, highest: number, next: r.now.Add(r.ballotDelay()),
		promised: map[string]*record.Member{r.options.Name: r.self()}, accepted: map[string]bool{},
		last: r.formation.GetAccepted(), proposal: r.formation.GetProposal(),
	}
	r.promise(number)
	r.sendBallot(record.Message_KIND_PREPARE, nil)
}

// askAgain asks for promises once more, because messages may have been lost.
func (r *Replicator) askAgain() {
	b := &r.ballot
	if b.number == 0 || b.proposed || r.now.Sub(b.asked) < prepareInterval {
		return
	}
	b.asked = r.now
	r.sendBallot(record.Message_KIND_PREPARE, nil)
}

func (r *Replicator) ballotDelay() time.Duration {
	return ballotPause + time.Duration(r.random.Int64N(int64(ballotPause)))
}

// self returns this replica as a member.
func (r *Replicator) self() *record.Member {
	o := r.options
	return &record.Member{Id: uint64(r.id), Name: o.Name, Address: o.Address, Centre: o.Centre, Voter: true}
}

// mayPromise reports whether this founder's list agrees with that of a message, and with
// the one under which it has promised before.
func (r *Replicator) mayPromise(founders []string) bool {
	return slices.Equal(founders, r.options.Founders) &&
		(r.formation == nil || slices.Equal(founders, r.formation.Founders))
}

// promise makes this founder ignore lower ballots. The caller's message must wait for
// the disk.
func (r *Replicator) promise(number uint64) {
	r.formation = &record.Formation{
		Founders: r.options.Founders, Promised: number,
		Accepted: r.formation.GetAccepted(), Proposal: r.formation.GetProposal(),
	}
	r.saveVote()
}

// accept records a proposal. The caller's message must wait for the disk.
func (r *Replicator) accept(number uint64, p *record.Proposal) {
	r.formation = &record.Formation{Founders: r.options.Founders, Promised: number, Accepted: number, Proposal: p}
	r.saveVote()
}

// sendBallot sends a message of the current ballot to all other founders.
func (r *Replicator) sendBallot(kind record.Message_Kind, f *record.Formation) {
	for _, n := range r.options.Founders {
		if n != r.options.Name {
			r.sendFounder(n, &record.Message{Kind: kind, Ballot: r.ballot.number, Formation: f})
		}
	}
}

// sendFounder sends a message of a ballot once everything before it is on disk.
func (r *Replicator) sendFounder(name string, m *record.Message) {
	o := r.options
	m.From, m.Name, m.Address, m.Centre, m.Founders = uint64(r.id), o.Name, o.Address, o.Centre, o.Founders
	r.emit(Send{Name: name, Durable: true, Message: m})
}

// receiveBallot handles a message of a ballot. Founders that have accepted a proposal
// answer also when they belong to the group, because others may not know it yet. The
// rest of the group doesn't: it admits those others, and may have been formed by a
// version of the program without ballots.
func (r *Replicator) receiveBallot(m *record.Message) {
	if r.options.Voters == 0 || r.founderIndex() < 0 || !slices.Contains(r.options.Founders, m.Name) || !r.mayPromise(m.Founders) {
		return
	}
	if r.log.last() > 0 && r.formation.GetAccepted() == 0 {
		return
	}
	if m.Ballot > r.ballot.highest {
		r.ballot.highest = m.Ballot
		r.ballot.next = r.now.Add(r.ballotDelay())
	}
	switch m.Kind {
	case record.Message_KIND_PREPARE:
		r.receivePrepare(m)
	case record.Message_KIND_ACCEPT:
		r.receiveAccept(m)
	case record.Message_KIND_PROMISE:
		r.receivePromise(m)
	case record.Message_KIND_ACCEPTED:
		r.receiveAccepted(m)
	}
}

// receivePrepare promises, or tells which higher ballot was promised.
func (r *Replicator) receivePrepare(m *record.Message) {
	promised := r.formation.GetPromised()
	if m.Ballot < promised {
		r.sendFounder(m.Name, &record.Message{Kind: record.Message_KIND_PROMISE, Ballot: promised, Reject: true})
		return
	}
	if m.Ballot > promised {
		r.promise(m.Ballot)
	}
	r.sendFounder(m.Name, &record.Message{Kind: record.Message_KIND_PROMISE, Ballot: m.Ballot, Formation: r.formation})
}

// receivePromise collects a promise with what the founder has accepted.
func (r *Replicator) receivePromise(m *record.Message) {
	b := &r.ballot
	if m.Reject || b.number == 0 || m.Ballot != b.number || b.proposed || !r.agrees() {
		return
	}
	b.promised[m.Name] = &record.Member{Id: m.From, Name: m.Name, Address: m.Address, Centre: m.Centre, Voter: true}
	if f := m.Formation; f.GetAccepted() > b.last {
		b.last, b.proposal = f.Accepted, f.Proposal
	}
	r.continueBallot()
}

// continueBallot sends the proposal of the ballot once a majority has promised, and all have
// or promiseWait has passed.
func (r *Replicator) continueBallot() {
	b := &r.ballot
	all := len(b.promised) == len(r.options.Founders)
	if b.proposed || len(b.promised) < r.foundersQuorum() || !all && r.now.Sub(b.started) < promiseWait {
		return
	}
	if r.formation.GetPromised() != b.number {
		// Another founder's ballot has overtaken this one.
		b.number = 0
		return
	}
	if b.proposal == nil {
		b.proposal = r.newProposal()
	}
	b.proposed = true
	b.accepted[r.options.Name] = true
	r.accept(b.number, b.proposal)
	r.sendBallot(record.Message_KIND_ACCEPT, &record.Formation{Proposal: b.proposal})
}

// newProposal returns a new group of the founders that have promised.
func (r *Replicator) newProposal() *record.Proposal {
	p := &record.Proposal{Membership: &record.Membership{}, Time: r.now.UnixNano()}
	for p.Group == 0 {
		p.Group = r.random.Uint64()
	}
	for _, n := range r.options.Founders {
		if m := r.ballot.promised[n]; m != nil {
			p.Membership.Members = append(p.Membership.Members, proto.CloneOf(m))
		}
	}
	return p
}

// receiveAccept accepts a proposal unless a higher ballot was promised.
func (r *Replicator) receiveAccept(m *record.Message) {
	p := m.Formation.GetProposal()
	if m.Ballot < r.formation.GetPromised() || p == nil {
		return
	}
	if r.formation.GetAccepted() != m.Ballot {
		r.accept(m.Ballot, p)
	}
	r.sendFounder(m.Name, &record.Message{Kind: record.Message_KIND_ACCEPTED, Ballot: m.Ballot})
}

// receiveAccepted forms the group once a majority has accepted the proposal.
func (r *Replicator) receiveAccepted(m *record.Message) {
	b := &r.ballot
	if !b.proposed || m.Ballot != b.number || !r.agrees() {
		return
	}
	b.accepted[m.Name] = true
	if len(b.accepted) >= r.foundersQuorum() {
		r.adoptGroup(b.proposal)
	}
}

// adoptGroup writes the first entry of the group that the founders have agreed on. It is
// the same for all of them.
func (r *Replicator) adoptGroup(p *record.Proposal) {
	r.ballot = ballot{highest: r.ballot.highest}
	if r.group != 0 && r.group != p.Group {
		// This host joined a group that a version of the program without ballots has
		// formed, and has no entry of it. Only an operator knows whether that group lives.
		r.emit(Note{Text: "the founders have agreed on another group than the one that this host has joined; clear its data folder"})
		return
	}
	r.introductions = map[string]introduction{}
	r.group = p.Group
	r.term = max(r.term, 1)
	e := &record.Entry{
		Index: 1, Term: 1, Kind: record.Entry_KIND_MEMBERSHIP,
		Data: encode(p.Membership), Time: p.Time,
	}
	r.log.append([]*record.Entry{e})
	r.addMemberships([]*record.Entry{e})
	r.saveVote()
	r.saveEntries([]*record.Entry{e})
	r.emit(Note{Text: "the founders have agreed on a group"})
	if r.leader == 0 {
		r.electionDeadline = r.now
	}
}
