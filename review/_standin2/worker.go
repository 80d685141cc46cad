package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// Limits and times of a worker, those of scsu-binders where the pages name them.
const (
	holdMax     = 10 * time.Second
	stopGrace   = 100 * time.Millisecond
	gangWait    = 3 * time.Second
	tick        = 10 * time.Millisecond
	endsPerPage = 500
	maxAttempts = 3
	earlyLimit  = 250 * time.Millisecond
	cancelLimit = 3 * time.Second
	restoreTime = 100 * time.Millisecond
)

type run struct {
	step     *step
	attempt  int
	progress time.Duration
	// began is when the run began, stopAt when a stop ends it.
	began  time.Time
	stopAt time.Time
	saved  string
	pace   int
	fails  bool
}

type end struct {
	number  int
	task    string
	attempt int
	how     string
	saved   string
	lapses  int
	success *success
}

// worker plays one minion.
type worker struct {
	id      string
	world   *world
	cpu     int64
	service string

	born     int64
	began    time.Time
	down     bool
	draining bool
	fence    int64
	leaseEnd time.Duration
	lapses   int
	lapsed   bool
	runs     map[string]*run
	ends     []*end
	count    int
	highest  map[string]int
	wake     chan struct{}
	// late is the share of the orders that are not answered and carried out lateAfter later; lost the
	// share that is carried out and not answered.
	late      float64
	lost      float64
	random    *rand.Rand
	lateCalls int
	// delay returns how long an order to start is delayed on its way, nil if none is.
	delay func(call) time.Duration
}

func newWorker(w *world, id string, cpu int64, seed int64) *worker {
	k := &worker{id: id, world: w, cpu: cpu, service: service, random: rand.New(rand.NewSource(seed))}
	k.reset()
	w.workers = append(w.workers, k)
	return k
}

func (k *worker) reset() {
	born := time.Now().UnixMilli()
	k.born = max(born, k.born+1)
	k.began = time.Now()
	k.down, k.draining = false, false
	k.fence, k.leaseEnd, k.lapsed = 0, 0, true
	k.runs, k.ends, k.count, k.highest = map[string]*run{}, nil, 0, map[string]int{}
	k.lapses++
	k.wake = make(chan struct{})
}

// entry returns the worker's entry in service discovery.
func (k *worker) entry(address string) []byte {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	state := "ready"
	if k.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": k.service, "addr": address, "zone": "zone0", "version": "v1", "slots": 8, "state": state,
		"remaining_ms": 2000, "capacity": map[string]any{"cpu": k.cpu, "mem_mb": 100000, "gpus": 0},
		"labels": []string{"a", "r1-1"}, "born": k.born, "seq": 1, "cold_left_ms": 0,
	})
	return data
}

// crash ends everything without a word. The caller holds the lock.
func (k *worker) crash() {
	k.world.note("%s crashes with %d runs", k.id, len(k.runs))
	for name, r := range k.runs {
		t := k.world.task(name)
		delete(t.runsOn, k.id)
		t.crashes++
		t.lastEnd = time.Now()
		k.leaveGang(name, r)
	}
	k.runs = map[string]*run{}
	k.down = true
	close(k.wake)
	k.wake = make(chan struct{})
}

func (k *worker) clock() time.Duration { return time.Since(k.began) }

func gangKey(name string, attempt int) string {
	id, occurrence, number, _, _ := parseTask(name)
	return fmt.Sprintf("%s.%d.%d#%d", id, occurrence, number, attempt)
}

func (k *worker) leaveGang(name string, r *run) {
	if !r.step.gang {
		return
	}
	members := k.world.gangs[gangKey(name, r.attempt)]
	if members[k]--; members[k] <= 0 {
		delete(members, k)
	}
}

func (k *worker) gangSize(name string, r *run) int {
	n := 0
	for _, count := range k.world.gangs[gangKey(name, r.attempt)] {
		n += count
	}
	return n
}

