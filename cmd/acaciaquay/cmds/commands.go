// Package cmds implements the command line of acaciaquay.
package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"acaciaquay/internal/base/aqhangup"
	"acaciaquay/pkg/aqprocess"
	"acaciaquay/pkg/aqsettings"
)

// The exit statuses.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command was understood and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitUnknown means that a change may or may not have taken effect.
	ExitUnknown = 3
	// ExitConflict means that another change was accepted first.
	ExitConflict = 4
)

// siteCommand is the command that reloads on SIGHUP.
const siteCommand = "site"

// env holds the output streams of a command.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// usageError means that the command line or a settings file is wrong.
type usageError struct{ error }

// Run runs one command line and returns its exit status.
func Run(args []string, out, errOut io.Writer) int {
	e := &env{stdout: out, stderr: errOut}
	app, actions := New(e)
	app.Terminate(nil)
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	selected, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "acaciaquay: %v\n", err)
		return ExitUsage
	}
	action, ok := actions[selected]
	if !ok {
		return ExitOK
	}
	if selected != siteCommand {
		if err := aqhangup.Restore(); err != nil {
			return exitStatus(err, errOut)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitStatus(action(ctx), errOut)
}

func exitStatus(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "acaciaquay: %v\n", err)
	var usage usageError
	var setting *aqsettings.SettingError
	switch {
	case errors.As(err, &usage), errors.As(err, &setting):
		return ExitUsage
	case isOutcomeUnknown(err):
		return ExitUnknown
	case isConflict(err):
		return ExitConflict
	}
	return ExitFailed
}

// action runs one command.
type action func(ctx context.Context) error

// New returns the command line parser and the action of each command.
func New(e *env) (*kingpin.Application, map[string]action) {
	app := kingpin.New("acaciaquay", "Places latency-critical services and batch tasks on the same hosts.")
	app.HelpFlag.Short('h')
	actions := map[string]action{}
	addDaemons(app, e, actions)
	addCtl(app, e, actions)
	addExplain(app, e, actions)
	addShow(app, e, actions)
	addCheckConfig(app, e, actions)
	return app, actions
}

func addDaemons(app *kingpin.Application, e *env, actions map[string]action) {
	gateway := app.Command("gateway", "Run a gateway, which serves callers and operators.")
	gatewayFile := gateway.Flag("settings", "The host's settings file.").Required().String()
	actions[gateway.FullCommand()] = func(ctx context.Context) error {
		return withSettings(*gatewayFile, func(s aqsettings.Settings) error {
			return aqprocess.RunGateway(ctx, s, e.stderr)
		})
	}

	scheduler := app.Command("scheduler", "Run a scheduler, which owns shards of workers and workloads.")
	schedulerFile := scheduler.Flag("settings", "The host's settings file.").Required().String()
	actions[scheduler.FullCommand()] = func(ctx context.Context) error {
		return withSettings(*schedulerFile, func(s aqsettings.Settings) error {
			return aqprocess.RunScheduler(ctx, s, e.stderr)
		})
	}

	site := app.Command(siteCommand, "Run one process of a site on the platform. It serves submitters and leads the site while it is elected.")
	siteFile := site.Flag("settings", "The process's settings file.").Envar("ACACIAQUAY_NODE_FILE").Required().String()
	cancelWithin := site.Flag("cancel-within", "Time after an acknowledged cancellation from which no task of the job may be started, instead of the setting Bounds.CancelWithin.").Duration()
	actions[site.FullCommand()] = func(ctx context.Context) error {
		return aqprocess.RunSite(ctx, *siteFile, *cancelWithin, e.stdout)
	}

	checkSite := app.Command("check-site", "Check the settings file of a site's process and print the first error.")
	checkSiteFile := checkSite.Arg("file", "The settings file.").Required().String()
	actions[checkSite.FullCommand()] = func(context.Context) error {
		if _, err := aqsettings.LoadSite(*checkSiteFile); err != nil {
			return usageError{err}
		}
		_, err := fmt.Fprintf(e.stdout, "%s: ok\n", *checkSiteFile)
		return err
	}

	check := app.Command("check-settings", "Check the settings file of a host and print the first error.")
	checkFile := check.Arg("file", "The settings file.").Required().String()
	actions[check.FullCommand()] = func(context.Context) error {
		return withSettings(*checkFile, func(aqsettings.Settings) error {
			_, err := fmt.Fprintf(e.stdout, "%s: ok\n", *checkFile)
			return err
		})
	}

	dev := app.Command("dev", "Run a scheduler, a gateway and stand-ins for the platform in one process, to try them out.")
	devFor := dev.Flag("for", "Stop after this time; zero runs until interrupted.").Default("0s").Duration()
	devWorkers := dev.Flag("workers", "Number of stand-in workers.").Default("6").Int()
	actions[dev.FullCommand()] = func(ctx context.Context) error {
		return runDev(ctx, e, *devFor, *devWorkers)
	}
}

func withSettings(file string, run func(aqsettings.Settings) error) error {
	s, err := aqsettings.Load(file)
	if err != nil {
		return usageError{err}
	}
	return run(s)
}

const usageIndent = 2

// Usage renders the help of all commands.
func Usage() string {
	var out bytes.Buffer
	app, _ := New(&env{stdout: &out, stderr: &out})
	app.Terminate(nil)
	app.UsageWriter(&out)
	parsed, err := app.ParseContext(nil)
	if err == nil {
		err = app.UsageForContextWithTemplate(parsed, usageIndent, kingpin.LongHelpTemplate)
	}
	if err != nil {
		return err.Error()
	}
	return out.String()
}
