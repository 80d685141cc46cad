//go:build crowd

package aqprocess_test

import (
	"bytes"
	"compress/gzip"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"acaciaquay/pkg/aqpeer"
)

// peerFrame encodes a call as one process sends it to another.
func peerFrame(t *testing.T, method string, body []byte) string {
	t.Helper()
	packed, err := aqpeer.Pack(struct {
		Version int
		CallID  uint64
		Method  string
		Code    string
		Detail  string
		Body    []byte
	}{
		Version: aqpeer.WireVersion,
		CallID:  1,
		Method:  method,
		Body:    body,
	})
	if err != nil {
		t.Fatal(err)
	}
	return framePrefix(len(packed)) + string(packed)
}

func framePrefix(length int) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(length)))
}

// unfinishedFrame sends the largest frame in pieces and stops just short of its end.
func unfinishedFrame(_ int, conn net.Conn) {
	if !send(conn, framePrefix(aqpeer.MaxFrameBytes)) {
		return
	}
	piece := strings.Repeat("x", 64<<10)
	for sent := 0; sent < aqpeer.MaxFrameBytes; sent += len(piece) {
		if !send(conn, piece[:min(len(piece), aqpeer.MaxFrameBytes-1-sent)]) {
			return
		}
	}
	hold(conn)
}

// deafCalls sends calls and reads no answer.
func deafCalls(frame string, count int) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(2048)
		}
		for range count {
			if !send(conn, frame) {
				return
			}
		}
	}
}

// calls sends calls and reads the answers.
func calls(frame string, count int) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		for range count {
			if !send(conn, frame) {
				return
			}
		}
		hold(conn)
	}
}

// handshake starts TLS at a port that does not speak it, with a large first message.
func handshake(_ int, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(memberPatience))
	names := make([]string, 500)
	for n := range names {
		names[n] = fmt.Sprintf("protocol-%d", n)
	}
	_ = tls.Client(conn, &tls.Config{
		ServerName:         "queue.example",
		NextProtos:         names,
		InsecureSkipVerify: true,
	}).Handshake()
	hold(conn)
}

// compressed returns data compressed with gzip.
func compressed(data string) string {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	_, _ = io.WriteString(writer, data)
	_ = writer.Close()
	return out.String()
}

// operatorCalls sends calls of the operators' API with a compressed body.
func operatorCalls(path, body string, count int) func(int, net.Conn) {
	small := compressed(body)
	request := fmt.Sprintf("%sContent-Type: application/json\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s",
		requestLine("POST", path), len(small), small)
	return calls(request, count)
}

// wholeBodyAt sends a body at once.
func wholeBodyAt(path, body string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if send(conn, requestLine("POST", path)+fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))+body) {
			hold(conn)
		}
	}
}

// operatorQueries sends calls of the operators' API whose message is in the query.
func operatorQueries(path, message string, count int) func(int, net.Conn) {
	return calls(requestLine("GET", path+"?connect=v1&encoding=json&message="+message)+"\r\n", count)
}

// answersPeers fails the test unless a peer's call is answered, at first perhaps by a
// closed connection.
func answersPeers(t *testing.T, address string) {
	t.Helper()
	client := aqpeer.NewClient(address, aqpeer.ClientTimeouts{
		Dial: 2 * time.Second,
		Call: 2 * time.Second,
	})
	defer client.Close()
	for start := time.Now(); time.Since(start) < hangAfter; time.Sleep(50 * time.Millisecond) {
		var none struct{}
		if err := client.Call(t.Context(), "None", none, &none); aqpeer.CodeOf(err) == aqpeer.CodeInvalid {
			return
		}
	}
	t.Fatal("a peer is not answered")
}

type peerCrowd struct {
	name    string
	members int
	spread  bool
	act     func(int, net.Conn)
}

func peerCrowds(t *testing.T) []peerCrowd {
	echoed := peerFrame(t, strings.Repeat("m", 1<<20), nil)
	body := peerFrame(t, "None", make([]byte, 3<<20))
	return []peerCrowd{
		{name: "UnfinishedFrames", act: unfinishedFrame},
		{name: "UnfinishedFramesFromManyAddresses", spread: true, act: unfinishedFrame},
		{name: "WholeFrames", act: calls(body, 4)},
		{name: "SlowReaders", act: deafCalls(echoed, 8)},
		{name: "SlowReadersOfSmallAnswers", act: deafCalls(peerFrame(t, strings.Repeat("m", 1000), nil), 2000)},
		{name: "SilentConnections", members: 3 * crowdMembers, act: silent},
		{name: "SilentConnectionsFromManyAddresses", members: 3 * crowdMembers, spread: true, act: silent},
		{name: "HeadsOfAnotherProtocol", act: endless(requestLine("GET", "/"), "abc:\r\n")},
		{name: "Handshakes", act: handshake},
	}
}

// Crowds of clients at the address at which a site's process serves others.
func TestCrowdAtAPeerPortOfASite(t *testing.T) {
	for _, test := range peerCrowds(t) {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t)
			c := crowd{
				t:       t,
				address: s.peer,
				members: crowdSize(test.members),
				spread:  test.spread,
				act:     test.act,
			}
			c.gather()
			checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics, s.peer)
			answersPeers(t, s.peer)
			s.ordinaryRequest()
			checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics, s.peer)
		})
	}
}

