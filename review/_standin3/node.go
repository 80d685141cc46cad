package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciaquay/pkg/aqsoak"
	"acaciaquay/pkg/aqstandin"
)

// node is one process of the site.
type node struct {
	world     *world
	name      string
	settings  string
	logFile   string
	front     string
	ready     string
	peer      string
	storeLink *aqsoak.Proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool
}

var evacuateSection = regexp.MustCompile(`(?s)\{\{#bounds\.evacuate_ms\}\}.*?\{\{/bounds\.evacuate_ms\}\}\n?`)

// addNode renders the project's settings template with the figures of a small deployment and
// starts a process.
func (w *world) addNode(name, zone string) (*node, error) {
	proxy, err := link(w.storeAddr)
	if err != nil {
		return nil, err
	}
	n := &node{
		world:     w,
		name:      name,
		settings:  filepath.Join(w.dir, name+".ini"),
		logFile:   filepath.Join(w.dir, name+".log"),
		storeLink: proxy,
	}
	var ports [4]string
	for i := range ports {
		if ports[i], err = aqstandin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	n.front, n.ready, n.peer = ports[0], ports[1], ports[2]
	template, err := os.ReadFile("deploy/site.ini")
	if err != nil {
		return nil, err
	}
	text := evacuateSection.ReplaceAllString(string(template), "")
	text = strings.ReplaceAll(text, "{{ip}}:{{port_range.0}}", ports[2])
	text = strings.ReplaceAll(text, "{{ip}}:{{port_range.1}}", ports[3])
	for key, value := range map[string]string{
		"node":                  name,
		"zone":                  zone,
		"listen.front":          ports[0],
		"listen.ready":          ports[1],
		"platform.addr":         proxy.Address(),
		"advice":                "",
		"limits.cpu_share":      "0.16",
		"limits.memory_mb":      "284",
		"limits.max_fds":        "4100",
		"platform.value_bytes":  "1048576",
		"bounds.hold_max_ms":    "10000",
		"bounds.stop_grace_ms":  "200",
		"bounds.pace_ms":        "100",
		"bounds.spread_factor":  "1.5",
		"bounds.grace_s":        "6",
		"bounds.status_s":       "120",
		"bounds.gang_wait_ms":   "3000",
		"bounds.config_apply_s": "2",
	} {
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("settings template: a placeholder is left:\n%s", text)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.start()
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(n.world.program, "site", "--settings", n.settings) //nolint:gosec // The project's own program.
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.expected = cmd, exited, false
	n.world.note("%s: started, process %d", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		expected := n.expected
		if n.cmd == cmd {
			n.cmd = nil
		}
		n.mu.Unlock()
		if !expected {
			n.world.breach("FAULT", "%s ended by itself: %v", n.name, cmd.ProcessState)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal; ends says that the process is expected to end on it.
func (n *node) signal(s syscall.Signal, ends bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.expected = n.expected || ends
	n.world.note("%s: signal %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGKILL, true)
	if exited != nil {
		<-exited
	}
}

func (n *node) end() {
	n.signal(syscall.SIGCONT, true)
	n.kill()
	n.storeLink.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if data, err := os.ReadFile(n.logFile); err == nil {
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
		}
	}
}

// leader returns the running node that acquired the leadership last, nil if there is none.
func (w *world) leader(within time.Duration) *node {
	deadline := time.Now().Add(within)
	for {
		var last *node
		lastTerm := int64(-1)
		for _, n := range w.nodes {
			n.mu.Lock()
			runs := n.cmd != nil
			n.mu.Unlock()
			if term := n.lastTerm(); runs && term > lastTerm {
				last, lastTerm = n, term
			}
		}
		if last != nil || time.Now().After(deadline) {
			return last
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var termPattern = regexp.MustCompile(`"leadership acquired".*? Term=(\d+)`)

// lastTerm returns the last term that the node's log names as its own, -1 if there is none.
func (n *node) lastTerm() int64 {
	data, err := os.ReadFile(n.logFile)
	if err != nil {
		return -1
	}
	term := int64(-1)
	for _, match := range termPattern.FindAllSubmatch(data, -1) {
		_, _ = fmt.Sscan(string(match[1]), &term)
	}
	return term
}