// finish ends a run. The caller holds the lock.
func (k *worker) finish(name string, how string) {
	r := k.runs[name]
	delete(k.runs, name)
	k.count++
	k.highest[name] = max(k.highest[name], r.attempt)
	if r.step.checkpointing && how != "done" {
		r.saved = k.save(name, r)
	}
	e := &end{number: k.count, task: name, attempt: r.attempt, how: how, saved: r.saved, lapses: k.lapses}
	if how == "done" {
		e.saved = ""
		e.success = &success{worker: k.id, at: time.Now()}
		k.world.task(name).successes = append(k.world.task(name).successes, e.success)
	}
	k.ends = append(k.ends, e)
	t := k.world.task(name)
	delete(t.runsOn, k.id)
	t.lastEnd = time.Now()
	if how == "failed" {
		t.failed++
	}
	k.world.ends[how]++
	k.world.note("end %s attempt %d on %s: %s", name, r.attempt, k.id, how)
	k.leaveGang(name, r)
	if r.step.gang && how != "done" && how != "alone" {
		for other := range k.world.gangs[gangKey(name, r.attempt)] {
			for otherName, o := range other.runs {
				if gangKey(otherName, o.attempt) == gangKey(name, r.attempt) && !(other == k && otherName == name) {
					other.finish(otherName, "broken")
					break
				}
			}
		}
	}
	close(k.wake)
	k.wake = make(chan struct{})
}

func (k *worker) save(name string, r *run) string {
	value := fmt.Sprintf("%08d", r.progress.Milliseconds())
	id, occurrence, number, _, _ := parseTask(name)
	for i := range r.step.count {
		k.world.task(taskName(id, occurrence, number, i)).checkpoints[value] = r.step.gang || taskName(id, occurrence, number, i) == name ||
			k.world.task(taskName(id, occurrence, number, i)).checkpoints[value]
	}
	return value
}

// advance moves the runs on. The caller holds the lock.
func (k *worker) advance() {
	if k.down {
		return
	}
	if expired := k.clock() > k.leaseEnd; expired != k.lapsed {
		k.lapsed = expired
		if expired {
			k.lapses++
		}
	}
	for name, r := range k.runs {
		if k.runs[name] != r {
			continue
		}
		working := !r.step.gang || k.gangSize(name, r) == r.step.count
		if working {
			r.progress += tick * time.Duration(r.pace) / 100
		}
		if r.step.checkpointing && working && r.progress%time.Second < tick {
			r.saved = k.save(name, r)
		}
		switch {
		case k.lapsed:
			k.finish(name, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			k.finish(name, "stopped")
		case !working && time.Since(r.began) > gangWait:
			k.finish(name, "alone")
		case r.step.perpetual:
		case r.progress >= r.step.work && (r.step.fails || r.fails):
			k.finish(name, "failed")
		case r.progress >= r.step.work && r.step.gang:
			key := gangKey(name, r.attempt)
			for other := range k.world.gangs[key] {
				for otherName, o := range other.runs {
					if gangKey(otherName, o.attempt) == key {
						other.finish(otherName, "done")
					}
				}
			}
		case r.progress >= r.step.work:
			k.finish(name, "done")
		}
	}
}

type call struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	ExpiresMS  int64  `json:"expires_ms"`
	FenceToken int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (k *worker) fenced(c call) bool {
	if c.FenceToken < k.fence {
		return true
	}
	k.fence = c.FenceToken
	return false
}

func (k *worker) renew(expiresMS int64) {
	k.leaseEnd = max(k.leaseEnd, min(time.Duration(expiresMS)*time.Millisecond, k.clock()+holdMax))
}

// carryOut executes a call and returns the reason of a refusal. The caller holds the lock.
func (k *worker) carryOut(path string, c call) string {
	if k.fenced(c) {
		return "fence"
	}
	switch path {
	case "/v1/run-start":
		if time.Duration(c.ExpiresMS)*time.Millisecond < k.clock() {
			return "late"
		}
		k.renew(c.ExpiresMS)
		k.lapsed = false
		if r := k.runs[c.Task]; r != nil && r.attempt == c.Attempt {
			return ""
		}
		if c.Attempt <= k.highest[c.Task] || k.runs[c.Task] != nil && k.runs[c.Task].attempt > c.Attempt {
			return "old"
		}
		s := k.world.started(k, c.Task, c.Attempt, c.Spec, c.Checkpoint)
		r := &run{step: s, attempt: c.Attempt, began: time.Now(), saved: c.Checkpoint, pace: 100, fails: k.random.Float64() < s.failRate}
		var at int64
		if n, _ := fmt.Sscanf(c.Checkpoint, "%d", &at); n == 1 {
			r.progress = time.Duration(at)*time.Millisecond - restoreTime
		}
		k.runs[c.Task] = r
		if s.gang {
			key := gangKey(c.Task, c.Attempt)
			if k.world.gangs[key] == nil {
				k.world.gangs[key] = map[*worker]int{}
			}
			k.world.gangs[key][k]++
		}
	case "/v1/run-stop":
		k.highest[c.Task] = max(k.highest[c.Task], c.Attempt)
		if r := k.runs[c.Task]; r != nil && r.attempt <= c.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopGrace)
		}
	case "/v1/pace":
		if r := k.runs[c.Task]; r != nil && r.attempt == c.Attempt {
			r.pace = c.Percent
		}
	case "/v1/hold":
		if c.ExpiresMS > 0 {
			k.renew(c.ExpiresMS)
		}
		var kept []*end
		for _, e := range k.ends {
			if e.number <= c.LastSeen {
				k.world.acknowledged(k, e)
				continue
			}
			kept = append(kept, e)
		}
		k.ends = kept
	}
	return ""
}

