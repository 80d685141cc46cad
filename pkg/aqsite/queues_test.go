package aqsite

import (
	"strings"
	"testing"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqlog"
	"acaciaquay/pkg/aqstore"
)

// lineHook is called with each line of a log.
type lineHook func(line string)

// Write implements io.Writer.
func (h lineHook) Write(line []byte) (int, error) {
	h(string(line))
	return len(line), nil
}

// Guards against LOST: the watch and a check found two configurations at the same time, the leader got the older one last, and kept it
// until the next one.
func TestLeaderKeepsTheNewestQueues(t *testing.T) {
	store := newFakeStore()
	n, _ := evacuatingNode(t, store)
	n.settings.EvacuateWithin = 0
	n.catalog.EvacuationKey = nil
	n.catalog.ConfigKey = "config"
	n.catalog.DecodeConfig = func(value []byte) (*Config, error) {
		config := &Config{Version: 5}
		queue := testJob().Queue
		queue.Service = "gone"
		if string(value) == "newer" {
			config.Version = 6
			queue.Service = testJob().Queue.Service
		}
		config.Routes = []Route{{Queue: queue}}
		return config, nil
	}
	l := newTerm(t, n, store)
	item := func(revision aqstore.Revision, value string) aqstore.Item {
		return aqstore.Item{
			Key:         "config",
			Value:       []byte(value),
			ModRevision: revision,
		}
	}
	log, err := aqlog.New(lineHook(func(line string) {
		if strings.Contains(line, "Version=5") {
			n.log = aqlog.Discard()
			n.applyConfig(item(101, "newer"))
		}
	}), "n1", "all")
	if err != nil {
		t.Fatal(err)
	}
	n.log = log
	n.applyConfig(item(100, "older"))
	if version := n.routes.config().Version; version != 6 {
		t.Fatalf("version %d is applied, want 6", version)
	}
	if l.starts() != 1 {
		t.Errorf("the job waits for service %q of an older configuration", aqjob.ServiceID("gone"))
	}
}
