package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

// taskSpec is what the chaos jobs hold in `spec`, by step.
type stepSpec struct {
	Count int     `json:"count"`
	MS    int     `json:"ms"`
	Fail  float64 `json:"fail"`
	Perp  bool    `json:"perp"`
	Gang  bool    `json:"gang"`
	Ck    bool    `json:"ck"`
	Label string  `json:"label"`
	CPU   int     `json:"cpu"`
	Mem   int     `json:"mem"`
	Anti  int     `json:"anti"`
	After []int   `json:"after"`
}
type jobSpec struct {
	ID      string     `json:"id"`
	Queue   string     `json:"queue"`
	Steps   []stepSpec `json:"steps"`
	Repeats int        `json:"repeats"`
	FirstAt int64      `json:"first"`
	Period  int        `json:"period"`
}

type cRun struct {
	task     string
	attempt  int
	job      *jobSpec
	step     *stepSpec
	prog     time.Duration
	ck       string
	began    time.Time
	stopAt   time.Time
	ganged   bool
	fails    bool
	finishIn time.Duration
}
type cEnd struct {
	n       int
	task    string
	attempt int
	how     string
	ck      string
}

type world struct {
	rec   *record
	mu    sync.Mutex
	jobs  map[string]*jobSpec
	specs map[string]string
	bad   []string
	// by task
	runs       map[string]map[*cMinion]*cRun
	done       map[string]bool // done end taken note of
	doneAny    map[string]bool
	failed     map[string]map[int]bool
	failedSeen map[string]map[int]bool
	cks        map[string]map[string]bool // task (or gang) -> checkpoints
	cancelAck  map[string]time.Time
	accepted   map[string]time.Time
	calmSince  time.Time
	starts     int
	ms         []*cMinion
	late       float64
	rnd        *rand.Rand
	kinds      map[string]int
	links      []*link
}

func (w *world) violate(f string, a ...any) {
	m := fmt.Sprintf(f, a...)
	w.bad = append(w.bad, m)
	w.rec.add("VIOLATION %s", m)
}

type cMinion struct {
	w        *world
	id       string
	addr     string
	up       bool
	born     time.Time
	cpu, mem int
	label    string
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*cRun // task/attempt
	high     map[string]int
	ends     []cEnd
	endN     int
	seq      int
	gen      int
	changed  chan struct{}
	draining bool
}

func (m *cMinion) clock() time.Duration { return time.Since(m.born) }

func (m *cMinion) reset() {
	m.up, m.draining = true, false
	m.gen++
	m.born = time.Now()
	m.fence, m.leaseEnd, m.endN = 0, 0, 0
	m.runs = map[string]*cRun{}
	m.high = map[string]int{}
	m.ends = nil
	m.changed = make(chan struct{})
}

func (m *cMinion) crash() {
	for _, r := range m.runs {
		delete(m.w.runs[r.task], m)
	}
	m.runs = map[string]*cRun{}
	m.up = false
	close(m.changed)
	m.changed = make(chan struct{})
}

func key(task string, attempt int) string { return task + "/" + strconv.Itoa(attempt) }

