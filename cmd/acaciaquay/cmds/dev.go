package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/internal/front/aqintake"
	"acaciaquay/pkg/aqclock"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqprocess"
	"acaciaquay/pkg/aqsettings"
	"acaciaquay/pkg/aqstandin"
)

// devPlatformAddress is the address of the stand-in platform in the dev command.
const devPlatformAddress = "127.0.0.1:7300"

const devSettings = `[Process]
Id = dev
Zone = perth
[Platform]
Store = 127.0.0.1:7300
HostList = 127.0.0.1:7300
[Shards]
Count = 2
Zones = perth
[Scheduler]
PeerAddress = 127.0.0.1:7311
OperatorAddress = 127.0.0.1:7312
[Gateway]
CallerAddress = 127.0.0.1:7320
PeerAddress = 127.0.0.1:7321
OperatorAddress = 127.0.0.1:7322
[Log]
Layers = process
`

// devDropAfter is the time without a heartbeat after which the stand-in host registry drops a
// worker.
const devDropAfter = 10 * time.Second

// runDev runs a scheduler, a gateway and stand-ins for the platform in this process
// until ctx ends or, if runFor is above zero, until that time has passed.
func runDev(ctx context.Context, e *env, runFor time.Duration, workers int) error {
	s, err := aqsettings.Parse("dev", []byte(devSettings))
	if err != nil {
		return err
	}
	if runFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, runFor)
		defer cancel()
	}
	clock := aqclock.System{}
	platform := aqstandin.Platform{
		Store:    aqstandin.NewStore(clock),
		Registry: aqstandin.NewHostRegistry(clock, 0, devDropAfter),
		Truth:    aqstandin.NewTruth(),
	}
	intake := aqintake.New(s.Intake.Limits, clock, aqlog.Discard(), aqmetric.New())
	listener, err := aqintake.Listen(devPlatformAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-in platform")
	}
	server := intake.Server(devPlatformAddress, platform.Handler(), aqintake.Port{})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	pool := aqstandin.WorkerPool{
		Platform: aqstandin.NewControlClient(devPlatformAddress),
		Address:  "127.0.0.1:7301",
		Intake:   intake,
		Prefix:   "w",
		Count:    workers,
		Zones:    []string{"perth"},
	}
	go func() { _ = pool.Run(ctx) }()
	_, _ = fmt.Fprint(e.stdout, devHelp())
	results := make(chan error, 2)
	go func() { results <- aqprocess.RunScheduler(ctx, s, e.stderr) }()
	go func() { results <- aqprocess.RunGateway(ctx, s, e.stderr) }()
	first := <-results
	if first != nil {
		return first
	}
	return <-results
}

func devHelp() string {
	return strings.Join([]string{
		"callers:   http://127.0.0.1:7320/SERVICE/PATH",
		"operators: acaciaquay ctl --gateway 127.0.0.1:7322 top",
		"",
	}, "\n")
}
