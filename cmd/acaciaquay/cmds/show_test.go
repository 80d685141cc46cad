package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqprocess"
	"acaciaquay/pkg/aqsite"
)

// fakeViews starts an HTTP server that answers like the leader or like another process,
// and returns its address.
func fakeViews(t *testing.T, leading bool) string {
	t.Helper()
	answers := map[string]any{
		aqprocess.PathOverview: aqsite.Overview{Process: "n1", Leading: leading, Leader: "n2", Term: 3},
		aqprocess.PathWorkers:  []aqdecider.WorkerView{{Worker: "w1", Condition: "Draining", Runs: 2}},
		aqprocess.PathEvacuations: []aqdecider.EvacuationView{{
			Zone: "z1",
			Why:  "it runs to its end",
		}},
		aqprocess.PathJobs: []aqdecider.JobView{{Job: "j1", State: aqjob.StateQueued, Age: time.Second, Waiting: 4}},
		aqprocess.PathJobs + "/j1": aqsite.JobDetail{
			Job:    aqdecider.JobView{Job: "j1", State: aqjob.StateQueued},
			Groups: []aqdecider.GroupView{{Group: "j1.0.0", Tasks: 4, Why: "no worker takes it; NoRoom: 2"}},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, known := answers[r.URL.Path]
		switch {
		case !known:
			http.Error(w, "site: no such job", http.StatusNotFound)
			return
		case !leading && r.URL.Path != aqprocess.PathOverview:
			w.WriteHeader(http.StatusConflict)
			answer = answers[aqprocess.PathOverview]
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestShow(t *testing.T) {
	leader, other := fakeViews(t, true), fakeViews(t, false)
	for _, test := range []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{name: "overview", args: []string{"--address", other, "overview"}, status: ExitOK, want: "n2"},
		{name: "workers", args: []string{"--address", leader, "workers"}, status: ExitOK, want: "Draining"},
		{name: "evacuations", args: []string{"--address", leader, "evacuations"}, status: ExitOK, want: "it runs to its end"},
		{name: "jobs", args: []string{"--address", leader, "jobs"}, status: ExitOK, want: "1s"},
		{name: "job", args: []string{"--address", leader, "job", "j1"}, status: ExitOK, want: "no worker takes it; NoRoom: 2"},
		{name: "JSON", args: []string{"--address", leader, "--json", "job", "j1"}, status: ExitOK, want: `"Why":"no worker`},
		{name: "no such job", args: []string{"--address", leader, "job", "j2"}, status: ExitFailed, want: "no such job"},
		{name: "not the leader", args: []string{"--address", other, "jobs"}, status: ExitFailed, want: "n1 does not lead; ask n2"},
		{name: "no address", args: []string{"jobs"}, status: ExitUsage, want: "--address"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			if got := Run(append([]string{"show"}, test.args...), &out, &out); got != test.status {
				t.Errorf("exit status %d, want %d", got, test.status)
			}
			if !strings.Contains(out.String(), test.want) {
				t.Errorf("%q is not in %q", test.want, out.String())
			}
		})
	}
}
