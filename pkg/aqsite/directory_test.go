package aqsite

import (
	"reflect"
	"testing"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

func entry(key string, changed aqstore.Revision, value string) aqstore.Item {
	return aqstore.Item{Key: key, Value: []byte(value), ModRevision: changed}
}

func TestDirectory(t *testing.T) {
	d := newDirectory()
	news, removed := d.applySnapshot([]aqstore.Item{entry("w/1", 5, ""), entry("w/2", 6, "")}, 10)
	if len(news) != 2 || len(removed) != 0 {
		t.Fatalf("first reading: news %v, removed %v", news, removed)
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
			t.Errorf("%s: taken %v, want %v", test.name, got, test.want)
		}
	}
	news, removed = d.applySnapshot([]aqstore.Item{entry("w/1", 5, ""), entry("w/2", 6, "")}, 11)
	if len(news) != 0 || len(removed) != 0 {
		t.Errorf("a reading from before the events: news %v, removed %v", news, removed)
	}
	news, removed = d.applySnapshot([]aqstore.Item{entry("w/1", 12, "")}, 20)
	if len(news) != 0 || !reflect.DeepEqual(removed, []string{"w/3"}) {
		t.Errorf("a reading from after the events: news %v, removed %v", news, removed)
	}
}

// TestOlderReadingKeepsADrainingWorker checks that a reading of the whole list
// that began before a worker announced its end does not make it usable again.
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
	l := n.newLeader(1, leadRecord{Node: "n1"}, clock.Elapsed())
	before := []aqstore.Item{entry("workers/1", 5, "ready")}
	l.applyWorkerSnapshot(before, 5)
	l.applyWorkerEvent(aqstore.Event{Item: entry("workers/1", 7, "draining")})
	l.applyWorkerSnapshot(before, 6)
	if !l.decider.Draining("workers/1") {
		t.Error("the worker is not draining any more")
	}
}
