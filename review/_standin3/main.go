package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases holds the scripts by name. Each returns an error if it could not run.
var cases = map[string]func(*world) error{
	"rackwait": rackWait,
	"reborn":   reborn,
	"crashlog": crashLog,
	"flap":     flap,
	"hunt":     hunt,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Int64Var(&seed, "seed", 1, "seed of a hunt")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	w, err := newWorld(*record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = run(w)
	if err != nil {
		w.note("the case could not run: %v", err)
	}
	code := w.close()
	for _, text := range w.broken {
		fmt.Println(text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

var seed int64

// build starts a small deployment: nodes in three zones, and workers on two racks.
func (w *world) build(nodes, workersPerRack int, cpu int64, queues ...queue) error {
	if err := w.configure(1, queues...); err != nil {
		return err
	}
	for rack := range 2 {
		for i := range workersPerRack {
			if _, err := w.addWorker(fmt.Sprintf("i-7f3a91%d%d", rack+1, i), zones[rack], fmt.Sprintf("r1-%d", rack+1), cpu); err != nil {
				return err
			}
		}
	}
	for i := range nodes {
		if _, err := w.addNode(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if w.leader(10*time.Second) == nil {
		return fmt.Errorf("no process leads")
	}
	time.Sleep(3 * time.Second)
	return nil
}

var zones = []string{"perth-a", "fremantle", "bunbury"}

var (
	proof  = queue{name: "proof", host: "nony24.example", prefix: "/lohu930/", priority: 0, attempts: 3, targetMS: 250}
	impose = queue{name: "impose", host: "nony24.example", prefix: "/bede117/", priority: 2, attempts: 4, targetMS: 1000}
)
