package cmds

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
	"acaciaquay/pkg/aqproto/acaciaquay/v1/acaciaquayv1connect"
)

// ctl holds the flags that all ctl commands share.
type ctl struct {
	env      *env
	gateways *string
	output   *string
	timeout  *time.Duration
}

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// watchPeriod is the interval between two prints with --watch or --wait.
const watchPeriod = time.Second

func addCtl(app *kingpin.Application, e *env, actions map[string]action) {
	root := app.Command("ctl", "Submit, show and cancel workloads, and change the configuration.")
	c := &ctl{
		env: e,
		gateways: root.Flag("gateway", "Operator addresses of gateways, comma-separated. They are tried in order until one can be reached.").
			Envar("ACACIAQUAY_GATEWAY").Default("127.0.0.1:7322").String(),
		output:  root.Flag("output", "Output format.").Default(outputTable).Enum(outputTable, outputJSON),
		timeout: root.Flag("timeout", "Timeout of one call.").Default("15s").Duration(),
	}
	c.addJob(root, actions)
	c.addService(root, actions)
	c.addWatcher(root, actions)
	c.addConfig(root, actions)
	c.addTop(root, actions)
}

// dialTimeout is the timeout of connecting to one gateway.
const dialTimeout = time.Second

// call sends a call to the first gateway that accepts a connection. It tries the next
// gateway only after a failed dial, because any other failed call may have run.
func call[T any](ctx context.Context, c *ctl, run func(context.Context, connect.HTTPClient, string) (T, error)) (T, error) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
	var lastErr error
	var zero T
	for _, gateway := range strings.Split(*c.gateways, ",") {
		limited, cancel := context.WithTimeout(ctx, *c.timeout)
		out, err := run(limited, client, "http://"+strings.TrimSpace(gateway))
		cancel()
		if err == nil {
			return out, nil
		}
		lastErr = err
		var dial *net.OpError
		if !errors.As(err, &dial) || dial.Op != "dial" {
			break
		}
	}
	return zero, lastErr
}

func newWorkloadClient(client connect.HTTPClient, url string) acaciaquayv1connect.WorkloadServiceClient {
	return acaciaquayv1connect.NewWorkloadServiceClient(client, url)
}

// isOutcomeUnknown reports whether the failed call may have run. connect.CodeOf also
// returns CodeUnknown for errors that are not from a call, such as a file that cannot
// be read; isConnectError excludes them.
func isOutcomeUnknown(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnknown && isConnectError(err) || code == connect.CodeDeadlineExceeded
}

func isConflict(err error) bool { return connect.CodeOf(err) == connect.CodeAborted }

func isConnectError(err error) bool {
	var e *connect.Error
	return errors.As(err, &e)
}

// workloadFlags holds the flags that the commands for all types of workload share.
type workloadFlags struct {
	team         *string
	taskKind     *string
	urgency      *string
	cpu          *float64
	memory       *int64
	accelerators *int64
}

const milliPerCore = 1000

func addWorkloadFlags(c *kingpin.CmdClause, urgency string) workloadFlags {
	return workloadFlags{
		team:         c.Flag("team", "Team that the work belongs to.").Required().String(),
		taskKind:     c.Flag("kind", "Kind of recurring task, such as proof-render. Default: the key.").String(),
		urgency:      c.Flag("urgency", "urgent, normal or background.").Default(urgency).Enum("urgent", "normal", "background"),
		cpu:          c.Flag("cpu", "Processor cores of one task.").Default("1").Float64(),
		memory:       c.Flag("memory-mib", "Memory of one task in MiB.").Default("512").Int64(),
		accelerators: c.Flag("accelerators", "Accelerators of one task.").Default("0").Int64(),
	}
}

func (f workloadFlags) wireSize() *pb.Size {
	return &pb.Size{
		MilliCpu:     int64(*f.cpu * milliPerCore),
		MemoryMib:    *f.memory,
		Accelerators: *f.accelerators,
	}
}

func (f workloadFlags) wireUrgency() pb.Urgency {
	switch *f.urgency {
	case "urgent":
		return pb.Urgency_URGENCY_URGENT
	case "normal":
		return pb.Urgency_URGENCY_NORMAL
	}
	return pb.Urgency_URGENCY_BACKGROUND
}

func (c *ctl) addJob(root *kingpin.CmdClause, actions map[string]action) {
	job := root.Command("job", "Batch jobs.")
	submit := job.Command("submit", "Submit a job. Submitting an identical job with the same key again returns the status of the first.")
	key := submit.Arg("key", "Key of the job.").Required().String()
	flags := addWorkloadFlags(submit, "normal")
	tasks := submit.Flag("tasks", "Number of tasks.").Default("1").Int32()
	runTime := submit.Flag("run-time", "Declared run time of one task.").Default("10s").Duration()
	failures := submit.Flag("max-failures", "Number of failed attempts after which a task fails permanently.").Default("5").Int32()
	wait := submit.Flag("wait", "Show progress until every task has ended.").Bool()
	actions[submit.FullCommand()] = func(ctx context.Context) error {
		status, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.WorkloadStatus, error) {
			r, err := newWorkloadClient(h, url).SubmitJob(ctx, connect.NewRequest(&pb.SubmitJobRequest{Job: &pb.Job{
				Key:         *key,
				Team:        *flags.team,
				Kind:        *flags.taskKind,
				Urgency:     flags.wireUrgency(),
				Size:        flags.wireSize(),
				Tasks:       *tasks,
				RunMillis:   runTime.Milliseconds(),
				MaxFailures: *failures,
			}}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetStatus(), nil
		})
		if err != nil || !*wait {
			return c.printStatus(err, status)
		}
		return c.waitFor(ctx, *key)
	}
	c.addShared(job, actions, "job")
}

