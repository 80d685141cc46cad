package aqstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciaquay/pkg/aqplatform"
)

// Paths of the stand-in's own controls and reports. Only tests and the stand-ins call
// them.
const (
	PathFaults         = "/standin/faults"
	PathCounts         = "/standin/counts"
	PathTruth          = "/standin/truth"
	PathRecordRun      = "/standin/run"
	PathRecordRequest  = "/standin/request"
	PathPutWorker      = "/standin/worker"
	PathPutEndpoint    = "/standin/endpoint"
	PathRemoveEndpoint = "/standin/endpoint/remove"
)

// handle registers a JSON call with request body In and response body Out.
func handle[In, Out any](mux *http.ServeMux, path string, serve func(context.Context, In) (Out, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 2*aqplatform.MaxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var in In
		if err := json.Unmarshal(body, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := serve(r.Context(), in)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

// writeRefusal answers with the name of the refusal. For an unknown outcome it aborts
// the connection, as if the answer were lost.
func writeRefusal(w http.ResponseWriter, err error) {
	name := aqplatform.RefusalName(err)
	if name == "" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(aqplatform.RefusalHeader, name)
	http.Error(w, err.Error(), http.StatusConflict)
}

// Platform is the simulated platform: its store, its host registry and the record of
// what ran.
type Platform struct {
	Store    *Store
	Registry *HostRegistry
	Truth    *Truth
}

// Handler serves the platform's calls and the stand-in's controls.
func (p Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.handleStore(mux)
	p.handleRegistry(mux)
	p.handleTruth(mux)
	return mux
}

func (p Platform) handleStore(mux *http.ServeMux) {
	handle(mux, aqplatform.PathGet, func(ctx context.Context, b aqplatform.KeyBody) (aqplatform.Entry, error) {
		return p.Store.Get(ctx, b.Key)
	})
	handle(mux, aqplatform.PathList, func(ctx context.Context, b aqplatform.KeyBody) (aqplatform.EntriesBody, error) {
		entries, err := p.Store.List(ctx, b.Key)
		return aqplatform.EntriesBody{Entries: entries}, err
	})
	handle(mux, aqplatform.PathPut, func(ctx context.Context, b aqplatform.KeyBody) (aqplatform.RevisionBody, error) {
		revision, err := p.Store.Put(ctx, b.Key, b.Value, b.Expect, b.Lease)
		return aqplatform.RevisionBody{Revision: revision}, err
	})
	handle(mux, aqplatform.PathDelete, func(ctx context.Context, b aqplatform.KeyBody) (struct{}, error) {
		return struct{}{}, p.Store.Delete(ctx, b.Key, b.Expect)
	})
	handle(mux, aqplatform.PathWatch, func(ctx context.Context, b aqplatform.WatchBody) (aqplatform.RevisionBody, error) {
		revision, err := p.Store.Watch(ctx, b.Prefix, b.After, b.Wait)
		return aqplatform.RevisionBody{Revision: revision}, err
	})
	handle(mux, aqplatform.PathGrantLease, func(ctx context.Context, b aqplatform.LeaseBody) (aqplatform.LeaseBody, error) {
		lease, err := p.Store.Grant(ctx, b.TTL)
		return aqplatform.LeaseBody{Lease: lease}, err
	})
	handle(mux, aqplatform.PathRenewLease, func(ctx context.Context, b aqplatform.LeaseBody) (struct{}, error) {
		return struct{}{}, p.Store.Renew(ctx, b.Lease)
	})
	handle(mux, aqplatform.PathRevokeLease, func(ctx context.Context, b aqplatform.LeaseBody) (struct{}, error) {
		return struct{}{}, p.Store.Revoke(ctx, b.Lease)
	})
	handle(mux, PathFaults, func(_ context.Context, f Faults) (struct{}, error) {
		p.Store.SetFaults(f)
		return struct{}{}, nil
	})
	handle(mux, PathCounts, func(context.Context, struct{}) (CallCounts, error) {
		return p.Store.Counts(), nil
	})
}

func (p Platform) handleRegistry(mux *http.ServeMux) {
	mux.HandleFunc("GET "+aqplatform.PathHosts, p.serveHosts)
	handle(mux, PathPutWorker, func(_ context.Context, h aqplatform.WorkerHost) (struct{}, error) {
		p.Registry.PutWorker(h)
		return struct{}{}, nil
	})
	handle(mux, PathPutEndpoint, func(_ context.Context, h aqplatform.EndpointHost) (struct{}, error) {
		p.Registry.PutEndpoint(h)
		return struct{}{}, nil
	})
	handle(mux, PathRemoveEndpoint, func(_ context.Context, h aqplatform.EndpointHost) (struct{}, error) {
		p.Registry.RemoveEndpoint(h.ID)
		return struct{}{}, nil
	})
}

// serveHosts answers with the host list, or with 304 when the caller's ETag matches.
func (p Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Registry.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body)
}

func (p Platform) handleTruth(mux *http.ServeMux) {
	handle(mux, PathTruth, func(context.Context, struct{}) (TruthReport, error) {
		return p.Truth.Report(), nil
	})
	handle(mux, PathRecordRun, func(_ context.Context, e RunEvent) (struct{}, error) {
		p.Truth.RecordRun(e)
		return struct{}{}, nil
	})
	handle(mux, PathRecordRequest, func(_ context.Context, key string) (struct{}, error) {
		p.Truth.RecordRequest(key)
		return struct{}{}, nil
	})
}

// WorkerHandler serves the calls to every worker of the fleet.
func (f *Fleet) WorkerHandler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, aqplatform.PathOpenSession, func(ctx context.Context, r aqplatform.OpenRequest) (aqplatform.SessionAnswer, error) {
		return f.Open(ctx, "", r)
	})
	handle(mux, aqplatform.PathRenewSession, func(ctx context.Context, r aqplatform.RenewRequest) (aqplatform.SessionAnswer, error) {
		return f.Renew(ctx, "", r)
	})
	handle(mux, aqplatform.PathCommand, func(ctx context.Context, r aqplatform.CommandRequest) (aqplatform.CommandAnswer, error) {
		return f.Command(ctx, "", r)
	})
	return mux
}

// ControlClient is an HTTP client of the platform stand-in's own controls, for use from
// another process. It implements Recorder and EndpointRegistry.
type ControlClient struct {
	base   string
	client *http.Client
}

const controlTimeout = 5 * time.Second

// NewControlClient returns a client of the controls at address.
func NewControlClient(address string) *ControlClient {
	return &ControlClient{base: "http://" + address, client: &http.Client{Timeout: controlTimeout}}
}

// Post makes one call to the stand-in.
func (r *ControlClient) Post(path string, in, out any) error {
	return postJSON(r.client, r.base+path, in, out)
}

// RecordRun implements Recorder.
func (r *ControlClient) RecordRun(e RunEvent) { _ = r.Post(PathRecordRun, e, nil) }

// RecordRequest implements Recorder.
func (r *ControlClient) RecordRequest(key string) { _ = r.Post(PathRecordRequest, key, nil) }
