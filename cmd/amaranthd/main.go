// Command amaranthd runs an entry host, a control host or both in one process.
//
// # Usage
//
//	amaranthd run --settings /etc/amaranth/host.json
//	amaranthd check --settings /etc/amaranth/host.json
//	amaranthd dev
//
// It exits with 0 after a planned stop, 1 after a failure and 2 when the
// arguments or the settings are wrong. SIGTERM starts a planned stop.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/daemon/runner"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// closeMargin is the time for handing over and closing after the drain time.
const closeMargin = 15 * time.Second

func main() {
	app := kingpin.New("amaranthd", "Router for language-model traffic beside plain requests.")
	app.Version(version())
	app.HelpFlag.Short('h')
	run := app.Command("run", "Run the roles that the settings name.")
	runFile := run.Flag("settings", "Settings file.").Required().String()
	check := app.Command("check", "Check a settings file and open nothing.")
	checkFile := check.Flag("settings", "Settings file.").Required().String()
	dev := app.Command("dev", "Run control, an entry host and two stand-in upstreams on loopback.")
	devData := dev.Flag("data", "Data folder; default is a temporary one.").String()
	devCallers := dev.Flag("callers", "Address for callers.").Default("127.0.0.1:8080").String()
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		app.Errorf("%s, try --help", err)
		os.Exit(exitUsage)
	}
	switch command {
	case run.FullCommand():
		os.Exit(runDaemon(*runFile))
	case check.FullCommand():
		os.Exit(checkSettings(*checkFile))
	case dev.FullCommand():
		os.Exit(runDev(*devData, *devCallers))
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

func load(path string) (*loader.Settings, bool) {
	s, problems := loader.Load(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		fmt.Fprintf(os.Stderr, "amaranthd: the settings in %s are not valid: correct what is listed above; docs/settings.md describes every field\n", path)
	}
	return s, len(problems) == 0
}

func checkSettings(path string) int {
	s, ok := load(path)
	if !ok {
		return exitUsage
	}
	fmt.Printf("settings of %s are valid\n", s.Name)
	return 0
}

// collectPercent is the GOGC value: the heap may grow to five times the live data,
// which is small, before a garbage collection. With the default, collections took a
// third of the time of a short request.
const collectPercent = 400

// tuneCollector sets the garbage collector's target unless the operator has set GOGC.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
}

// stopSignals returns a context that SIGINT or SIGTERM ends, for a planned stop. It is
// called before anything is started, because an earlier signal would end the process
// without a planned stop.
func stopSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func runDaemon(path string) int {
	signals, stop := stopSignals()
	defer stop()
	tuneCollector()
	s, ok := load(path)
	if !ok {
		return exitUsage
	}
	logger, err := reporter.NewLogger(s.Log, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	d, err := runner.Start(s, runner.WithLogger(logger.With(zap.String("self", string(s.Name)))))
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		return exitFailed
	}
	return wait(signals, stop, d, d, logger, time.Duration(s.Drain)+closeMargin)
}

// closer is what a planned stop closes; ctx bounds the time.
type closer interface {
	Close(ctx context.Context) error
}

// wait waits until a signal, an operator or a failure stops the process, carries out
// the planned stop within the limit and returns the exit code. It calls stop to end the
// handling of signals.
func wait(signals context.Context, stop context.CancelFunc, d *runner.Daemon, all closer, logger *zap.Logger, limit time.Duration) int {
	select {
	case <-signals.Done():
	case <-d.StopRequested():
	case err := <-d.Fatal():
		// The state on disk may be damaged, so the process exits without a
		// handover.
		logger.Error("stopping after a failure", zap.Error(err))
		return exitFailed
	}
	// From here on a second signal ends the process at once.
	stop()
	logger.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := all.Close(ctx); err != nil {
		logger.Error("planned stop was not clean", zap.Error(err))
		return exitFailed
	}
	logger.Info("planned stop is complete")
	return 0
}
