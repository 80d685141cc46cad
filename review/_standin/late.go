package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"acaciaquay/platform/aqfake"
)

const lateJob = "00000000000000d4"

// lateDelay is within the 2 to 12 s of applied_late.
const lateDelay = 7 * time.Second

// delayProxy stands between the system and a minion. It forwards every call, but delays the first
// start of a task, which gets no answer.
type delayProxy struct {
	site    *site
	target  string
	task    string
	forward *httputil.ReverseProxy
	state   *delayState
}

// delayState is what the proxies of all minions share.
type delayState struct {
	mu      sync.Mutex
	enabled bool
	held    bool
	orders  int
	minion  string
}

func newDelayProxy(s *site, minion *minion, task string, state *delayState) *delayProxy {
	target := &url.URL{Scheme: "http", Host: minion.address}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) {
		if hijacker, ok := w.(http.Hijacker); ok {
			if conn, _, err := hijacker.Hijack(); err == nil {
				_ = conn.Close()
			}
		}
	}
	return &delayProxy{site: s, target: minion.address, task: task, forward: forward, state: state}
}

// ServeHTTP implements http.Handler.
func (p *delayProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	p.state.mu.Lock()
	p.state.orders++
	hold := p.state.enabled && !p.state.held && r.URL.Path == "/v1/run-start" && strings.Contains(string(body), p.task)
	if hold {
		p.state.held = true
		p.state.minion = r.Header.Get(instanceHeader)
	}
	p.state.mu.Unlock()
	if !hold {
		p.forward.ServeHTTP(w, r)
		return
	}
	p.site.record.add("proxy: delays a start for %s: %s", r.Header.Get(instanceHeader), body)
	header := r.Header.Clone()
	time.AfterFunc(lateDelay, func() { p.deliver(header, body) })
	<-r.Context().Done()
}

const instanceHeader = "X-Expect-Instance"

// deliver makes the delayed call. Its answer reaches nobody.
func (p *delayProxy) deliver(header http.Header, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.target+"/v1/run-start", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.site.record.add("proxy: the delayed start can't be delivered: %v", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	p.site.record.add("proxy: the delayed start is delivered: %d %s", response.StatusCode, bytes.TrimSpace(answer))
}

// lateStart delays one of two calls that start a task. The task ends as done, its minion goes down
// and starts again under its id, and the delayed call arrives. It checks that the task isn't run again.
func lateStart(rec *record, trouble bool) int {
	task := lateJob + ".0.0.0"
	state := &delayState{enabled: trouble}
	s, err := newSite(rec, 7, 3, func(int) []string { return []string{"a", "r1-1"} })
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.add("%v", err)
		return notRun
	}
	for _, m := range s.minions {
		address, err := s.serve(newDelayProxy(s, m, task, state))
		if err != nil {
			return notRun
		}
		m.mu.Lock()
		m.address = address
		m.mu.Unlock()
		s.register(m)
	}
	s.work = func(string, aqfake.TaskRun) aqfake.Work { return aqfake.Work{Duration: 300 * time.Millisecond} }
	if !s.awaitReady() {
		return notRun
	}
	body := map[string]any{"spec": "print one order", "steps": []map[string]any{{
		"count": 1, "cpu": 4000, "mem_mb": 2000, "estimate_ms": 300,
	}}}
	time.Sleep(5 * time.Second)
	began := time.Now()
	if !s.submit(lateJob, body) {
		return notRun
	}
	for i := range 20 {
		s.submit(fmt.Sprintf("%016x", 0xd500+i), body)
	}
	for s.state(lateJob) != "completed" {
		if time.Since(began) > 10*time.Second {
			return notRun
		}
		time.Sleep(200 * time.Millisecond)
	}
	await(time.Second, func() bool { return s.taken(task) })
	first := s.startsOf(task)
	if len(first) != 1 || !s.taken(task) {
		rec.add("the task has not run once, or its end isn't taken note of")
		return notRun
	}
	time.Sleep(time.Until(began.Add(3 * time.Second)))
	for _, m := range s.minions {
		if m.worker.ID == first[0].worker {
			s.crash(m)
			time.Sleep(time.Second)
			s.restart(m)
		}
	}
	time.Sleep(time.Until(began.Add(lateDelay + 4*time.Second)))
	state.mu.Lock()
	rec.add("calls to minions: %d, of which one was delayed: %v", state.orders, state.held)
	state.mu.Unlock()
	if starts := s.startsOf(task); len(starts) > 1 {
		rec.add("%s was started on %s %.1f s after its run there had ended done, that end was taken note of, and the job was shown as completed",
			task, starts[1].worker, starts[1].at.Sub(s.endsOf(task)[0].at).Seconds())
		return broken
	}
	return held
}
