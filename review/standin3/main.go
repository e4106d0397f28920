// Command standin3 plays one case of the third review: it starts the programs of the deploy
// file as processes of their own, plays their clients, servers and platform, and checks one
// rule.
//
// # Usage
//
//	standin3 --dir review/11 --target target many-parts
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// outcome is the result of a case.
type outcome struct {
	broken  bool
	summary string
}

// play runs a case on a deployment and returns its outcome.
type play func(d *deployment) (outcome, error)

// plays are the cases by name.
var plays = map[string]func() (layout, play){}

func main() {
	dir := kingpin.Flag("dir", "folder of the case, which receives record.txt").Required().String()
	target := kingpin.Flag("target", "folder of the built programs").Default("target").String()
	name := kingpin.Arg("case", "name of the case").Required().String()
	kingpin.Parse()
	os.Exit(run(*dir, *target, *name))
}

// run plays a case and returns the exit status.
func run(dir, target, name string) int {
	prepare, known := plays[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return statusFailed
	}
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer record.close()
	l, p := prepare()
	d, err := newDeployment(l, target, record)
	if err != nil {
		record.printf("could not start: %v", err)
		return statusFailed
	}
	defer d.close()
	result, err := p(d)
	if err != nil {
		record.printf("could not run: %v", err)
		return statusFailed
	}
	if ended := d.ended(); ended != "" {
		record.printf("ended by itself: %s", ended)
	}
	record.printf("result: broken=%v %s", result.broken, result.summary)
	if result.broken {
		return statusBroken
	}
	return statusHeld
}

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// retry calls f until it returns true or the time is over, and reports whether it did.
func retry(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