func (m *cMinion) end(r *cRun, how string) {
	w := m.w
	delete(m.runs, key(r.task, r.attempt))
	delete(w.runs[r.task], m)
	m.high[r.task] = max(m.high[r.task], r.attempt)
	ck := ""
	if r.step.Ck && how != "done" {
		ck = r.ck
	}
	m.endN++
	m.ends = append(m.ends, cEnd{m.endN, r.task, r.attempt, how, ck})
	w.rec.add("%s: end %s %d %s", m.id, r.task, r.attempt, how)
	switch how {
	case "done":
		w.doneAny[r.task] = true
		if r.step.Gang {
			p := strings.Split(r.task, ".")
			for i := range r.step.Count {
				w.doneAny[strings.Join(p[:3], ".")+"."+strconv.Itoa(i)] = true
			}
		}
	case "failed":
		if w.failed[r.task] == nil {
			w.failed[r.task] = map[int]bool{}
		}
		w.failed[r.task][r.attempt] = true
	case "alone":
		if _, c := w.cancelAck[r.job.ID]; !c && time.Since(w.calmSince) > 8*time.Second {
			w.violate("GANG alone %s %d", r.task, r.attempt)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// tick advances all runs of all minions.
func (w *world) tick(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.ms {
		if !m.up {
			continue
		}
		lapsed := m.clock() > m.leaseEnd
		for _, r := range m.runs {
			if m.runs[key(r.task, r.attempt)] != r {
				continue
			}
			if lapsed {
				m.end(r, "lapsed")
				w.breakGang(r)
				continue
			}
			if !r.stopAt.IsZero() && time.Now().After(r.stopAt) {
				m.end(r, "stopped")
				w.breakGang(r)
				continue
			}
			if r.step.Gang && !r.ganged {
				if w.gangComplete(r) {
					continue
				}
				if time.Since(r.began) > 3*time.Second {
					m.end(r, "alone")
					continue
				}
				continue
			}
			r.prog += d
			if r.step.Ck {
				if n := int(r.prog / time.Second); n > 0 {
					r.ck = fmt.Sprintf("%06d.%s", int(r.prog/time.Millisecond)/1000*1000, ckOwner(r))
					w.addCk(r)
				}
			}
			if r.step.Perp {
				if r.fails && r.prog > r.finishIn {
					m.end(r, "failed")
				}
				continue
			}
			if r.fails && r.prog > r.finishIn/2 {
				m.end(r, "failed")
				w.breakGang(r)
				continue
			}
			if r.prog > r.finishIn {
				if r.step.Gang {
					w.gangDone(r)
				} else {
					m.end(r, "done")
				}
			}
		}
	}
}

func group(task string) string { return task[:strings.LastIndex(task, ".")] }

func ckOwner(r *cRun) string {
	if r.step.Gang {
		return group(r.task)
	}
	return r.task
}

func (w *world) addCk(r *cRun) {
	o := ckOwner(r)
	if w.cks[o] == nil {
		w.cks[o] = map[string]bool{}
	}
	w.cks[o][r.ck] = true
}

func (w *world) gangRuns(r *cRun) map[*cMinion][]*cRun {
	found := map[*cMinion][]*cRun{}
	for _, m := range w.ms {
		for _, o := range m.runs {
			if group(o.task) == group(r.task) && o.attempt == r.attempt {
				found[m] = append(found[m], o)
			}
		}
	}
	return found
}

func (w *world) gangComplete(r *cRun) bool {
	n := 0
	rs := w.gangRuns(r)
	for _, l := range rs {
		n += len(l)
	}
	if n < r.step.Count {
		return false
	}
	for _, l := range rs {
		for _, o := range l {
			o.ganged = true
		}
	}
	return true
}

func (w *world) breakGang(r *cRun) {
	if !r.step.Gang || !r.ganged {
		return
	}
	for m, l := range w.gangRuns(r) {
		for _, o := range l {
			m.end(o, "broken")
		}
	}
}

func (w *world) gangDone(r *cRun) {
	for m, l := range w.gangRuns(r) {
		for _, o := range l {
			m.end(o, "done")
		}
	}
}

func rnd01(parts ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return float64(h.Sum64()%1000003) / 1000003
}

type cOrder struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	ExpiresMS  int64  `json:"expires_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
}

func (m *cMinion) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := m.w
	w.mu.Lock()
	if !m.up {
		w.mu.Unlock()
		drop(out)
		return
	}
	gen := m.gen
	w.mu.Unlock()
	if r.Header.Get("X-Expect-Instance") != m.id {
		out.WriteHeader(421)
		return
	}
	var in cOrder
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(400)
		return
	}
	w.mu.Lock()
	if !m.up || m.gen != gen {
		w.mu.Unlock()
		drop(out)
		return
	}
	var f func(cOrder) string
	switch r.URL.Path {
	case "/v1/run-start":
		f = m.start
	case "/v1/run-stop":
		f = m.stop
	case "/v1/pace":
		f = func(in cOrder) string { return m.fenced(in) }
	case "/v1/hold":
		m.hold(out, r, in, gen)
		return
	}
	if w.late > 0 && w.rnd.Float64() < w.late {
		time.AfterFunc(time.Duration(2000+w.rnd.Intn(10000))*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if m.up && m.gen == gen {
				f(in)
			}
		})
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		drop(out)
		return
	}
	reason := f(in)
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli()}
	w.mu.Unlock()
	status := 200
	if reason != "" {
		body["reason"] = reason
		status = 409
	}
	jsonReply(out, status, body)
}

func jsonReply(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func drop(out http.ResponseWriter) {
	if h, ok := out.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func (m *cMinion) fenced(in cOrder) string {
	if in.Fence < m.fence {
		return "fence"
	}
	m.fence = in.Fence
	return ""
}

func (m *cMinion) renew(ms int64) {
	e := min(time.Duration(ms)*time.Millisecond, m.clock()+6*time.Second)
	m.leaseEnd = max(m.leaseEnd, e)
}

func (m *cMinion) stop(in cOrder) string {
	if m.fenced(in) != "" {
		return "fence"
	}
	m.high[in.Task] = max(m.high[in.Task], in.Attempt)
	if r := m.runs[key(in.Task, in.Attempt)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(time.Duration(10+m.w.rnd.Intn(180)) * time.Millisecond)
	}
	return ""
}

func (m *cMinion) start(in cOrder) string {
	w := m.w
	if m.fenced(in) != "" {
		return "fence"
	}
	if time.Duration(in.ExpiresMS)*time.Millisecond < m.clock() {
		return "late"
	}
	m.renew(in.ExpiresMS)
	if m.runs[key(in.Task, in.Attempt)] != nil {
		return ""
	}
	if in.Attempt <= m.high[in.Task] {
		return "old"
	}
	p := strings.Split(in.Task, ".")
	job := w.jobs[p[0]]
	if job == nil || w.specs[p[0]] != in.Spec {
		w.violate("UNASKED start %s with another spec %q", in.Task, in.Spec)
		return "room"
	}
	k, _ := strconv.Atoi(p[1])
	si, _ := strconv.Atoi(p[2])
	ix, _ := strconv.Atoi(p[3])
	st := &job.Steps[si]
	if job.Queue == "adv" {
		q := strings.Split(in.Ticket, "|")
		ok := len(q) == 4 && q[0] == group(in.Task) && q[1] == m.id && q[2] == strconv.FormatInt(m.born.UnixMilli(), 10)
		if ok {
			exp, _ := strconv.ParseInt(q[3], 10, 64)
			ok = time.Now().UnixMilli() < exp
		}
		if !ok {
			return "ticket"
		}
	}
	if ix >= st.Count || k >= max(1, job.Repeats) {
		w.violate("UNASKED start %s", in.Task)
	}
	// checks
	w.starts++
	for o := range w.runs[in.Task] {
		w.violate("TWICE %s %d on %s while on %s", in.Task, in.Attempt, m.id, o.id)
	}
	if w.done[in.Task] {
		w.violate("TWICE %s %d on %s after done was taken note of", in.Task, in.Attempt, m.id)
	}
	if n := len(w.failedSeen[in.Task]); n >= 3 && !st.Perp {
		w.violate("BUDGET %s %d after %d failures", in.Task, in.Attempt, n)
	}
	for _, a := range st.After {
		for i := range job.Steps[a].Count {
			if !w.doneAny[fmt.Sprintf("%s.%d.%d.%d", p[0], k, a, i)] {
				w.violate("ORDER %s before %d.%d", in.Task, a, i)
			}
		}
	}
	if job.Repeats > 0 {
		due := time.UnixMilli(job.FirstAt + int64(k)*int64(job.Period))
		if time.Now().Add(250 * time.Millisecond).Before(due) {
			w.violate("ORDER %s %s early", in.Task, time.Until(due))
		}
	}
	if st.Label != "" && st.Label != m.label {
		w.violate("ROUTE %s needs label %s on %s with %s", in.Task, st.Label, m.id, m.label)
	}
	cpu, mem, same := st.CPU, st.Mem, 0
	for _, r := range m.runs {
		cpu += r.step.CPU
		mem += r.step.Mem
		if group(r.task) == group(in.Task) {
			same++
		}
	}
	if cpu > m.cpu || mem > m.mem {
		w.violate("LIMIT %s on %s: cpu %d of %d, mem %d of %d", in.Task, m.id, cpu, m.cpu, mem, m.mem)
	}
	if st.Anti > 0 && same >= st.Anti {
		w.violate("ROUTE anti-affinity %s on %s: %d beside", in.Task, m.id, same)
	}
	if at, ok := w.cancelAck[job.ID]; ok && time.Since(at) > 3*time.Second {
		w.violate("UNASKED start %s %s after the cancel was acknowledged", in.Task, time.Since(at))
	}
	r := &cRun{task: in.Task, attempt: in.Attempt, job: job, step: st, began: time.Now(), ck: in.Checkpoint}
	r.finishIn = time.Duration(st.MS) * time.Millisecond
	if st.Gang {
		r.fails = rnd01(group(in.Task), in.Attempt, ix) < st.Fail/float64(st.Count)
	} else {
		r.fails = rnd01(in.Task, in.Attempt) < st.Fail
	}
	if in.Checkpoint != "" {
		if !w.cks[ckOwner(r)][in.Checkpoint] {
			w.violate("UNASKED %s with checkpoint %q of another", in.Task, in.Checkpoint)
		}
		n, _ := strconv.Atoi(strings.Split(in.Checkpoint, ".")[0])
		r.prog = time.Duration(n) * time.Millisecond
	}
	m.runs[key(in.Task, in.Attempt)] = r
	if w.runs[in.Task] == nil {
		w.runs[in.Task] = map[*cMinion]*cRun{}
	}
	w.runs[in.Task][m] = r
	w.rec.add("%s: start %s %d ck %q", m.id, in.Task, in.Attempt, in.Checkpoint)
	return ""
}

// hold is called with the lock.
func (m *cMinion) hold(out http.ResponseWriter, r *http.Request, in cOrder, gen int) {
	w := m.w
	if m.fenced(in) != "" {
		body := map[string]any{"clock_ms": m.clock().Milliseconds(), "reason": "fence"}
		w.mu.Unlock()
		jsonReply(out, 409, body)
		return
	}
	if in.ExpiresMS > 0 {
		m.renew(in.ExpiresMS)
	}
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.n > in.LastSeen {
			kept = append(kept, e)
			continue
		}
		p := strings.Split(e.task, ".")
		si, _ := strconv.Atoi(p[2])
		st := w.jobs[p[0]].Steps[si]
		switch e.how {
		case "done":
			w.done[e.task] = true
			if st.Gang {
				for i := range st.Count {
					w.done[group(e.task)+"."+strconv.Itoa(i)] = true
				}
			}
		case "failed":
			for i := range st.Count {
				t := group(e.task) + "." + strconv.Itoa(i)
				if !st.Gang && t != e.task {
					continue
				}
				if w.failedSeen[t] == nil {
					w.failedSeen[t] = map[int]bool{}
				}
				w.failedSeen[t][e.attempt] = true
			}
		}
	}
	m.ends = kept
	changed := m.changed
	pending := len(m.ends)
	w.mu.Unlock()
	if pending == 0 && in.WaitMS > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(in.WaitMS) * time.Millisecond):
		}
	}
	w.mu.Lock()
	if !m.up || m.gen != gen {
		w.mu.Unlock()
		drop(out)
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		pc := 100
		if r.step.Gang && !r.ganged {
			pc = 0
		} else if !r.step.Perp {
			pc = int(100 * r.prog / max(1, r.finishIn))
		}
		running = append(running, []any{r.task, r.attempt, r.ck, min(100, pc), 1})
	}
	for _, e := range m.ends {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, e.ck})
	}
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	jsonReply(out, 200, body)
}

func (m *cMinion) entry() []byte {
	m.seq++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	e := map[string]any{"service": service, "addr": m.addr, "zone": "zone0", "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpus": 0}, "labels": []string{m.label, "r1-" + m.id[1:2]}, "remaining_ms": 2000,
		"born": m.born.UnixMilli(), "seq": m.seq, "cold_left_ms": 0}
	d, _ := json.Marshal(e)
	return d
}

func (m *cMinion) beat(s *site, first time.Duration) {
	time.Sleep(first)
	for {
		m.w.mu.Lock()
		if m.up {
			s.store.Put(aqfake.WorkerKey(m.id), m.entry())
		}
		m.w.mu.Unlock()
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// chaos plays random jobs and faults.
func chaos(rec *record, trouble bool) int {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	only := os.Getenv("FAULTS")
	rg := rand.New(rand.NewSource(seed))
	w := &world{rec: rec, jobs: map[string]*jobSpec{}, specs: map[string]string{}, runs: map[string]map[*cMinion]*cRun{},
		done: map[string]bool{}, doneAny: map[string]bool{}, failed: map[string]map[int]bool{}, failedSeen: map[string]map[int]bool{},
		cks: map[string]map[string]bool{}, cancelAck: map[string]time.Time{}, accepted: map[string]time.Time{},
		rnd: rand.New(rand.NewSource(seed + 7)), calmSince: time.Now().Add(-time.Hour)}
	s, err := newSite(rec, 0, 0, nil)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun
	}
	adv, err := s.serve(http.HandlerFunc(w.advise))
	if err != nil {
		return notRun
	}
	s.advice = adv
	route := func(name, prefix string, pr int) map[string]any {
		return map[string]any{"name": name, "host": queueHost, "prefix": prefix, "service": service, "priority": pr, "max_attempts": 3, "stretch": 2.0, "target_duration_ms": 1000}
	}
	a := route("adv", "/adv/", 1)
	a["advice"] = map[string]any{"decide_ms": 20, "interval_ms": 1, "valid_ms": 3000}
	cfg, _ := json.Marshal(map[string]any{"version": 2, "routes": []any{route("work", "/work/", 0), a},
		"services": []any{map[string]any{"name": service, "rejects_overload": false}}, "limits": map[string]any{"max_body_bytes": 262144}})
	s.store.Put(aqfake.ConfigKey, cfg)
	for i := range 10 {
		m := &cMinion{w: w, id: fmt.Sprintf("m%d", i), cpu: 16000, mem: 64000, label: []string{"a", "b"}[i%2]}
		m.reset()
		if m.addr, err = s.serve(m); err != nil {
			return notRun
		}
		l, err := newLink(m.addr)
		if err != nil {
			return notRun
		}
		m.addr = l.address()
		w.links = append(w.links, l)
		w.ms = append(w.ms, m)
		go m.beat(s, 0)
	}
	for i := range 4 {
		l, err := newLink(s.address)
		if err != nil {
			return notRun
		}
		w.links = append(w.links, l)
		real := s.address
		s.address = l.address()
		n, err := s.newNode(i)
		s.address = real
		if err != nil {
			return notRun
		}
		s.nodes = append(s.nodes, n)
		_ = n.start()
	}
	go func() {
		last := time.Now()
		for {
			time.Sleep(10 * time.Millisecond)
			now := time.Now()
			w.tick(now.Sub(last))
			last = now
		}
	}()
	if !s.awaitReady() {
		return notRun
	}
	stopAt := time.Now().Add(35 * time.Second)
	var wg sync.WaitGroup
	var faulting sync.WaitGroup
	if trouble {
		for i := range 2 {
			faulting.Add(1)
			go func() {
				defer faulting.Done()
				w.faults(s, rand.New(rand.NewSource(seed+99+int64(i)*1000)), stopAt, only)
			}()
		}
	}
	for n := 0; time.Now().Before(stopAt); n++ {
		id := fmt.Sprintf("%08x%08x", seed&0xffffff, n)
		j := w.draw(rg, id)
		body := w.body(j)
		cancelAfter := time.Duration(0)
		if rg.Float64() < 0.1 || j.Steps[0].Perp {
			cancelAfter = time.Duration(500+rg.Intn(12000)) * time.Millisecond
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.submitter(s, j, body, cancelAfter, rand.New(rand.NewSource(seed*1000+int64(n))))
		}()
		time.Sleep(time.Duration(60+rg.Intn(200)) * time.Millisecond)
	}
	faulting.Wait()
	wg.Wait()
	// wait for final states
	quietBy := time.Now().Add(30 * time.Second)
	for id := range w.accepted {
		j := w.jobs[id]
		for {
			st := w.state(s, j)
			if st == "completed" || st == "failed" || st == "cancelled" || st == "gone" {
				w.final(j, st)
				break
			}
			if time.Now().After(quietBy) {
				w.mu.Lock()
				w.violate("LOST %s is %q at the end: %s", id, st, w.specs[id])
				w.mu.Unlock()
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	rec.add("starts %d, jobs %d, bad %d", w.starts, len(w.accepted), len(w.bad))
	if len(w.bad) > 0 {
		return broken
	}
	return held
}

func (w *world) final(j *jobSpec, st string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, cancelled := w.cancelAck[j.ID]
	switch st {
	case "gone":
		w.violate("LOST %s is gone", j.ID)
	case "cancelled":
		if !cancelled && w.kinds["c"+j.ID] == 0 {
			w.violate("LOST %s cancelled by nobody", j.ID)
		}
	case "failed":
		ok := false
		for t, f := range w.failed {
			if strings.HasPrefix(t, j.ID) {
				p := strings.Split(t, ".")
				si, _ := strconv.Atoi(p[2])
				n := map[int]bool{}
				if j.Steps[si].Gang {
					for t2, f2 := range w.failed {
						if group(t2) == group(t) {
							for a := range f2 {
								n[a] = true
							}
						}
					}
				} else {
					n = f
				}
				ok = ok || len(n) >= 3
			}
		}
		if !ok {
			w.violate("LOST %s failed without cause", j.ID)
		}
	case "completed":
		for k := range max(1, j.Repeats) {
			for si, stp := range j.Steps {
				for i := range stp.Count {
					if stp.Perp || !w.doneAny[fmt.Sprintf("%s.%d.%d.%d", j.ID, k, si, i)] {
						w.violate("MIXED %s completed without %d.%d.%d", j.ID, k, si, i)
					}
				}
			}
		}
	}
}

func (w *world) state(s *site, j *jobSpec) string {
	for _, n := range s.nodes {
		status, text := s.callQueue(n, http.MethodGet, j.Queue, j.ID, nil)
		if status == 410 {
			return "gone"
		}
		var a struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &a) == nil {
			return a.State
		}
	}
	return ""
}

func (w *world) submitter(s *site, j *jobSpec, body any, cancelAfter time.Duration, rg *rand.Rand) {
	deadline := time.Now().Add(15 * time.Second)
	ok := false
	for time.Now().Before(deadline) {
		n := s.nodes[rg.Intn(len(s.nodes))]
		st, _ := s.callQueue(n, http.MethodPost, j.Queue, j.ID, body)
		if st == 200 {
			ok = true
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	if !ok {
		return
	}
	w.mu.Lock()
	w.accepted[j.ID] = time.Now()
	w.mu.Unlock()
	if cancelAfter == 0 {
		return
	}
	time.Sleep(cancelAfter)
	for range 60 {
		w.mu.Lock()
		if w.kinds == nil {
			w.kinds = map[string]int{}
		}
		w.kinds["c"+j.ID] = 1
		w.mu.Unlock()
		n := s.nodes[rg.Intn(len(s.nodes))]
		st, _ := s.callQueue(n, http.MethodDelete, j.Queue, j.ID, nil)
		if st == 200 || st == 410 {
			w.mu.Lock()
			w.cancelAck[j.ID] = time.Now()
			if st == 410 {
				w.violate("LOST DELETE of accepted %s: 410", j.ID)
			}
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (w *world) draw(rg *rand.Rand, id string) *jobSpec {
	j := &jobSpec{ID: id, Queue: "work"}
	if rg.Float64() < 0.2 {
		j.Queue = "adv"
	}
	switch x := rg.Float64(); {
	case x < 0.12:
		j.Steps = []stepSpec{{Count: 1 + rg.Intn(3), MS: 300 + rg.Intn(3000), Perp: true, CPU: 1000 + rg.Intn(3000), Mem: 1000, Fail: 0.3}}
		if rg.Float64() < 0.4 {
			j.Steps[0].Anti = 1
		}
	case x < 0.35:
		j.Steps = []stepSpec{{Count: 2 + rg.Intn(3), MS: 300 + rg.Intn(3000), Gang: true, Ck: rg.Float64() < 0.5, CPU: 1000 + rg.Intn(4000), Mem: 1000, Fail: 0.2}}
		if rg.Float64() < 0.3 {
			j.Steps[0].Anti = 1
		}
		if rg.Float64() < 0.5 {
			j.Steps = append(j.Steps, stepSpec{Count: 1 + rg.Intn(3), MS: 100 + rg.Intn(500), CPU: 1000, Mem: 500, After: []int{0}})
		}
	default:
		n := 1 + rg.Intn(3)
		for i := range n {
			st := stepSpec{Count: 1 + rg.Intn(4), MS: 50 + rg.Intn(2500), Ck: rg.Float64() < 0.4, CPU: 500 + rg.Intn(4000), Mem: 500 + rg.Intn(3000), Fail: 0.1}
			if i > 0 {
				st.After = []int{rg.Intn(i)}
			}
			if rg.Float64() < 0.2 {
				st.Anti = 1 + rg.Intn(2)
			}
			if rg.Float64() < 0.25 {
				st.Label = []string{"a", "b"}[rg.Intn(2)]
			}
			j.Steps = append(j.Steps, st)
		}
		if rg.Float64() < 0.25 {
			j.Repeats = 1 + rg.Intn(4)
			j.FirstAt = time.Now().UnixMilli() + int64(rg.Intn(3000))
			j.Period = 300 + rg.Intn(2500)
		}
	}
	return j
}

func (w *world) body(j *jobSpec) any {
	d, _ := json.Marshal(j)
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.specs[j.ID] = string(d)
	w.mu.Unlock()
	steps := []map[string]any{}
	for _, st := range j.Steps {
		x := map[string]any{"count": st.Count, "cpu": st.CPU, "mem_mb": st.Mem, "estimate_ms": st.MS}
		if st.Perp {
			x["perpetual"] = true
		}
		if st.Gang {
			x["gang"] = true
		}
		if st.Ck {
			x["checkpointing"] = true
		}
		if st.Label != "" {
			x["constraints"] = st.Label
		}
		if st.Anti > 0 {
			x["anti_affinity"] = st.Anti
		}
		if len(st.After) > 0 {
			x["after"] = st.After
		}
		steps = append(steps, x)
	}
	b := map[string]any{"spec": string(d), "steps": steps}
	if j.Repeats > 0 {
		b["repeats"], b["start_at_ms"], b["period_ms"] = j.Repeats, j.FirstAt, j.Period
	}
	return b
}

func (w *world) advise(out http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(400)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(in.Workers))*time.Millisecond)
	good := [][]string{}
	w.mu.Lock()
	for _, id := range in.Workers {
		for _, m := range w.ms {
			if m.id == id && rnd01(in.Step, id) < 0.7 {
				good = append(good, []string{id, fmt.Sprintf("%s|%s|%d|%d", in.Step, id, m.born.UnixMilli(), time.Now().Add(3*time.Second).UnixMilli())})
			}
		}
	}
	w.mu.Unlock()
	jsonReply(out, 200, map[string]any{"good": good, "valid_ms": 3000})
}

func (w *world) faults(s *site, rg *rand.Rand, stopAt time.Time, only string) {
	mark := func() { w.mu.Lock(); w.calmSince = time.Now(); w.mu.Unlock() }
	all := []string{"kill", "killleader", "freeze", "freezeleader", "mcrash", "mcrash", "storedown", "storeslow", "storelost", "storelate", "stall", "compact", "late", "term", "drain", "mcrash", "killleader", "silent"}
	if only != "" {
		all = strings.Split(only, ",")
	}
	for time.Now().Before(stopAt) {
		time.Sleep(time.Duration(500+rg.Intn(2500)) * time.Millisecond)
		kind := all[rg.Intn(len(all))]
		w.rec.add("FAULT %s", kind)
		mark()
		n := s.nodes[rg.Intn(len(s.nodes))]
		if strings.HasSuffix(kind, "leader") {
			if l := s.leader(); l != nil {
				n = l
			}
		}
		back := time.Duration(200+rg.Intn(3000)) * time.Millisecond
		switch kind {
		case "kill", "killleader":
			n.busy.Lock()
			n.kill()
			time.Sleep(back)
			_ = n.start()
			n.busy.Unlock()
		case "term":
			n.busy.Lock()
			n.signal(syscall.SIGTERM)
			<-n.exited
			_ = n.start()
			n.busy.Unlock()
		case "drain":
			m := w.ms[rg.Intn(len(w.ms))]
			w.mu.Lock()
			if m.up && !m.draining {
				m.draining = true
				s.store.Put(aqfake.WorkerKey(m.id), m.entry())
				w.rec.add("%s drains", m.id)
				time.AfterFunc(2500*time.Millisecond, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					if !m.up || !m.draining {
						return
					}
					m.crash()
					s.store.Remove(aqfake.WorkerKey(m.id))
					w.rec.add("%s has left", m.id)
					time.AfterFunc(3*time.Second, func() {
						w.mu.Lock()
						defer w.mu.Unlock()
						m.reset()
						s.store.Put(aqfake.WorkerKey(m.id), m.entry())
						w.rec.add("%s is new", m.id)
					})
				})
			}
			w.mu.Unlock()
		case "freeze", "freezeleader":
			n.busy.Lock()
			n.signal(syscall.SIGSTOP)
			time.Sleep(500*time.Millisecond + back)
			n.signal(syscall.SIGCONT)
			n.busy.Unlock()
		case "mcrash":
			for range 1 + rg.Intn(2) {
				m := w.ms[rg.Intn(len(w.ms))]
				w.mu.Lock()
				if m.up {
					w.rec.add("%s crashes", m.id)
					m.crash()
					gone := back + time.Duration(rg.Intn(6000))*time.Millisecond
					time.AfterFunc(gone, func() { w.mu.Lock(); m.reset(); w.rec.add("%s up", m.id); w.calmSince = time.Now(); w.mu.Unlock() })
				}
				w.mu.Unlock()
			}
		case "storedown":
			s.store.SetFaults(aqfake.StoreFaults{Down: true})
			time.Sleep(back)
		case "storeslow":
			s.store.SetFaults(aqfake.StoreFaults{Delay: 200 * time.Millisecond})
			time.Sleep(back)
		case "storelost":
			s.store.SetFaults(aqfake.StoreFaults{LostAnswerRate: 0.35})
			time.Sleep(back)
		case "storelate":
			s.store.SetFaults(aqfake.StoreFaults{LateRate: 0.35})
			time.Sleep(back)
		case "stall":
			s.store.SetFaults(aqfake.StoreFaults{StallWatches: true})
			time.Sleep(time.Second)
			s.store.Compact()
		case "compact":
			s.store.Compact()
		case "silent":
			for _, l := range w.links {
				l.silence()
			}
		case "mkind":
			m := w.ms[rg.Intn(len(w.ms))]
			w.mu.Lock()
			if m.up {
				w.rec.add("%s crashes, changes kind", m.id)
				m.crash()
				time.AfterFunc(back, func() {
					w.mu.Lock()
					m.label = map[string]string{"a": "b", "b": "a"}[m.label]
					m.cpu = []int{8000, 16000}[rg.Intn(2)]
					m.reset()
					w.rec.add("%s up as %s %d", m.id, m.label, m.cpu)
					w.mu.Unlock()
				})
			}
			w.mu.Unlock()
		case "late":
			w.mu.Lock()
			w.late = 0.06
			w.mu.Unlock()
			time.Sleep(back)
			w.mu.Lock()
			w.late = 0
			w.mu.Unlock()
		}
		s.store.SetFaults(aqfake.StoreFaults{})
		mark()
	}
}