// Crowds of clients at the address at which a gateway or a scheduler serves other
// processes.
func TestCrowdAtAPeerPortOfACluster(t *testing.T) {
	for _, process := range []string{"gateway0", "scheduler0"} {
		for _, test := range peerCrowds(t)[:1] {
			t.Run(process+test.name, func(t *testing.T) {
				c := newClusterWith(t, intakeSettings)
				c.createFolio()
				address := c.peers[process]
				attack := crowd{
					t:       t,
					address: address,
					members: crowdSize(test.members),
					spread:  test.spread,
					act:     test.act,
				}
				attack.gather()
				checkBounds(t, c.processes[process].Process, address)
				answersPeers(t, address)
				c.ordinaryRequest()
				checkBounds(t, c.processes[process].Process, address)
			})
		}
	}
}

// Crowds of clients at the operators' address of a gateway.
func TestCrowdAtAnOperatorPort(t *testing.T) {
	const (
		change = "/acaciaquay.v1.ConfigurationService/ChangeConfiguration"
		get    = "/acaciaquay.v1.WorkloadService/GetWorkload"
	)
	manyShares := `{"configuration":{"shares":[` + strings.Repeat(`{},`, 300_000) + `{}]}}`
	for _, test := range []struct {
		name string
		act  func(int, net.Conn)
	}{
		{name: "CompressedBodies", act: operatorCalls(change, manyShares, 3)},
		{name: "WholeBodies", act: wholeBodyAt(change, manyShares[:len(manyShares)*3/4]+`{}]}}`)},
		{name: "CompressedBodiesOverTheLimit", act: operatorCalls(change, strings.Repeat(" ", 64<<20), 3)},
		{name: "LongQueries", act: operatorQueries(get, strings.Repeat("%7B", 20_000), 3)},
		{name: "UnfinishedBodies", act: unfinishedBodyAt(change, strings.Repeat(" ", 1<<20))},
		{name: "SlowReaders", act: deafRequests("/metrics")},
		{name: "Handshakes", act: handshake},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClusterWith(t, intakeSettings)
			c.createFolio()
			attack := crowd{
				t:       t,
				address: c.operators[0],
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

// ordinaryRequest calls the first gateway until the service answers.
func (c *cluster) ordinaryRequest() {
	c.t.Helper()
	for start := time.Now(); !answersOK(c.t.Context(), c.gateways[0]); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > hangAfter {
			c.t.Fatal("an ordinary request is not answered")
		}
	}
}

// kinds are clients of several kinds at one address, a kind after the other.
func kinds(acts ...func(int, net.Conn)) func(int, net.Conn) {
	return func(member int, conn net.Conn) { acts[member%len(acts)](member, conn) }
}

// Crowds at all addresses of a site's process at the same time, each of several kinds.
func TestCrowdsAtAllPorts(t *testing.T) {
	const job = "/work/0123456789abcdef"
	s := startSite(t)
	// The machine refuses more descriptors than the settings give.
	limitDescriptors(t, s.cmd.Process.Pid)
	lines := distinctLines(legalHeadBytes - 100)
	body := manySteps()
	var all sync.WaitGroup
	for address, act := range map[string]func(int, net.Conn){
		s.front: kinds(openHead(job, lines), wholeHeads(job, lines), unfinishedBody(body), wholeBody(body), unfinishedChunks(body),
			deafRequests(job), silent, handshake),
		s.ready:   kinds(openHead("/v1/ready", lines), endless("", "\r\n"), deafRequests("/v1/ready"), silent),
		s.metrics: kinds(openHead("/metrics", lines), deafRequests("/metrics"), deafRequests("/site/jobs"), unfinishedBodyAt("/metrics", body)),
		s.peer:    kinds(unfinishedFrame, silent, endless(requestLine("GET", "/"), "abc:\r\n")),
	} {
		all.Add(1)
		go func() {
			defer all.Done()
			c := crowd{
				t:       t,
				address: address,
				members: crowdMembers,
				spread:  true,
				act:     act,
			}
			c.gather()
		}()
	}
	all.Wait()
	checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics, s.peer)
	s.ordinaryRequest()
	answersPeers(t, s.peer)
	checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics, s.peer)
}

// TestCrowdOfHandshakes starts TLS at the addresses of a site's process, which speak plain HTTP.
func TestCrowdOfHandshakes(t *testing.T) {
	s := startSite(t)
	for _, address := range []string{s.front, s.ready, s.metrics} {
		c := crowd{
			t:       t,
			address: address,
			members: crowdMembers,
			act:     handshake,
		}
		c.gather()
	}
	checkBounds(t, s.cmd.Process, s.front, s.ready, s.metrics)
	s.ordinaryRequest()
}

// limitDescriptors gives a process the descriptors of its machine.
func limitDescriptors(t *testing.T, pid int) {
	t.Helper()
	limitResource(t, pid, unix.RLIMIT_NOFILE, machineDescriptors)
}

// limitData ends a process that allocates far more than its machine has, before it takes
// the memory of the tests' own machine.
func limitData(t *testing.T, pid int) {
	t.Helper()
	const factor = 16
	limitResource(t, pid, unix.RLIMIT_DATA, factor*machineMemoryMiB<<20)
}

func limitResource(t *testing.T, pid, resource int, most uint64) {
	t.Helper()
	limit := unix.Rlimit{
		Cur: most,
		Max: most,
	}
	if err := unix.Prlimit(pid, resource, &limit, nil); err != nil {
		t.Fatal(err)
	}
}
