package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/sourcegraph/conc/iter"

	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// get prints the document as it was submitted, so that it can be edited and
// applied again.
func (c *command) get(ctx context.Context) error {
	a, err := callControl(ctx, c, wireconnect.ControlClient.Get, &wire.GetRequest{Revision: c.revision})
	if err != nil {
		return err
	}
	r := a.Revision
	if r == nil || r.Number == 0 {
		return fail(ExitFailed, "there is no configuration yet; apply the first one with --revision 0")
	}
	if c.output == "json" && json.Valid(r.Document) {
		return c.writeJSON(getResult{r.Number, r.Digest, formatTime(r.Accepted), r.Document})
	}
	fmt.Fprintf(c.Stderr, "revision %d, accepted %s, digest %s\n", r.Number, formatTime(r.Accepted), printable(r.Digest))
	c.printf("%s\n", bytes.TrimRight(r.Document, "\n"))
	return nil
}

type getResult struct {
	Revision uint64          `json:"revision"`
	Digest   string          `json:"digest"`
	Accepted string          `json:"accepted"`
	Document json.RawMessage `json:"document"`
}

// history prints the audit trail.
func (c *command) history(ctx context.Context) error {
	a, err := callControl(ctx, c, wireconnect.ControlClient.History, &wire.HistoryRequest{After: c.after, Limit: c.limit})
	if err != nil {
		return err
	}
	entries := make([]historyEntry, 0, len(a.Entries))
	for _, e := range a.Entries {
		entries = append(entries, historyEntry{e.Revision, e.Base, e.Change, e.Operator, e.Note, formatTime(e.Accepted), e.Digest, e.Differences})
	}
	if c.output == "json" {
		return c.writeJSON(entries)
	}
	for _, e := range entries {
		c.printf("revision %d  %s  by %s  change %s\n", e.Revision, e.Accepted, textOrDash(e.Operator), textOrDash(e.Change))
		if e.Note != "" {
			c.printf("    note: %s\n", printable(e.Note))
		}
		for _, d := range e.Differences {
			c.printf("    %s\n", printable(d))
		}
	}
	if n := len(entries); n > 0 && uint32(n) == c.limit {
		fmt.Fprintf(c.Stderr, "there may be further entries: --after %d\n", entries[n-1].Revision)
	}
	return nil
}

type historyEntry struct {
	Revision    uint64   `json:"revision"`
	Base        uint64   `json:"base"`
	Change      string   `json:"change"`
	Operator    string   `json:"operator"`
	Note        string   `json:"note"`
	Accepted    string   `json:"accepted"`
	Digest      string   `json:"digest"`
	Differences []string `json:"differences"`
}

// hostStatus is the status of one control host, or the error of asking it.
type hostStatus struct {
	Address string               `json:"address"`
	Error   string               `json:"error,omitempty"`
	Status  *wire.StatusResponse `json:"status,omitempty"`
}

// status asks every control host, because each describes the group as it sees
// it and a host that is cut off may be wrong.
func (c *command) status(ctx context.Context) error {
	if len(c.controls) == 0 {
		return fail(ExitUsage, "the addresses of control hosts are required: set --control or AMARANTH_CONTROL")
	}
	secure, err := c.secure(authenticator.Control)
	if err != nil {
		return err
	}
	hosts := iter.Map(c.controls, func(address *string) hostStatus {
		s, err := callOne(ctx, c, secure, *address, wireconnect.ControlClient.Status, &wire.StatusRequest{})
		if err != nil {
			return hostStatus{Address: *address, Error: explainError(err, secure != nil)}
		}
		return hostStatus{Address: *address, Status: s}
	})
	if err := c.writeStatus(hosts); err != nil {
		return err
	}
	for _, h := range hosts {
		if h.Status != nil {
			return nil
		}
	}
	return fail(ExitUnreachable, "no control host answered")
}

func (c *command) writeStatus(hosts []hostStatus) error {
	if c.output == "json" {
		return c.writeJSON(hosts)
	}
	rows := [][]string{{"ID", "ROLE", "TERM", "LEADER", "COMMITTED", "APPLIED", "REVISION", "CONTROL"}}
	var view *wire.StatusResponse
	for _, h := range hosts {
		s := h.Status
		if s == nil {
			rows = append(rows, []string{"-", "unreachable", "-", "-", "-", "-", "-", h.Address})
			fmt.Fprintf(c.Stderr, "%s: %s\n", h.Address, h.Error)
			continue
		}
		rows = append(rows, []string{
			hex(s.Id), textOrDash(s.Role), number(s.Term), hex(s.Leader), number(s.Committed), number(s.Applied), number(s.Revision), h.Address,
		})
		// The leader knows the group best. When several hosts consider themselves
		// the leader, the one with the highest term is.
		if view == nil || leads(s) && (!leads(view) || s.Term > view.Term) {
			view = s
		}
	}
	if err := c.table(rows); err != nil || view == nil {
		return err
	}
	return c.writeGroup(view)
}

// leads reports whether a host considers itself the leader.
func leads(s *wire.StatusResponse) bool { return s.Id == s.Leader && s.Leader != 0 }

func (c *command) writeGroup(s *wire.StatusResponse) error {
	rows := [][]string{{"REPLICA", "ADDRESS", "CENTRE", "VOTER", "MATCHED"}}
	for _, r := range s.Replicas {
		rows = append(rows, []string{hex(r.Id), textOrDash(r.Address), textOrDash(r.Centre), strconv.FormatBool(r.Voter), number(r.Matched)})
	}
	c.printf("\nGroup as %s sees it:\n", hex(s.Id))
	if err := c.table(rows); err != nil || len(s.Followers) == 0 {
		return err
	}
	c.printf("\nEntry hosts that follow it:\n")
	rows = [][]string{{"HOST", "CENTRE", "REVISION", "AGE"}}
	for _, f := range s.Followers {
		rows = append(rows, []string{textOrDash(f.Host), textOrDash(f.Centre), number(f.Revision), fmt.Sprintf("%dms", f.Age)})
	}
	return c.table(rows)
}

func number(v uint64) string { return strconv.FormatUint(v, 10) }

func hex(v uint64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatUint(v, 16)
}
