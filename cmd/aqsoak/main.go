// Command aqsoak runs randomized soaks of the real processes under faults.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"acaciaquay/pkg/aqsoak"
)

func main() {
	app := kingpin.New("aqsoak", "Runs a site's processes against fakes of the platform, injects faults, and checks what workers and submitters observe.")
	program := app.Flag("program", "Path of the acaciaquay binary.").Default(".bin/acaciaquay").String()
	first := app.Flag("seed", "The first seed.").Default("1").Int64()
	count := app.Flag("count", "Number of seeds.").Default("1").Int64()
	faultTime := app.Flag("harm", "How long faults are injected.").Default("15s").Duration()
	processes := app.Flag("processes", "Processes of the site.").Default("4").Int()
	workers := app.Flag("workers", "Workers.").Default("6").Int()
	dir := app.Flag("dir", "Directory for settings and logs.").Default(".run/soak").String()
	regressionsOnly := app.Flag("regressions", "Run the seeds that have failed before instead of the others.").Bool()
	delayAcrossRestarts := app.Flag("delay-across-restarts", "Also delay orders to workers on their way while these restart.").Bool()
	cancellations := app.Flag("cancellations", "Cancel most jobs, and make the connections to the store fall silent.").Bool()
	submitPeriod := app.Flag("submit-period", "Time between two submissions; 0 for the default.").Duration()
	largeJobs := app.Flag("large-jobs", "Give the task groups of jobs 10 to 40 tasks.").Bool()
	evacuations := app.Flag("evacuations", "Also evacuate zones.").Bool()
	speculative := app.Flag("speculative", "Permit copies of the tasks of every other job.").Bool()
	verbose := app.Flag("verbose", "Print each fault.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	out := io.Discard
	if *verbose {
		out = os.Stdout
	}
	runs := aqsoak.Regressions
	if !*regressionsOnly {
		runs = nil
		for seed := *first; seed < *first+*count; seed++ {
			runs = append(runs, aqsoak.Regression{
				Seed:                seed,
				DelayAcrossRestarts: *delayAcrossRestarts,
				Evacuations:         *evacuations,
				Cancellations:       *cancellations,
			})
		}
	}
	failed := 0
	for _, run := range runs {
		result, err := aqsoak.Run(aqsoak.Options{
			Seed:                run.Seed,
			Program:             *program,
			Dir:                 filepath.Join(*dir, fmt.Sprintf("seed%d", run.Seed)),
			FaultTime:           *faultTime,
			Processes:           *processes,
			Workers:             *workers,
			DelayAcrossRestarts: run.DelayAcrossRestarts,
			Evacuations:         run.Evacuations,
			Cancellations:       run.Cancellations,
			Speculative:         *speculative,
			SubmitPeriod:        *submitPeriod,
			LargeJobs:           *largeJobs,
			Out:                 out,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		fmt.Printf("seed %d: %s\n", run.Seed, result.Summary)
		for _, violation := range result.Violations {
			fmt.Printf("  violation: %s\n", violation)
		}
		if len(result.Violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(runs)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
