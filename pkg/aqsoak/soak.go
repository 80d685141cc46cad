// Package aqsoak runs the real processes of a site against fakes of the platform,
// injects faults from outside, and checks what workers and submitters observe.
package aqsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqstandin"
	"acaciaquay/platform/aqfake"
)

// Sizes and times of a soak.
const (
	hostMilliCPU = 8000
	maxAttempts  = 3
	// settleTimeout is the time limit for all accepted jobs to reach a final state
	// after the last fault.
	settleTimeout = 3 * time.Minute
	// idleDelay is the time allowed for the last runs to end after the last job has
	// reached its final state.
	idleDelay = 5 * time.Second
	// otherSource keeps the random source of capacities and crashing jobs apart.
	otherSource = 1 << 32
)

// Options are the parameters of one soak.
type Options struct {
	Seed int64
	// Program is the path of the acaciaquay binary.
	Program string
	// Dir is the directory for settings and logs.
	Dir string
	// FaultTime is how long faults are injected and jobs submitted.
	FaultTime time.Duration
	Processes int
	Workers   int
	// DelayAcrossRestarts adds the fault "orders delayed on their way across a restart".
	DelayAcrossRestarts bool
	// Cancellations cancels most jobs, and makes the connections to the store fall silent.
	Cancellations bool
	// SubmitPeriod is the time between two submissions, zero for the default.
	SubmitPeriod time.Duration
	// LargeJobs gives the groups of jobs 10 to 40 tasks.
	LargeJobs bool
	// Evacuations adds evacuations of zones.
	Evacuations bool
	// Speculative permits copies of the tasks of every other job.
	Speculative bool
	Out         io.Writer
}

// Result is the outcome of one soak.
type Result struct {
	Seed       int64
	Violations []string
	Summary    string
}

// host is a worker with the proxy in front of it.
type host struct {
	worker *aqfake.Worker
	link   *Proxy
	zone   string
}

type soak struct {
	options   Options
	out       io.Writer
	started   time.Time
	checker   *Checker
	store     *aqfake.Store
	processes []*process
	hosts     []*host
	submitter aqfake.Submitter
	running   sync.WaitGroup
	servers   []*http.Server
	// loopback is the address of every server, proxy and process of this soak.
	loopback *aqstandin.Loopback

	configMu sync.Mutex
	version  int64
}

// Run runs one soak. It returns an error only if the soak itself fails; violations of
// the guarantees are in the result.
func Run(o Options) (Result, error) {
	loopback, err := aqstandin.ReserveLoopback()
	if err != nil {
		return Result{}, err
	}
	done := make(chan struct{})
	defer close(done)
	s := &soak{
		loopback:  loopback,
		options:   o,
		out:       o.Out,
		started:   time.Now(),
		checker:   NewChecker(maxAttempts, hostMilliCPU),
		submitter: aqfake.Submitter{Client: &http.Client{}, Timeout: callTimeout},
	}
	defer s.close()
	if err := s.build(done); err != nil {
		return Result{}, err
	}
	random := rand.New(rand.NewSource(o.Seed))
	faultCtx, stop := context.WithTimeout(context.Background(), o.FaultTime)
	defer stop()
	settleCtx, stopSettling := context.WithTimeout(context.Background(), o.FaultTime+settleTimeout)
	defer stopSettling()
	s.running.Add(1)
	loadRandom := rand.New(rand.NewSource(random.Int63()))
	go func() {
		defer s.running.Done()
		s.submitAll(faultCtx, settleCtx, loadRandom)
	}()
	others := rand.New(rand.NewSource(o.Seed + otherSource))
	capacityRandom := rand.New(rand.NewSource(others.Int63()))
	s.running.Add(2)
	go func() {
		defer s.running.Done()
		s.changeCapacities(faultCtx, capacityRandom)
	}()
	go func() {
		defer s.running.Done()
		s.submitCrashingJobs(faultCtx, settleCtx, others)
	}()
	if o.DelayAcrossRestarts {
		s.injectBeside(faultCtx, transitSource, s.delayAcrossRestarts)
	}
	if o.Evacuations {
		s.injectBeside(faultCtx, evacuationSource, s.evacuateZones)
	}
	if o.Cancellations {
		s.injectBeside(faultCtx, cancelSource, s.silenceStore)
	}
	s.injectFaults(faultCtx, random)
	s.endFaults()
	s.running.Wait()
	s.endFaults()
	s.settle(settleCtx)
	for _, p := range s.processes {
		for _, exit := range p.unexpectedExits {
			s.checker.AddViolation("%s exited unexpectedly: %s", p.name, exit)
		}
	}
	return Result{Seed: o.Seed, Violations: s.checker.Violations(), Summary: s.checker.Summary()}, nil
}

