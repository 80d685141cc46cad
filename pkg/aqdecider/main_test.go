package aqdecider

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if isSet(name) {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// isSet reports whether a flag is set on the command line.
func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
