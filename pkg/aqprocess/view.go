package aqprocess

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqsite"
)

// Paths of the operators' view, served next to the metrics. All of them are read-only.
const (
	PathOverview = "/site"
	PathWorkers  = "/site/workers"
	PathJobs     = "/site/jobs"
	// PathEvacuations shows what is left in evacuated zones.
	PathEvacuations = "/site/evacuations"
)

// defaultJobLimit is the maximum number of jobs in an answer when the request sets none.
const defaultJobLimit = 100

// addViews adds the operators' view of a site to mux. Only the leader shows workers and
// jobs. Other processes answer 409 with their overview, which names the leader.
func addViews(mux *http.ServeMux, node *aqsite.Node) {
	respond := func(w http.ResponseWriter, value any, err error) {
		switch {
		case errors.Is(err, aqsite.ErrNotLeading):
			writeJSON(w, http.StatusConflict, node.Overview())
		case errors.Is(err, aqsite.ErrNoJob):
			http.Error(w, err.Error(), http.StatusNotFound)
		default:
			writeJSON(w, http.StatusOK, value)
		}
	}
	mux.HandleFunc("GET "+PathOverview, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, node.Overview(), nil)
	})
	mux.HandleFunc("GET "+PathWorkers, func(w http.ResponseWriter, _ *http.Request) {
		workers, err := node.ViewWorkers()
		respond(w, workers, err)
	})
	mux.HandleFunc("GET "+PathEvacuations, func(w http.ResponseWriter, _ *http.Request) {
		left, err := node.ViewEvacuations()
		respond(w, left, err)
	})
	mux.HandleFunc("GET "+PathJobs, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil || limit < 1 {
			limit = defaultJobLimit
		}
		jobs, err := node.ViewJobs(limit)
		respond(w, jobs, err)
	})
	mux.HandleFunc("GET "+PathJobs+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		job, err := node.ViewJob(aqjob.ID(r.PathValue("id")))
		respond(w, job, err)
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(append(data, '\n'))
}
