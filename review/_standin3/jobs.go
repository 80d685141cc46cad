package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it, and what the workers make of its tasks.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"mem_mb,omitempty"`
	EstimateMS    int64  `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Perpetual     bool   `json:"perpetual,omitempty"`

	work time.Duration
	// failAttempts is the number of first attempts of task 0 that fail.
	failAttempts int
	failed       map[string]int
}

// failing decides whether a run fails. The world's lock is held.
func (s *step) failing(task string, _ int) bool {
	if s.failAttempts == 0 || !strings.HasSuffix(task, ".0") {
		return false
	}
	if s.failed == nil {
		s.failed = map[string]int{}
	}
	s.failed[task]++
	return s.failed[task] <= s.failAttempts
}

// job is a submission. The world's lock guards it.
type job struct {
	id      string
	queue   queue
	Spec    string  `json:"spec"`
	Steps   []*step `json:"steps"`
	Repeats int     `json:"repeats,omitempty"`
	StartAt int64   `json:"start_at_ms,omitempty"`
	Period  int64   `json:"period_ms,omitempty"`

	accepted    bool
	inDoubt     bool
	cancelAcked time.Time
	cancelled   bool
	final       string
}

// taskHistory is what the workers have seen of a task.
type taskHistory struct {
	active      map[string]runID
	doneEnds    []*doneEnd
	checkpoints map[string]bool
	starts      int
	failures    int
}

// doneEnd is an end of a run as done.
type doneEnd struct {
	worker       *worker
	born         time.Time
	attempt      int
	acked        bool
	startedAfter string
	at           time.Time
}

func (w *world) history(task string) *taskHistory {
	h := w.tasks[task]
	if h == nil {
		h = &taskHistory{active: map[string]runID{}, checkpoints: map[string]bool{}}
		w.tasks[task] = h
	}
	return h
}

func (w *world) knowCheckpoint(task, checkpoint string) {
	if checkpoint != "" {
		// The value of any member of a gang is valid for the gang.
		w.history(task).checkpoints[checkpoint] = true
	}
}

// checkStart checks an order that a worker carries out, and returns its step.
func (w *world) checkStart(k *worker, in order) *step {
	w.noteRun("%s: starts %s attempt %d checkpoint %q", k.id, in.Task, in.Attempt, in.Checkpoint)
	parts := strings.Split(in.Task, ".")
	if len(parts) != 4 {
		w.breach("UNASKED", "%s is told to start %q", k.id, in.Task)
		return nil
	}
	j := w.jobs[parts[0]]
	number, _ := strconv.Atoi(parts[2])
	if j == nil || number >= len(j.Steps) || in.Spec != j.Spec {
		w.breach("UNASKED", "%s is told to start %q with spec %.40q, which nobody sent", k.id, in.Task, in.Spec)
		return nil
	}
	s := j.Steps[number]
	if !j.cancelAcked.IsZero() && !k.late && time.Since(j.cancelAcked) > cancelLimit {
		w.breach("UNASKED", "%s starts %s %.1f s after its cancel was acknowledged", k.id, in.Task, time.Since(j.cancelAcked).Seconds())
	}
	h := w.history(in.Task)
	h.starts++
	for at, other := range h.active {
		w.breach("TWICE", "%s starts on %s attempt %d while attempt %d runs on %s", in.Task, k.id, in.Attempt, other.attempt, at)
	}
	h.active[k.id] = runID{in.Task, in.Attempt}
	for _, d := range h.doneEnds {
		text := fmt.Sprintf("%s starts on %s attempt %d, %.2f s after attempt %d ended done on %s", in.Task, k.id, in.Attempt,
			time.Since(d.at).Seconds(), d.attempt, d.worker.id)
		if d.acked {
			w.breach("TWICE", "%s, which was taken note of", text)
		} else if d.startedAfter == "" {
			d.startedAfter = text
		}
	}
	if in.Checkpoint != "" && !h.checkpoints[in.Checkpoint] && !s.Gang {
		w.breach("UNASKED", "%s starts with checkpoint %q, which is not its own", in.Task, in.Checkpoint)
	}
	for _, before := range s.After {
		for index := range j.Steps[before].Count {
			if !w.isDone(fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], before, index), j.Steps[before]) {
				w.breach("ORDER", "%s starts before step %d has ended", in.Task, before)
			}
		}
	}
	if j.Repeats > 0 {
		occurrence, _ := strconv.ParseInt(parts[1], 10, 64)
		if early := time.Until(time.UnixMilli(j.StartAt + occurrence*j.Period)); early > 250*time.Millisecond {
			w.breach("ORDER", "%s starts %v before its time", in.Task, early)
		}
	}
	return s
}

// noteRun notes a start or an end.
func (w *world) noteRun(format string, args ...any) {
	if !w.quiet {
		w.note(format, args...)
	}
}

// isDone reports whether a task has ended done, or any member of its gang.
func (w *world) isDone(task string, s *step) bool {
	if !s.Gang {
		return len(w.history(task).doneEnds) > 0
	}
	group := task[:strings.LastIndex(task, ".")]
	for index := range s.Count {
		if len(w.history(fmt.Sprintf("%s.%d", group, index)).doneEnds) > 0 {
			return true
		}
	}
	return false
}

