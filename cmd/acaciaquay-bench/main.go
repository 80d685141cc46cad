// Command acaciaquay-bench measures the request plane over loopback.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"acaciaquay/pkg/aqbench"
	"acaciaquay/pkg/aqstandin"
)

func main() {
	app := kingpin.New("acaciaquay-bench", "Measures the request plane over loopback.")
	length := app.Flag("length", "Length of one measurement.").Default("6s").Duration()
	seed := app.Flag("seed", "Seed of the load.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, measure := range []func(time.Duration, uint64) error{slots, overload} {
		if err := measure(*length, *seed); err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "acaciaquay-bench: %v\n", err)
			os.Exit(1)
		}
	}
}

// slots compares settings of how many of an endpoint's slots each of 8 gateways may use.
func slots(length time.Duration, seed uint64) error {
	fmt.Println("SLOTS: 8 gateways, 50 endpoints of 8 slots")
	fmt.Println("variant        load  hot   sent  answered  p50      p99      p99.9")
	for _, variant := range []struct {
		name  string
		slots int
	}{
		{name: "independent", slots: aqstandin.DefaultSlots},
		{name: "half", slots: aqstandin.DefaultSlots / 2},
		{name: "divided", slots: 1},
	} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			for _, hot := range []float64{0, 0.5} {
				site, err := aqbench.NewSite(aqbench.SiteOptions{
					Gateways:        8,
					Endpoints:       50,
					SlotsPerGateway: variant.slots,
				})
				if err != nil {
					return err
				}
				o := site.Run(length, seed, aqbench.Stream{
					Urgency:  "urgent",
					Rate:     load * site.Capacity(),
					Timeout:  10 * time.Second,
					HotShare: hot,
				})[0]
				site.Close()
				fmt.Printf("%-13s  %.2f  %.1f  %6d  %6d  %-8s %-8s %-8s\n",
					variant.name, load, hot, o.Sent, o.Answered, round(o.P50), round(o.P99), round(o.P999))
			}
		}
	}
	return nil
}

// overload measures the throughput and latency of each urgency while requests of the
// other overload the site at 10 times its capacity.
func overload(length time.Duration, seed uint64) error {
	fmt.Println("OVERLOAD: 2 gateways, 8 endpoints of 8 slots")
	site, err := aqbench.NewSite(aqbench.SiteOptions{
		Gateways:        2,
		Endpoints:       8,
		SlotsPerGateway: aqstandin.DefaultSlots,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	capacity := site.Capacity()
	stream := func(urgency string, load float64) aqbench.Stream {
		return aqbench.Stream{
			Urgency: urgency,
			Rate:    load * capacity,
			Timeout: 2 * time.Second,
		}
	}
	const overloaded, moderate = 10, 0.3
	print := func(name string, outcomes []aqbench.Outcome) {
		for i, o := range outcomes {
			fmt.Printf("%-38s stream %d: sent %6d answered %6d (%.2f of capacity) p50 %-8s p99 %-8s\n",
				name, i, o.Sent, o.Answered, float64(o.Answered)/length.Seconds()/capacity, round(o.P50), round(o.P99))
		}
	}
	print("urgent 0.3 alone", site.Run(length, seed, stream("urgent", moderate)))
	print("saturation, background 1.2", site.Run(length, seed, stream("background", 1.2)))
	print("urgent 0.3 under background overload", site.Run(length, seed, stream("urgent", moderate), stream("background", overloaded)))
	print("background 0.3 under urgent overload", site.Run(length, seed, stream("background", moderate), stream("urgent", overloaded)))
	made, denied := site.Retries()
	fmt.Printf("retries made %d, denied by the retry budget %d\n", made, denied)
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
