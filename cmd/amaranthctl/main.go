// Command amaranthctl is the operators' client of amaranthcart.
//
// # Usage
//
//	export AMARANTH_CONTROL=10.0.0.1:7070,10.0.0.2:7070,10.0.0.3:7070
//	amaranthctl get > auction.json
//	amaranthctl check auction.json
//	amaranthctl apply auction.json --revision 7 --note "more herders"
//
// Shell completion: eval "$(amaranthctl --completion-script-bash)", or
// --completion-script-zsh. docs/operators.md describes all commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/amaranthcart/amaranthcart/internal/ctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], commander.Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Version: version(),
	})
	stop()
	os.Exit(code)
}

// version returns the module version or the revision of the checkout that the
// program was built from.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "amaranthctl, unknown version"
	}
	v := b.Main.Version
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" && v == "(devel)" {
			v = s.Value
		}
	}
	return "amaranthctl " + v + " " + b.GoVersion
}
