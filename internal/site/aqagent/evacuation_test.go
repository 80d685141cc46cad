package aqagent

import (
	"context"
	"testing"
	"time"

	"acaciaquay/internal/site/aqevacuation"
	"acaciaquay/internal/site/aqworker"
	"acaciaquay/pkg/aqdecider"
	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqstore"
	"acaciaquay/pkg/aqtype"
)

// zoneLeader is a leader that polls an agent with what it knows of the zone of worker w1.
type zoneLeader struct {
	t       *testing.T
	session *session
	acked   uint64
}

// newZoneLeader returns the leader of a session whose worker answers, and the starts that reach the worker.
func newZoneLeader(t *testing.T, start func() error) (l *zoneLeader, attempts *int) {
	attempts = new(int)
	s := listingSession(t, func() aqdecider.WorkerReport { return reportOf(1, nil, nil) }, func(aqworker.StartRequest) error {
		*attempts++
		return start()
	})
	s.worker.Zone = "a"
	awaitPayload(t, s, startOf(0).Run.Task.Job)
	return &zoneLeader{
		t:       t,
		session: s,
	}, attempts
}

func zoneReport(revision aqstore.Revision, age time.Duration) *aqevacuation.Report {
	k := aqevacuation.New(aqevacuation.Times{
		Bound: 5 * time.Second,
		Call:  OrderTimeout,
	})
	evacuated := map[aqtype.Zone]aqstore.Revision{}
	if revision > 0 {
		evacuated["a"] = revision
	}
	k.Read(evacuated, []aqtype.Zone{"a"}, time.Minute-age)
	return k.Report(time.Minute)
}

func (l *zoneLeader) poll(fence aqworker.Fence, report *aqevacuation.Report) {
	l.t.Helper()
	answer, err := l.session.agent.Poll(context.Background(), PollCall{
		Fence:       fence,
		AckedAnswer: l.acked,
		Evacuations: report,
	})
	if err != nil {
		l.t.Fatal(err)
	}
	l.acked = answer.Number
}

func (l *zoneLeader) advance(elapsed time.Duration) {
	l.session.agent.clock.(interface{ Advance(time.Duration) }).Advance(elapsed)
}

// A start that waits in the agent is not sent to a worker whose zone has been evacuated meanwhile, or is not known to be open.
func TestStartInAClosedZoneIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name    string
		polls   func(*zoneLeader)
		outcome aqdecider.Outcome
	}{
		{name: "nobody evacuates", polls: func(l *zoneLeader) { l.poll(5, nil) }, outcome: aqdecider.OutcomeAccepted},
		{name: "open", polls: func(l *zoneLeader) { l.poll(5, zoneReport(0, 0)) }, outcome: aqdecider.OutcomeAccepted},
		{name: "evacuated", polls: func(l *zoneLeader) { l.poll(5, zoneReport(7, 0)) }, outcome: aqdecider.OutcomeNotSent},
		{
			name: "taken back",
			polls: func(l *zoneLeader) {
				l.poll(5, zoneReport(7, 0))
				l.poll(5, zoneReport(0, 0))
			},
			outcome: aqdecider.OutcomeAccepted,
		},
		{name: "the leader cannot ask the store", polls: func(l *zoneLeader) { l.poll(5, zoneReport(0, 5*time.Second)) }, outcome: aqdecider.OutcomeNotSent},
		{
			// The poll was sent after the last answer, but nobody knows how long after.
			name: "the poll was delayed",
			polls: func(l *zoneLeader) {
				l.advance(PermitTime - 200*time.Millisecond)
				l.poll(5, zoneReport(0, 4*time.Second))
			},
			outcome: aqdecider.OutcomeNotSent,
		},
		{name: "no zone is known", polls: func(l *zoneLeader) { l.poll(5, &aqevacuation.Report{Limit: time.Hour}) }, outcome: aqdecider.OutcomeNotSent},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, attempts := newZoneLeader(t, func() error { return nil })
			l.poll(5, zoneReport(0, 0))
			test.polls(l)
			l.session.heartbeat()
			l.session.start(startOf(0))
			checkStartResult(t, l.session, test.outcome)
			if sent := *attempts > 0; sent != (test.outcome == aqdecider.OutcomeAccepted) {
				t.Errorf("%d attempts", *attempts)
			}
			if withheld := l.session.agent.metrics.RetriedCount(aqmetric.RetryZoneClosed) > 0; withheld != (*attempts == 0) {
				t.Errorf("counted as withheld: %v", withheld)
			}
		})
	}
}

// An attempt that was not answered may have started the run, whatever has become of the zone since.
func TestUnansweredStartInAZoneThatIsEvacuatedMeanwhile(t *testing.T) {
	var l *zoneLeader
	l, attempts := newZoneLeader(t, func() error {
		l.poll(5, zoneReport(7, 0))
		return aqworker.ErrUnanswered
	})
	l.poll(5, zoneReport(0, 0))
	l.poll(5, zoneReport(0, 0))
	l.session.heartbeat()
	l.session.start(startOf(0))
	checkStartResult(t, l.session, aqdecider.OutcomeUnknown)
	if *attempts != 1 {
		t.Errorf("%d attempts, want one", *attempts)
	}
}

// What a leader has told of zones does not count in the term of the next one.
func TestNextLeaderTellsOfZonesAnew(t *testing.T) {
	l, _ := newZoneLeader(t, func() error { return nil })
	l.poll(5, zoneReport(0, 0))
	l.poll(5, zoneReport(0, 0))
	agent := l.session.agent
	if !agent.Permitted(5) || !agent.mayStartIn("a") {
		t.Fatal("the zone is not open")
	}
	l.poll(6, zoneReport(7, 0))
	if agent.Permitted(6) {
		t.Fatal("the first poll of a leader gives a permit")
	}
	l.poll(6, zoneReport(7, 0))
	if !agent.Permitted(6) || agent.mayStartIn("a") {
		t.Fatal("the zone is open though the next leader knows of its evacuation")
	}
}
