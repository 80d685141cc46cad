package aqexpansion

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqjob"
)

// The order in which tasks are created while earlier ones end.
func TestOrder(t *testing.T) {
	const limit = 1024
	q := New(limit)
	for i, item := range []Item{
		{Priority: 2, Tasks: 600},
		{Priority: 2, Tasks: 300},
		{Priority: 2, Tasks: 300},
		{Priority: 0, Tasks: 300},
		{Priority: 2, Tasks: 4},
		{Priority: 0, Tasks: 4},
		{Priority: 1, Tasks: 2 * limit},
		{Priority: 2, Tasks: 1},
	} {
		item.Job = aqjob.ID(fmt.Sprintf("job%d", i))
		q.Add(item)
	}
	cancelled := aqjob.ID("job2")
	waits := func(id aqjob.ID) bool { return id != cancelled }
	var out strings.Builder
	var created []Item
	for q.Waiting() > 0 || len(created) > 0 {
		item, ok := q.Next(waits)
		if ok {
			q.Created(item.Tasks)
			created = append(created, item)
			fmt.Fprintf(&out, "create %s: priority %d, %d tasks, %d held\n", item.Job, item.Priority, item.Tasks, q.Held())
			continue
		}
		if len(created) == 0 {
			break
		}
		q.Removed(created[0].Tasks)
		fmt.Fprintf(&out, "%s ends, %d held, %d wait\n", created[0].Job, q.Held(), q.Waiting())
		created = created[1:]
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "order", []byte(out.String()))
}

// One job leaves room for others, and without a limit has as many tasks as it likes.
func TestShareOfAJob(t *testing.T) {
	if q := New(1000); q.JobMayGrow(200, 100) || !q.JobMayGrow(200, 50) || !q.JobMayGrow(0, 5000) {
		t.Error("a job may have a quarter of the limit, or one occurrence")
	}
	if !New(0).JobMayGrow(1<<40, 1) {
		t.Error("there is no limit")
	}
}
