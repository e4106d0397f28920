// Command rig-2 plays the scripted cases of the second review.
//
// # Usage
//
//	rig-2 CASE FOLDER
//
// It runs in the root of the repository, after the build of the deploy file, starts a small
// deployment on loopback addresses with stand-ins for servers and requesters, and writes
// record.txt into FOLDER. The exit status is 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is
// left out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions, which report whether the rule was
// broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"blocks": playBlocks,
	"crowd":  playCrowd,
	"heads":  playHeads,
	"parts":  playParts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[name](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.conclude("the case could not run: %v", err)
	} else if broken {
		r.conclude("the rule was broken")
	} else {
		r.conclude("the rule held")
	}
	if closing := r.close(); closing != nil {
		err = closing
	}
	switch {
	case err != nil:
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
