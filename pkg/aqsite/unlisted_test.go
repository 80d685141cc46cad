package aqsite

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqstore"
)

// Guards against LOST: the next leader did not know the address of a worker that was cut off from the store when the
// leader changed. The worker's runs ended with its lease, and isolated ones counted as crashes of the worker.
func TestNextLeaderReachesAWorkerThatIsNotListed(t *testing.T) {
	const address = "10.0.0.9:8080"
	store := newFakeStore()
	listedWorker := func(n *Node) {
		n.routes.apply(&Config{Version: 1})
		decode := n.catalog.DecodeWorker
		n.catalog.DecodeWorker = func(item aqstore.Item) (aqdecider.Worker, error) {
			w, err := decode(item)
			w.Address = address
			return w, err
		}
	}
	recovered := func(listed ...string) *leader {
		n, _ := testNode(t, store)
		listWorkers(t, n, store, listed...)
		listedWorker(n)
		l := lead(t, n, store)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		if _, _, err := l.recover(ctx); err != nil {
			t.Fatal(err)
		}
		return l
	}
	first := recovered("w1")
	if err := first.storeEntries(context.Background()); err != nil {
		t.Fatal(err)
	}
	first.lose(errors.New("end of the first term"))
	if _, err := store.Commit(context.Background(), aqstore.Txn{Deletes: []string{"workers/w1"}}); err != nil {
		t.Fatal(err)
	}
	l := recovered()
	defer l.lose(errors.New("end of the test"))
	if err := l.restoreUnlisted(context.Background()); err != nil {
		t.Fatal(err)
	}
	l.agents.mu.Lock()
	defer l.agents.mu.Unlock()
	a := l.agents.assignments["w1"]
	if a == nil || a.member == nil {
		t.Fatal("no agent manages the worker")
	}
	if a.worker.Address != address || a.worker.Incarnation != 1 {
		t.Fatalf("the worker is taken to be %+v", a.worker)
	}
}

// Entries are written after changes only, also by the next leader.
func TestUnchangedEntriesAreNotStoredAgain(t *testing.T) {
	store := newFakeStore()
	written := func(l *leader) int {
		before := store.commits
		if err := l.storeEntries(context.Background()); err != nil {
			t.Fatal(err)
		}
		return store.commits - before
	}
	var last *leader
	for term, want := range []int{1, 0} {
		n, _ := testNode(t, store)
		listWorkers(t, n, store, "w1")
		n.routes.apply(&Config{Version: 1})
		l := lead(t, n, store)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		if _, _, err := l.recover(ctx); err != nil {
			t.Fatal(err)
		}
		if err := l.restoreUnlisted(ctx); err != nil {
			t.Fatal(err)
		}
		if got := written(l); got != want {
			t.Errorf("term %d: %d writes, want %d", term, got, want)
		}
		if got := written(l); got != 0 {
			t.Errorf("term %d: %d writes without a change", term, got)
		}
		l.lose(errors.New("end of the term"))
		last = l
	}
	last.decide(func(d *aqdecider.Decider) { d.UpdateWorker(aqdecider.Worker{ID: "w2", Incarnation: 1}) })
	if got := written(last); got != 1 {
		t.Errorf("%d writes after a change, want 1", got)
	}
}
