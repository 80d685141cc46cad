package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/platform/aqfake"
)

// Figures of the workers, as on the pages of a small deployment.
const (
	service       = "pool"
	maxLease      = 10 * time.Second
	stopGrace     = 200 * time.Millisecond
	gangWait      = 3 * time.Second
	checkpointGap = time.Second
	tick          = 10 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	cancelLimit   = 3 * time.Second
)

// worker is a stand-in of a worker. Its world's lock guards it.
type worker struct {
	world  *world
	id     string
	zone   string
	labels []string
	cpu    int64
	mem    int64
	link   *aqsoak.Proxy

	born     time.Time
	down     bool
	draining bool
	fence    int64
	leaseEnd time.Duration
	runs     map[runID]*run
	highest  map[string]int
	ends     []end
	endCount int
	changed  chan struct{}
	// late is set while an order is carried out late.
	late bool
	// cut is set while the worker is cut off, also from the store.
	cut bool
}

type runID struct {
	task    string
	attempt int
}

type run struct {
	id         runID
	worker     *worker
	step       *step
	work       time.Duration
	done       time.Duration
	since      time.Time
	stopAt     time.Time
	checkpoint string
	checkedAt  time.Duration
	fails      bool
	together   bool
	stray      bool
}

type end struct {
	number     int
	id         runID
	how        string
	checkpoint string
	lapsed     bool
}

func (w *world) addWorker(id, zone, rack string, cpu int64, labels ...string) (*worker, error) {
	k := &worker{
		world:   w,
		id:      id,
		zone:    zone,
		labels:  append([]string{"a", rack}, labels...),
		cpu:     cpu,
		mem:     250000,
		changed: make(chan struct{}),
	}
	k.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", k.order(k.start))
	mux.HandleFunc("POST /v1/run-stop", k.order(k.stop))
	mux.HandleFunc("POST /v1/pace", k.order(func(in order) string { return k.fenced(in) }))
	mux.HandleFunc("POST /v1/hold", k.hold)
	address, err := serve(mux)
	if err != nil {
		return nil, err
	}
	if k.link, err = link(address); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	k.register()
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(heartbeat):
				k.register()
			}
		}
	}()
	return k, nil
}

func (k *worker) reset() {
	k.born = time.Now()
	k.down, k.draining = false, false
	k.fence, k.leaseEnd, k.endCount = 0, 0, 0
	k.runs = map[runID]*run{}
	k.highest = map[string]int{}
	k.ends = nil
}

// register writes the worker's entry in service discovery, unless it is down.
func (k *worker) register() {
	w := k.world
	w.mu.Lock()
	if k.down || k.cut {
		w.mu.Unlock()
		return
	}
	state := "ready"
	if k.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": service, "addr": k.link.Address(), "zone": k.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]any{"cpu": k.cpu, "mem_mb": k.mem, "gpus": 0},
		"labels": k.labels, "born": k.born.UnixMilli(), "seq": time.Now().UnixMilli(),
	}
	if k.draining {
		entry["remaining_ms"] = 4000
	}
	w.mu.Unlock()
	data, _ := json.Marshal(entry)
	w.store.Put(aqfake.WorkerKey(k.id), data)
}

// crash ends all that runs. The entry is removed after three heartbeats, unless the worker is back.
func (k *worker) crash() {
	w := k.world
	w.mu.Lock()
	if k.down {
		w.mu.Unlock()
		return
	}
	w.note("%s: crashes with %d runs", k.id, len(k.runs))
	for _, r := range k.runs {
		k.finish(r, "crashed")
		if r.together {
			w.breakGang(r)
		}
	}
	k.down = true
	k.runs = map[runID]*run{}
	crashedIn := k.born
	w.mu.Unlock()
	k.link.Reset()
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		removed := k.down && k.born.Equal(crashedIn)
		w.mu.Unlock()
		if removed {
			w.store.Remove(aqfake.WorkerKey(k.id))
		}
	})
}

// breakGang ends the other members of a gang of which one has ended. The lock must be held.
func (w *world) breakGang(ended *run) {
	for _, k := range w.workers {
		for _, r := range k.runs {
			if r != ended && r.step.Gang && gangKey(r.id) == gangKey(ended.id) {
				k.finish(r, "broken")
			}
		}
	}
}

