package aqsite

import (
	"context"
	"testing"
	"time"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqstore"
)

// A process has the payload of a job from its own memory for a while, and from the store
// when the process that accepted the job does not answer.
func TestPayloadComesFromTheStoreAtLast(t *testing.T) {
	store := newFakeStore()
	n, clock := testNode(t, store)
	job := testJob()
	job.Payload = "a payload"
	if err := n.Submit(context.Background(), job); err != nil {
		t.Fatal(err)
	}
	stored := store.items[jobKey(job.ID)]
	delete(store.items, jobKey(job.ID))
	if payload, err := n.Payload(context.Background(), job.ID, ""); err != nil || payload != job.Payload {
		t.Fatalf("from memory: %q, %v", payload, err)
	}
	clock.Advance(acceptedPayloadTime + time.Second)
	later := testJob()
	later.ID = "5c0e7a21d94b36f9"
	if err := n.Submit(context.Background(), later); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Payload(context.Background(), job.ID, ""); err == nil {
		t.Fatal("the payload is still kept")
	}
	store.items[jobKey(job.ID)] = stored
	if payload, err := n.Payload(context.Background(), job.ID, "127.0.0.1:1"); err != nil || payload != job.Payload {
		t.Fatalf("from the store: %q, %v", payload, err)
	}
	value, err := aqjob.Encode(job.Remainder())
	if err != nil {
		t.Fatal(err)
	}
	store.items[jobKey(job.ID)] = aqstore.Item{Key: jobKey(job.ID), Value: value, ModRevision: 99}
	if _, err := n.Payload(context.Background(), job.ID, ""); err == nil {
		t.Fatal("an ended job has a payload")
	}
}
