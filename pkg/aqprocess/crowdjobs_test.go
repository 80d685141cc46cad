//go:build crowd

package aqprocess_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// largeJob returns a legal body of that many bytes: one step with a long text.
func largeJob(size int) string {
	const head, tail = `{"spec":"x","steps":[{"count":1,"cpu":100,"image":"`, `"}]}`
	return head + strings.Repeat("i", size-len(head)-len(tail)) + tail
}

// dependentJob returns a legal body of that many bytes, whose second step names the first
// one many times.
func dependentJob(size int) string {
	const head, tail = `{"spec":"x","steps":[{"count":1,"cpu":100},{"count":1,"cpu":100,"after":[0`, `]}]}`
	body := head + strings.Repeat(",0", (size-len(head)-len(tail))/2) + tail
	return body + strings.Repeat(" ", size-len(body))
}

const (
	// manyTasks is a small body of a job with the most tasks.
	manyTasks = `{"spec":"x","steps":[{"count":10000,"cpu":100}]}`
	// longDue is a small body of a recurring job whose occurrences are all due.
	longDue = `{"spec":"x","steps":[{"count":1000,"cpu":100}],"repeats":100000,"period_ms":1}`
)

// submissions submits three jobs one after the other, each with an id of its own.
func submissions(body string) func(int, net.Conn) {
	return func(member int, conn net.Conn) {
		for n := range 3 {
			path := fmt.Sprintf("/work/%08x%08x", member+1, n)
			if !send(conn, bodyHead(path, len(body))+body) {
				return
			}
		}
		hold(conn)
	}
}

// largeGraph returns a legal body of at most that many bytes, with the most steps, all texts of
// which differ.
func largeGraph(size int) string {
	const steps = 64
	text := (size/steps - 400) / 3
	var b strings.Builder
	b.WriteString(`{"spec":"x","steps":[`)
	for n := range steps {
		after := make([]string, n)
		for i := range after {
			after[i] = fmt.Sprint(i)
		}
		fmt.Fprintf(&b, `{"count":1,"cpu":100,"image":"%0*d","constraints":"%0*d","affinity":"%0*d","after":[%s]},`,
			text, n, text, n, text, n, strings.Join(after, ","))
	}
	return strings.TrimSuffix(b.String(), ",") + "]}"
}

// accepted submits jobs one after the other, each until it is accepted or the member's attempts
// are over.
func accepted(body string, count int) func(int, net.Conn) {
	const attempts = 40
	return func(member int, conn net.Conn) {
		address := conn.RemoteAddr().String()
		_ = conn.Close()
		for n := range count {
			id := fmt.Sprintf("%08x%08x", member+1, n)
			for range attempts {
				if submitted(address, id, body) {
					break
				}
				time.Sleep(25 * time.Millisecond)
			}
		}
	}
}

func submitted(address, id, body string) bool {
	conn, err := net.DialTimeout("tcp", address, memberPatience)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if !send(conn, bodyHead("/work/"+id, len(body))+body) {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(memberPatience))
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, status)
	return err == nil && string(status) == "HTTP/1.1 200"
}

// Crowds that submit legal jobs, at the process that leads the site and at another one, which
// passes them on.
func TestCrowdOfJobs(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(int, net.Conn)
	}{
		{name: "LargeJobs", act: submissions(largeJob(legalBodyBytes))},
		{name: "DependentJobs", act: submissions(dependentJob(legalBodyBytes))},
		{name: "JobsOfManyTasks", act: submissions(manyTasks)},
		{name: "RecurringJobsThatAreLongDue", act: submissions(longDue)},
		{name: "AcceptedLargeJobs", act: accepted(largeJob(legalBodyBytes), 3)},
		{name: "AcceptedLargeGraphs", act: accepted(largeGraph(legalBodyBytes), 3)},
		{name: "AcceptedPayloads", act: accepted(fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":100}]}`, strings.Repeat("x", 4000)), 10)},
	} {
		for _, at := range []string{"Leader", "OtherProcess"} {
			t.Run(test.name+"AtThe"+at, func(t *testing.T) {
				store := startStore(t)
				processes := []*siteProcess{
					startSiteOf(t, store, "site0", intakeSettings),
					startSiteOf(t, store, "site1", intakeSettings),
				}
				for _, s := range processes {
					limitData(t, s.cmd.Process.Pid)
				}
				for !processes[0].leads() && !processes[1].leads() {
					time.Sleep(50 * time.Millisecond)
				}
				target := processes[0]
				if target.leads() != (at == "Leader") {
					target = processes[1]
				}
				c := crowd{
					t:       t,
					address: target.front,
					members: crowdMembers,
					act:     test.act,
				}
				c.gather()
				for range 2 {
					for _, s := range processes {
						checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics, s.peer)
						s.ordinaryRequest()
					}
				}
			})
		}
	}
}

