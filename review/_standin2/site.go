package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/platform/aqfake"
)

// node is one process of the site.
type node struct {
	name, settings, log string
	// front, ready, peer and metrics are the addresses of the process.
	front, ready, peer, metrics string
	link                        *aqsoak.Proxy
	store                       *storeFront
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	exited                      chan struct{}
	// gone is set once the process must not be started again.
	gone bool
}

// site is a small deployment.
type site struct {
	*world
	dir, program string
	store        *aqfake.Store
	nodes        []*node
	links        map[*worker]*aqsoak.Proxy
	client       *http.Client
	done         chan struct{}
	version      int
}

// siteAddress is the loopback address of this site's processes, another one for each run.
var siteAddress = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// freeAddress returns a free loopback address with a port below those that the system gives to
// outgoing connections, so that it stays free while a process is restarted.
func freeAddress() string {
	const lowest, number = 11000, 20000
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", siteAddress, lowest+rand.Intn(number)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func newSite(w *world, program string, nodes, workers int, cpu, seed int64) (*site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{world: w, dir: dir, program: program, links: map[*worker]*aqsoak.Proxy{}, done: make(chan struct{})}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	s.store = aqfake.NewStore(seed, s.done)
	s.configure()
	for i := range workers {
		k := newWorker(w, fmt.Sprintf("i-%02d", i), cpu, seed+int64(i))
		link, err := aqsoak.NewProxy(serve(k))
		if err != nil {
			return nil, err
		}
		s.links[k] = link
		s.list(k)
	}
	go s.advance()
	for i := range nodes {
		if err := s.addNode(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) advance() {
	last := time.Now()
	for {
		select {
		case <-s.done:
			return
		case <-time.After(time.Until(last.Add(tick))):
		}
		s.mu.Lock()
		for now := time.Now(); !last.Add(tick).After(now); last = last.Add(tick) {
			for _, k := range s.workers {
				k.advance()
			}
		}
		s.mu.Unlock()
	}
}

// list writes a worker's entry into service discovery.
func (s *site) list(k *worker) { s.listAt(k, s.links[k].Address()) }

// listAt writes a worker's entry with an address.
func (s *site) listAt(k *worker, address string) {
	s.store.Put(aqfake.WorkerKey(k.id), k.entry(address))
}

// heartbeatInterval is how often a worker writes its entry; it is removed after three of silence.
const heartbeatInterval = 1500 * time.Millisecond

// crash takes a worker down. Its entry is removed after three heartbeat intervals.
func (s *site) crash(k *worker, down time.Duration) {
	s.mu.Lock()
	k.crash()
	born := k.born
	s.mu.Unlock()
	s.links[k].Reset()
	time.AfterFunc(3*heartbeatInterval, func() {
		s.mu.Lock()
		gone := k.down && k.born == born
		s.mu.Unlock()
		if gone {
			s.store.Remove(aqfake.WorkerKey(k.id))
		}
	})
	time.AfterFunc(down, func() {
		s.mu.Lock()
		k.reset()
		s.note("%s starts again", k.id)
		s.mu.Unlock()
		s.list(k)
	})
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version += 3
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "prefix": prefix, "service": service, "priority": 0,
			"max_attempts": maxAttempts, "stretch": 2.0, "target_duration_ms": 1000,
		}},
		"services": []map[string]any{{"name": service, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(aqfake.ConfigKey, value)
}

func (s *site) addNode(i int) error {
	_, err := s.addNodeAt(fmt.Sprintf("front-%d", i), &node{
		front: freeAddress(), ready: freeAddress(), peer: freeAddress(), metrics: freeAddress(),
	})
	return err
}

// addNodeAt adds a process at the addresses of another, which does not run.
func (s *site) addNodeAt(name string, at *node) (*node, error) {
	n := &node{name: name, front: at.front, ready: at.ready, peer: at.peer, metrics: at.metrics}
	n.store = &storeFront{site: s, node: n.name}
	link, err := aqsoak.NewProxy(serve(n.store))
	if err != nil {
		return nil, err
	}
	n.link = link
	n.settings = filepath.Join(s.dir, n.name+".ini")
	n.log = filepath.Join(s.dir, n.name+".log")
	text := fmt.Sprintf(`[Site]
Name = %s
Zone = zone%d
FrontAddress = %s
ReadyAddress = %s
PeerAddress = %s
MetricsAddress = %s
Store = %s
Processors = 0.16

[Bounds]
LeaseMax = 10000ms
StopGrace = 200ms
PaceDelay = 100ms
StopLimit = 6s
Retention = 120s
`, n.name, len(s.nodes)%2, n.front, n.ready, n.peer, n.metrics, link.Address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, n.start(s.program)
}

// replaceNode puts a new process at other addresses in the place of one that is gone.
func (s *site) replaceNode(gone *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone.leave()
	for i, n := range s.nodes {
		if n == gone {
			if err := s.addNode(len(s.links) + int(time.Now().UnixMilli()%100000)); err != nil {
				panic(err)
			}
			last := len(s.nodes) - 1
			s.nodes[i] = s.nodes[last]
			s.nodes = s.nodes[:last]
			return
		}
	}
}

func (n *node) start(program string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.gone {
		return nil
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "site")
	cmd.Env = append(os.Environ(), "ACACIAQUAY_NODE_FILE="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.cmd = nil
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	_ = n.cmd.Process.Signal(sig)
	return n.exited
}

// leave makes sure that the process is not started again.
func (n *node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = true
}

// close ends all processes and stand-ins.
func (s *site) close() {
	s.kill()
	close(s.done)
}

// kill ends all processes.
func (s *site) kill() {
	for _, n := range s.nodes {
		n.leave()
		n.signal(syscall.SIGCONT)
		if exited := n.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
}

const (
	host   = "queue.example"
	prefix = "/editions/"
	// service is that of all workers.
	service = "pool"
)

// call makes one call of a submitter.
func (s *site) call(n *node, method, id string, body []byte) (int, []byte) {
	const deadline = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(r)
	if err != nil {
		s.log("%s %s at %s: %v", method, id, n.name, err)
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	s.log("%s %s at %s: %d %s", method, id, n.name, answer.StatusCode, bytes.TrimSpace(data))
	return answer.StatusCode, data
}

func (j *job) body() []byte {
	var steps []map[string]any
	for _, s := range j.steps {
		m := map[string]any{"count": s.count, "cpu": s.milliCPU, "mem_mb": 10, "estimate_ms": s.work.Milliseconds()}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		for name, set := range map[string]bool{"gang": s.gang, "perpetual": s.perpetual, "checkpointing": s.checkpointing} {
			if set {
				m[name] = true
			}
		}
		steps = append(steps, m)
	}
	body := map[string]any{"spec": j.spec, "steps": steps}
	if j.repeats > 0 {
		body["repeats"], body["start_at_ms"], body["period_ms"] = j.repeats, j.startAt.UnixMilli(), j.period.Milliseconds()
	}
	data, _ := json.Marshal(body)
	return data
}

// submit hands a job in, with up to four retries.
func (s *site) submit(j *job, first int) bool {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	for try := range 5 {
		status, _ := s.call(s.nodes[(first+try)%len(s.nodes)], http.MethodPost, j.id, j.body())
		s.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			j.accepted = true
		case status != 503 && status != 429 && status != 404:
			j.uncertain = true
		}
		accepted := j.accepted
		s.mu.Unlock()
		if accepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// followers returns some processes that do not lead.
func (s *site) followers(number int) []*node {
	first := s.follower()
	var found []*node
	for i := range s.nodes {
		n := s.nodes[(first+i)%len(s.nodes)]
		if len(found) < number && !s.leads(n) {
			found = append(found, n)
		}
	}
	return found
}

// submitAt hands a job in at processes that are not gone.
func (s *site) submitAt(j *job, entry, gone []*node) {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	for try := range 5 {
		n := entry[try%len(entry)]
		if slices.Contains(gone, n) {
			continue
		}
		status, _ := s.call(n, http.MethodPost, j.id, j.body())
		s.mu.Lock()
		j.accepted = j.accepted || status == http.StatusOK
		j.uncertain = j.uncertain || status == 0 || status >= 500 && status != http.StatusServiceUnavailable
		accepted := j.accepted
		s.mu.Unlock()
		if accepted {
			return
		}
	}
}

// checkJobs checks that accepted jobs have been completed.
func (s *site) checkJobs(jobs []*job, entry, gone []*node) {
	for _, j := range jobs {
		for _, n := range entry {
			if !j.accepted || slices.Contains(gone, n) {
				continue
			}
			if state, status := s.state(n, j.id); state != "completed" {
				s.mu.Lock()
				s.broken("LOST %s is %q, status %d, at the end", j.id, state, status)
				s.mu.Unlock()
			}
			break
		}
	}
}

// leads reports whether the lead key names a process.
func (s *site) leads(n *node) bool {
	result := httptest.NewRecorder()
	s.store.ServeHTTP(result, httptest.NewRequest(http.MethodGet, "/v1/kv-key?key=acaciaquay/in/lead", nil))
	var item struct {
		Value []byte `json:"value"`
	}
	_ = json.Unmarshal(result.Body.Bytes(), &item)
	return bytes.Contains(item.Value, []byte(n.name))
}

// follower returns the index of a process that does not lead, by the lead key in the store.
func (s *site) follower() int {
	for i, n := range s.nodes {
		if !s.leads(n) {
			return i
		}
	}
	return 0
}

// state asks for the state of a job.
func (s *site) state(n *node, id string) (string, int) {
	status, data := s.call(n, http.MethodGet, id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	return answer.State, status
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }
