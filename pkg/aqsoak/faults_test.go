package aqsoak

import (
	"context"
	"testing"
)

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Guards against processes that stay down after all have been killed, also at the end of the faults.
func TestKillAllRestartsEveryProcess(t *testing.T) {
	s := &soak{checker: NewChecker(maxAttempts, hostMilliCPU)}
	var before []int
	for range 20 {
		p := startScript(t, "exec sleep 600\n")
		s.processes = append(s.processes, p)
		before = append(before, p.pid())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.killAll(ctx)
	for i, p := range s.processes {
		if after := p.pid(); after == 0 || after == before[i] || len(p.unexpectedExits) > 0 {
			t.Errorf("process %d: pid %d before, %d after, unexpected exits %v", i, before[i], after, p.unexpectedExits)
		}
	}
	if violations := s.checker.Violations(); len(violations) > 0 {
		t.Errorf("violations: %v", violations)
	}
}