// deliver carries out a call that was delayed on its way.
func (k *worker) deliver(path string, c call) {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.down {
		k.world.note("%s is down when the delayed order for %s arrives", k.id, c.Task)
		return
	}
	k.world.note("the delayed order for %s arrives at %s", c.Task, k.id)
	k.world.note("the delayed order for %s is answered %q", c.Task, k.carryOut(path, c))
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w := k.world
	w.mu.Lock()
	if k.down {
		w.mu.Unlock()
		hangUp(out)
		return
	}
	if r.Header.Get("X-Expect-Instance") != k.id {
		w.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.delay != nil && r.URL.Path == "/v1/run-start" {
		after := k.delay(c)
		w.note("an order to start %s %d on %s is delayed for %s", c.Task, c.Attempt, k.id, after)
		w.mu.Unlock()
		time.AfterFunc(after, func() { k.deliver(r.URL.Path, c) })
		<-r.Context().Done()
		return
	}
	born := k.born
	if draw := k.random.Float64(); draw < k.late {
		k.lateCalls++
		after := 2*time.Second + time.Duration(k.random.Int63n(int64(10*time.Second)))
		w.note("%s leaves %s %s %d unanswered and carries it out in %s", k.id, r.URL.Path, c.Task, c.Attempt, after)
		time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !k.down && k.born == born {
				k.carryOut(r.URL.Path, c)
			}
		})
		w.mu.Unlock()
		hangUp(out)
		return
	} else if draw < k.late+k.lost {
		k.carryOut(r.URL.Path, c)
		w.mu.Unlock()
		hangUp(out)
		return
	}
	reason := k.carryOut(r.URL.Path, c)
	wake := k.wake
	if reason == "" && r.URL.Path == "/v1/hold" && len(k.ends) == 0 && c.WaitMS > 0 {
		w.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		}
		w.mu.Lock()
	}
	if k.down || k.born != born {
		w.mu.Unlock()
		hangUp(out)
		return
	}
	body := map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	} else if r.URL.Path == "/v1/hold" {
		running, finished := [][]any{}, [][]any{}
		for name, r := range k.runs {
			percent := 100
			if !r.step.perpetual {
				percent = int(100 * max(0, r.progress) / max(1, r.step.work))
			}
			running = append(running, []any{name, r.attempt, r.saved, percent, 1})
		}
		for _, e := range k.ends[:min(len(k.ends), endsPerPage)] {
			finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
		}
		body["running"], body["finished"] = running, finished
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func hangUp(out http.ResponseWriter) {
	if hijacker, ok := out.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}
