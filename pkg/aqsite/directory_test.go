package aqsite

import (
	"reflect"
	"testing"

	"acaciaquay/internal/site/aqagent"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

func entry(key string, revision aqstore.Revision, value string) aqstore.Item {
	return aqstore.Item{Key: key, Value: []byte(value), ModRevision: revision}
}

func TestDirectory(t *testing.T) {
	d := newDirectory()
	changed, removed := d.applySnapshot([]aqstore.Item{entry("w/1", 5, ""), entry("w/2", 6, "")}, 10)
	if len(changed) != 2 || len(removed) != 0 {
		t.Fatalf("first snapshot: changed %v, removed %v", changed, removed)
	}
	for _, test := range []struct {
		name  string
		event aqstore.Event
		want  bool
	}{
		{name: "repeated", event: aqstore.Event{Item: entry("w/1", 5, "")}, want: false},
		{name: "older", event: aqstore.Event{Item: entry("w/1", 4, ""), Deleted: true}, want: false},
		{name: "newer", event: aqstore.Event{Item: entry("w/1", 12, "")}, want: true},
		{name: "removal", event: aqstore.Event{Item: entry("w/2", 13, ""), Deleted: true}, want: true},
		{name: "new key", event: aqstore.Event{Item: entry("w/3", 14, "")}, want: true},
	} {
		if got := d.accept(test.event); got != test.want {
			t.Errorf("%s: accepted %v, want %v", test.name, got, test.want)
		}
	}
	changed, removed = d.applySnapshot([]aqstore.Item{entry("w/1", 5, ""), entry("w/2", 6, "")}, 11)
	if len(changed) != 0 || len(removed) != 0 {
		t.Errorf("snapshot older than the events: changed %v, removed %v", changed, removed)
	}
	changed, removed = d.applySnapshot([]aqstore.Item{entry("w/1", 12, "")}, 20)
	if len(changed) != 0 || !reflect.DeepEqual(removed, []string{"w/3"}) {
		t.Errorf("snapshot newer than the events: changed %v, removed %v", changed, removed)
	}
}

// TestOlderReadingKeepsADrainingWorker checks that a full read that started before a
// worker announced its drain does not make the worker usable again.
func TestOlderReadingKeepsADrainingWorker(t *testing.T) {
	n, clock := testNode(t, newFakeStore())
	n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
		return aqdecider.Worker{
			ID:          aqtype.WorkerID(item.Key),
			Incarnation: 1,
			Draining:    string(item.Value) == "draining",
		}, nil
	}
	n.catalog.WorkerIDOf = func(key string) string { return key }
	l := n.newLeader(1, aqagent.LeadRecord{Node: "n1"}, clock.Elapsed())
	before := []aqstore.Item{entry("workers/1", 5, "ready")}
	l.applyWorkerSnapshot(before, 5)
	l.applyWorkerEvent(aqstore.Event{Item: entry("workers/1", 7, "draining")})
	l.applyWorkerSnapshot(before, 6)
	if !l.decider.Draining("workers/1") {
		t.Error("an older snapshot undid the drain of the worker")
	}
}

// Guards against DRAIN: the watch, which was behind, delivered an entry from before a worker's removal, which a full read had
// found already, and the worker was usable again for a moment.
func TestEntryFromBeforeAFullReadDoesNotReturn(t *testing.T) {
	d := newDirectory()
	d.applySnapshot([]aqstore.Item{entry("w/1", 5, ""), entry("w/2", 6, "")}, 10)
	if _, removed := d.applySnapshot([]aqstore.Item{entry("w/2", 6, "")}, 20); !reflect.DeepEqual(removed, []string{"w/1"}) {
		t.Fatalf("removed %v", removed)
	}
	if d.accept(aqstore.Event{Item: entry("w/1", 12, "")}) {
		t.Error("an entry from before the removal is accepted")
	}
	if changed, _ := d.applySnapshot([]aqstore.Item{entry("w/1", 12, ""), entry("w/2", 6, "")}, 15); len(changed) > 0 {
		t.Errorf("an older snapshot brings back %v", changed)
	}
	for _, later := range []aqstore.Event{{Item: entry("w/1", 21, "")}, {Item: entry("w/3", 22, "")}} {
		if !d.accept(later) {
			t.Errorf("the later entry %s is not accepted", later.Key)
		}
	}
	// What a snapshot lists counts, though the one before did not list it.
	if changed, _ := d.applySnapshot([]aqstore.Item{entry("w/1", 21, ""), entry("w/3", 22, ""), entry("w/4", 4, "")}, 30); len(changed) != 1 {
		t.Errorf("changed %v, want w/4", changed)
	}
}
