package commander

import (
	"context"
	"errors"
	"fmt"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// applyResult is the JSON output of apply.
type applyResult struct {
	// Outcome is accepted, conflict, invalid, reused, failed, unsent or
	// unknown.
	Outcome  string   `json:"outcome"`
	Change   string   `json:"change"`
	Revision uint64   `json:"revision,omitempty"`
	Current  uint64   `json:"current,omitempty"`
	Repeated bool     `json:"repeated,omitempty"`
	Problems []string `json:"problems,omitempty"`
}

// apply submits a configuration file. It prints the change ID before it sends the
// request, so that the operator knows it even when the command is interrupted.
func (c *command) apply(ctx context.Context) error {
	data, err := c.readFile()
	if err != nil {
		return err
	}
	if c.change == "" {
		c.change = c.NewID()
	}
	fmt.Fprintf(c.Stderr, "change %s\n", c.change)
	answer, err := callControl(ctx, c, wireconnect.ControlClient.Apply, &wire.ApplyRequest{
		Change: c.change, Base: c.base, Document: data, Note: c.note,
	})
	if err != nil {
		return c.applyFailed(err)
	}
	return c.applied(answer)
}

// applied reports the answer of a control host.
func (c *command) applied(a *wire.ApplyResponse) error {
	r := applyResult{
		Change: c.change, Revision: a.Revision, Current: a.Current, Repeated: a.Repeated, Problems: a.Problems,
	}
	var err error
	switch a.Outcome {
	case wire.ApplyResponse_OUTCOME_ACCEPTED:
		r.Outcome = "accepted"
	case wire.ApplyResponse_OUTCOME_CONFLICT:
		r.Outcome = "conflict"
		err = fail(ExitConflict, "conflict: the change was made for revision %d, but revision %d is current; "+
			"get it, make the change there and apply with --revision %d and a new change ID", c.base, a.Current, a.Current)
	case wire.ApplyResponse_OUTCOME_INVALID:
		r.Outcome = "invalid"
		err = fail(ExitInvalid, "%s is invalid: %s", c.file, count(len(a.Problems), "problem"))
	case wire.ApplyResponse_OUTCOME_REUSED:
		r.Outcome = "reused"
		err = fail(ExitConflict, "the change ID %s was used before with other content; nothing was changed", c.change)
	default:
		r.Outcome = "unknown"
		err = fail(ExitFailed, "the control host answered with the outcome %d, which this version does not know", a.Outcome)
	}
	return c.reportApply(r, err)
}

func (c *command) reportApply(r applyResult, err error) error {
	if c.output == "json" {
		return errors.Join(c.writeJSON(r), err)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(c.Stderr, printable(p))
	}
	if r.Outcome == "accepted" && r.Repeated {
		c.printf("the change was accepted before as revision %d\n", r.Revision)
	} else if r.Outcome == "accepted" {
		c.printf("revision %d accepted\n", r.Revision)
	}
	return err
}

// applyFailed reports a failed apply and whether the change may have been accepted.
func (c *command) applyFailed(err error) error {
	var e *triesError
	switch {
	case errors.As(err, &e) && !e.sent:
		return c.reportApply(applyResult{Outcome: "unsent", Change: c.change}, fail(ExitUnreachable, "%w\nthe change was not sent", e))
	case errors.As(err, &e), errors.Is(err, context.Canceled):
		return c.reportApply(applyResult{Outcome: "unknown", Change: c.change},
			fail(ExitUnreachable, "%w\nthe change may or may not have been accepted; to find out, send it again with the same change ID, "+
				"which cannot apply it twice:\n  %s", err, c.resendCommand()))
	}
	return c.reportApply(applyResult{Outcome: "failed", Change: c.change}, err)
}

// resendCommand returns the command line that sends the same change again. It includes the
// note, which must not differ under the same change ID.
func (c *command) resendCommand() string {
	s := fmt.Sprintf("amaranthctl apply %s --revision %d --change %s", c.file, c.base, c.change)
	if c.note != "" {
		s += fmt.Sprintf(" --note %q", c.note)
	}
	return s
}
