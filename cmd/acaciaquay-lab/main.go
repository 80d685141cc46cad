// Command acaciaquay-lab measures placement under interference that the placement code
// does not know, compares it with baselines and an oracle, and prints a table and CSV.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"acaciaquay/pkg/aqlab"
)

func main() {
	app := kingpin.New("acaciaquay-lab", "Measures placement under hidden interference.")
	seeds := app.Flag("seeds", "Number of seeds.").Default("5").Int()
	out := app.Flag("csv", "File for the raw results.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var results []aqlab.Result
	for _, site := range aqlab.Sites {
		for seed := range uint64(*seeds) {
			for _, arm := range aqlab.Arms {
				results = append(results, aqlab.Run(site, arm, seed+1))
			}
		}
	}
	if err := print(results); err != nil {
		fail(err)
	}
	if *out != "" {
		if err := writeCSV(*out, results); err != nil {
			fail(err)
		}
	}
}

func fail(err error) {
	_, _ = fmt.Fprintf(os.Stderr, "acaciaquay-lab: %v\n", err)
	os.Exit(1)
}

func print(results []aqlab.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SITE\tSEED\tARM\tP50\tP99\tP99.9\tTASKS/H\tCORE-H/H\tEVICTIONS\tLOST WORK\tOVERLOADED\tURGENT WAIT P99\tOVER-COMMITTED")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%d\t%s\t%.1f%%\t%s\t%d\n",
			r.Site, r.Seed, r.Arm, round(r.P50), round(r.P99), round(r.P999), r.BatchPerHour, r.CoreHoursPerHour, r.Evictions, r.LostWork,
			100*r.Overloaded, r.ServiceWaitP99.Round(time.Second), r.OverCommitted)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, line := range aqlab.Targets(results) {
		fmt.Println(line)
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func writeCSV(file string, results []aqlab.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintln(f, "Site,Seed,Arm,P50Micros,P99Micros,P999Micros,BatchPerHour,CoreHoursPerHour,Evictions,LostWorkSeconds,OverloadedPercent,UrgentWaitP99Seconds,OverCommitted")
	for _, r := range results {
		_, _ = fmt.Fprintf(f, "%s,%d,%s,%d,%d,%d,%.1f,%.1f,%d,%.0f,%.2f,%.0f,%d\n",
			r.Site, r.Seed, r.Arm, r.P50.Microseconds(), r.P99.Microseconds(), r.P999.Microseconds(), r.BatchPerHour, r.CoreHoursPerHour,
			r.Evictions, r.LostWork.Seconds(), 100*r.Overloaded, r.ServiceWaitP99.Seconds(), r.OverCommitted)
	}
	return nil
}
