// Command amaranthload replays a benchmark workload against running entry hosts whose
// upstreams are stub engines, and prints the same table as amaranthbench.
//
// # Usage
//
//	amaranthload list
//	amaranthload document kovac/swing > document.json
//	amaranthload run kovac/swing --entry 127.0.0.1:8080 --engine 127.0.0.1:9001
//
// scripts/emulate starts a whole deployment on loopback and runs it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/load/replayer"
	"github.com/amaranthcart/amaranthcart/internal/policy/bencher"
)

func main() {
	app := kingpin.New("amaranthload", "Replays a measured workload against running entry hosts.")
	list := app.Command("list", "Print the names of the workloads.")
	document := app.Command("document", "Print the configuration that fits a workload.")
	documented := document.Arg("workload", "Name of the workload.").Required().String()
	run := app.Command("run", "Replay a workload in real time and print what it measured.")
	replayed := run.Arg("workload", "Name of the workload.").Required().String()
	seed := run.Flag("seed", "Seed of the arrivals.").Default("11").Uint64()
	entries := run.Flag("entry", "Caller address of an entry host; repeatable.").Required().Strings()
	engines := run.Flag("engine", "Address of a stand-in engine, to slow or crash as the workload says; repeatable, in order.").Strings()
	verbose := run.Flag("verbose", "Log each call that failed.").Bool()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case list.FullCommand():
		for _, w := range bencher.Workloads() {
			fmt.Println(w.Name)
		}
	case document.FullCommand():
		err = printDocument(*documented)
	case run.FullCommand():
		err = replay(*replayed, *seed, *entries, *engines, *verbose)
	}
	app.FatalIfError(err, "")
}

func find(name string) (bencher.Workload, error) {
	for _, w := range bencher.Workloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return bencher.Workload{}, fmt.Errorf("no workload has the name %q; amaranthload list prints the names", name)
}

func printDocument(name string) error {
	w, err := find(name)
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(w.Document())
}

func replay(name string, seed uint64, entries, engines []string, verbose bool) error {
	w, err := find(name)
	if err != nil {
		return err
	}
	logger := zap.NewNop()
	if verbose {
		if logger, err = zap.NewDevelopment(); err != nil {
			return fmt.Errorf("make the logger: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := replayer.New(replayer.Options{
		Workload: w, Seed: seed, Policy: "processes", Entries: entries, Engines: engines, Logger: logger,
	})
	result, err := r.Run(ctx)
	if err != nil {
		return err
	}
	return bencher.WriteTable(os.Stdout, []bencher.Summary{{Result: result, Seeds: 1}})
}