// leads reports whether the process leads the site.
func (s *siteProcess) leads() bool {
	s.t.Helper()
	response, err := http.Get("http://" + s.metrics + "/site")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var view struct {
		Leading bool
	}
	if err := json.NewDecoder(response.Body).Decode(&view); err != nil {
		s.t.Fatal(err)
	}
	return view.Leading
}

// patientIntake lets a client take an hour for its body.
const patientIntake = intakeSettings + `BodyTime = 1h
PaceWindow = 1h
`

// chunks submits a body in chunks of that size and stops short of its end. The requests
// before it are whole and sent at once.
func chunks(path string, chunk, size, whole int) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		head := requestLine("POST", path) + "Transfer-Encoding: chunked\r\n\r\n"
		piece := fmt.Sprintf("%x;name=value\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		for range whole {
			if !send(conn, head+piece+"0\r\nTrailer: value\r\n\r\n") {
				return
			}
		}
		if !send(conn, head) {
			return
		}
		for sent := 0; sent < size; sent += chunk {
			if !send(conn, piece) {
				return
			}
		}
		hold(conn)
	}
}

// Crowds whose bodies don't end, at a gateway that waits for them for an hour: other callers
// must not.
func TestCrowdOfUnfinishedBodiesAtAPatientGateway(t *testing.T) {
	const path = "/folio/run?work=1ms"
	for _, test := range []struct {
		name string
		act  func(int, net.Conn)
	}{
		{name: "LargeChunks", act: chunks(path, 64<<10, 1<<20, 0)},
		{name: "SmallChunks", act: chunks(path, 1, 4096, 0)},
		{name: "AfterPipelinedRequests", act: chunks(path, 16<<10, 1<<20, 8)},
		{name: "Pieces", act: unfinishedBodyAt(path, strings.Repeat("x", 1<<20))},
		{name: "SmallBodies", act: unfinishedBodyAt(path, strings.Repeat("x", 100))},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClusterWith(t, patientIntake)
			c.createFolio()
			attack := crowd{
				t:       t,
				address: c.gateways[0],
				members: crowdMembers,
				act:     test.act,
			}
			attack.gather()
			checkBounds(t, c.processes["gateway0"].Process, c.gateways[0], c.operators[0])
			c.ordinaryRequest()
			checkBounds(t, c.processes["gateway0"].Process, c.gateways[0], c.operators[0])
		})
	}
}

// The machine with the least memory of all deployments.
const (
	leastMemoryMiB    = 184
	leastDescriptors  = 4100
	leastCrowdMembers = 4000
)

// busyWithUnreadBytes sends requests until the process stops reading them.
func busyWithUnreadBytes(request string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		for range 200 {
			if !send(conn, request) {
				return
			}
		}
	}
}

// Crowds that are as large as the machine with the least memory admits.
func TestCrowdAtTheSmallestMachine(t *testing.T) {
	const job = "/work/0123456789abcdef"
	lines := distinctLines(legalHeadBytes - 100)
	request := requestLine("GET", job) + "Long: " + strings.Repeat("x", 1000) + "\r\n\r\n"
	for _, test := range []struct {
		name string
		act  func(int, net.Conn)
	}{
		{name: "ShortHeaderLines", act: openHead(job, lines)},
		{name: "UnreadRequests", act: busyWithUnreadBytes(request)},
		{name: "UnfinishedBodies", act: unfinishedBody(manySteps())},
		{name: "Several", act: kinds(openHead(job, lines), busyWithUnreadBytes(request), unfinishedChunks(manySteps()), silent)},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSiteOf(t, startStore(t), "site0", fmt.Sprintf("[Intake]\nMemory = %d\nDescriptors = %d\n", leastMemoryMiB, leastDescriptors))
			c := crowd{
				t:       t,
				address: s.front,
				members: leastCrowdMembers,
				spread:  true,
				act:     test.act,
			}
			c.gather()
			s.checkLeast()
			s.ordinaryRequest()
			s.checkLeast()
		})
	}
}

