package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

// Figures of the deployment, as in the site files of sites/.
const (
	heartbeat = 1100 * time.Millisecond
	workerCPU = 64000
	workerMem = 256000
	queueHost = "queue.example"
	prefix    = "/jobs/"
	service   = "pool"
)

// site is the platform with its workers, and the processes of the site.
type site struct {
	record  *record
	dir     string
	done    chan struct{}
	store   *aqfake.Store
	address string
	nodes   []*node
	minions []*minion
	servers []*http.Server
	client  *http.Client

	// work decides how a run goes; the default ends as done at once.
	work func(worker string, run aqfake.TaskRun) aqfake.Work

	mu sync.Mutex
	// running maps a task to the workers that run it.
	running map[string]map[string]int
	starts  []start
	ends    []end
	// noted holds the tasks with an end done that is taken note of.
	noted map[string]bool
}

type start struct {
	at      time.Time
	worker  string
	task    string
	attempt int
}

type end struct {
	at      time.Time
	worker  string
	task    string
	attempt int
	how     string
}

// Started implements aqfake.Observer.
func (s *site) Started(worker string, run aqfake.TaskRun, _, checkpoint string) aqfake.Work {
	s.record.add("minion %s: starts %s attempt %d checkpoint %q", worker, run.Task, run.Attempt, checkpoint)
	s.mu.Lock()
	if s.running[run.Task] == nil {
		s.running[run.Task] = map[string]int{}
	}
	s.running[run.Task][worker] = run.Attempt
	s.starts = append(s.starts, start{at: time.Now(), worker: worker, task: run.Task, attempt: run.Attempt})
	s.mu.Unlock()
	return s.work(worker, run)
}

// Ended implements aqfake.Observer.
func (s *site) Ended(worker string, run aqfake.TaskRun, reason string) {
	s.record.add("minion %s: %s attempt %d ends: %s", worker, run.Task, run.Attempt, reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[run.Task], worker)
	s.ends = append(s.ends, end{at: time.Now(), worker: worker, task: run.Task, attempt: run.Attempt, how: reason})
}

// Acknowledged implements aqfake.Observer.
func (s *site) Acknowledged(worker string, run aqfake.TaskRun, reason string) {
	s.record.add("minion %s: last_seen covers the end %s of %s attempt %d", worker, reason, run.Task, run.Attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted[run.Task] = s.noted[run.Task] || reason == "done"
}

// startsOf returns the starts of a task.
func (s *site) startsOf(task string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []start
	for _, each := range s.starts {
		if each.task == task {
			found = append(found, each)
		}
	}
	return found
}

// endsOf returns the ends of a task's runs.
func (s *site) endsOf(task string) []end {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []end
	for _, each := range s.ends {
		if each.task == task {
			found = append(found, each)
		}
	}
	return found
}

// taken reports whether an end done of a task is taken note of.
func (s *site) taken(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noted[task]
}

// runs returns how many runs a task has now.
func (s *site) runs(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running[task])
}

// minion is a worker with its entry in service discovery.
type minion struct {
	worker  *aqfake.Worker
	address string
	labels  []string

	mu   sync.Mutex
	seq  int
	down bool
}

func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func newSite(rec *record, minions, nodes int, labels func(int) []string) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		record:  rec,
		dir:     dir,
		done:    make(chan struct{}),
		running: map[string]map[string]int{},
		noted:   map[string]bool{},
		client:  &http.Client{Timeout: 3 * time.Second},
		work:    func(string, aqfake.TaskRun) aqfake.Work { return aqfake.Work{} },
	}
	s.store = aqfake.NewStore(1, s.done)
	if s.address, err = s.serve(s.store); err != nil {
		return s, err
	}
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "queue", "host": queueHost, "prefix": prefix, "service": service, "priority": 0,
			"max_attempts": 3, "stretch": 2.0, "target_duration_ms": 1000,
		}},
		"services": []map[string]any{{"name": service, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return s, err
	}
	s.store.Put(aqfake.ConfigKey, config)
	for i := range minions {
		w := aqfake.NewWorker(fmt.Sprintf("m%d", i), workerCPU, int64(i), s, s.done)
		address, err := s.serve(w)
		if err != nil {
			return s, err
		}
		m := &minion{worker: w, address: address, labels: labels(i)}
		s.minions = append(s.minions, m)
		s.register(m)
		go s.keepRegistered(m)
	}
	for i := range nodes {
		n, err := s.newNode(i)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// register writes the entry of a minion that is up.
func (s *site) register(m *minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	m.seq++
	var entry map[string]any
	if err := json.Unmarshal(m.worker.Entry(service, m.address, "zone0"), &entry); err != nil {
		panic(err)
	}
	entry["labels"] = m.labels
	entry["capacity"] = map[string]any{"cpu": workerCPU, "mem_mb": workerMem, "gpus": 0}
	entry["seq"] = m.seq
	delete(entry, "remaining_ms")
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.Put(aqfake.WorkerKey(m.worker.ID), value)
}

func (s *site) keepRegistered(m *minion) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
			s.register(m)
		}
	}
}

