// Package aqexplain follows one job through the log lines of many processes.
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

// ErrNothing means that no line names the job.
var ErrNothing = errors.New("explain: no line names this id")

// line is one log line that names the job.
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
	// shownElsewhere are attributes that the story does not repeat.
	shownElsewhere = regexp.MustCompile(`\b(time|level|msg|Process|Layer)=("[^"]*"|\S+) ?`)
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Explain writes the story of a job: every line of the logs that names it, or one
// of its tasks, in order of time, with the time since the first.
func Explain(id string, out io.Writer, logs ...io.Reader) error {
	var story []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parse(scanner.Text(), id); ok {
				story = append(story, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return errors.Wrap(err, "explain: read log")
		}
	}
	if len(story) == 0 {
		return ErrNothing
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	for _, l := range story {
		since := l.at.Sub(story[0].at).Seconds()
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
	// A collector may have put something before the line.
	l.rest = strings.TrimSpace(shownElsewhere.ReplaceAllString(text[stamp[0]:], ""))
	return l, true
}
