package coordinator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthcart/amaranthcart/internal/control/applier"
	"github.com/amaranthcart/amaranthcart/internal/control/replicator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/record"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// kind is the type of a call of a simulated client.
type kind int

const (
	applyKind kind = iota
	readKind
	claimKind
	completeKind
)

// operation is a call of a simulated client and, once finished, its answer.
type operation struct {
	client     int
	kind       kind
	start, end int64

	// Input.
	change string
	base   uint64
	key    string
	token  string
	digest string
	result wire.CompleteRequest_Result

	// Output.
	outcome  wire.ApplyResponse_Outcome
	revision uint64
	state    wire.ClaimResponse_State
	recorded bool
}

func (o operation) accepted() bool {
	return o.kind == applyKind && o.outcome == wire.ApplyResponse_OUTCOME_ACCEPTED
}

// simulatedClient repeats each call on random nodes until it has an answer,
// like a client of the Control service.
type simulatedClient struct {
	s        *simulation
	id       int
	busy     bool
	attempt  int
	count    int
	revision uint64
	// owned is the claim that the client holds.
	owned operation
}

// next starts the next call, unless the faults have ended.
func (c *simulatedClient) next() {
	if !c.s.faults {
		return
	}
	c.busy = true
	c.count++
	o := operation{client: c.id, start: c.s.nextSequence()}
	switch x := c.s.random.IntN(10); {
	case c.owned.token != "" && x < 6:
		o.kind, o.key, o.token = completeKind, c.owned.key, c.owned.token
		o.result = wire.CompleteRequest_RESULT_DONE
		if x < 3 {
			o.result = wire.CompleteRequest_RESULT_NOT_RUN
		}
		c.owned = operation{}
	case x < 5:
		o.kind, o.base = applyKind, c.revision
		o.change = fmt.Sprintf("c%d-%d", c.id, c.count)
	case x < 7:
		o.kind = readKind
	default:
		o.kind = claimKind
		o.key = fmt.Sprintf("k%d", c.s.random.IntN(8))
		o.token = fmt.Sprintf("t%d-%d", c.id, c.count)
		o.digest = "d"
		if c.s.random.IntN(10) == 0 {
			o.digest = "other"
		}
	}
	c.try(o)
}

// nextSequence returns increasing numbers that order the starts and ends of
// calls.
func (s *simulation) nextSequence() int64 {
	s.sequence++
	return s.sequence
}

// try sends the call to a random node and schedules the next attempt. The same
// call may be proposed several times.
func (c *simulatedClient) try(o operation) {
	c.attempt++
	attempt := c.attempt
	retry := func() {
		if c.attempt == attempt {
			c.try(o)
		}
	}
	c.s.after(c.s.between(200, 600), retry)
	n := c.s.nodes[c.s.random.IntN(len(c.s.nodes))]
	if !n.up || n.core.view().role != replicator.Leader {
		c.s.after(c.s.between(5, 20), retry)
		return
	}
	defer n.reportPanic()
	if o.kind == readKind {
		c.read(n, o, attempt)
		return
	}
	data, err := proto.Marshal(o.command())
	if err != nil {
		c.s.failf("marshal: %v", err)
	}
	n.core.propose(n.time(), []proposal{{command: data, reply: func(r outcome) {
		if c.attempt != attempt || r.err != nil {
			return
		}
		c.finish(o, r.result)
	}}})
	n.checkLeader()
}

// read asks for the current revision.
func (c *simulatedClient) read(n *simulatedNode, o operation, attempt int) {
	answer := func(err error) {
		if c.attempt != attempt || err != nil {
			return
		}
		n.core.inspect(func(s *applier.State) { o.revision = currentRevision(s) })
		c.finish(o, applier.Result{})
	}
	if c.s.variant == unconfirmedReads {
		answer(nil)
		return
	}
	n.core.read(n.time(), answer)
}

// finish records the answer and schedules the next call.
func (c *simulatedClient) finish(o operation, r applier.Result) {
	c.attempt++
	c.busy = false
	o.end = c.s.nextSequence()
	switch o.kind {
	case applyKind:
		o.outcome, o.revision = r.Apply.Outcome, r.Apply.Revision
		c.revision = r.Apply.Current
		if !o.accepted() {
			o.revision = r.Apply.Current
		}
	case readKind:
		c.revision = o.revision
	case claimKind:
		o.state = r.Claim.State
		if o.state == wire.ClaimResponse_STATE_GRANTED {
			c.owned = o
		}
	case completeKind:
		o.recorded = r.Complete.Recorded
	}
	c.s.history = append(c.s.history, o)
	c.s.after(c.s.between(5, 80), c.next)
}

