package aqsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstandin"
)

// process is one process of the site with its settings and its proxied connection to
// the store.
type process struct {
	name         string
	program      string
	settingsFile string
	logFile      string
	// submitAddress is the address on which the process serves submitters.
	submitAddress string
	storeLink     *Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// stopping is set from a signal that terminates the process until its next start.
	stopping bool
	// unexpectedExits describes the exits that the soak did not cause.
	unexpectedExits []string
}

func newProcess(program, dir string, number int, loopback *aqstandin.Loopback, store string, evacuations bool) (*process, error) {
	link, err := newProxyOn(loopback, store)
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	p := &process{
		name:          fmt.Sprintf("node%d", number),
		program:       program,
		submitAddress: addresses[0],
		storeLink:     link,
	}
	p.settingsFile = filepath.Join(dir, p.name+".ini")
	p.logFile = filepath.Join(dir, p.name+".log")
	settings := fmt.Sprintf(`[Site]
Name = %s
Zone = zone%d
FrontAddress = %s
ReadyAddress = %s
PeerAddress = %s
MetricsAddress = %s
Store = %s
Processors = 1

[Bounds]
LeaseMax = 6s
StopGrace = 100ms
StopLimit = 6s
CancelWithin = %s
`, p.name, number%2, addresses[0], addresses[1], addresses[2], addresses[3], link.Address(), cancelWithin)
	if evacuations {
		settings += fmt.Sprintf("EvacuateWithin = %s\n", evacuateWithin)
	}
	return p, errors.Wrap(os.WriteFile(p.settingsFile, []byte(settings), 0o600), "soak: write settings")
}

// start starts the process unless it runs already.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: open log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "site", "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.cmd, p.stopping, p.exited = cmd, false, make(chan struct{})
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	started := time.Now()
	_ = cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	unexpected := !p.stopping
	if unexpected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%v, %s after its start", cmd.ProcessState, time.Since(started)))
	}
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process; terminates says that the process is expected
// to exit on it. The returned channel is closed when the process has exited, and is
// already closed if the process does not run.
func (p *process) signal(s syscall.Signal, terminates bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	p.stopping = p.stopping || terminates
	// The error is ignored: signalling a process that has just exited fails.
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// reload sends SIGHUP to the process if it has begun, and reports whether it did. Before
// that, while the dynamic linker loads it, the signal terminates any program.
func (p *process) reload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || !handlesHangup(p.cmd.Process.Pid) {
		return false
	}
	return p.cmd.Process.Signal(syscall.SIGHUP) == nil
}

// handlesHangup reports whether a running process ignores or catches SIGHUP.
func handlesHangup(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		signals, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && signals&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}