func (c *ctl) addService(root *kingpin.CmdClause, actions map[string]action) {
	service := root.Command("service", "Latency-critical services.")
	create := service.Command("create", "Create a service.")
	name := create.Arg("name", "Name of the service.").Required().String()
	flags := addWorkloadFlags(create, "urgent")
	instances := create.Flag("instances", "Number of instances to keep running.").Default("1").Int32()
	actions[create.FullCommand()] = func(ctx context.Context) error {
		status, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.WorkloadStatus, error) {
			r, err := newWorkloadClient(h, url).CreateService(ctx, connect.NewRequest(&pb.CreateServiceRequest{Service: &pb.Service{
				Name:      *name,
				Team:      *flags.team,
				Kind:      *flags.taskKind,
				Urgency:   flags.wireUrgency(),
				Size:      flags.wireSize(),
				Instances: *instances,
			}}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetStatus(), nil
		})
		return c.printStatus(err, status)
	}
	c.addShared(service, actions, "service")
}

func (c *ctl) addWatcher(root *kingpin.CmdClause, actions map[string]action) {
	watcher := root.Command("watcher", "Watchers: single batch tasks that run until cancelled.")
	create := watcher.Command("create", "Create a watcher.")
	name := create.Arg("name", "Name of the watcher.").Required().String()
	flags := addWorkloadFlags(create, "normal")
	actions[create.FullCommand()] = func(ctx context.Context) error {
		status, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.WorkloadStatus, error) {
			r, err := newWorkloadClient(h, url).CreateWatcher(ctx, connect.NewRequest(&pb.CreateWatcherRequest{Watcher: &pb.Watcher{
				Name:    *name,
				Team:    *flags.team,
				Kind:    *flags.taskKind,
				Urgency: flags.wireUrgency(),
				Size:    flags.wireSize(),
			}}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetStatus(), nil
		})
		return c.printStatus(err, status)
	}
	c.addShared(watcher, actions, "watcher")
}

// addShared adds the commands that exist for every type of workload.
func (c *ctl) addShared(parent *kingpin.CmdClause, actions map[string]action, workloadType string) {
	get := parent.Command("get", "Show one "+workloadType+" with its tasks.")
	getKey := get.Arg("key", "Key or name.").Required().String()
	actions[get.FullCommand()] = func(ctx context.Context) error {
		status, err := c.get(ctx, *getKey)
		return c.printStatus(err, status)
	}

	list := parent.Command("list", "List every "+workloadType+".")
	team := list.Flag("team", "Only this team's.").String()
	watch := list.Flag("watch", "Print again until interrupted.").Bool()
	actions[list.FullCommand()] = func(ctx context.Context) error {
		return c.repeat(ctx, *watch, func() error { return c.list(ctx, *team, workloadType) })
	}

	cancel := parent.Command("cancel", "Cancel a "+workloadType+".")
	cancelKey := cancel.Arg("key", "Key or name.").Required().String()
	actions[cancel.FullCommand()] = func(ctx context.Context) error {
		status, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.WorkloadStatus, error) {
			r, err := newWorkloadClient(h, url).CancelWorkload(ctx, connect.NewRequest(&pb.CancelWorkloadRequest{Key: *cancelKey}))
			if err != nil {
				return nil, err
			}
			return r.Msg.GetStatus(), nil
		})
		return c.printStatus(err, status)
	}
}

func (c *ctl) get(ctx context.Context, key string) (*pb.WorkloadStatus, error) {
	return call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.WorkloadStatus, error) {
		r, err := newWorkloadClient(h, url).GetWorkload(ctx, connect.NewRequest(&pb.GetWorkloadRequest{Key: key}))
		if err != nil {
			return nil, err
		}
		return r.Msg.GetStatus(), nil
	})
}

// repeat runs print once or, with watch, every watchPeriod until ctx ends.
func (c *ctl) repeat(ctx context.Context, watch bool, print func() error) error {
	for {
		if err := print(); err != nil && (!watch || ctx.Err() != nil) {
			return err
		}
		if !watch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchPeriod):
		}
	}
}

// waitFor prints a workload's progress until every task has ended.
func (c *ctl) waitFor(ctx context.Context, key string) error {
	for {
		status, err := c.get(ctx, key)
		switch {
		case err != nil && ctx.Err() != nil:
			return err
		case err == nil && status.GetDone():
			return c.printStatus(nil, status)
		case err == nil:
			c.printProgress(status)
		}
		select {
		case <-ctx.Done():
			return errors.New("interrupted while waiting; the job continues")
		case <-time.After(watchPeriod):
		}
	}
}
