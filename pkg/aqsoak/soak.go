// Package aqsoak runs the real processes of a site before stand-ins of the
// platform, harms them from outside, and checks what workers and submitters see.
package aqsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"acaciaquay/platform/aqfake"
)

// Sizes of a soak.
const (
	hostCapacity = 8000
	maxAttempts  = 3
	// settleLimit is how long accepted work may take once all faults are over.
	settleLimit = 3 * time.Minute
	// restTime is how long the end of the last run may take after the last job.
	restTime = 5 * time.Second
)

// Options say what one soak does.
type Options struct {
	Seed int64
	// Program is the built binary of acaciaquay.
	Program string
	// Dir takes settings and logs.
	Dir string
	// Harm is how long faults are played.
	Harm      time.Duration
	Processes int
	Workers   int
	Out       io.Writer
}

// Result is what one soak has seen.
type Result struct {
	Seed    int64
	Broken  []string
	Summary string
}

// host is a worker with its link.
type host struct {
	worker *aqfake.Worker
	link   *Proxy
}

type soak struct {
	options   Options
	out       io.Writer
	begun     time.Time
	ledger    *Ledger
	store     *aqfake.Store
	processes []*process
	hosts     []*host
	submitter aqfake.Submitter
	work      sync.WaitGroup
	servers   []*http.Server

	configMu sync.Mutex
	version  int64
}

// Run plays one soak. The error is about the soak itself; broken promises are in
// the result.
func Run(o Options) (Result, error) {
	done := make(chan struct{})
	defer close(done)
	s := &soak{
		options:   o,
		out:       o.Out,
		begun:     time.Now(),
		ledger:    NewLedger(maxAttempts, hostCapacity),
		submitter: aqfake.Submitter{Client: &http.Client{}, Timeout: callLimit},
	}
	defer s.close()
	if err := s.build(done); err != nil {
		return Result{}, err
	}
	random := rand.New(rand.NewSource(o.Seed))
	harming, stop := context.WithTimeout(context.Background(), o.Harm)
	defer stop()
	settling, stopSettling := context.WithTimeout(context.Background(), o.Harm+settleLimit)
	defer stopSettling()
	s.work.Add(1)
	loads := rand.New(rand.NewSource(random.Int63()))
	go func() {
		defer s.work.Done()
		s.submitAll(harming, settling, loads)
	}()
	s.harm(harming, random)
	s.heal()
	s.work.Wait()
	s.heal()
	s.settle(settling)
	for _, p := range s.processes {
		for _, death := range p.deaths {
			s.ledger.Breaks("%s ended by itself: %s", p.name, death)
		}
	}
	return Result{Seed: o.Seed, Broken: s.ledger.Broken(), Summary: s.ledger.Summary()}, nil
}

// serve serves a handler at a port of the loopback.
func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soak: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callLimit}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *soak) build(done <-chan struct{}) error {
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "soak: directory")
	}
	program, err := filepath.Abs(s.options.Program)
	if err != nil {
		return errors.Wrap(err, "soak: program")
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
		p, err := newProcess(program, s.options.Dir, n, address)
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
	w := aqfake.NewWorker(fmt.Sprintf("worker%d", number), hostCapacity, s.options.Seed+int64(number), s.ledger, done)
	address, err := s.serve(w)
	if err != nil {
		return err
	}
	link, err := NewProxy(address)
	if err != nil {
		return err
	}
	h := &host{worker: w, link: link}
	s.hosts = append(s.hosts, h)
	s.list(h)
	return nil
}

// list writes a worker's entry into service discovery.
func (s *soak) list(h *host) {
	s.store.Put(aqfake.WorkerKey(h.worker.ID), h.worker.Entry(aqfake.Pool, h.link.Address(), "zone0"))
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	value, err := aqfake.Config(s.version, maxAttempts)
	if err != nil {
		s.ledger.Breaks("configuration: %v", err)
		return
	}
	s.store.Put(aqfake.ConfigKey, value)
}

// submitAll hands jobs in while faults are played, each with a submitter of its
// own.
func (s *soak) submitAll(harming, settling context.Context, random *rand.Rand) {
	for number := 0; harming.Err() == nil; number++ {
		j := drawJob(random, number)
		cancelAfter := upTo(random, cancelDelay)
		s.ledger.add(j)
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			s.play(settling, j, cancelAfter)
		}()
		sleep(harming, submitPeriod)
	}
}

// settle waits until every accepted job is shown in a final state, and then until
// nothing runs.
func (s *soak) settle(ctx context.Context) {
	for _, j := range s.ledger.acceptedJobs() {
		state := s.finalState(ctx, j)
		if state == "" {
			s.ledger.Breaks("LOST: %s reached no final state in time", j.ID)
			continue
		}
		s.ledger.Check(j, state)
	}
	sleep(ctx, restTime)
	s.ledger.CheckEnd()
}

func (s *soak) finalState(ctx context.Context, j *job) string {
	for try := 0; ctx.Err() == nil; try++ {
		state, result := s.submitter.State(ctx, s.front(j, try), j.ID)
		switch {
		case result == aqfake.OutcomeGone:
			s.ledger.Breaks("LOST: %s was accepted and is not known", j.ID)
			return "gone"
		case state == "completed", state == "failed", state == "cancelled":
			return state
		}
		sleep(ctx, callPause)
	}
	return ""
}

// close ends the processes that the soak started.
func (s *soak) close() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT, true)
		<-p.signal(syscall.SIGKILL, true)
		p.store.Close()
	}
	for _, h := range s.hosts {
		h.link.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
