package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// storeFront passes one process's calls on to the store. While late returns a time for a write, the
// write is carried out after that time, and its connection returns nothing further.
type storeFront struct {
	site *site
	node string

	mu     sync.Mutex
	late   func(body []byte) time.Duration
	writes int
	lates  int
}

func (f *storeFront) setLate(late func([]byte) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/kv-txn" {
		f.site.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.writes++
	after := time.Duration(0)
	if f.late != nil {
		after = f.late(body)
	}
	if after > 0 {
		f.lates++
	}
	f.mu.Unlock()
	if after == 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.site.store.ServeHTTP(w, r)
		return
	}
	f.site.log("the store gives %s no answer to a write and carries it out in %s", f.node, after)
	time.AfterFunc(after, func() {
		again := httptest.NewRequest(http.MethodPost, "/v1/kv-txn", bytes.NewReader(body))
		result := httptest.NewRecorder()
		f.site.store.ServeHTTP(result, again)
		f.site.log("the store has carried out the late write of %s: %d", f.node, result.Code)
	})
	<-r.Context().Done()
}

// writeCounts returns the writes of all processes and those that were late.
func (s *site) writeCounts() (writes, lates int) {
	for _, n := range s.nodes {
		n.store.mu.Lock()
		writes += n.store.writes
		lates += n.store.lates
		n.store.mu.Unlock()
	}
	return writes, lates
}
