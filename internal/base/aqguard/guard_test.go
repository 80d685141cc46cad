package aqguard

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqmetric"
)

// A contained panic is returned, counted and logged with its place.
func TestPanicIsContained(t *testing.T) {
	var out strings.Builder
	log, err := aqlog.New(&out, "n1", "all")
	if err != nil {
		t.Fatal(err)
	}
	metrics := aqmetric.New()
	guard := New(log, metrics)
	var failure *PanicError
	if err := guard.Run("decode", func() { panic("unexpected value") }); !errors.As(err, &failure) || failure.Where != "decode" {
		t.Fatalf("got %v, want the panic as an error", err)
	}
	if metrics.Value(aqmetric.PanicsContained) != 1 || !strings.Contains(out.String(), "unexpected value") {
		t.Fatalf("the panic was not counted and logged: %s", out.String())
	}
	if err := guard.Run("decode", func() {}); err != nil {
		t.Fatalf("without a panic: %v", err)
	}
}
