package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

// fault is one kind of fault. inject starts it and returns once it has ended.
type fault struct {
	name   string
	inject func(ctx context.Context, s *soak, random *rand.Rand)
}

// Timing of the faults.
const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// restartDelay is the time between the kill of a process and its restart.
	restartDelay = 500 * time.Millisecond
	// restartSpan limits the time in which all processes are restarted one after another.
	restartSpan = 4 * time.Second
	// workerDrainTime is the time from marking a worker as draining to its crash.
	workerDrainTime = 2 * time.Second
	// maxDisturbance is the longest disturbance of a link or of a worker's orders.
	maxDisturbance = 4 * time.Second
)

func (s *soak) randomProcess(random *rand.Rand) *process {
	return s.processes[random.Intn(len(s.processes))]
}

func (s *soak) randomWorker(random *rand.Rand) *host { return s.hosts[random.Intn(len(s.hosts))] }

// randomDuration returns a uniform random duration below limit.
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int63n(int64(limit)))
}

// disturbLink puts a link into a random faulty state for up to maxDisturbance.
func disturbLink(ctx context.Context, link *Proxy, random *rand.Rand) {
	state := LinkState(1 + random.Intn(int(LinkRefused)))
	link.Set(state)
	sleep(ctx, randomDuration(random, maxDisturbance))
	link.Set(LinkHealthy)
	if random.Intn(2) == 0 {
		link.Reset()
	}
}

// killAll kills all processes and restarts them one after another, within restartSpan.
func (s *soak) killAll(ctx context.Context) {
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL, true)
	}
	delay := min(restartDelay, restartSpan/time.Duration(len(s.processes)))
	for _, p := range s.processes {
		<-p.signal(syscall.SIGKILL, true)
		sleep(ctx, delay)
		s.startProcess(p)
	}
}

func (s *soak) killAndRestart(ctx context.Context, p *process) {
	<-p.signal(syscall.SIGKILL, true)
	sleep(ctx, restartDelay)
	s.startProcess(p)
}

var faults = []fault{
	{name: "kill", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		s.killAndRestart(ctx, s.randomProcess(random))
	}},
	{name: "kill all", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		if random.Intn(3) > 0 {
			return
		}
		s.killAll(ctx)
	}},
	{name: "stop", inject: func(_ context.Context, s *soak, random *rand.Rand) {
		p := s.randomProcess(random)
		<-p.signal(syscall.SIGTERM, true)
		s.startProcess(p)
	}},
	{name: "pause", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		p := s.randomProcess(random)
		p.signal(syscall.SIGSTOP, false)
		sleep(ctx, randomDuration(random, 9*time.Second))
		p.signal(syscall.SIGCONT, false)
	}},
	{name: "reload", inject: func(_ context.Context, s *soak, random *rand.Rand) {
		s.randomProcess(random).reload()
	}},
	{name: "store link", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		disturbLink(ctx, s.randomProcess(random).storeLink, random)
	}},
	{name: "worker link", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.randomWorker(random)
		s.checker.heldUp(h.worker.ID, maxDisturbance+heldUpFor)
		disturbLink(ctx, h.link, random)
	}},
	{name: "store", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		s.store.SetFaults([]aqfake.StoreFaults{
			{Down: true},
			{Delay: 200 * time.Millisecond},
			{LostAnswerRate: 0.4},
			{LateRate: 0.3},
			{StallWatches: true},
		}[random.Intn(5)])
		sleep(ctx, randomDuration(random, 4*time.Second))
		s.store.SetFaults(aqfake.StoreFaults{})
		if random.Intn(2) == 0 {
			s.store.Compact()
		}
	}},
	{name: "worker crash", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.randomWorker(random)
		h.crash()
		sleep(ctx, randomDuration(random, 4*time.Second))
		h.worker.Restart()
		s.register(h)
	}},
	{name: "worker drain", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.randomWorker(random)
		h.worker.Drain()
		s.register(h)
		sleep(ctx, workerDrainTime)
		h.crash()
		s.store.Remove(aqfake.WorkerKey(h.worker.ID))
		sleep(ctx, randomDuration(random, 2*time.Second))
		h.worker.Restart()
		s.register(h)
	}},
	{name: "late orders", inject: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.randomWorker(random)
		s.checker.heldUp(h.worker.ID, maxDisturbance+heldUpFor)
		h.worker.SetLateRate(0.4)
		sleep(ctx, randomDuration(random, maxDisturbance))
		h.worker.SetLateRate(0)
	}},
	{name: "configuration", inject: func(_ context.Context, s *soak, _ *rand.Rand) { s.configure() }},
}

// injectFaults starts random faults until ctx ends. Faults may overlap, and some may
// still be active when it returns: s.running.Wait waits for them.
func (s *soak) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.Intn(len(faults))]
		faultRandom := rand.New(rand.NewSource(random.Int63()))
		s.logf("fault: %s", f.name)
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			f.inject(ctx, s, faultRandom)
		}()
		sleep(ctx, randomDuration(random, 2*meanFaultInterval))
	}
}

// endFaults clears the faults of the store, the links and the workers' orders, resumes
// paused processes and starts those that do not run.
func (s *soak) endFaults() {
	s.store.SetFaults(aqfake.StoreFaults{})
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT, false)
		p.storeLink.Set(LinkHealthy)
		s.startProcess(p)
	}
	for _, h := range s.hosts {
		h.link.Set(LinkHealthy)
		h.worker.SetLateRate(0)
		h.worker.SetTransitRate(0)
		s.setCapacity(h, hostMilliCPU)
	}
}

// crash ends the worker and closes its connections. Data that a stalled link has not
// forwarded yet is lost.
func (h *host) crash() {
	h.worker.Crash()
	h.link.Reset()
}

func (s *soak) startProcess(p *process) {
	if err := p.start(); err != nil {
		s.checker.AddViolation("%v", err)
	}
}

func (s *soak) logf(format string, values ...any) {
	at := time.Since(s.started).Round(time.Millisecond)
	_, _ = fmt.Fprintf(s.out, "%s "+format+"\n", append([]any{at}, values...)...)
}
