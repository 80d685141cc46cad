package aqdecider

import "testing"

// A start that has expired on its way is decided again on the same worker.
func TestExpiredStartSpeaksNotAgainstItsWorker(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	first := h.d.Tick()[0].(Start)
	h.d.StartAnswered("w1", 1, first.Run, OutcomeExpired, h.nextTime())
	h.advance(refusalBackoff)
	orders := h.d.Tick()
	if len(orders) != 1 {
		t.Fatalf("orders %v, want a start", orders)
	}
	if again, ok := orders[0].(Start); !ok || again.Run.Attempt != first.Run.Attempt+1 {
		t.Errorf("%+v, want the next attempt", orders[0])
	}
}

// Guards against TWICE: a start that was sent through an earlier agent as well may have been carried out, though the
// present agent has not sent it.
func TestExpiredStartThatWasSentBeforeIsStopped(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000), poolWorker("w2", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	start := h.d.Tick()[0].(Start)
	h.d.WorkerReassigned(start.Worker)
	h.d.Tick()
	h.d.StartAnswered(start.Worker, 1, start.Run, OutcomeExpired, h.nextTime())
	h.advance(refusalBackoff)
	orders := h.d.Tick()
	if len(orders) != 1 || orders[0] != (Stop{Worker: start.Worker, Run: start.Run}) {
		t.Errorf("orders %+v, want the stop of the run", orders)
	}
}

// While starts are held nothing is placed, and nothing is stopped in order to place it elsewhere.
func TestHeldStarts(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 8000))
	h.d.AddJob(testJob(1, tasks(1, 1000)), nil, 0, false)
	h.d.HoldStarts(true)
	if orders := h.d.Tick(); len(orders) > 0 {
		t.Errorf("orders %+v while starts are held", orders)
	}
	h.d.HoldStarts(false)
	if orders := h.d.Tick(); len(orders) != 1 {
		t.Errorf("orders %+v afterwards, want a start", orders)
	}
}

// Guards against LOST: the starts of a job of thousands of small tasks waited behind each other at one worker's agent until they
// expired, were decided again, and kept those of other jobs from their turn.
func TestStartsUnderWayOnOneWorkerAreLimited(t *testing.T) {
	h := newHarness(t, poolWorker("w1", "r1-1", 64000))
	h.d.AddJob(testJob(1, tasks(1000, 10)), nil, 0, false)
	first := h.d.Tick()
	if countStarts(first) != maxStartsUnderWay {
		t.Fatalf("%d starts, want %d", countStarts(first), maxStartsUnderWay)
	}
	if again := countStarts(h.d.Tick()); again > 0 {
		t.Errorf("%d more starts before any is answered", again)
	}
	for _, o := range first[:10] {
		h.d.StartAnswered("w1", 1, o.(Start).Run, OutcomeAccepted, h.nextTime())
	}
	if more := countStarts(h.d.Tick()); more != 10 {
		t.Errorf("%d more starts after ten are answered", more)
	}
}