// restart begins a new incarnation under the same id.
func (k *worker) restart() {
	k.world.mu.Lock()
	if !k.down {
		k.world.mu.Unlock()
		return
	}
	k.reset()
	k.world.note("%s: starts again, born %d", k.id, k.born.UnixMilli())
	k.world.mu.Unlock()
	k.register()
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	ExpiresMS  int64  `json:"expires_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (k *worker) clock() time.Duration { return time.Since(k.born) }

func hangUp(out http.ResponseWriter) {
	if conn, _, err := out.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func answer(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (k *worker) order(execute func(order) string) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var in order
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			answer(out, http.StatusBadRequest, map[string]any{})
			return
		}
		k.world.mu.Lock()
		if k.down {
			k.world.mu.Unlock()
			hangUp(out)
			return
		}
		if r.Header.Get("X-Expect-Instance") != k.id {
			k.world.mu.Unlock()
			answer(out, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		if k.delayOnWay(in, execute) {
			k.world.mu.Unlock()
			hangUp(out)
			return
		}
		if rate := k.world.lateRate; rate > 0 && rand.Float64() < rate {
			// The order gets no answer and is carried out late, in this incarnation only.
			born := k.born
			k.world.note("%s: order for %s attempt %d is carried out late", k.id, in.Task, in.Attempt)
			time.AfterFunc(2*time.Second+time.Duration(rand.Intn(10000))*time.Millisecond, func() {
				k.world.mu.Lock()
				defer k.world.mu.Unlock()
				if !k.down && k.born.Equal(born) {
					k.late = true
					execute(in)
					k.late = false
				}
			})
			k.world.mu.Unlock()
			hangUp(out)
			return
		}
		reason := execute(in)
		body := map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli()}
		k.world.mu.Unlock()
		if reason == "" {
			answer(out, http.StatusOK, body)
			return
		}
		body["reason"] = reason
		answer(out, http.StatusConflict, body)
	}
}

// delayOnWay delays an order to start a task on its way if the case wants that: it reaches the worker later, in
// whatever incarnation. The lock must be held.
func (k *worker) delayOnWay(in order, execute func(order) string) bool {
	w := k.world
	if w.onStart == nil || in.Spec == "" {
		return false
	}
	delay := w.onStart(k)
	w.note("%s: order to start %s attempt %d is delayed on its way by %v", k.id, in.Task, in.Attempt, delay)
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if k.down {
			w.note("%s: the delayed order finds nobody", k.id)
			return
		}
		w.note("%s: the delayed order arrives, answer %q", k.id, execute(in))
	})
	return true
}

func (k *worker) fenced(in order) string {
	if in.Fence < k.fence {
		return "fence"
	}
	k.fence = in.Fence
	return ""
}

func (k *worker) renew(expiresMS int64) {
	until := min(time.Duration(expiresMS)*time.Millisecond, k.clock()+maxLease)
	k.leaseEnd = max(k.leaseEnd, until)
}

func (k *worker) start(in order) string {
	if reason := k.fenced(in); reason != "" {
		return reason
	}
	if time.Duration(in.ExpiresMS)*time.Millisecond < k.clock() {
		return "late"
	}
	k.renew(in.ExpiresMS)
	id := runID{in.Task, in.Attempt}
	if k.runs[id] != nil {
		return ""
	}
	if in.Attempt <= k.highest[in.Task] {
		return "old"
	}
	s := k.world.checkStart(k, in)
	r := &run{id: id, worker: k, step: s, since: time.Now(), checkpoint: in.Checkpoint}
	if s == nil {
		r.stray = true
		r.step = &step{Count: 1}
		r.work = time.Hour
	} else {
		r.work = s.work
		r.fails = s.failing(in.Task, in.Attempt)
	}
	if at, ok := strings.CutPrefix(in.Checkpoint, "at-"); ok {
		ms, _, _ := strings.Cut(at, "-")
		n, _ := strconv.Atoi(ms)
		r.done = time.Duration(n) * time.Millisecond
		r.checkedAt = r.done
	}
	k.runs[id] = r
	return ""
}

func (k *worker) stop(in order) string {
	if reason := k.fenced(in); reason != "" {
		return reason
	}
	k.highest[in.Task] = max(k.highest[in.Task], in.Attempt)
	if r := k.runs[runID{in.Task, in.Attempt}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace / 2)
	}
	return ""
}

func (k *worker) hold(out http.ResponseWriter, r *http.Request) {
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(out, http.StatusBadRequest, map[string]any{})
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
		answer(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	born := k.born
	if reason := k.fenced(in); reason != "" {
		body := map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "reason": reason}
		w.mu.Unlock()
		answer(out, http.StatusConflict, body)
		return
	}
	if in.ExpiresMS > 0 {
		k.renew(in.ExpiresMS)
	}
	kept := []end{}
	for _, e := range k.ends {
		if e.number <= in.LastSeen {
			w.acknowledged(k, e)
			continue
		}
		kept = append(kept, e)
	}
	k.ends = kept
	changed, waits := k.changed, len(k.ends) == 0 && in.WaitMS > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	if k.down || !k.born.Equal(born) {
		w.mu.Unlock()
		hangUp(out)
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.runs {
		percent := 100
		if !r.step.Perpetual && r.work > 0 {
			percent = int(100 * r.done / r.work)
		}
		running = append(running, []any{r.id.task, r.id.attempt, r.checkpoint, percent, 1})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		finished = append(finished, []any{e.number, e.id.task, e.id.attempt, e.how, e.checkpoint})
	}
	body := map[string]any{
		"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "running": running, "finished": finished,
	}
	w.mu.Unlock()
	answer(out, http.StatusOK, body)
}

// finish ends a run. The lock must be held.
func (k *worker) finish(r *run, how string) {
	delete(k.runs, r.id)
	k.highest[r.id.task] = max(k.highest[r.id.task], r.id.attempt)
	k.world.runEnded(k, r, how)
	if how == "crashed" {
		return
	}
	k.endCount++
	checkpoint := ""
	if r.step.Checkpointing && how != "done" {
		checkpoint = r.checkpoint
		if how == "stopped" {
			checkpoint = fmt.Sprintf("at-%06d-%s", r.done.Milliseconds(), r.id.task)
		}
		k.world.knowCheckpoint(r.id.task, checkpoint)
	}
	k.ends = append(k.ends, end{number: k.endCount, id: r.id, how: how, checkpoint: checkpoint})
	close(k.changed)
	k.changed = make(chan struct{})
}

// gangKey names the members of one run of a gang.
func gangKey(id runID) string {
	cut := strings.LastIndex(id.task, ".")
	return fmt.Sprintf("%s@%d", id.task[:cut], id.attempt)
}

// advance lets the runs work.
func (w *world) advance() {
	last := time.Now()
	for {
		select {
		case <-w.done:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		passed := now.Sub(last)
		last = now
		w.mu.Lock()
		gangs := map[string][]*run{}
		for _, k := range w.workers {
			for _, r := range k.runs {
				if r.step.Gang {
					gangs[gangKey(r.id)] = append(gangs[gangKey(r.id)], r)
				}
			}
		}
		for _, members := range gangs {
			if len(members) == members[0].step.Count {
				for _, r := range members {
					r.together = true
				}
			}
		}
		for _, k := range w.workers {
			lapsed := k.clock() > k.leaseEnd
			for i := range k.ends {
				// An end that is taken note of after the lease has lapsed does not count.
				k.ends[i].lapsed = k.ends[i].lapsed || lapsed
			}
			for _, r := range k.runs {
				w.advanceRun(k, r, passed, lapsed, gangs)
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) advanceRun(k *worker, r *run, passed time.Duration, lapsed bool, gangs map[string][]*run) {
	if !r.step.Gang || r.together {
		r.done += passed
	}
	if r.step.Checkpointing && r.done-r.checkedAt >= checkpointGap {
		r.checkedAt = r.done
		r.checkpoint = fmt.Sprintf("at-%06d-%s", r.done.Milliseconds(), r.id.task)
		w.knowCheckpoint(r.id.task, r.checkpoint)
	}
	how := ""
	switch {
	case lapsed:
		how = "lapsed"
	case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
		how = "stopped"
	case r.step.Gang && !r.together && time.Since(r.since) > gangWait:
		how = "alone"
	case r.stray || r.step.Perpetual:
	case r.done >= r.work && r.fails:
		how = "failed"
	case r.done >= r.work:
		how = "done"
	}
	if how == "" {
		return
	}
	if !r.step.Gang {
		k.finish(r, how)
		return
	}
	for _, member := range gangs[gangKey(r.id)] {
		if member.worker.runs[member.id] != member {
			continue
		}
		switch {
		case member == r, how == "done":
			member.worker.finish(member, how)
		case r.together:
			member.worker.finish(member, "broken")
		}
	}
}
