// Package commander implements the commands of amaranthctl.
//
// # Usage
//
//	os.Exit(commander.Run(ctx, os.Args[1:], commander.Environment{
//		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Version: version,
//	}))
//
// Results go to the standard output and everything else to the standard error.
// Requests are tried on each control host in turn. This is safe, because a change
// carries the same ID in all tries and is applied at most once. docs/operators.md
// describes the commands and the exit codes.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that the configuration was refused as invalid.
	ExitInvalid = 3
	// ExitConflict means that another change was accepted first or that the
	// change ID was used before.
	ExitConflict = 4
	// ExitUnreachable means that no host answered; a change may or may not
	// have been accepted.
	ExitUnreachable = 5

	// ExitFindings means that check found something suspicious in a valid configuration.
	ExitFindings = 1
	// ExitUnusable means that check could not read the configuration, found it invalid or
	// could not get what it was to be compared with.
	ExitUnusable = 2
)

// Environment holds what a command uses of its process.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Version is the text that --version prints.
	Version string
	// NewID returns a new change ID; by default a random UUID.
	NewID func() string
	// Pause is the time between two rounds over the control hosts;
	// DefaultPause by default.
	Pause time.Duration
}

// DefaultPause is the time between two rounds. All rounds together take longer than the
// 2 s in which a new control leader is elected.
const (
	DefaultPause = time.Second
	rounds       = 4
)

// DefaultTimeout bounds one request to one host.
const DefaultTimeout = 5 * time.Second

// exitError carries an exit code. A nil err means that the message has been written
// already.
type exitError struct {
	code int
	err  error
}

// Error returns the message that is shown to the operator.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (e *exitError) Unwrap() error { return e.err }

func fail(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// terminated is the value of the panic that ends parsing when kingpin has written help,
// the version or a completion script. Kingpin expects its terminate function not to
// return.
type terminated struct{ code int }

// command holds the flags and arguments of one command line.
type command struct {
	Environment
	controls []string
	entry    string
	key      string
	// certificate and authority are file names. With them, key is the name of the file
	// with the private key; without them, it is an operator key.
	certificate string
	authority   string
	output      string
	timeout     time.Duration

	file         string
	current      bool
	capacity     bool
	base         uint64
	change       string
	note         string
	revision     uint64
	after        uint64
	limit        uint32
	host         string
	class        string
	organisation string
	pool         string
}

// Run executes a command line, given without the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, e Environment) (code int) {
	if e.NewID == nil {
		e.NewID = uuid.NewString
	}
	if e.Pause == 0 {
		e.Pause = DefaultPause
	}
	c := &command{Environment: e}
	app, actions := c.application()
	defer func() {
		v := recover()
		if t, ok := v.(terminated); ok {
			code = t.code
		} else if v != nil {
			panic(v)
		}
	}()
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(e.Stderr, "amaranthctl: %v; try --help\n", err)
		return ExitUsage
	}
	return c.exit(actions[name](ctx))
}

// exit writes an error and returns its exit code.
func (c *command) exit(err error) int {
	if err == nil {
		return ExitOK
	}
	code := ExitFailed
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	if e == nil || e.err != nil {
		fmt.Fprintf(c.Stderr, "amaranthctl: %v\n", err)
	}
	return code
}

// action runs a parsed command.
type action func(context.Context) error

func (c *command) application() (*kingpin.Application, map[string]action) {
	app := kingpin.New("amaranthctl", "Operate amaranthcart.")
	app.Version(c.Version)
	app.UsageWriter(c.Stdout)
	app.ErrorWriter(c.Stderr)
	app.Terminate(func(code int) { panic(terminated{code}) })
	c.globalFlags(app)
	return app, map[string]action{
		c.checkCommand(app):     c.check,
		c.applyCommand(app):     c.apply,
		c.getCommand(app):       c.get,
		c.historyCommand(app):   c.history,
		c.statusCommand(app):    c.status,
		c.upstreamsCommand(app): c.upstreams,
		c.drainCommand(app):     c.drain,
		c.explainCommand(app):   c.explain,
	}
}

func (c *command) globalFlags(app *kingpin.Application) {
	app.Flag("control", "Addresses of control hosts (their setting peers), separated by commas.").
		Envar("AMARANTH_CONTROL").PlaceHolder("HOST:PORT,...").SetValue(&addresses{list: &c.controls})
	app.Flag("entry", "Address of an entry host (its setting admin).").
		Envar("AMARANTH_ENTRY").PlaceHolder("HOST:PORT").StringVar(&c.entry)
	app.Flag("authority", "File with the authority of the hosts' certificates; turns TLS on.").
		Envar("AMARANTH_AUTHORITY").PlaceHolder("FILE").StringVar(&c.authority)
	app.Flag("certificate", "File with the operator's certificate; with it --key names the file of its private key.").
		Envar("AMARANTH_CERTIFICATE").PlaceHolder("FILE").StringVar(&c.certificate)
	app.Flag("key", "Operator key; better set in the environment, because command lines are visible to others.").
		Envar("AMARANTH_KEY").StringVar(&c.key)
	app.Flag("output", "Form of the results: text or json.").Default("text").EnumVar(&c.output, "text", "json")
	app.Flag("timeout", "Time for one try on one host.").Default(DefaultTimeout.String()).DurationVar(&c.timeout)
}

func (c *command) applyCommand(app *kingpin.Application) string {
	k := app.Command("apply", "Submit a configuration file.")
	c.fileArg(k)
	k.Flag("revision", "Revision that was edited; 0 for the first configuration.").Required().Uint64Var(&c.base)
	k.Flag("change", "ID of the change, to send it again after a lost answer; made when absent.").StringVar(&c.change)
	k.Flag("note", "Reason for the audit trail.").StringVar(&c.note)
	return k.FullCommand()
}

func (c *command) fileArg(k *kingpin.CmdClause) {
	k.Arg("file", "Configuration file; - for the standard input.").Required().StringVar(&c.file)
}

func (c *command) getCommand(app *kingpin.Application) string {
	k := app.Command("get", "Print a configuration.")
	k.Flag("revision", "Revision to print; the current one when absent.").Uint64Var(&c.revision)
	return k.FullCommand()
}

func (c *command) historyCommand(app *kingpin.Application) string {
	k := app.Command("history", "Print the audit trail, oldest entry first.")
	k.Flag("after", "Print entries after this revision.").Uint64Var(&c.after)
	k.Flag("limit", "Largest number of entries.").Default("100").Uint32Var(&c.limit)
	return k.FullCommand()
}

func (c *command) statusCommand(app *kingpin.Application) string {
	return app.Command("status", "Ask every control host for its state.").FullCommand()
}

func (c *command) upstreamsCommand(app *kingpin.Application) string {
	return app.Command("upstreams", "Print the upstreams that an entry host knows.").FullCommand()
}

func (c *command) drainCommand(app *kingpin.Application) string {
	k := app.Command("drain", "Start the planned stop of an entry host.")
	k.Arg("host", "Address of the host (its setting admin).").Required().StringVar(&c.host)
	return k.FullCommand()
}

func (c *command) explainCommand(app *kingpin.Application) string {
	k := app.Command("explain", "Tell what an entry host would do with a request now.")
	k.Flag("class", "Class; that of the model or service when absent.").StringVar(&c.class)
	k.Flag("organisation", "Organisation of the caller.").Required().StringVar(&c.organisation)
	k.Flag("pool", "Model or service.").Required().StringVar(&c.pool)
	return k.FullCommand()
}
