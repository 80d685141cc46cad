// Command review3 plays the cases of the third review: it starts site processes before stand-ins
// of the platform's store, of workers and of clients, all on loopback addresses, and checks what
// these see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/platform/aqfake"
)

// world holds the stand-ins of one run.
type world struct {
	started time.Time
	trouble bool
	// quiet leaves single starts and ends out of the record.
	quiet   bool
	dir     string
	program string

	recordMu sync.Mutex
	record   *os.File
	broken   []string

	store     *aqfake.Store
	storeAddr string
	done      chan struct{}

	// mu guards the workers, the gangs and the jobs.
	mu      sync.Mutex
	workers []*worker
	jobs    map[string]*job
	// onStart returns the delay of the next order to start a task, nil if none is delayed.
	onStart func(*worker) time.Duration
	// lateRate is the share of the orders that workers carry out late.
	lateRate float64
	tasks    map[string]*taskHistory

	nodes []*node
}

func newWorld(recordFile string, trouble bool) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		started: time.Now(),
		trouble: trouble,
		dir:     dir,
		program: "target/acaciaquay",
		record:  record,
		done:    make(chan struct{}),
		jobs:    map[string]*job{},
		tasks:   map[string]*taskHistory{},
	}
	w.store = aqfake.NewStore(1, w.done)
	if w.storeAddr, err = serve(w.limitValues(w.store)); err != nil {
		return nil, err
	}
	go w.advance()
	return w, nil
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() //nolint:gosec // A stand-in on loopback.
	return listener.Addr().String(), nil
}

func (w *world) elapsed() time.Duration { return time.Since(w.started) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", w.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that a rule was broken.
func (w *world) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.recordMu.Lock()
	w.broken = append(w.broken, text)
	w.recordMu.Unlock()
	w.note("BROKEN %s", text)
}

// close ends all processes and returns the exit code of the script.
func (w *world) close() int {
	for _, n := range w.nodes {
		n.end()
	}
	close(w.done)
	_ = os.RemoveAll(w.dir)
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	code := 0
	if len(w.broken) > 0 {
		code = 1
	}
	_, _ = fmt.Fprintf(w.record, "%8.3f end: %d breaches, exit %d\n", w.elapsed().Seconds(), len(w.broken), code)
	_ = w.record.Close()
	return code
}

// queue is a route of the configuration.
type queue struct {
	name     string
	host     string
	prefix   string
	priority int
	attempts int
	targetMS int
}

// configure writes the operator's configuration.
func (w *world) configure(version int, queues ...queue) error {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name":               q.name,
			"host":               q.host,
			"prefix":             q.prefix,
			"service":            service,
			"priority":           q.priority,
			"max_attempts":       q.attempts,
			"stretch":            2.0,
			"target_duration_ms": q.targetMS,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	w.store.Put(aqfake.ConfigKey, value)
	w.note("operator: configuration %d", version)
	return nil
}

// link returns a proxy to an address.
func link(address string) (*aqsoak.Proxy, error) { return aqsoak.NewProxy(address) }