// command returns the command that the coordinator would propose for the call.
func (o operation) command() *record.Command {
	switch o.kind {
	case claimKind:
		return &record.Command{Change: &record.Command_Claim{Claim: &wire.ClaimRequest{
			Key: o.key, Token: o.token, Digest: []byte(o.digest),
			Deadline: time.Hour.Milliseconds(),
		}}}
	case completeKind:
		return &record.Command{Change: &record.Command_Complete{Complete: &wire.CompleteRequest{
			Key: o.key, Token: o.token, Result: o.result,
			Answer: &wire.Answer{Status: 200, Body: []byte(o.token)},
		}}}
	}
	sum := sha256.Sum256([]byte(o.change))
	return &record.Command{Change: &record.Command_Apply{Apply: &record.ApplyCommand{
		Request: &wire.ApplyRequest{Change: o.change, Base: o.base, Document: []byte(o.change)},
		Digest:  hex.EncodeToString(sum[:]),
	}}}
}

// claimState is the state of one key in the model.
type claimState struct {
	state  wire.ClaimResponse_State
	token  string
	digest string
	// released lists the tokens that released the claim, each followed by a
	// space.
	released string
}

// revisionModel models the configuration as a compare-and-set register that
// counts its changes.
var revisionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		current, o := state.(uint64), input.(operation)
		switch {
		case o.kind == readKind:
			return o.revision == current, current
		case o.base == current:
			return o.accepted() && o.revision == current+1, current + 1
		}
		return o.outcome == wire.ApplyResponse_OUTCOME_CONFLICT && o.revision == current, current
	},
}

// claimModel models claims: a key belongs to one token until that token
// releases it.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, p := range history {
			k := p.Input.(operation).key
			keys[k] = append(keys[k], p)
		}
		var parts [][]porcupine.Operation
		for _, p := range keys {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, _ any) (bool, any) {
		c, o := state.(claimState), input.(operation)
		if o.kind == completeKind {
			return c.complete(o)
		}
		return c.claim(o)
	},
}

func (c claimState) hasReleased(token string) bool {
	return strings.Contains(c.released, token+" ")
}

func (c claimState) claim(o operation) (bool, any) {
	switch {
	case c.hasReleased(o.token):
		return o.state == wire.ClaimResponse_STATE_UNKNOWN, c
	case c.token == "":
		c.state, c.token, c.digest = wire.ClaimResponse_STATE_RUNNING, o.token, o.digest
		return o.state == wire.ClaimResponse_STATE_GRANTED, c
	case c.digest != o.digest:
		return o.state == wire.ClaimResponse_STATE_MISMATCH, c
	}
	return o.state == c.state, c
}

func (c claimState) complete(o operation) (bool, any) {
	if c.hasReleased(o.token) {
		return o.recorded == (o.result == wire.CompleteRequest_RESULT_NOT_RUN), c
	}
	if c.token != o.token || c.state != wire.ClaimResponse_STATE_RUNNING {
		return !o.recorded, c
	}
	if o.result == wire.CompleteRequest_RESULT_NOT_RUN {
		c.token = ""
		c.released += o.token + " "
	} else {
		c.state = wire.ClaimResponse_STATE_DONE
	}
	return o.recorded, c
}

// checkLinearizable fails the run when the history doesn't match the models.
func (s *simulation) checkLinearizable() {
	var revisions, claims []porcupine.Operation
	for _, o := range s.history {
		p := porcupine.Operation{ClientId: o.client, Input: o, Call: o.start, Return: o.end}
		if o.kind == applyKind || o.kind == readKind {
			revisions = append(revisions, p)
		} else {
			claims = append(claims, p)
		}
	}
	if !porcupine.CheckOperations(revisionModel, revisions) {
		s.fail("the history of revisions isn't linearizable")
	}
	if !porcupine.CheckOperations(claimModel, claims) {
		s.fail("the history of claims isn't linearizable")
	}
}
