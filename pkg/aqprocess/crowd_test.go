//go:build crowd

package aqprocess_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// The size of a crowd. Its members connect again, crowdRounds times in all, when their
// connection is closed.
const (
	crowdMembers = 200
	crowdRounds  = 3
	// memberPatience is how long a member keeps writing to, or waits for, a process that does
	// nothing.
	memberPatience = 2 * time.Second
)

// Sizes of requests that the site's pages allow.
const (
	legalHeadBytes = 16384
	legalBodyBytes = 262144
)

// crowd is a number of clients at one address of the system. They keep their connections
// open until the test ends.
type crowd struct {
	t       *testing.T
	address string
	members int
	// spread gives each member a loopback address of its own.
	spread bool
	// act sends what a member sends. It returns when the member has nothing more to send.
	act func(member int, conn net.Conn)

	mu   sync.Mutex
	open []net.Conn
}

// gather lets all members act and returns when all of them have.
func (c *crowd) gather() {
	c.t.Helper()
	var all sync.WaitGroup
	for m := range c.members {
		all.Add(1)
		go func() {
			defer all.Done()
			for range crowdRounds {
				if conn := c.connect(m); conn != nil {
					c.act(m, conn)
				}
			}
		}()
	}
	all.Wait()
	c.t.Cleanup(func() {
		for _, conn := range c.open {
			_ = conn.Close()
		}
	})
}

func (c *crowd) connect(member int) net.Conn {
	dialer := net.Dialer{Timeout: memberPatience}
	if c.spread {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 1, byte(member/250), byte(1+member%250))}
	}
	conn, err := dialer.Dial("tcp", c.address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
	return conn
}

// send writes data and reports whether the process took it.
func send(conn net.Conn, data string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(memberPatience))
	_, err := io.WriteString(conn, data)
	return err == nil
}

// hold waits until the process closes the connection or the member's patience ends.
func hold(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(memberPatience))
	_, _ = io.Copy(io.Discard, conn)
}

// distinctLines returns header lines with short names, all of them different, of at most
// that many bytes together.
func distinctLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for n := 0; b.Len()+len("abc:\r\n") <= size; n++ {
		b.WriteByte(letters[n/676%26])
		b.WriteByte(letters[n/26%26])
		b.WriteByte(letters[n%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// oddLines returns header lines that repeat a name, are folded, or have names without
// values and values of one byte.
func oddLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() <= size-64; n++ {
		switch n % 4 {
		case 0:
			b.WriteString("x:\r\n")
		case 1:
			b.WriteString("x: y\r\n z\r\n\tw\r\n")
		case 2:
			fmt.Fprintf(&b, "very-long-name-without-a-value-%x:\r\n", n)
		default:
			fmt.Fprintf(&b, "%x:1\r\n", n)
		}
	}
	return b.String()
}

func requestLine(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: queue.example\r\n"
}

// openHead sends a head without its end and holds the connection.
func openHead(path, lines string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if send(conn, requestLine("GET", path)+lines) {
			hold(conn)
		}
	}
}

// wholeHeads sends requests with these header lines, one after the other.
func wholeHeads(path, lines string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		for range 3 {
			if !send(conn, requestLine("GET", path)+lines+"\r\n") {
				return
			}
		}
		hold(conn)
	}
}

// endless sends the same text until the process stops taking it.
func endless(start, text string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		const most = 4 << 20
		part := strings.Repeat(text, 4096/len(text))
		if !send(conn, start) {
			return
		}
		for sent := 0; sent < most; sent += len(part) {
			if !send(conn, part) {
				return
			}
		}
		hold(conn)
	}
}

// manySteps returns a body of legal size of a job with as many steps as fit.
func manySteps() string {
	const head, step, tail = `{"spec":"x","steps":[{}`, `,{}`, `]}`
	body := head + strings.Repeat(step, (legalBodyBytes-len(head)-len(tail))/len(step)) + tail
	return body + strings.Repeat(" ", legalBodyBytes-len(body))
}

func jobPath(member int) string { return fmt.Sprintf("/work/%016x", member) }

func bodyHead(path string, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestLine("POST", path), length)
}

// wholeBody submits a body at once.
func wholeBody(body string) func(int, net.Conn) {
	return func(member int, conn net.Conn) {
		if send(conn, bodyHead(jobPath(member), len(body))+body) {
			hold(conn)
		}
	}
}

// unfinishedBody submits a body in pieces and stops just short of its end.
func unfinishedBody(body string) func(int, net.Conn) {
	return func(member int, conn net.Conn) { unfinishedBodyAt(jobPath(member), body)(member, conn) }
}

func unfinishedBodyAt(path, body string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if !send(conn, bodyHead(path, len(body))) {
			return
		}
		const piece = 8192
		for sent := 0; sent < len(body); sent += piece {
			if !send(conn, body[sent:min(sent+piece, len(body)-1)]) {
				return
			}
		}
		hold(conn)
	}
}

// unfinishedChunks submits a body in small chunks and stops short of the last one.
func unfinishedChunks(body string) func(int, net.Conn) {
	return func(member int, conn net.Conn) {
		if !send(conn, requestLine("POST", jobPath(member))+"Transfer-Encoding: chunked\r\n\r\n") {
			return
		}
		const chunk, perWrite = 16, 256
		for sent := 0; sent+chunk*perWrite <= len(body); sent += chunk * perWrite {
			var b strings.Builder
			for i := range perWrite {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", chunk, body[sent+i*chunk:sent+(i+1)*chunk])
			}
			if !send(conn, b.String()) {
				return
			}
		}
		hold(conn)
	}
}

// deafRequests sends requests and reads no answer.
func deafRequests(path string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(2048)
		}
		request := requestLine("GET", path) + "\r\n"
		for range 2000 {
			if !send(conn, request) {
				return
			}
		}
	}
}

// silent sends nothing.
func silent(_ int, conn net.Conn) { hold(conn) }