func (w *world) runEnded(k *worker, r *run, how string) {
	w.noteRun("%s: ends %s attempt %d %s", k.id, r.id.task, r.id.attempt, how)
	h := w.history(r.id.task)
	delete(h.active, k.id)
	if how == "done" {
		h.doneEnds = append(h.doneEnds, &doneEnd{worker: k, born: k.born, attempt: r.id.attempt, at: time.Now()})
	}
	if how == "failed" {
		h.failures++
	}
}

// acknowledged handles the acknowledgement of an end by last_seen.
func (w *world) acknowledged(k *worker, e end) {
	if e.how != "done" {
		return
	}
	for _, d := range w.history(e.id.task).doneEnds {
		if d.worker == k && d.born.Equal(k.born) && d.attempt == e.id.attempt && !d.acked {
			if e.lapsed {
				return
			}
			d.acked = true
			if d.startedAfter != "" {
				w.breach("TWICE", "%s; the end was taken note of later", d.startedAfter)
			}
		}
	}
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of a client at a node.
func call(n *node, q queue, method, id string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+q.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = q.host
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

const clientDeadline = 3 * time.Second

// submit hands a job in: retries go to other nodes. It returns whether the job was accepted.
func (w *world) submit(j *job, first int) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	body, _ := json.Marshal(j)
	w.mu.Unlock()
	w.note("client: job %s: %.300s", j.id, body)
	for try := range 5 {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, _, err := call(n, j.queue, http.MethodPost, j.id, body, clientDeadline)
		w.note("client: POST %s at %s: %d %v", j.id, n.name, status, err)
		if err == nil && status/100 == 2 {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			return true
		}
		if err != nil || status >= 500 && status != http.StatusServiceUnavailable {
			w.mu.Lock()
			j.inDoubt = true
			w.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancel cancels a job.
func (w *world) cancel(j *job, first int) {
	w.mu.Lock()
	j.cancelled = true
	w.mu.Unlock()
	for try := range 5 {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, _, err := call(n, j.queue, http.MethodDelete, j.id, nil, clientDeadline)
		w.note("client: DELETE %s at %s: %d %v", j.id, n.name, status, err)
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			w.mu.Lock()
			j.cancelAcked = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks a node for a job's state.
func (w *world) state(n *node, j *job) (string, int, error) {
	status, data, err := call(n, j.queue, http.MethodGet, j.id, nil, clientDeadline)
	var out struct {
		State string `json:"state"`
	}
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &out)
	}
	return out.State, status, err
}

// settle asks for the accepted jobs until each has a final state or the time is over. Perpetual jobs and
// those left out are not waited for.
func (w *world) settle(limit time.Duration, leaveOut func(*job) bool) {
	deadline := time.Now().Add(limit)
	w.mu.Lock()
	var open []*job
	for _, j := range w.jobs {
		if j.accepted && (leaveOut == nil || !leaveOut(j)) {
			open = append(open, j)
		}
	}
	w.mu.Unlock()
	var all sync.WaitGroup
	for n, j := range open {
		all.Add(1)
		go func() {
			defer all.Done()
			for try := n; time.Now().Before(deadline); try++ {
				if w.askFinal(w.nodes[try%len(w.nodes)], j) {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			w.breach("LOST", "%s has no final state after %v", j.id, limit)
		}()
	}
	all.Wait()
}

// askFinal asks a node for a job and reports whether it has a final state, or is not known.
func (w *world) askFinal(n *node, j *job) bool {
	state, status, err := w.state(n, j)
	if err == nil && status == http.StatusGone {
		w.breach("LOST", "GET %s at %s: 410 for an accepted job", j.id, n.name)
		return true
	}
	if state != "completed" && state != "failed" && state != "cancelled" {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.final = state
	w.note("client: %s is %s", j.id, state)
	w.checkFinal(j)
	return true
}

// checkFinal checks a final state. The lock is held.
func (w *world) checkFinal(j *job) {
	switch j.final {
	case "completed":
		for k := range max(1, j.Repeats) {
			for number, s := range j.Steps {
				for index := range s.Count {
					if !w.isDone(fmt.Sprintf("%s.%d.%d.%d", j.id, k, number, index), s) {
						w.breach("MIXED", "%s is shown as completed, and task %d.%d.%d has not ended done", j.id, k, number, index)
					}
				}
			}
		}
	case "cancelled":
		if !j.cancelled {
			w.breach("LOST", "%s is shown as cancelled, and nobody cancelled it", j.id)
		}
	case "failed":
		most := 0
		for task, h := range w.tasks {
			if strings.HasPrefix(task, j.id+".") {
				most = max(most, h.failures)
			}
		}
		if most < j.queue.attempts {
			w.breach("LOST", "%s is shown as failed; its tasks have ended failed %d times at most, and %d attempts are allowed",
				j.id, most, j.queue.attempts)
		}
	}
}
