// Command acaciaquay-docs writes the documentation pages that are generated from the
// code. A test checks that the committed pages are up to date.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"acaciaquay/cmd/acaciaquay/cmds"
	"acaciaquay/pkg/aqdocs"
)

func main() {
	const wanted = 2
	if len(os.Args) != wanted {
		_, _ = fmt.Fprintln(os.Stderr, "usage: acaciaquay-docs DIRECTORY")
		os.Exit(wanted)
	}
	for name, text := range aqdocs.Pages(cmds.Usage()) {
		file := filepath.Join(os.Args[1], name)
		if err := os.MkdirAll(filepath.Dir(file), 0o750); err != nil {
			fail(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			fail(err)
		}
	}
}

func fail(err error) {
	_, _ = fmt.Fprintf(os.Stderr, "acaciaquay-docs: %v\n", err)
	os.Exit(1)
}
