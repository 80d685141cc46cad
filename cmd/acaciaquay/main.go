// Command acaciaquay runs the daemons and is the operators' command line.
package main

import (
	"os"

	"acaciaquay/cmd/acaciaquay/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
