package aqprocess_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
	"acaciaquay/pkg/aqproto/acaciaquay/v1/acaciaquayv1connect"
	"acaciaquay/pkg/aqstandin"
)

// cluster runs stand-ins for the platform, workers, and two hosts with a gateway and a
// scheduler each, as separate processes. Only the timeout of the test run limits how
// long it waits, so that a slow machine does not change the result.
type cluster struct {
	t         *testing.T
	dir       string
	platform  string
	processes map[string]*exec.Cmd
	gateways  []string
	operators []string
	// peers are the addresses at which processes serve each other, by process.
	peers map[string]string
	// extra is added to the settings of each host.
	extra string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, "")
}

// newClusterWith starts a cluster whose hosts have more settings.
func newClusterWith(t *testing.T, extra string) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, peers: map[string]string{}, extra: extra}
	for _, program := range []string{"acaciaquay", "aqstandin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(c.dir, program), "acaciaquay/cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	c.platform = c.address()
	workers := c.address()
	c.start("platform", "aqstandin", "platform", "--listen", c.platform, "--drop-after", "1h")
	c.start("workers", "aqstandin", "workers", "--platform", c.platform, "--listen", workers, "--count", "6")
	for i := range 2 {
		file := c.settings(i)
		c.start(fmt.Sprintf("scheduler%d", i), "acaciaquay", "scheduler", "--settings", file)
		c.start(fmt.Sprintf("gateway%d", i), "acaciaquay", "gateway", "--settings", file)
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) address() string {
	c.t.Helper()
	address, err := aqstandin.FreeAddress()
	if err != nil {
		c.t.Fatal(err)
	}
	return address
}

func (c *cluster) settings(number int) string {
	c.t.Helper()
	caller, operator := c.address(), c.address()
	schedulerPeer, gatewayPeer := c.address(), c.address()
	c.peers[fmt.Sprintf("scheduler%d", number)] = schedulerPeer
	c.peers[fmt.Sprintf("gateway%d", number)] = gatewayPeer
	c.gateways = append(c.gateways, caller)
	c.operators = append(c.operators, operator)
	text := fmt.Sprintf(`[Process]
Id = host%d
Zone = perth
[Platform]
Store = %s
HostList = %s
HostPoll = 200ms
[Shards]
Count = 3
Zones = perth
[Scheduler]
PeerAddress = %s
OperatorAddress = %s
CommitInterval = 20ms
[Gateway]
CallerAddress = %s
PeerAddress = %s
OperatorAddress = %s
%s`, number, c.platform, c.platform, schedulerPeer, c.address(), caller, gatewayPeer, operator, c.extra)
	file := filepath.Join(c.dir, fmt.Sprintf("host%d.ini", number))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func (c *cluster) start(name, program string, args ...string) {
	c.t.Helper()
	command := exec.Command(filepath.Join(c.dir, program), args...)
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes[name] = command
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	if err := c.processes[name].Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func (c *cluster) client() acaciaquayv1connect.WorkloadServiceClient {
	return acaciaquayv1connect.NewWorkloadServiceClient(http.DefaultClient, "http://"+c.operators[1])
}

// until repeats a check until it succeeds.
func (c *cluster) until(what string, check func() bool) {
	c.t.Helper()
	for !check() {
		if c.t.Context().Err() != nil {
			c.t.Fatalf("gave up waiting until %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

const jobTasks = 30

func (c *cluster) submit(key string, millis int64) {
	c.until(key+" is accepted", func() bool {
		_, err := c.client().SubmitJob(c.t.Context(), connect.NewRequest(&pb.SubmitJobRequest{Job: &pb.Job{
			Key:         key,
			Team:        "press",
			Urgency:     pb.Urgency_URGENCY_NORMAL,
			Size:        &pb.Size{MilliCpu: 4000, MemoryMib: 1024},
			Tasks:       jobTasks,
			RunMillis:   millis,
			MaxFailures: 3,
		}}))
		return err == nil
	})
}

func (c *cluster) done(key string) bool {
	r, err := c.client().GetWorkload(c.t.Context(), connect.NewRequest(&pb.GetWorkloadRequest{Key: key}))
	return err == nil && r.Msg.GetStatus().GetDone()
}

func (c *cluster) truth() aqstandin.TruthReport {
	c.t.Helper()
	var r aqstandin.TruthReport
	if err := aqstandin.NewControlClient(c.platform).Post(aqstandin.PathTruth, struct{}{}, &r); err != nil {
		c.t.Fatal(err)
	}
	return r
}

// createFolio creates a service and waits until it answers. It returns the start of a URL
// that ends with the duration of a request.
func (c *cluster) createFolio() string {
	c.t.Helper()
	c.until("the service is accepted", func() bool {
		_, err := c.client().CreateService(c.t.Context(), connect.NewRequest(&pb.CreateServiceRequest{Service: &pb.Service{
			Name:      "folio",
			Team:      "counter",
			Urgency:   pb.Urgency_URGENCY_URGENT,
			Size:      &pb.Size{MilliCpu: 1000, MemoryMib: 64},
			Instances: 2,
		}}))
		return err == nil
	})
	url := "http://" + c.gateways[0] + "/folio/run?size=5000&work="
	c.until("the service answers", func() bool {
		r, err := http.Get(url + "1ms")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		_, _ = io.Copy(io.Discard, r.Body)
		return r.StatusCode == http.StatusOK
	})
	return url
}

// Freezes one scheduler for longer than every lease, until the other has finished the
// job. Then resumes it and kills the other while tasks run. Guards against tasks that
// are lost, run twice or started beyond the capacity of a worker.
func TestSchedulerKilledAndFrozen(t *testing.T) {
	c := newCluster(t)
	c.submit("first", 4000)
	c.until("tasks run", func() bool { return c.truth().Starts > 0 })
	c.signal("scheduler0", syscall.SIGSTOP)
	c.until("the other scheduler finishes the job", func() bool { return c.done("first") })
	c.signal("scheduler0", syscall.SIGCONT)
	c.submit("second", 2000)
	c.until("tasks of the second job run", func() bool { return c.truth().Starts > jobTasks })
	c.signal("scheduler1", syscall.SIGKILL)
	c.until("the first scheduler finishes the job", func() bool { return c.done("second") })
	r := c.truth()
	if r.Doubled != 0 || r.OverCommitted != 0 || r.DistinctFinished != 2*jobTasks {
		t.Fatalf("the workers recorded %+v", r)
	}
}

// A gateway that is stopped finishes the request in flight, and idle connections do not
// delay its shutdown.
func TestPlannedStopOfAGateway(t *testing.T) {
	c := newCluster(t)
	url := c.createFolio()
	before := c.truth().RequestsRun
	type answer struct {
		body []byte
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		r, err := http.Get(url + "2s")
		if err != nil {
			answered <- answer{err: err}
			return
		}
		defer func() { _ = r.Body.Close() }()
		body, err := io.ReadAll(r.Body)
		answered <- answer{body: body, err: err}
	}()
	c.until("the request is in flight", func() bool { return c.truth().RequestsRun > before })
	c.signal("gateway0", syscall.SIGTERM)
	got := <-answered
	if got.err != nil || len(got.body) != 5000 || !bytes.HasPrefix(got.body, []byte("answer to")) {
		t.Fatalf("the request in flight got %d bytes, %v", len(got.body), got.err)
	}
	if err := c.processes["gateway0"].Wait(); err != nil {
		t.Fatalf("the gateway ended with %v", err)
	}
	delete(c.processes, "gateway0")
}

// The store refuses all calls for a while. Running tasks continue, and accepted jobs
// are finished after the store answers again.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.submit("first", 3000)
	c.until("tasks run", func() bool { return c.truth().Starts > 0 })
	remote := aqstandin.NewControlClient(c.platform)
	if err := remote.Post(aqstandin.PathFaults, aqstandin.Faults{Outage: true}, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	<-ctx.Done()
	if r := c.truth(); r.Interrupted != 0 {
		t.Fatalf("the outage stopped work: %+v", r)
	}
	if err := remote.Post(aqstandin.PathFaults, aqstandin.Faults{}, nil); err != nil {
		t.Fatal(err)
	}
	c.until("the job is done", func() bool { return c.done("first") })
	if r := c.truth(); r.Doubled != 0 || r.OverCommitted != 0 || r.DistinctFinished != jobTasks {
		t.Fatalf("the workers recorded %+v", r)
	}
}
