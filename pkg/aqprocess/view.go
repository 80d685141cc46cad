package aqprocess

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqsite"
)

// Paths of the operators' view, beside the metrics. All are read only.
const (
	PathOverview = "/site"
	PathWorkers  = "/site/workers"
	PathJobs     = "/site/jobs"
)

// defaultJobs is how many jobs are listed when the caller does not say.
const defaultJobs = 100

// addViews serves what operators see of a site. Workers and jobs are known to the
// leader; another process answers 409 with its overview, which names the leader.
func addViews(mux *http.ServeMux, node *aqsite.Node) {
	show := func(w http.ResponseWriter, value any, err error) {
		switch {
		case errors.Is(err, aqsite.ErrNotLeading):
			showJSON(w, http.StatusConflict, node.Overview())
		case errors.Is(err, aqsite.ErrNoJob):
			http.Error(w, err.Error(), http.StatusNotFound)
		default:
			showJSON(w, http.StatusOK, value)
		}
	}
	mux.HandleFunc("GET "+PathOverview, func(w http.ResponseWriter, _ *http.Request) {
		show(w, node.Overview(), nil)
	})
	mux.HandleFunc("GET "+PathWorkers, func(w http.ResponseWriter, _ *http.Request) {
		workers, err := node.ViewWorkers()
		show(w, workers, err)
	})
	mux.HandleFunc("GET "+PathJobs, func(w http.ResponseWriter, r *http.Request) {
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil || most < 1 {
			most = defaultJobs
		}
		jobs, err := node.ViewJobs(most)
		show(w, jobs, err)
	})
	mux.HandleFunc("GET "+PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		job, err := node.ViewJob(aqjob.ID(r.PathValue("id")))
		show(w, job, err)
	})
}

func showJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who has left does not read the answer.
	_, _ = w.Write(append(data, '\n'))
}
