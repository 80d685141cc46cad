package aqpeer

import (
	"bytes"
	"testing"
)

// TestPackedStructsCarryNoNames checks that field names are not sent, and that a struct
// with more fields is refused and not misread.
func TestPackedStructsCarryNoNames(t *testing.T) {
	type message struct {
		Worker string
		Count  int
	}
	type larger struct {
		Worker string
		Count  int
		Zone   string
	}
	sent := message{Worker: "w1", Count: 3}
	data, err := Pack(sent)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(data, []byte("Worker")) {
		t.Errorf("field names are sent: %q", data)
	}
	var received message
	if err := Unpack(data, &received); err != nil || received != sent {
		t.Errorf("received %+v, %v", received, err)
	}
	var other larger
	if err := Unpack(data, &other); err == nil {
		t.Errorf("a larger struct was decoded: %+v", other)
	}
}
