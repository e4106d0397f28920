package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/ops/inspector"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
	"github.com/amaranthcart/amaranthcart/internal/rpc/verifier"
)

// upstreams prints the upstreams that an entry host knows.
func (c *command) upstreams(ctx context.Context) error {
	var u inspector.Upstreams
	if err := c.callEntry(ctx, http.MethodGet, c.entry, inspector.UpstreamsPath, &u); err != nil {
		return err
	}
	if c.output == "json" {
		return c.writeJSON(u)
	}
	rows := [][]string{{"UPSTREAM", "ADDRESS", "CENTRE", "CELL", "STATE", "SLOTS", "USED", "LEASE", "SERVES"}}
	for _, v := range u.Upstreams {
		var pools []string
		for _, p := range append(v.Models, v.Services...) {
			pools = append(pools, string(p))
		}
		rows = append(rows, []string{
			textOrDash(string(v.Name)), textOrDash(v.Address), textOrDash(string(v.Centre)), textOrDash(string(v.Cell)), textOrDash(v.State),
			fmt.Sprint(v.Slots), fmt.Sprint(v.Used), v.Remaining.String(), textOrDash(strings.Join(pools, ",")),
		})
	}
	return c.table(rows)
}

// drain starts the planned stop of an entry host. Repeating it has no further effect.
func (c *command) drain(ctx context.Context) error {
	var d inspector.Drain
	if err := c.callEntry(ctx, http.MethodPost, c.host, inspector.DrainPath, &d); err != nil {
		return err
	}
	if c.output == "json" {
		return c.writeJSON(d)
	}
	began := "has begun"
	if d.Repeated {
		began = "had begun before"
	}
	c.printf("the planned stop of %s %s; %s still open\n", textOrDash(string(d.Host)), began, count(d.Open, "request"))
	return nil
}

// explain prints what an entry host would do with a request now.
func (c *command) explain(ctx context.Context) error {
	q := url.Values{"class": {c.class}, "organisation": {c.organisation}, "pool": {c.pool}}
	var e inspector.Explanation
	if err := c.callEntry(ctx, http.MethodGet, c.entry, inspector.ExplainPath+"?"+q.Encode(), &e); err != nil {
		return err
	}
	if c.output == "json" {
		return c.writeJSON(e)
	}
	c.printf("A request of %s for %s in class %s (tier %d) under revision %d:\n",
		textOrDash(string(e.Organisation)), textOrDash(string(e.Pool)), textOrDash(string(e.Class)), e.Tier, e.Revision)
	c.printf("  decision: %s: %s\n", textOrDash(e.Decision), textOrDash(e.Reason))
	if e.Retry > 0 {
		c.printf("  retry after: %s\n", e.Retry)
	}
	c.printf("  ahead in the queue: %d\n", e.Ahead)
	c.printf("  cell %s is dispatched by %s\n", textOrDash(string(e.Cell)), textOrDash(string(e.Owner)))
	for _, v := range e.Candidates {
		usable := "usable"
		if !v.Usable {
			usable = "not usable"
		}
		c.printf("  upstream %s is %s: %s\n", textOrDash(string(v.Upstream)), usable, textOrDash(v.Reason))
	}
	return nil
}

// callEntry sends one request to the admin address of an entry host.
func (c *command) callEntry(ctx context.Context, method, address, path string, answer any) error {
	if address == "" {
		return fail(ExitUsage, "the admin address of an entry host is required: set --entry or AMARANTH_ENTRY")
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fail(ExitUsage, "%q is not host:port", address)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	secure, err := c.secure(authenticator.Entry, authenticator.Control)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, c.scheme()+address+path, nil)
	if err != nil {
		return fail(ExitUsage, "address %q: %w", address, err)
	}
	c.authorize(r.Header)
	t := verifier.New(&http.Transport{DisableKeepAlives: true, DialTLSContext: dialTLS(c.timeout, secure, "http/1.1")})
	status, body, err := send(&http.Client{Transport: t}, r)
	if err != nil {
		return fail(ExitUnreachable, "%s did not answer: %s", address, explainHTTP(err))
	}
	if status >= http.StatusMultipleChoices {
		return fail(ExitFailed, "%s refused the request: %s", address, refusal(status, body))
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fail(ExitFailed, "%s did not answer in JSON (is this the admin address of an entry host?): %w", address, err)
	}
	return nil
}

func send(client *http.Client, r *http.Request) (int, []byte, error) {
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return response.StatusCode, body, errors.Join(err, response.Body.Close())
}

func explainHTTP(err error) string {
	var u *url.Error
	if errors.As(err, &u) && u.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return err.Error()
}

// refusal returns the reason that the host gives, or the status when it gives none.
func refusal(status int, body []byte) string {
	var f struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &f) != nil || f.Error == "" {
		return fmt.Sprintf("status %d %s (is this the admin address of an entry host?)", status, http.StatusText(status))
	}
	return printable(f.Error)
}
