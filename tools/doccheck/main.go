// Command doccheck lists comments that don't agree with the identifiers of a tree
// of Go files. It does not check generated files, but knows their identifiers.
//
// # Usage
//
//	go -C tools run ./doccheck ..
//
// The argument is the root of the tree. Each finding is a line of the form
// file:line: message. The exit status is 1 if there are findings and 2 on an error;
// go run reports both as 1.
//
// The doc comment of a top-level function, method or type must begin with the
// declared name, optionally after A, An or The. That of a constant, variable, struct
// field, interface method, test, benchmark, fuzz test or example may begin with any
// words, but not with another name. Its first word is a name if it is in mixed case,
// has an underscore, or is a subject without an article, like Renewal in "Renewal is
// the time": a word other than those of pronounPattern before a verb of
// subjectPattern.
// Comments above a parenthesized group or an embedded field are not checked.
//
// A word in mixed case in any comment must be an identifier of the tree, also one
// selected from an imported package, a word of a string literal, or one of
// properNames. A word is in mixed case if it has a capital after a lower-case letter
// or a digit, like ReadFile, or two lower-case letters after two capitals, like
// TLSConfig but not URLs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: doccheck root")
		os.Exit(2)
	}
	findings, err := checkTree(os.DirFS(os.Args[1]))
	if err != nil {
		fmt.Fprintf(os.Stderr, "doccheck: %s: %v\n", os.Args[1], err)
		os.Exit(2)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}
