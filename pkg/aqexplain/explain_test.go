package aqexplain

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

const leaderLog = `time=2026-02-18T14:12:00.020Z level=INFO msg="run placed" Process=n2 Event=530 Layer=decider Task=5c0e7a21d94b36f8.0.0.1 Worker=i-1 Attempt=1 Waited=10ms
time=2026-02-18T14:12:00.500Z level=INFO msg="run ended" Process=n2 Event=533 Layer=decider Task=aaaa7a21d94b36f8.0.0.1 Worker=i-1 How=Done
time=2026-02-18T14:12:01.520Z level=INFO msg="run ended" Process=n2 Event=533 Layer=decider Task=5c0e7a21d94b36f8.0.0.1 Worker=i-1 How=Done Why=""
not a log line, but it names =5c0e7a21d94b36f8
`

const entryLog = `12.5 n1 time=2026-02-18T14:12:00.010Z level=INFO msg="job accepted" Process=n1 Event=930 Layer=intake Job=5c0e7a21d94b36f8 Took=8ms
time=2026-02-18T14:12:02.000Z level=WARN msg="call failed" Process=n1 Event=935 Layer=intake Path=/p/5c0e7a21d94b36f8 Status=504
`

func TestExplain(t *testing.T) {
	var out strings.Builder
	if err := Explain("5c0e7a21d94b36f8", &out, strings.NewReader(leaderLog), strings.NewReader(entryLog)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "story", []byte(out.String()))
	if err := Explain("ffff7a21d94b36f8", &out, strings.NewReader(leaderLog)); !errors.Is(err, ErrNoMatch) {
		t.Fatalf("unknown id: %v", err)
	}
}
