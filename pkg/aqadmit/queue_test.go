package aqadmit_test

import (
	"fmt"
	"testing"
	"time"

	"acaciaquay/pkg/aqadmit"
	"acaciaquay/pkg/aqconfig"
	"acaciaquay/pkg/aqtype"
)

var (
	start = time.Unix(0, 0)
	later = start.Add(time.Hour)
)

func push(q *aqadmit.Queue, u aqtype.Urgency, caller string, n int) {
	for range n {
		q.Push(&aqadmit.Ticket{
			Urgency:  u,
			Caller:   caller,
			Deadline: later,
		})
	}
}

// Whichever urgency is overloaded, every other one gets at least its floor of the
// grants.
func TestFloorsHoldInAFlood(t *testing.T) {
	config := aqconfig.Default()
	for _, overloaded := range aqtype.Urgencies {
		q := aqadmit.NewQueue(config)
		const grants = 1000
		for _, u := range aqtype.Urgencies {
			push(q, u, "a", grants)
		}
		push(q, overloaded, "flood", 9*grants)
		got := map[aqtype.Urgency]int{}
		for range grants {
			got[q.Pop(start, func(*aqadmit.Ticket) {}).Urgency]++
		}
		for _, u := range aqtype.Urgencies {
			if floor := config.Share(u).FloorPercent * grants / 100; got[u] < floor {
				t.Errorf("overload of %s: %s got %d of %d grants, floor %d", overloaded, u, got[u], grants, floor)
			}
		}
	}
}

// A caller with many requests does not delay the other callers of its urgency.
func TestCallersOfOneUrgencyTakeTurns(t *testing.T) {
	q := aqadmit.NewQueue(aqconfig.Default())
	push(q, aqtype.UrgencyNormal, "many", 1000)
	push(q, aqtype.UrgencyNormal, "few", 10)
	few := 0
	for range 20 {
		if q.Pop(start, func(*aqadmit.Ticket) {}).Caller == "few" {
			few++
		}
	}
	if few != 10 {
		t.Fatalf("the caller with few requests got %d of 20 grants", few)
	}
}

func TestExpiredTicketsArePassedOver(t *testing.T) {
	q := aqadmit.NewQueue(aqconfig.Default())
	push(q, aqtype.UrgencyUrgent, "a", 3)
	expired := 0
	if q.Pop(later, func(*aqadmit.Ticket) { expired++ }) != nil || expired != 3 || q.Len() != 0 {
		t.Fatalf("%d expired, %d left", expired, q.Len())
	}
}

func ExampleQueue() {
	q := aqadmit.NewQueue(aqconfig.Default())
	push(q, aqtype.UrgencyBackground, "press", 2)
	push(q, aqtype.UrgencyUrgent, "counter", 1)
	fmt.Println(q.Pop(start, func(*aqadmit.Ticket) {}).Caller, q.Len())
	// Output: counter 2
}
