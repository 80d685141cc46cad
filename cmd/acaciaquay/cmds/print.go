package cmds

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "acaciaquay/pkg/aqproto/acaciaquay/v1"
)

const tablePadding = 2

// table prints rows of cells as aligned columns.
func (c *ctl) table(rows [][]string) error { return c.env.table(rows) }

func (e *env) table(rows [][]string) error {
	w := tabwriter.NewWriter(e.stdout, 0, 0, tablePadding, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (c *ctl) printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.stdout, "%s\n", data)
	return err
}

// printStatus prints a workload, or returns err if the call failed.
func (c *ctl) printStatus(err error, status *pb.WorkloadStatus) error {
	if err != nil {
		return err
	}
	if *c.output == outputJSON {
		return c.printJSON(status)
	}
	rows := [][]string{
		{"KEY", "KIND", "TEAM", "SHARD", "STATE"},
		{keyOf(status), workloadTypeOf(status), teamOf(status), fmt.Sprint(status.GetShard()), summary(status)},
	}
	if err := c.table(rows); err != nil {
		return err
	}
	tasks := [][]string{{"TASK", "STATE", "ATTEMPT", "WORKER", "REASON"}}
	for _, t := range status.GetTasks() {
		tasks = append(tasks, []string{
			fmt.Sprint(t.GetIndex()),
			stateName(t.GetState()),
			fmt.Sprint(t.GetAttempt()),
			t.GetWorker(),
			t.GetReason(),
		})
	}
	return c.table(tasks)
}

func (c *ctl) printProgress(status *pb.WorkloadStatus) {
	_, _ = fmt.Fprintf(c.env.stderr, "%s: %s\n", keyOf(status), summary(status))
}

func (c *ctl) list(ctx context.Context, team, workloadType string) error {
	all, err := call(ctx, c, func(ctx context.Context, h connect.HTTPClient, url string) (*pb.ListWorkloadsResponse, error) {
		r, err := newWorkloadClient(h, url).ListWorkloads(ctx, connect.NewRequest(&pb.ListWorkloadsRequest{Team: team}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	if err != nil {
		return err
	}
	if *c.output == outputJSON {
		return c.printJSON(all)
	}
	rows := [][]string{{"KEY", "TEAM", "SHARD", "ATTEMPTS", "WORKERS", "STATE"}}
	for _, s := range all.GetStatuses() {
		if workloadTypeOf(s) != workloadType {
			continue
		}
		attempts, workers := attemptsAndWorkers(s)
		rows = append(rows, []string{
			keyOf(s), teamOf(s), fmt.Sprint(s.GetShard()), fmt.Sprint(attempts), workers, summary(s),
		})
	}
	if err := c.table(rows); err != nil {
		return err
	}
	return c.missingShardsError(all.GetMissingShards())
}

// missingShardsError returns an error that names the shards that did not answer, so
// that a partial list is not mistaken for a complete one; nil if all answered.
func (c *ctl) missingShardsError(shards []int32) error {
	if len(shards) == 0 {
		return nil
	}
	return fmt.Errorf("partial list: shards %v did not answer", shards)
}

// attemptsAndWorkers returns the total number of attempts and the names of the workers.
func attemptsAndWorkers(s *pb.WorkloadStatus) (int, string) {
	attempts := 0
	seen := map[string]bool{}
	var workers []string
	for _, t := range s.GetTasks() {
		attempts += int(t.GetAttempt())
		if w := t.GetWorker(); w != "" && !seen[w] {
			seen[w] = true
			workers = append(workers, w)
		}
	}
	const maxShown = 4
	if len(workers) > maxShown {
		return attempts, fmt.Sprintf("%s and %d more", strings.Join(workers[:maxShown], ","), len(workers)-maxShown)
	}
	return attempts, strings.Join(workers, ",")
}

func summary(s *pb.WorkloadStatus) string {
	counts := map[pb.TaskState]int{}
	for _, t := range s.GetTasks() {
		counts[t.GetState()]++
	}
	var parts []string
	for state := pb.TaskState_TASK_STATE_QUEUED; state <= pb.TaskState_TASK_STATE_CANCELLED; state++ {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], stateName(state)))
		}
	}
	return strings.Join(parts, ", ")
}

func stateName(s pb.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "TASK_STATE_"))
}

func keyOf(s *pb.WorkloadStatus) string {
	switch spec := s.GetSpec().(type) {
	case *pb.WorkloadStatus_Service:
		return spec.Service.GetName()
	case *pb.WorkloadStatus_Job:
		return spec.Job.GetKey()
	case *pb.WorkloadStatus_Watcher:
		return spec.Watcher.GetName()
	}
	return ""
}

func workloadTypeOf(s *pb.WorkloadStatus) string {
	switch s.GetSpec().(type) {
	case *pb.WorkloadStatus_Service:
		return "service"
	case *pb.WorkloadStatus_Job:
		return "job"
	case *pb.WorkloadStatus_Watcher:
		return "watcher"
	}
	return ""
}

func teamOf(s *pb.WorkloadStatus) string {
	switch spec := s.GetSpec().(type) {
	case *pb.WorkloadStatus_Service:
		return spec.Service.GetTeam()
	case *pb.WorkloadStatus_Job:
		return spec.Job.GetTeam()
	case *pb.WorkloadStatus_Watcher:
		return spec.Watcher.GetTeam()
	}
	return ""
}

func (c *ctl) printConfigStatus(s *pb.GetConfigurationStatusResponse) error {
	if *c.output == outputJSON {
		return c.printJSON(s)
	}
	rows := [][]string{{"PROCESS", "ROLE", "REVISION", "IN FORCE"}}
	for _, p := range s.GetProcesses() {
		active := "yes"
		if p.GetRevision() < s.GetAcceptedRevision() {
			active = "not yet"
		}
		rows = append(rows, []string{p.GetProcess(), p.GetRole(), fmt.Sprint(p.GetRevision()), active})
	}
	return c.table(rows)
}

const hundredPercent = 100

func (c *ctl) printTop(s *pb.GetTopResponse) error {
	if *c.output == outputJSON {
		return c.printJSON(s)
	}
	rows := [][]string{{"SHARD", "OWNER", "EPOCH", "WORKERS", "QUEUED", "RUNNING", "RESERVED"}}
	for _, t := range s.GetShards() {
		reserved := "-"
		if t.GetCapacityMilliCpu() > 0 {
			reserved = fmt.Sprintf("%d%%", t.GetReservedMilliCpu()*hundredPercent/t.GetCapacityMilliCpu())
		}
		rows = append(rows, []string{
			fmt.Sprint(t.GetShard()), t.GetOwner(), fmt.Sprint(t.GetEpoch()), fmt.Sprint(t.GetWorkers()),
			fmt.Sprint(t.GetQueued()), fmt.Sprint(t.GetRunning()), reserved,
		})
	}
	if err := c.table(rows); err != nil {
		return err
	}
	return c.missingShardsError(s.GetMissingShards())
}
