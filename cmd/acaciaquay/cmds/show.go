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

// showLimit bounds one call to a process.
const showLimit = 5 * time.Second

// shower prints what a running process of a site tells.
type shower struct {
	env     *env
	address *string
	json    *bool
}

// addShow adds the commands that look into a running site.
func addShow(app *kingpin.Application, e *env, actions map[string]action) {
	show := app.Command("show", "Look into a running site: who leads, workers, jobs, and why a task waits.")
	s := &shower{
		env:     e,
		address: show.Flag("address", "Metrics address of a process; workers and jobs are known to the leader.").Required().String(),
		json:    show.Flag("json", "Print JSON in place of tables.").Bool(),
	}
	overview := show.Command("overview", "Tell who leads, and what the process knows of the store and the configuration.")
	actions[overview.FullCommand()] = s.overview
	workers := show.Command("workers", "List workers, their condition and their room.")
	actions[workers.FullCommand()] = s.workers
	jobs := show.Command("jobs", "List jobs that have not ended, the oldest first.")
	most := jobs.Flag("most", "How many.").Default("100").Int()
	actions[jobs.FullCommand()] = func(ctx context.Context) error { return s.jobs(ctx, *most) }
	job := show.Command("job", "Tell how far a job is, and why its tasks wait.")
	id := job.Arg("id", "The job's id.").Required().String()
	actions[job.FullCommand()] = func(ctx context.Context) error { return s.job(ctx, *id) }
}

// get reads one view into out, and prints it when JSON was asked for.
func (s *shower) get(ctx context.Context, path string, out any) (printed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, showLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*s.address+path, http.NoBody)
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
		return false, errors.Errorf("%s does not lead; ask %s", overview.Process, named(overview.Leader))
	default:
		return false, errors.New(strings.TrimSpace(string(data)))
	}
	if *s.json {
		_, err := s.env.out.Write(data)
		return true, err
	}
	return false, errors.Wrap(json.Unmarshal(data, out), "answer")
}

func named(leader string) string {
	if leader == "" {
		return "again, nobody leads"
	}
	return leader
}

func (s *shower) overview(ctx context.Context) error {
	var view aqsite.Overview
	if printed, err := s.get(ctx, aqprocess.PathOverview, &view); err != nil || printed {
		return err
	}
	return s.env.table([][]string{
		{"PROCESS", "LEADING", "LEADER", "TERM", "FENCE", "STORE", "CONFIGURATION", "READY"},
		{
			view.Process, fmt.Sprint(view.Leading), view.Leader, fmt.Sprint(view.Term), fmt.Sprint(view.Fence),
			fmt.Sprint(view.StoreServes), fmt.Sprint(view.ConfigVersion), fmt.Sprint(view.Ready),
		},
	})
}

func (s *shower) workers(ctx context.Context) error {
	var workers []aqdecider.WorkerView
	if printed, err := s.get(ctx, aqprocess.PathWorkers, &workers); err != nil || printed {
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
	return s.env.table(rows)
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

func (s *shower) jobs(ctx context.Context, most int) error {
	var jobs []aqdecider.JobView
	path := fmt.Sprintf("%s?most=%d", aqprocess.PathJobs, most)
	if printed, err := s.get(ctx, path, &jobs); err != nil || printed {
		return err
	}
	return s.env.table(jobRows(jobs...))
}

func (s *shower) job(ctx context.Context, id string) error {
	var detail aqsite.JobDetail
	if printed, err := s.get(ctx, aqprocess.PathJobs+"/"+id, &detail); err != nil || printed {
		return err
	}
	if err := s.env.table(jobRows(detail.Job)); err != nil {
		return err
	}
	rows := [][]string{{"GROUP", "TASKS", "DONE", "RUNNING", "WAITS FOR"}}
	for _, g := range detail.Groups {
		rows = append(rows, []string{
			g.Group, fmt.Sprint(g.Tasks), fmt.Sprint(g.Done), fmt.Sprint(g.Running), g.Why,
		})
	}
	return s.env.table(rows)
}
