package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"acaciaquay/platform/aqfake"
)

// Figures of a plainMinion, as PROTOCOL.md and the site files give them.
const (
	holdMax       = 6 * time.Second
	endsPerAnswer = 500
	advancePeriod = 50 * time.Millisecond
)

// plainMinion is a minion whose runs end as done after a time, and give a checkpoint when they end
// otherwise. It lists at most endsPerAnswer ends at a time.
type plainMinion struct {
	id      string
	address string
	// lasts is how long a run of a task works; checkpoint is what it saves.
	lasts      func(task string) time.Duration
	checkpoint func(task string) string
	born       time.Time

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Duration
	runs     map[aqfake.TaskRun]time.Time
	ends     []plainEnd
	endCount int
	highest  map[string]int
	changed  chan struct{}
	started  int
	ended    map[string]int
	seen     int
	seq      int
}

type plainEnd struct {
	number     int
	run        aqfake.TaskRun
	how        string
	checkpoint string
}

// order is the body of a call to a minion. Each call uses some of the fields.
type order struct {
	Task      string `json:"task"`
	Attempt   int    `json:"attempt"`
	ExpiresMS int64  `json:"expires_ms"`
	Fence     int64  `json:"fence_token"`
	LastSeen  int    `json:"last_seen"`
	WaitMS    int64  `json:"wait_ms"`
}

func newPlainMinion(id string, lasts func(string) time.Duration, checkpoint func(string) string) *plainMinion {
	return &plainMinion{
		id:         id,
		lasts:      lasts,
		checkpoint: checkpoint,
		born:       time.Now(),
		runs:       map[aqfake.TaskRun]time.Time{},
		highest:    map[string]int{},
		changed:    make(chan struct{}),
		ended:      map[string]int{},
	}
}

func (m *plainMinion) clock() time.Duration { return time.Since(m.born) }

// entry returns the minion's entry in service discovery.
func (m *plainMinion) entry() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	data, err := json.Marshal(map[string]any{
		"service": service, "addr": m.address, "zone": "zone0", "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpus": 0}, "labels": []string{"a", "r1-1"},
		"cold_left_ms": 0, "born": m.born.UnixMilli(), "seq": m.seq,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// advance ends the runs that are over, until done is closed.
func (m *plainMinion) advance(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(advancePeriod):
		}
		m.mu.Lock()
		lapsed := m.clock() > m.leaseEnd
		for run, began := range m.runs {
			switch {
			case lapsed:
				m.end(run, "lapsed")
			case time.Since(began) > m.lasts(run.Task):
				m.end(run, "done")
			}
		}
		m.mu.Unlock()
	}
}

// end is called with the lock.
func (m *plainMinion) end(run aqfake.TaskRun, how string) {
	delete(m.runs, run)
	m.highest[run.Task] = max(m.highest[run.Task], run.Attempt)
	m.endCount++
	m.ended[how]++
	saved := ""
	if how != "done" {
		saved = m.checkpoint(run.Task)
	}
	m.ends = append(m.ends, plainEnd{number: m.endCount, run: run, how: how, checkpoint: saved})
	close(m.changed)
	m.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (m *plainMinion) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != m.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	reason := m.execute(r.URL.Path, in)
	changed, pending := m.changed, len(m.ends)
	m.mu.Unlock()
	if reason != "" {
		m.reply(out, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	if r.URL.Path != "/v1/hold" {
		m.reply(out, http.StatusOK, map[string]any{})
		return
	}
	if pending == 0 && in.WaitMS > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(in.WaitMS) * time.Millisecond):
		}
	}
	m.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for run, began := range m.runs {
		percent := int(100 * time.Since(began) / m.lasts(run.Task))
		running = append(running, []any{run.Task, run.Attempt, "", min(100, percent), 1})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Attempt, e.how, e.checkpoint})
	}
	m.mu.Unlock()
	m.reply(out, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (m *plainMinion) reply(out http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock().Milliseconds(), m.born.UnixMilli()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// execute carries an order out and returns the reason of a refusal. It is called with the lock.
func (m *plainMinion) execute(path string, in order) string {
	if in.Fence < m.fence {
		return "fence"
	}
	m.fence = in.Fence
	run := aqfake.TaskRun{Task: in.Task, Attempt: in.Attempt}
	switch path {
	case "/v1/run-start":
		if time.Duration(in.ExpiresMS)*time.Millisecond < m.clock() {
			return "late"
		}
		m.renew(in.ExpiresMS)
		if _, runs := m.runs[run]; runs {
			return ""
		}
		if in.Attempt <= m.highest[in.Task] {
			return "old"
		}
		m.runs[run] = time.Now()
		m.started++
	case "/v1/run-stop":
		m.highest[in.Task] = max(m.highest[in.Task], in.Attempt)
		if _, runs := m.runs[run]; runs {
			m.end(run, "stopped")
		}
	case "/v1/hold":
		m.renew(in.ExpiresMS)
		kept := 0
		for kept < len(m.ends) && m.ends[kept].number <= in.LastSeen {
			kept++
		}
		m.seen += kept
		m.ends = m.ends[kept:]
	}
	return ""
}

func (m *plainMinion) renew(expiresMS int64) {
	m.leaseEnd = max(m.leaseEnd, min(time.Duration(expiresMS)*time.Millisecond, m.clock()+holdMax))
}

// summary tells what the minion has run.
func (m *plainMinion) summary() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%s: %d starts, %d run now, ends %v, %d of them taken note of", m.id, m.started, len(m.runs), m.ended, m.seen)
}

// valueBytes is value_bytes of the platform's settings.
const valueBytes = 1 << 20

// limitedStore refuses values that are longer than valueBytes.
type limitedStore struct {
	store  http.Handler
	record *record

	mu      sync.Mutex
	refused int
	largest int
}

// ServeHTTP implements http.Handler.
func (l *limitedStore) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/kv-txn" {
		l.store.ServeHTTP(out, r)
		return
	}
	var txn struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	var copied strings.Builder
	if err := json.NewDecoder(io.TeeReader(r.Body, &copied)).Decode(&txn); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range txn.Puts {
		l.mu.Lock()
		l.largest = max(l.largest, len(p.Value))
		tooLong := len(p.Value) > valueBytes
		if tooLong {
			l.refused++
		}
		first := tooLong && l.refused == 1
		l.mu.Unlock()
		if first {
			l.record.add("store: refuses a value of %d bytes for %s: 400", len(p.Value), p.Key)
		}
		if tooLong {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	r.Body = io.NopCloser(strings.NewReader(copied.String()))
	l.store.ServeHTTP(out, r)
}
