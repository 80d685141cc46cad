package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqprocess"
	"acaciaquay/pkg/aqsite"
)

// showTimeout is the timeout of one call to a process.
const showTimeout = 5 * time.Second

// viewer gets the views of a running process of a site and prints them.
type viewer struct {
	env     *env
	address *string
	json    *bool
}

// addShow adds the commands that inspect a running site.
func addShow(app *kingpin.Application, e *env, actions map[string]action) {
	show := app.Command("show", "Inspect a running site: its leader, workers and jobs, and why a task waits.")
	v := &viewer{
		env:     e,
		address: show.Flag("address", "Metrics address of a process. Only the leader shows workers and jobs.").Required().String(),
		json:    show.Flag("json", "Print JSON instead of tables.").Bool(),
	}
	overview := show.Command("overview", "Show the leader, whether the process reaches the store, and its configuration version.")
	actions[overview.FullCommand()] = v.overview
	workers := show.Command("workers", "List workers with their condition, used resources and capacity.")
	actions[workers.FullCommand()] = v.workers
	evacuations := show.Command("evacuations", "List what is left in evacuated zones, and why.")
	actions[evacuations.FullCommand()] = v.evacuations
	jobs := show.Command("jobs", "List jobs that have not ended, oldest first.")
	limit := jobs.Flag("most", "Maximum number of jobs.").Default("100").Int()
	actions[jobs.FullCommand()] = func(ctx context.Context) error { return v.jobs(ctx, *limit) }
	job := show.Command("job", "Show the progress of a job and why its tasks wait.")
	id := job.Arg("id", "The job's id.").Required().String()
	actions[job.FullCommand()] = func(ctx context.Context) error { return v.job(ctx, *id) }
}

// get reads one view. It prints the view as JSON if --json is set and decodes it into
// out otherwise.
func (v *viewer) get(ctx context.Context, path string, out any) (printed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*v.address+path, http.NoBody)
	if err != nil {
		return false, usageError{err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		var overview aqsite.Overview
		if err := json.Unmarshal(data, &overview); err != nil {
			return false, errors.Wrap(err, "answer")
		}
		return false, errors.Errorf("%s does not lead; ask %s", overview.Process, leaderOrRetry(overview.Leader))
	default:
		return false, errors.New(strings.TrimSpace(string(data)))
	}
	if *v.json {
		_, err := v.env.stdout.Write(data)
		return true, err
	}
	return false, errors.Wrap(json.Unmarshal(data, out), "answer")
}

func leaderOrRetry(leader string) string {
	if leader == "" {
		return "again later, no leader is known"
	}
	return leader
}

func (v *viewer) overview(ctx context.Context) error {
	var view aqsite.Overview
	if printed, err := v.get(ctx, aqprocess.PathOverview, &view); err != nil || printed {
		return err
	}
	return v.env.table([][]string{
		{"PROCESS", "LEADING", "LEADER", "TERM", "FENCE", "STORE", "CONFIGURATION", "READY"},
		{
			view.Process, fmt.Sprint(view.Leading), view.Leader, fmt.Sprint(view.Term), fmt.Sprint(view.Fence),
			fmt.Sprint(view.StoreServes), fmt.Sprint(view.ConfigVersion), fmt.Sprint(view.Ready),
		},
	})
}

func (v *viewer) workers(ctx context.Context) error {
	var workers []aqdecider.WorkerView
	if printed, err := v.get(ctx, aqprocess.PathWorkers, &workers); err != nil || printed {
		return err
	}
	rows := [][]string{{"WORKER", "SERVICE", "ZONE", "CONDITION", "RUNS", "MILLICPU", "MIB", "ACCELERATORS"}}
	for _, w := range workers {
		rows = append(rows, []string{
			string(w.Worker), string(w.Service), string(w.Zone), w.Condition, fmt.Sprint(w.Runs),
			fmt.Sprintf("%d/%d", w.Used.MilliCPU, w.Capacity.MilliCPU),
			fmt.Sprintf("%d/%d", w.Used.Memory, w.Capacity.Memory),
			fmt.Sprintf("%d/%d", w.Used.Accelerators, w.Capacity.Accelerators),
		})
	}
	return v.env.table(rows)
}

func (v *viewer) evacuations(ctx context.Context) error {
	var left []aqdecider.EvacuationView
	if printed, err := v.get(ctx, aqprocess.PathEvacuations, &left); err != nil || printed {
		return err
	}
	rows := [][]string{{"ZONE", "SINCE", "GROUP", "RUNS", "WHY"}}
	for _, e := range left {
		rows = append(rows, []string{
			string(e.Zone), e.Since.Round(time.Millisecond).String(), e.Group, fmt.Sprint(e.Runs), e.Why,
		})
	}
	return v.env.table(rows)
}

func jobRows(jobs ...aqdecider.JobView) [][]string {
	rows := [][]string{{"JOB", "QUEUE", "STATE", "AGE", "RUNNING", "WAITING"}}
	for _, j := range jobs {
		rows = append(rows, []string{
			string(j.Job), string(j.Queue), string(j.State), j.Age.Round(time.Millisecond).String(),
			fmt.Sprint(j.Running), fmt.Sprint(j.Waiting),
		})
	}
	return rows
}

func (v *viewer) jobs(ctx context.Context, limit int) error {
	var jobs []aqdecider.JobView
	path := fmt.Sprintf("%s?most=%d", aqprocess.PathJobs, limit)
	if printed, err := v.get(ctx, path, &jobs); err != nil || printed {
		return err
	}
	return v.env.table(jobRows(jobs...))
}

func (v *viewer) job(ctx context.Context, id string) error {
	var detail aqsite.JobDetail
	if printed, err := v.get(ctx, aqprocess.PathJobs+"/"+id, &detail); err != nil || printed {
		return err
	}
	if err := v.env.table(jobRows(detail.Job)); err != nil {
		return err
	}
	rows := [][]string{{"GROUP", "TASKS", "DONE", "RUNNING", "WAITS FOR"}}
	for _, g := range detail.Groups {
		rows = append(rows, []string{
			g.Group, fmt.Sprint(g.Tasks), fmt.Sprint(g.Done), fmt.Sprint(g.Running), g.Why,
		})
	}
	return v.env.table(rows)
}
