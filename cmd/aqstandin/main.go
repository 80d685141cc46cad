// Command aqstandin runs stand-ins of the platform, sends load through gateways and
// reports the final counts, for demonstrations and tests.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqstandin"
)

const readHeaderTimeout = 5 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "aqstandin: %v\n", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	app := kingpin.New("aqstandin", "Stand-ins of the platform for demonstrations and tests.")
	app.HelpFlag.Short('h')

	platform := app.Command("platform", "Run the key-value service and the host list.")
	listen := platform.Flag("listen", "IP:port to serve on.").Required().String()
	lag := platform.Flag("lag", "Delay before a change is visible in the host list.").Default("200ms").Duration()
	dropAfter := platform.Flag("drop-after", "Time without a heartbeat after which a worker is dropped.").Default("5s").Duration()

	workers := app.Command("workers", "Run workers that open endpoints for service tasks.")
	workersPlatform := workers.Flag("platform", "IP:port of the platform stand-in.").Required().String()
	address := workers.Flag("listen", "IP:port to serve on.").Required().String()
	prefix := workers.Flag("prefix", "Prefix of the workers' ids.").Default("w").String()
	number := workers.Flag("count", "Number of workers.").Default("4").Int()
	zones := workers.Flag("zones", "Zones, comma-separated.").Default("perth").String()

	faults := app.Command("faults", "Set the faults of the key-value service.")
	faultsPlatform := faults.Flag("platform", "IP:port of the platform stand-in.").Required().String()
	outage := faults.Flag("outage", "Refuse every call.").Bool()
	delay := faults.Flag("delay", "Delay of every call.").Default("0s").Duration()
	loseAnswers := faults.Flag("lose-answers", "Number of next puts whose answers are lost.").Default("0").Int()

	load := addLoad(app)
	report := addReport(app)

	selected, err := app.Parse(args)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch selected {
	case platform.FullCommand():
		return runPlatform(ctx, *listen, *lag, *dropAfter)
	case workers.FullCommand():
		return aqstandin.WorkerPool{
			Platform: aqstandin.NewControlClient(*workersPlatform),
			Address:  *address,
			Prefix:   *prefix,
			Count:    *number,
			Zones:    strings.Split(*zones, ","),
		}.Run(ctx)
	case faults.FullCommand():
		return aqstandin.NewControlClient(*faultsPlatform).Post(aqstandin.PathFaults, aqstandin.Faults{
			Outage:      *outage,
			Delay:       *delay,
			LoseAnswers: *loseAnswers,
		}, nil)
	case load.command.FullCommand():
		return load.run(ctx)
	case report.command.FullCommand():
		return report.run()
	}
	return nil
}

func runPlatform(ctx context.Context, address string, lag, dropAfter time.Duration) error {
	clock := aqclock.System{}
	platform := aqstandin.Platform{
		Store:    aqstandin.NewStore(clock),
		Registry: aqstandin.NewHostRegistry(clock, lag, dropAfter),
		Truth:    aqstandin.NewTruth(),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	return server.Close()
}
