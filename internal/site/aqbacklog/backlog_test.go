package aqbacklog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"acaciaquay/pkg/aqjob"
	"acaciaquay/pkg/aqtype"
)

const service = aqjob.ServiceID("pool")

func lane(priority int, filler bool) Lane {
	return Lane{
		Service:  service,
		Filler:   filler,
		Priority: priority,
	}
}

func submission(n, priority int, change func(*aqjob.Job)) *aqjob.Job {
	j := &aqjob.Job{
		ID:    aqjob.ID(fmt.Sprintf("%016x", n)),
		Queue: aqjob.Queue{Service: service, Priority: priority, Stretch: 2, Target: time.Second},
		Groups: []aqjob.Group{{
			Count:    4,
			Size:     aqtype.Resources{MilliCPU: 1000},
			Estimate: time.Second,
		}},
	}
	if change != nil {
		change(j)
	}
	return j
}

// The waits of submissions behind what waits already.
func TestWaits(t *testing.T) {
	ahead := []Ahead{
		{Lane: lane(2, false), OnTime: 1000, Late: 5000},
		{Lane: lane(0, false), OnTime: 200, Late: 300},
		{Lane: lane(1, false), Late: 100},
		{Lane: lane(2, true), OnTime: 400},
		{Lane: Lane{Service: "down"}, OnTime: 400},
	}
	capacities := []Capacity{{Service: service, Cores: 100}, {Service: service, Filler: true, Cores: 50}, {Service: "down"}}
	var out strings.Builder
	for _, w := range Waits(ahead, capacities) {
		fmt.Fprintf(&out, "%s filler %v priority %d: %s\n", w.Lane.Service, w.Lane.Filler, w.Lane.Priority, w.Time)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "waits", []byte(out.String()))
}

// What is rejected and when its submitter may return.
func TestDecisions(t *testing.T) {
	long := []Wait{{Lane: lane(0, false), Time: 10 * time.Second}, {Lane: lane(2, false), Time: 20 * time.Second}}
	known := Estimate{Known: true, Waits: long}
	var out strings.Builder
	for _, test := range []struct {
		name     string
		estimate Estimate
		job      *aqjob.Job
	}{
		{name: "no estimate", estimate: Estimate{Waits: long}, job: submission(1, 0, nil)},
		{name: "old estimate", estimate: Estimate{Known: true, Age: maxAge + 1, Waits: long}, job: submission(1, 0, nil)},
		{name: "urgent", estimate: known, job: submission(1, 0, nil)},
		{name: "urgent of another client", estimate: known, job: submission(2, 0, nil)},
		{name: "patient", estimate: known, job: submission(1, 2, nil)},
		{name: "between", estimate: known, job: submission(1, 1, nil)},
		{name: "can still be of use", estimate: known, job: submission(1, 0, func(j *aqjob.Job) { j.Queue.Target = 2 * time.Second })},
		{
			name:     "takes longer than it says",
			estimate: Estimate{Known: true, Waits: long, Typical: []QueueTime{{Time: 2 * time.Second}}},
			job:      submission(1, 0, nil),
		},
		{name: "other processors", estimate: known, job: submission(1, 0, func(j *aqjob.Job) { j.Groups[0].Filler = true })},
		{name: "another service", estimate: known, job: submission(1, 0, func(j *aqjob.Job) { j.Queue.Service = "other" })},
		{name: "lasting", estimate: known, job: submission(1, 0, func(j *aqjob.Job) { j.Groups[0].Perpetual = true })},
		{name: "no memory", estimate: Estimate{Known: true, Room: RoomForNone}, job: submission(1, 0, func(j *aqjob.Job) { j.Repeats = 1 })},
		{name: "memory for small jobs", estimate: Estimate{Known: true, Room: RoomForSmall}, job: submission(1, 0, nil)},
		{
			name:     "memory for small jobs, not this one",
			estimate: Estimate{Known: true, Room: RoomForSmall},
			job:      submission(1, 0, func(j *aqjob.Job) { j.Payload = strings.Repeat("x", smallJob) }),
		},
		{name: "no memory, told long ago", estimate: Estimate{Known: true, Room: RoomForNone, Age: maxAge + 1}, job: submission(1, 0, nil)},
		{name: "timed", estimate: known, job: submission(1, 0, func(j *aqjob.Job) { j.Repeats = 1 })},
	} {
		fmt.Fprintf(&out, "%s: %T %+v\n", test.name, Decide(test.job, test.estimate), Decide(test.job, test.estimate))
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "decisions", []byte(out.String()))
}

// Rejected submitters return spread out, the urgent ones before the patient ones.
func TestReturnsAreSpread(t *testing.T) {
	e := Estimate{Known: true, Waits: []Wait{{Lane: lane(0, false), Time: 10 * time.Second}, {Lane: lane(2, false), Time: 20 * time.Second}}}
	bySecond := map[int]int{}
	var lastUrgent, firstPatient time.Duration
	for n := range 1000 {
		urgent := Decide(submission(n, 0, nil), e).(Reject).ReturnAfter
		patient := Decide(submission(n, 2, nil), e).(Reject).ReturnAfter
		bySecond[int(urgent.Seconds())]++
		lastUrgent = max(lastUrgent, urgent)
		if firstPatient == 0 || patient < firstPatient {
			firstPatient = patient
		}
	}
	if lastUrgent >= firstPatient {
		t.Errorf("the last urgent one returns after %s, the first patient one after %s", lastUrgent, firstPatient)
	}
	for second, count := range bySecond {
		if count > 500 {
			t.Errorf("%d of 1000 return in second %d", count, second)
		}
	}
}
