package aqsoak

import (
	"context"
	"fmt"
	"math/rand"
	"syscall"
	"time"

	"acaciaquay/platform/aqfake"
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name string
	play func(ctx context.Context, s *soak, random *rand.Rand)
}

// Times of the faults.
const (
	// faultPause is the mean time between the beginnings of two faults.
	faultPause = 700 * time.Millisecond
	// restartDelay is how long a killed process stays away.
	restartDelay = 500 * time.Millisecond
	// workerDrain is how long a worker goes on after it has announced its end.
	workerDrain = 2 * time.Second
)

func (s *soak) anyProcess(random *rand.Rand) *process {
	return s.processes[random.Intn(len(s.processes))]
}

func (s *soak) anyWorker(random *rand.Rand) *host { return s.hosts[random.Intn(len(s.hosts))] }

// upTo draws a time.
func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int63n(int64(most)))
}

// linkFault harms a link for a while.
func linkFault(ctx context.Context, link *Proxy, random *rand.Rand) {
	state := LinkState(1 + random.Intn(int(LinkRefused)))
	link.Set(state)
	sleep(ctx, upTo(random, 4*time.Second))
	link.Set(LinkWhole)
	if random.Intn(2) == 0 {
		link.Reset()
	}
}

func (s *soak) kill(ctx context.Context, p *process) {
	<-p.signal(syscall.SIGKILL, true)
	sleep(ctx, restartDelay)
	s.startProcess(p)
}

var faults = []fault{
	{name: "kill", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		s.kill(ctx, s.anyProcess(random))
	}},
	{name: "kill all", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		if random.Intn(3) > 0 {
			return
		}
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL, true)
		}
		for _, p := range s.processes {
			s.kill(ctx, p)
		}
	}},
	{name: "stop", play: func(_ context.Context, s *soak, random *rand.Rand) {
		p := s.anyProcess(random)
		<-p.signal(syscall.SIGTERM, true)
		s.startProcess(p)
	}},
	{name: "pause", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		p := s.anyProcess(random)
		p.signal(syscall.SIGSTOP, false)
		sleep(ctx, upTo(random, 9*time.Second))
		p.signal(syscall.SIGCONT, false)
	}},
	{name: "reload", play: func(_ context.Context, s *soak, random *rand.Rand) {
		if p := s.anyProcess(random); p.answers() {
			p.signal(syscall.SIGHUP, false)
		}
	}},
	{name: "store link", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		linkFault(ctx, s.anyProcess(random).store, random)
	}},
	{name: "worker link", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		linkFault(ctx, s.anyWorker(random).link, random)
	}},
	{name: "store", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		s.store.SetFaults([]aqfake.StoreFaults{
			{Down: true},
			{Delay: 200 * time.Millisecond},
			{LostAnswerRate: 0.4},
			{LateRate: 0.3},
			{StallWatches: true},
		}[random.Intn(5)])
		sleep(ctx, upTo(random, 4*time.Second))
		s.store.SetFaults(aqfake.StoreFaults{})
		if random.Intn(2) == 0 {
			s.store.Compact()
		}
	}},
	{name: "worker crash", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.anyWorker(random)
		h.crash()
		sleep(ctx, upTo(random, 4*time.Second))
		h.worker.Restart()
		s.list(h)
	}},
	{name: "worker drain", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.anyWorker(random)
		h.worker.Drain()
		s.list(h)
		sleep(ctx, workerDrain)
		h.crash()
		s.store.Remove(aqfake.WorkerKey(h.worker.ID))
		sleep(ctx, upTo(random, 2*time.Second))
		h.worker.Restart()
		s.list(h)
	}},
	{name: "late orders", play: func(ctx context.Context, s *soak, random *rand.Rand) {
		h := s.anyWorker(random)
		h.worker.SetLateRate(0.4)
		sleep(ctx, upTo(random, 4*time.Second))
		h.worker.SetLateRate(0)
	}},
	{name: "configuration", play: func(_ context.Context, s *soak, _ *rand.Rand) { s.configure() }},
}

// harm plays faults until ctx ends; several overlap. It returns when the last one
// is over.
func (s *soak) harm(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.Intn(len(faults))]
		own := rand.New(rand.NewSource(random.Int63()))
		s.say("fault: %s", f.name)
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			f.play(ctx, s, own)
		}()
		sleep(ctx, upTo(random, 2*faultPause))
	}
}

// heal ends every fault.
func (s *soak) heal() {
	s.store.SetFaults(aqfake.StoreFaults{})
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT, false)
		p.store.Set(LinkWhole)
		s.startProcess(p)
	}
	for _, h := range s.hosts {
		h.link.Set(LinkWhole)
		h.worker.SetLateRate(0)
		s.list(h)
	}
}

// crash ends the worker with its connections: what was held up on them is lost.
func (h *host) crash() {
	h.worker.Crash()
	h.link.Reset()
}

func (s *soak) startProcess(p *process) {
	if err := p.start(); err != nil {
		s.ledger.Breaks("%v", err)
	}
}

func (s *soak) say(format string, values ...any) {
	at := time.Since(s.begun).Round(time.Millisecond)
	_, _ = fmt.Fprintf(s.out, "%s "+format+"\n", append([]any{at}, values...)...)
}
