// Command standin runs one case of the review: the site's processes before stand-ins of the
// platform, its minions and clients. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Outcomes of a case, which are exit codes.
const (
	held = iota
	broken
	notRun
)

var cases = map[string]func(rec *record, trouble bool) int{
	"value-limit":  valueLimit,
	"flap":         flap,
	"lasting-done": lastingDone,
	"late-start":   lateStart,
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	time.AfterFunc(timeLimit, func() {
		rec.add("time limit")
		os.Exit(notRun)
	})
	code := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.add("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "could not run"}[code])
	os.Exit(code)
}
