package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/amaranthcart/amaranthcart/internal/config/reviewer"
	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

func (c *command) checkCommand(app *kingpin.Application) string {
	k := app.Command("check", "Check a configuration file without sending it. Exit codes: 0 clean, 1 findings, 2 unusable.")
	c.fileArg(k)
	k.Flag("current", "Also print what differs from the revision in force (asks --control).").BoolVar(&c.current)
	k.Flag("capacity", "Also compare with the upstreams that the host --entry knows.").BoolVar(&c.capacity)
	return k.FullCommand()
}

// checkResult is the JSON output of check.
type checkResult struct {
	Valid    bool                `json:"valid"`
	Problems []validator.Problem `json:"problems"`
	Findings []reviewer.Finding  `json:"findings"`
	// Revision is the one in force that Changes was made against, if that was asked for.
	Revision uint64            `json:"revision,omitempty"`
	Changes  []reviewer.Change `json:"changes,omitempty"`
}

// check checks a configuration file. Without flags it contacts no host.
func (c *command) check(ctx context.Context) error {
	result, document, err := c.checkDocument(ctx)
	if err != nil {
		return &exitError{code: ExitUnusable, err: err}
	}
	if c.output == "json" {
		if err := c.writeJSON(result); err != nil {
			return err
		}
	} else {
		c.printCheck(result, document)
	}
	for _, p := range result.Problems {
		fmt.Fprintln(c.Stderr, p)
	}
	switch {
	case !result.Valid:
		return fail(ExitUnusable, "%s is invalid: %s", c.file, count(len(result.Problems), "problem"))
	case len(result.Findings) > 0:
		return fail(ExitFindings, "%s is valid and has %s", c.file, count(len(result.Findings), "finding"))
	}
	return nil
}

// checkDocument reads the file, checks it and compares it with what the flags ask for. The
// document is nil if it is invalid.
func (c *command) checkDocument(ctx context.Context) (checkResult, *validator.Document, error) {
	result := checkResult{Problems: []validator.Problem{}, Findings: []reviewer.Finding{}}
	data, err := c.readFile()
	if err != nil {
		return result, nil, err
	}
	document, problems := validator.Decode(data)
	if len(problems) > 0 {
		result.Problems = problems
		return result, nil, nil
	}
	result.Valid = true
	capacities, err := c.capacities(ctx)
	if err != nil {
		return result, nil, err
	}
	result.Findings = append(result.Findings, reviewer.Review(document, capacities)...)
	if c.current {
		result.Revision, result.Changes, err = c.changes(ctx, document)
	}
	return result, document, err
}

// capacities asks the entry host for its upstreams. It returns nil if that is not wanted.
func (c *command) capacities(ctx context.Context) (reviewer.Capacities, error) {
	if !c.capacity {
		return nil, nil
	}
	var known inspector.Upstreams
	if err := c.callEntry(ctx, http.MethodGet, c.entry, inspector.UpstreamsPath, &known); err != nil {
		return nil, err
	}
	all := reviewer.Capacities{}
	for _, u := range known.Upstreams {
		for _, p := range append(u.Models, u.Services...) {
			v := all[p]
			v.Upstreams++
			v.Slots += u.Slots
			all[p] = v
		}
	}
	return all, nil
}

// changes returns the revision in force and what differs from it.
func (c *command) changes(ctx context.Context, document *validator.Document) (uint64, []reviewer.Change, error) {
	answer, err := callControl(ctx, c, wireconnect.ControlClient.Get, &wire.GetRequest{})
	if err != nil {
		return 0, nil, err
	}
	r := answer.Revision
	if r == nil || r.Number == 0 {
		return 0, reviewer.Compare(nil, document), nil
	}
	current, problems := validator.Decode(r.Document)
	if len(problems) > 0 {
		return 0, nil, errors.New("this version can't read the configuration in force")
	}
	return r.Number, reviewer.Compare(current, document), nil
}

// printCheck prints the result of a valid document as text.
func (c *command) printCheck(r checkResult, d *validator.Document) {
	if !r.Valid {
		return
	}
	c.printf("%s is valid (classes: %d, organisations: %d, models: %d, services: %d)\n",
		c.file, len(d.Classes), len(d.Organisations), len(d.Models), len(d.Services))
	for _, f := range r.Findings {
		c.printf("%s\n", printable(f.String()))
	}
	if !c.current {
		return
	}
	c.printf("%s against revision %d\n", count(len(r.Changes), "change"), r.Revision)
	for _, v := range r.Changes {
		c.printf("  %s\n", printable(v.String()))
	}
}