// checkLeast fails the test if the process was over the memory or descriptors of the smallest
// machine.
func (s *siteProcess) checkLeast() {
	s.t.Helper()
	addresses := []string{s.front, s.ready, s.metrics, s.peer}
	held := memory(s.t, s.cmd.Process.Pid, addresses...) >> 20
	open := descriptors(s.t, s.cmd.Process.Pid)
	s.t.Logf("memory %d MiB, of it unread %d, descriptors %d", held, unreadBytes(s.t, addresses)>>20, open)
	if held > leastMemoryMiB || open > leastDescriptors {
		s.t.Errorf("the machine has %d MiB and %d descriptors", leastMemoryMiB, leastDescriptors)
	}
}

// Crowds of all kinds come and go, one after the other. Nothing of them stays.
func TestCrowdsLeaveNothingBehind(t *testing.T) {
	const job = "/work/0123456789abcdef"
	s := startSite(t)
	before := descriptors(t, s.cmd.Process.Pid)
	// The request for the metrics holds memory and a connection itself.
	reserved, connections := s.metric("aq_intake_reserved_bytes"), s.metric("aq_intake_connections")
	lines := distinctLines(legalHeadBytes - 100)
	body := manySteps()
	for _, act := range []func(int, net.Conn){
		openHead(job, lines),
		wholeHeads(job, lines),
		unfinishedBody(body),
		unfinishedChunks(body),
		deafRequests(job),
		handshake,
	} {
		c := crowd{
			t:       t,
			address: s.front,
			members: crowdMembers,
			act:     act,
		}
		c.gather()
		c.disperse()
		// A connection of the process to the store may have opened or closed since.
		const storeConnections = 8
		for start := time.Now(); s.metric("aq_intake_reserved_bytes") != reserved || s.metric("aq_intake_connections") != connections ||
			descriptors(t, s.cmd.Process.Pid) > before+storeConnections; time.Sleep(50 * time.Millisecond) {
			if time.Since(start) > hangAfter {
				t.Fatalf("reserved %s bytes, open %s connections, %d descriptors, %d before", s.metric("aq_intake_reserved_bytes"),
					s.metric("aq_intake_connections"), descriptors(t, s.cmd.Process.Pid), before)
			}
		}
		s.ordinaryRequest()
		checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics)
	}
}

// disperse closes all connections.
func (c *crowd) disperse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

// metric returns the value of a metric of the process.
func (s *siteProcess) metric(name string) string {
	s.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte(name+" ")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return "none"
}

// The program that runs everything in one process for a try-out.
const (
	devMemoryMiB   = 512
	devDescriptors = 4096
)

// Crowds at the addresses of the dev command.
func TestCrowdAtDev(t *testing.T) {
	for _, test := range []struct {
		name    string
		address string
		act     func(int, net.Conn)
	}{
		{name: "CallersOfTheGateway", address: "127.0.0.1:7320", act: unfinishedBodyAt("/folio/run", strings.Repeat("x", 8<<20))},
		{name: "HeadsAtTheGateway", address: "127.0.0.1:7320", act: openHead("/folio/run", distinctLines(60<<10))},
		{name: "HeadsAtThePlatform", address: "127.0.0.1:7300", act: openHead("/v1/hosts", distinctLines(900<<10))},
		{name: "BodiesAtThePlatform", address: "127.0.0.1:7300", act: unfinishedBodyAt("/v1/hosts", strings.Repeat("x", 8<<20))},
		{name: "FramesAtAPeerPort", address: "127.0.0.1:7321", act: unfinishedFrame},
		{name: "HeadsAtAWorker", address: "127.0.0.1:7301", act: openHead("/", distinctLines(900<<10))},
	} {
		t.Run(test.name, func(t *testing.T) {
			cmd := exec.Command(program(t), "dev")
			log, err := os.Create(filepath.Join(t.TempDir(), "dev.log"))
			if err != nil {
				t.Fatal(err)
			}
			cmd.Stdout, cmd.Stderr = log, log
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			})
			answersReady(t)
			c := crowd{
				t:       t,
				address: test.address,
				members: crowdMembers,
				act:     test.act,
			}
			c.gather()
			for range 2 {
				held, open := memory(t, cmd.Process.Pid, test.address)>>20, descriptors(t, cmd.Process.Pid)
				t.Logf("memory %d MiB, descriptors %d", held, open)
				if held > devMemoryMiB || open > devDescriptors {
					t.Errorf("the machine has %d MiB and %d descriptors", devMemoryMiB, devDescriptors)
				}
				answersReady(t)
			}
		})
	}
}

// answersReady fails the test unless the gateway of the dev command reports that it is ready.
func answersReady(t *testing.T) {
	t.Helper()
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   2 * time.Second,
	}
	for start := time.Now(); time.Since(start) < hangAfter; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://127.0.0.1:7322/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("an ordinary request is not answered")
}