// crash ends everything that the minion runs, and closes its connections.
func (s *site) crash(m *minion) {
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	s.record.add("minion %s crashes", m.worker.ID)
	m.worker.Crash()
}

// restart starts the minion again under its id.
func (s *site) restart(m *minion) {
	m.worker.Restart()
	m.mu.Lock()
	m.down = false
	m.mu.Unlock()
	s.record.add("minion %s is up again", m.worker.ID)
	s.register(m)
}

// node is one process of the system.
type node struct {
	site     *site
	name     string
	front    string
	ready    string
	settings string
	log      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freeAddress returns a free address below the ports that the system gives to connections.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

func (s *site) newNode(number int) (*node, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n := &node{
		site:  s,
		name:  fmt.Sprintf("node%d", number),
		front: addresses[0],
		ready: addresses[1],
	}
	n.settings = filepath.Join(s.dir, n.name+".ini")
	n.log = filepath.Join(s.dir, n.name+".log")
	text := fmt.Sprintf(`[Site]
Name = %s
Zone = zone0
FrontAddress = %s
ReadyAddress = %s
PeerAddress = %s
MetricsAddress = %s
Store = %s
Advice =
Processors = 0.4

[Bounds]
LeaseMax = 6000ms
StopGrace = 200ms
PaceDelay = 100ms
StopLimit = 6s
Retention = 120s
`, n.name, addresses[0], addresses[1], addresses[2], addresses[3], s.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/acaciaquay", "site")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ACACIAQUAY_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.site.record.add("%s starts, front %s", n.name, n.front)
	go func() {
		_ = cmd.Wait()
		n.site.record.add("%s has ended: %s", n.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.site.record.add("%s gets signal %s", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// isReady asks the readiness address as the platform does.
func (n *node) isReady() bool {
	response, err := n.site.client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call makes one client call and records it. It returns 0 without an answer.
func (s *site) call(n *node, method, id string, body any) (int, string) {
	var payload io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+n.front+prefix+id, payload)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err != nil {
		s.record.add("client: %s %s%s at %s: no answer", method, prefix, id, n.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.add("client: %s %s%s at %s: broken answer", method, prefix, id, n.name)
		return 0, ""
	}
	text := strings.TrimSpace(string(data))
	s.record.add("client: %s %s%s at %s: %d %s", method, prefix, id, n.name, response.StatusCode, text)
	return response.StatusCode, text
}

// submit hands a job in, at one node after the other until it is accepted.
func (s *site) submit(id string, body any) bool {
	for i := range 20 {
		if status, _ := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as some node gives it, empty if none does.
func (s *site) state(id string) string {
	for _, n := range s.nodes {
		status, text := s.call(n, http.MethodGet, id, nil)
		if status == http.StatusGone {
			return "gone"
		}
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// awaitReady waits until every node is ready.
func (s *site) awaitReady() bool {
	return await(20*time.Second, func() bool {
		for _, n := range s.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// close ends the processes and the servers. It keeps the logs with KEEP=1.
func (s *site) close() {
	for _, n := range s.nodes {
		n.mu.Lock()
		cmd, exited := n.cmd, n.exited
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-exited
		}
	}
	close(s.done)
	for _, server := range s.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