// injectBeside injects faults of one kind beside the others until ctx ends. They have a random source of their own.
func (s *soak) injectBeside(ctx context.Context, source int64, inject func(context.Context, *rand.Rand)) {
	random := rand.New(rand.NewSource(s.options.Seed + source))
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		inject(ctx, random)
	}()
}

// serve serves a handler on a port of the soak's loopback address.
func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := s.loopback.Listen()
	if err != nil {
		return "", errors.Wrap(err, "soak: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *soak) build(done <-chan struct{}) error {
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "soak: create directory")
	}
	program, err := filepath.Abs(s.options.Program)
	if err != nil {
		return errors.Wrap(err, "soak: resolve program path")
	}
	s.store = aqfake.NewStore(s.options.Seed, done)
	address, err := s.serve(s.store)
	if err != nil {
		return err
	}
	s.configure()
	for n := range s.options.Workers {
		if err := s.addHost(n, done); err != nil {
			return err
		}
	}
	for n := range s.options.Processes {
		p, err := newProcess(program, s.options.Dir, n, s.loopback, address, s.options.Evacuations)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) addHost(number int, done <-chan struct{}) error {
	w := aqfake.NewWorker(fmt.Sprintf("worker%d", number), hostMilliCPU, s.options.Seed+int64(number), s.checker, done)
	address, err := s.serve(w)
	if err != nil {
		return err
	}
	link, err := newProxyOn(s.loopback, address)
	if err != nil {
		return err
	}
	h := &host{
		worker: w,
		link:   link,
		zone:   zoneName(0),
	}
	if s.options.Evacuations {
		h.zone = zoneName(number)
		s.checker.zoneChecks.zones[w.ID] = h.zone
	}
	w.OnCrash = func() { s.recoverCrashed(context.Background(), h) }
	w.OnDelivery = s.recordDelivery
	s.hosts = append(s.hosts, h)
	s.register(h)
	return nil
}

// register writes the worker's entry into service discovery.
func (s *soak) register(h *host) {
	s.store.Put(aqfake.WorkerKey(h.worker.ID), h.worker.Entry(aqfake.Pool, h.link.Address(), h.zone))
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	value, err := aqfake.Config(s.version, maxAttempts)
	if err != nil {
		s.checker.AddViolation("configuration: %v", err)
		return
	}
	s.store.Put(aqfake.ConfigKey, value)
}

// submitAll submits jobs until faultCtx ends, each from its own submitter.
func (s *soak) submitAll(faultCtx, settleCtx context.Context, random *rand.Rand) {
	period := submitPeriod
	if s.options.Cancellations {
		period = manyCancelledPeriod
	}
	if s.options.SubmitPeriod > 0 {
		period = s.options.SubmitPeriod
	}
	cancelRandom := rand.New(rand.NewSource(s.options.Seed + cancelSource + 1))
	largeRandom := rand.New(rand.NewSource(s.options.Seed + largeSource))
	for number := 0; faultCtx.Err() == nil; number++ {
		j := drawJob(random, number)
		if s.options.Cancellations && cancelRandom.Float64() < manyCancelledShare {
			j.toCancel = true
		}
		cancelAfter := randomDuration(random, maxCancelDelay)
		if s.options.LargeJobs {
			j.enlarge(largeRandom)
		}
		if s.options.Speculative && number%2 == 0 {
			j.speculate()
		}
		s.checker.add(j)
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.runSubmitter(settleCtx, j, cancelAfter)
		}()
		sleep(faultCtx, period)
	}
}

// settle waits until the processes report a final state for every accepted job and
// checks these states. It then waits idleDelay for the last runs to end and checks that
// none is left.
func (s *soak) settle(ctx context.Context) {
	for _, j := range s.checker.acceptedJobs() {
		state := s.finalState(ctx, j)
		if state == "" {
			s.checker.AddViolation("LOST: %s reached no final state in time", j.ID)
			continue
		}
		s.checker.CheckFinalState(j, state)
	}
	sleep(ctx, idleDelay)
	s.checker.CheckIdle()
}

func (s *soak) finalState(ctx context.Context, j *job) string {
	for try := 0; ctx.Err() == nil; try++ {
		state, result := s.submitter.State(ctx, s.submitAddress(j, try), j.ID)
		switch {
		case result == aqfake.OutcomeGone:
			s.checker.AddViolation("LOST: %s was accepted, but the site does not know it", j.ID)
			return "gone"
		case state == "completed", state == "failed", state == "cancelled":
			return state
		}
		sleep(ctx, retryDelay)
	}
	return ""
}

// close ends the processes and servers that the soak started.
func (s *soak) close() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT, true)
		<-p.signal(syscall.SIGKILL, true)
		p.storeLink.Close()
	}
	for _, h := range s.hosts {
		h.link.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = s.loopback.Close()
}
