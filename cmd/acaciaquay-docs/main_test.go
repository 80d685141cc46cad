package main

import (
	"os"
	"path/filepath"
	"testing"

	"acaciaquay/cmd/acaciaquay/cmds"
	"acaciaquay/pkg/aqdocs"
)

func TestCommittedPagesAreInStep(t *testing.T) {
	for name, want := range aqdocs.Pages(cmds.Usage()) {
		got, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("docs/%s is not what the code generates; run make generate", name)
		}
	}
}
