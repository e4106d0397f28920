// Command amaranthbench measures the scheduler in virtual time, compares it with
// baselines and a theoretical bound, and writes tables and plots.
//
// # Usage
//
//	amaranthbench --workload kovac/swing
//	amaranthbench --row "name of the round" --seeds 11
//	amaranthbench --plots docs/plots
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/amaranthcart/amaranthcart/internal/policy/bencher"
)

func main() {
	app := kingpin.New("amaranthbench", "Measures the scheduler in virtual time.")
	workload := app.Flag("workload", "Run the workloads whose name contains this.").String()
	policy := app.Flag("policy", "Run the policies whose name contains this.").String()
	seeds := app.Flag("seeds", "Seeds: 1 to 5 serve to choose parameters, 11 to 15 to report.").Default("11", "12", "13", "14", "15").Uint64List()
	parallel := app.Flag("parallel", "Runs at the same time.").Default("3").Int()
	row := app.Flag("row", "Write one row of the rounds table with this name, for the measured policy only.").String()
	plots := app.Flag("plots", "Folder for the plots; none are drawn without it.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	var workloads []bencher.Workload
	for _, w := range bencher.Workloads() {
		if strings.Contains(w.Name, *workload) {
			workloads = append(workloads, w)
		}
	}
	if *row != "" {
		*policy = bencher.Measured
	}
	var policies []bencher.Policy
	for _, p := range bencher.Policies() {
		if strings.Contains(p.Name, *policy) {
			policies = append(policies, p)
		}
	}
	list := bencher.Measure(workloads, policies, *seeds, *parallel)
	if *row != "" {
		if err := bencher.WriteRow(os.Stdout, *row, list); err != nil {
			fmt.Fprintf(os.Stderr, "write the row: %v\n", err)
			os.Exit(1)
		}
		return
	}
	if *plots != "" {
		if err := bencher.Draw(*plots, list); err != nil {
			fmt.Fprintf(os.Stderr, "draw the plots: %v\n", err)
			os.Exit(1)
		}
	}
	if err := write(list); err != nil {
		fmt.Fprintf(os.Stderr, "write the tables: %v\n", err)
		os.Exit(1)
	}
}

func write(list []bencher.Summary) error {
	if err := bencher.WriteTable(os.Stdout, list); err != nil {
		return err
	}
	fmt.Println()
	return bencher.WriteComparison(os.Stdout, list)
}
