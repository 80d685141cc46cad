package aqintake

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func FuzzHeadScanner(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nrest",
		"\r\n\n\r\nGET / HTTP/1.1\nHost: a\n\nrest\n\n",
		"GET / HTTP/1.1\r\nHost: a\r\nb:\r\n folded\r\n\t\r\n \r\n\r\n",
		"GET / HTTP/1.1\r\n\rx\r\n\r\n",
		strings.Repeat("\r\n", 50),
	} {
		f.Add([]byte(head), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var whole headScanner
		used := whole.scan(data)
		if used > len(data) || whole.bytes != used || whole.cost() < Bytes(used) {
			t.Fatalf("%d of %d bytes, cost %d", used, len(data), whole.cost())
		}
		var parts headScanner
		cut = max(0, min(cut, used))
		first := parts.scan(data[:cut])
		if second := parts.scan(data[first:used]); first+second != used || parts.bytes != whole.bytes || parts.lines != whole.lines {
			t.Fatalf("cut at %d: %+v, whole: %+v", cut, parts, whole)
		}
		// net/http must not find the end of a head later than the scanner.
		reader := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if consumed := len(data) - reader.Buffered(); whole.ended && used < consumed {
			t.Fatalf("net/http's head has %d bytes, the scanner's %d", consumed, used)
		}
	})
}
