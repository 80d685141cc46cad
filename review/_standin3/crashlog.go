package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// valueBytes is the most bytes of a value that the store takes.
const valueBytes = 1048576

// limitValues refuses writes of values that are too large, as the store does.
func (w *world) limitValues(store http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/kv-txn" {
			store.ServeHTTP(out, r)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var txn struct {
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"puts"`
		}
		if json.Unmarshal(data, &txn) == nil {
			for _, put := range txn.Puts {
				if len(put.Value) > valueBytes {
					w.note("store: refuses a value of %d bytes for %s", len(put.Value), put.Key)
					out.WriteHeader(http.StatusBadRequest)
					return
				}
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		store.ServeHTTP(out, r)
	})
}

// crashLog plays three crashes of a worker (the disruption) under a job of many small tasks, beside
// small jobs.
func crashLog(w *world) error {
	w.quiet = true
	if err := w.build(3, 7, 64000, proof, impose); err != nil {
		return err
	}
	random := rand.New(rand.NewSource(13))
	large := &job{
		id:    newID(random),
		queue: impose,
		Spec:  "impose",
		Steps: []*step{{Count: 10000, CPU: 6, MemMB: 24, EstimateMS: 60000, work: 60 * time.Second}},
	}
	w.submit(large, 0)
	for range 3 {
		running := w.awaitRunning(9000, 15*time.Second)
		w.note("%d tasks run", running)
		time.Sleep(2 * time.Second)
		k := w.fullest()
		if k == nil {
			// The scheduler stores nothing any more and so starts nothing on workers that have restarted.
			w.note("no worker runs anything")
			break
		}
		if w.trouble {
			k.crash()
			time.AfterFunc(4500*time.Millisecond, k.restart)
		}
		time.Sleep(5 * time.Second)
	}
	var smalls []*job
	for n := range 5 {
		small := &job{
			id:    newID(random),
			queue: proof,
			Spec:  "proof",
			Steps: []*step{{Count: 6, CPU: 4600, MemMB: 9200, EstimateMS: 640, work: 640 * time.Millisecond}},
		}
		smalls = append(smalls, small)
		w.submit(small, n)
		time.Sleep(time.Second)
	}
	w.settle(40*time.Second, func(j *job) bool { return j == large })
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range smalls {
		done := 0
		for index := range j.Steps[0].Count {
			if w.isDone(fmt.Sprintf("%s.0.0.%d", j.id, index), j.Steps[0]) {
				done++
			}
		}
		w.note("%s: %d of its %d tasks have ended done", j.id, done, j.Steps[0].Count)
	}
	return nil
}

// awaitRunning waits until that many tasks run, for a limited time. It returns how many do.
func (w *world) awaitRunning(wanted int, limit time.Duration) int {
	for deadline := time.Now().Add(limit); ; {
		w.mu.Lock()
		running := 0
		for _, k := range w.workers {
			running += len(k.runs)
		}
		w.mu.Unlock()
		if running >= wanted || time.Now().After(deadline) {
			return running
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// fullest returns the worker with the most runs.
func (w *world) fullest() *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var most *worker
	for _, k := range w.workers {
		if !k.down && len(k.runs) > 0 && (most == nil || len(k.runs) > len(most.runs)) {
			most = k
		}
	}
	return most
}
