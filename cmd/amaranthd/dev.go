package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/daemon/runner"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
)

// runDev runs the development deployment in this process until it is stopped, and
// returns the exit code. Its data is kept in the folder, or in a temporary one that is
// removed at the end when the name is empty.
func runDev(folder, callers string) int {
	logger, err := reporter.NewLogger("warn", os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if folder == "" {
		temporary, err := os.MkdirTemp("", "amaranthd-dev-")
		if err != nil {
			logger.Error("cannot make a temporary folder", zap.Error(err))
			return exitFailed
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	folder, err = filepath.Abs(folder)
	if err != nil {
		logger.Error("cannot resolve the data folder", zap.Error(err))
		return exitFailed
	}
	signals, stop := stopSignals()
	defer stop()
	d, err := runner.StartDev(folder, callers, logger)
	if errors.Is(err, syscall.EADDRINUSE) {
		logger.Error("start failed; choose another address for callers with --callers, such as 127.0.0.1:0", zap.Error(err))
		return exitFailed
	}
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		return exitFailed
	}
	printHint(d)
	return wait(signals, stop, d.Daemon, d, logger, closeMargin)
}

// printHint prints the addresses and example requests.
func printHint(d *runner.Dev) {
	fmt.Printf(`ready on http://%[1]s, admin on http://%[2]s; try

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' \
    -d '{"model": "%[4]s", "stream": true, "messages": [{"role": "user", "content": "Tell me a story."}]}'
  curl http://%[1]s/svc/%[5]s/status -H 'Authorization: Bearer %[3]s'

`, d.Callers(), d.Admin(), runner.DevKey, runner.DevModel, runner.DevService)
}
