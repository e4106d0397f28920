// Command harness plays the cases of the review against the project's own programs. It
// starts control hosts and entry hosts as separate processes with the command of the
// deploy file, and stands in for the operator, the upstreams, the callers and the platform.
//
// # Usage
//
//	harness --case N [--trouble 0] [--record FILE]
//
// It writes what was sent, answered and run to FILE, by default review/N/record.txt. Number 6
// is a trial that is no case of the review. The exit status is 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case. With trouble it includes the disruption. It returns what broke
// the rule; empty if the rule held.
type scenario func(r *record, trouble bool) (string, error)

var scenarios = map[int]scenario{}

func main() {
	number := flag.Int("case", 0, "number of the case")
	trouble := flag.String("trouble", "1", "0 plays the case without the disruption")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	if *path == "" {
		*path = filepath.Join("review", strconv.Itoa(*number), "record.txt")
	}
	os.Exit(play(*number, *trouble != "0", *path))
}

func play(number int, trouble bool, path string) int {
	run, ok := scenarios[number]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no script of case %d\n", number)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	r.notef("case %d, disruption %v", number, trouble)
	broken, err := run(r, trouble)
	switch {
	case err != nil:
		r.notef("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		r.notef("BROKEN: %s", broken)
		return exitBroken
	}
	r.notef("the rule held")
	return exitHeld
}
