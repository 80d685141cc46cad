// Package aqexplain prints the timeline of one job from the logs of several processes.
package aqexplain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMatch means that no log line names the job.
var ErrNoMatch = errors.New("explain: no log line names this id")

// line is a parsed log line that names the job.
type line struct {
	at      time.Time
	process string
	message string
	rest    string
}

var (
	timePattern    = regexp.MustCompile(`\btime=(\S+)`)
	processPattern = regexp.MustCompile(`\bProcess=(\S+)`)
	messagePattern = regexp.MustCompile(`\bmsg="([^"]*)"`)
	// omittedPattern matches the attributes that do not appear in the last column of the
	// timeline: time, message and process have columns of their own, and level and layer
	// are dropped.
	omittedPattern = regexp.MustCompile(`\b(time|level|msg|Process|Layer)=("[^"]*"|\S+) ?`)
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Explain writes the timeline of a job: all log lines that name the job or one of its
// tasks, ordered by time, each with the time since the first.
func Explain(id string, out io.Writer, logs ...io.Reader) error {
	var timeline []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parse(scanner.Text(), id); ok {
				timeline = append(timeline, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return errors.Wrap(err, "explain: read log")
		}
	}
	if len(timeline) == 0 {
		return ErrNoMatch
	}
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].at.Before(timeline[j].at) })
	for _, l := range timeline {
		since := l.at.Sub(timeline[0].at).Seconds()
		if _, err := fmt.Fprintf(out, "%+9.3fs  %-18s %-24s %s\n", since, l.process, l.message, l.rest); err != nil {
			return errors.Wrap(err, "explain: write")
		}
	}
	return nil
}

func parse(text, id string) (line, bool) {
	if !strings.Contains(text, "="+id) && !strings.Contains(text, "/"+id) {
		return line{}, false
	}
	stamp := timePattern.FindStringSubmatchIndex(text)
	if stamp == nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text[stamp[2]:stamp[3]])
	if err != nil {
		return line{}, false
	}
	l := line{at: at}
	if process := processPattern.FindStringSubmatch(text); process != nil {
		l.process = process[1]
	}
	if message := messagePattern.FindStringSubmatch(text); message != nil {
		l.message = message[1]
	}
	// A log collector may have added a prefix, so the attributes begin at the time stamp.
	l.rest = strings.TrimSpace(omittedPattern.ReplaceAllString(text[stamp[0]:], ""))
	return l, true
}
