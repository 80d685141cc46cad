package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// caseLimit ends a case that does not end by itself.
const caseLimit = 115 * time.Second

// playable is one case with the size of its site.
type playable struct {
	processes int
	workers   int
	// play returns 0 if the rules held, 1 if one was broken, 2 if the case could not run.
	play func(s *site, trouble bool) int
}

var cases = map[string]playable{
	"reuse":             {processes: 5, workers: 48, play: reuseAddresses},
	"reborn":            {processes: 3, workers: 8, play: rebornBehindCut},
	"reborn-new-leader": {processes: 3, workers: 8, play: rebornUnderNewLeader},
	"cancel":            {processes: 3, workers: 8, play: cancelInDoubt},
}

// workerMilliCPU is the capacity of a worker.
const workerMilliCPU = 16000

func main() {
	name := flag.String("case", "", "the case to play, or explore")
	program := flag.String("program", "target/acaciaquay", "the site's program")
	record := flag.String("record", "record.txt", "where to write the record")
	seed := flag.Int64("seed", 1, "seed")
	length := flag.Duration("length", 50*time.Second, "length of the faults of an exploration")
	kinds := flag.String("kinds", "kill,term,freeze,storelink,down,storelost,stall,crash,cut,late,lost,config", "kinds of faults of an exploration")
	gap := flag.Int("gap", 5000, "longest pause between faults of an exploration, in milliseconds")
	keep := flag.Bool("keep", false, "keep the settings and logs")
	flag.Parse()
	c := cases[*name]
	if *name == "explore" {
		c = playable{processes: 5, workers: 10, play: func(s *site, _ bool) int {
			explore(s, *seed, *length, *kinds, *gap)
			return 0
		}}
	}
	if c.play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w, err := newWorld(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s, err := newSite(w, *program, c.processes, c.workers, workerMilliCPU, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if s != nil {
			s.kill()
		}
		os.Exit(2)
	}
	time.AfterFunc(caseLimit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		s.kill()
		os.Exit(2)
	})
	code := c.play(s, os.Getenv("TROUBLE") != "0")
	s.close()
	if *keep {
		fmt.Println("logs:", s.dir)
	} else {
		_ = os.RemoveAll(s.dir)
	}
	for _, v := range w.violations {
		fmt.Println(v)
	}
	fmt.Println(w.summary())
	if code == 0 && len(w.violations) > 0 {
		code = 1
	}
	os.Exit(code)
}
