package hfcommand

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLineBytes is the maximum length of a log line; reading stops at a longer one.
const maxLineBytes = 1 << 20

func traceCommand(s Streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "trace", ShortUsage: "heatherfront trace ID [FILE...]", ShortHelp: "print the history of a job from the logs of all instances",
		LongHelp: "Reads log lines from the files, or from standard input, and prints those that touch the\njob, and those about the workers that its lines name, in the order of their times.",
		FlagSet:  newFlagSet("trace", s),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || args[0] == "" {
				return fmt.Errorf("%w: trace takes the id of a job", ErrUsage)
			}
			var lines []logLine
			if len(args) == 1 {
				lines = readLog(s.in)
			}
			for _, name := range args[1:] {
				found, err := readLogFile(name)
				if err != nil {
					return fmt.Errorf("trace: %w", err)
				}
				lines = append(lines, found...)
			}
			history := jobHistory(args[0], lines)
			if len(history) == 0 {
				return &exitError{exit: ExitNotFound, reason: "no line touches job " + args[0]}
			}
			for _, l := range history {
				_, _ = fmt.Fprintln(s.out, l)
			}
			return nil
		},
	}
}

// logLine is an event read from a log.
type logLine struct {
	time   string
	node   string
	event  string
	job    string
	worker string
	fields map[string]any
}

func readLogFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return readLog(f), nil
}

// readLog returns the events of a log and skips other lines. Text before the JSON object of
// a line is ignored, because the lines of a log collected from several instances have
// prefixes.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[start:]), &fields) != nil || fields["event"] == nil {
			continue
		}
		l := logLine{time: takeString(fields, "ts"), node: takeString(fields, "node"), event: takeString(fields, "msg"), job: takeString(fields, "job"), worker: takeString(fields, "worker"), fields: fields}
		for _, name := range []string{"level", "event", "errorVerbose"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines
}

// takeString removes a field and returns its value, or "" if it is not a string.
func takeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// jobHistory returns, in the order of time, the lines of a job, the lines whose reason ends
// with its id (such as those of jobs preempted for it), and the lines that name no job but a
// worker that any of these name.
func jobHistory(id string, lines []logLine) []logLine {
	workers := map[string]bool{}
	concernsJob := func(l logLine) bool {
		reason, _ := l.fields["reason"].(string)
		return l.job == id || strings.HasSuffix(reason, id)
	}
	for _, l := range lines {
		if concernsJob(l) && l.worker != "" {
			workers[l.worker] = true
		}
	}
	var history []logLine
	for _, l := range lines {
		if concernsJob(l) || (l.job == "" && workers[l.worker]) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return history
}

// String formats the line for people.
func (l logLine) String() string {
	parts := []string{l.time, l.node, l.event}
	if l.job != "" {
		parts = append(parts, "job="+l.job)
	}
	if l.worker != "" {
		parts = append(parts, "worker="+l.worker)
	}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if l.fields[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, "  ")
}
