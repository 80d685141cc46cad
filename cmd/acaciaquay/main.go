// Command acaciaquay is the scheduler's daemons and its operators' command line.
package main

import (
	"os"

	"acaciaquay/cmd/acaciaquay/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
