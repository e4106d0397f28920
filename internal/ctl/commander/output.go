package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// addresses is a flag value of host:port addresses separated by commas.
type addresses struct{ list *[]string }

// Set adds the addresses of one occurrence of the flag. It returns an error for one that
// is not host:port.
func (a *addresses) Set(v string) error {
	for s := range strings.SplitSeq(v, ",") {
		s = strings.TrimSpace(s)
		if _, _, err := net.SplitHostPort(s); err != nil {
			return fmt.Errorf("%q is not host:port", s)
		}
		*a.list = append(*a.list, s)
	}
	return nil
}

// IsCumulative permits the flag more than once.
func (a *addresses) IsCumulative() bool { return true }

// String returns the addresses as they are written on a command line.
func (a *addresses) String() string {
	if a.list == nil {
		return ""
	}
	return strings.Join(*a.list, ",")
}

// readFile reads the configuration file, or the standard input for "-". It reads at most
// one byte more than the permitted size, so that the check reports a file that is too
// large.
func (c *command) readFile() (data []byte, err error) {
	in := c.Stdin
	if c.file != "-" {
		f, err := os.Open(c.file)
		if err != nil {
			return nil, fmt.Errorf("opening the configuration: %w", err)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		in = f
	}
	data, err = io.ReadAll(io.LimitReader(in, validator.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return data, nil
}

func (c *command) printf(format string, args ...any) {
	fmt.Fprintf(c.Stdout, format, args...)
}

func (c *command) writeJSON(v any) error {
	e := json.NewEncoder(c.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// table writes rows with aligned columns.
func (c *command) table(rows [][]string) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// count returns a number with a noun, in the plural unless the number is 1.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// formatTime returns a time in Unix nanoseconds as RFC 3339 text in UTC.
func formatTime(nanoseconds int64) string {
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

// printable replaces control characters, which could control the terminal, because notes
// and names come from other hosts.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

// textOrDash returns the printable text, or "-" when it is empty.
func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return printable(s)
}
