package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// cutLink passes connections on to a worker. While it is cut, nothing passes either way, old and new
// connections stay silent, and what is sent on them is lost: the worker starts again behind the cut.
type cutLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newCutLink(target string) *cutLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c := &cutLink{listener: l, target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(conn)
		}
	}()
	return c
}

func (c *cutLink) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// set begins or ends the cut. All connections of before and of the cut end with it.
func (c *cutLink) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if cut {
		return
	}
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[net.Conn]bool{}
}

func (c *cutLink) forward(caller net.Conn) {
	c.mu.Lock()
	c.conns[caller] = true
	cut := c.cut
	c.mu.Unlock()
	if cut {
		return
	}
	target, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	go c.pass(caller, target)
	c.pass(target, caller)
}

// pass copies one direction until a connection ends, which is passed on unless the link is cut.
func (c *cutLink) pass(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if c.isCut() {
			if err != nil {
				return
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// Times of the case "started again behind a cut".
const (
	// cutFor is how long the worker is cut off, rebornAfter when it starts again meanwhile.
	cutFor      = 8 * time.Second
	rebornAfter = time.Second
	// cutAfter is when the cut begins after the order was sent, and afterCut when the order arrives after
	// the end of the cut.
	cutAfter = 300 * time.Millisecond
	afterCut = 10 * time.Millisecond
	// In the case with a new leader the leader is killed after killAfter, and the cut lasts longer.
	killAfter   = 600 * time.Millisecond
	cutWithKill = 10 * time.Second
)

// rebornBehindCut delays the first order to start a task on its way, and cuts its worker off, which starts
// again behind the cut.
func rebornBehindCut(s *site, trouble bool) int { return reborn(s, trouble, cutFor, false) }

// rebornUnderNewLeader is the same with a leader that is killed meanwhile.
func rebornUnderNewLeader(s *site, trouble bool) int { return reborn(s, trouble, cutWithKill, true) }

func reborn(s *site, trouble bool, cutFor time.Duration, kill bool) int {
	k := s.workers[0]
	link := newCutLink(s.links[k].Address())
	s.listAt(k, link.listener.Addr().String())
	time.Sleep(14 * time.Second)
	if trouble {
		s.mu.Lock()
		k.delay = func(c call) time.Duration {
			k.delay = nil
			time.AfterFunc(cutAfter, func() {
				s.log("%s is cut off", k.id)
				link.set(true)
			})
			time.AfterFunc(cutAfter+rebornAfter, func() {
				s.mu.Lock()
				k.crash()
				k.reset()
				s.note("%s has started again behind the cut", k.id)
				s.mu.Unlock()
			})
			time.AfterFunc(cutAfter+cutFor, func() {
				link.set(false)
				s.log("the cut of %s is over", k.id)
				s.listAt(k, link.listener.Addr().String())
			})
			if kill {
				time.AfterFunc(killAfter, s.killLeader)
			}
			return cutAfter + cutFor + afterCut
		}
		s.mu.Unlock()
	}
	j := &job{id: "5c0e7a21d94b36f8", spec: "edition 7", steps: []step{{count: 1, milliCPU: 1000, work: 15 * time.Second}}}
	if !s.submit(j, 0) {
		return 2
	}
	time.Sleep(25 * time.Second)
	state, _ := s.state(s.nodes[0], j.id)
	s.log("the job is %s at the end", state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) > 0 {
		return 1
	}
	if trouble && k.delay != nil {
		s.note("the task was not placed on %s: the case can't run", k.id)
		return 2
	}
	return 0
}

// killLeader kills the process that leads, and starts it again.
func (s *site) killLeader() {
	for _, n := range s.nodes {
		if s.leads(n) {
			s.log("%s leads and is killed", n.name)
			n.signal(syscall.SIGKILL)
			time.AfterFunc(downAfterKill, func() { _ = n.start(s.program) })
			return
		}
	}
}

// downAfterKill is how long a killed process stays down.
const downAfterKill = 3 * time.Second
