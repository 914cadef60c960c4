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

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

func traceCommand(s Streams) *ffcli.Command {
	return &ffcli.Command{
		Name: "trace", ShortUsage: "heatherfront trace ID [FILE...]", ShortHelp: "print the history of a job from the logs of all instances",
		LongHelp: "Reads log lines from the files, or from standard input, and prints those that touch the\njob, and those about the workers that its lines name, in the order of their times.",
		FlagSet:  newFlags("trace", s),
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
			history := trace(args[0], lines)
			if len(history) == 0 {
				return &codedError{exit: ExitMissing, reason: "no line touches job " + args[0]}
			}
			for _, l := range history {
				_, _ = fmt.Fprintln(s.out, l)
			}
			return nil
		},
	}
}

// logLine is one line of a log.
type logLine struct {
	time   string
	node   string
	event  string
	job    string
	worker string
	rest   map[string]any
}

func readLogFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return readLog(f), nil
}

// readLog returns the lines that are events. A line may begin with other text, as where
// logs of several instances were gathered.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
		l := logLine{time: take(fields, "ts"), node: take(fields, "node"), event: take(fields, "msg"), job: take(fields, "job"), worker: take(fields, "worker"), rest: fields}
		for _, name := range []string{"level", "event", "errorVerbose"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines
}

func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// trace returns the lines of a job, of jobs that it made way for, and of the workers that
// its lines name.
func trace(id string, lines []logLine) []logLine {
	workers := map[string]bool{}
	mine := func(l logLine) bool {
		reason, _ := l.rest["reason"].(string)
		return l.job == id || strings.HasSuffix(reason, id)
	}
	for _, l := range lines {
		if mine(l) && l.worker != "" {
			workers[l.worker] = true
		}
	}
	var history []logLine
	for _, l := range lines {
		if mine(l) || (l.job == "" && workers[l.worker]) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return history
}

// String returns the line as a person reads it.
func (l logLine) String() string {
	parts := []string{l.time, l.node, l.event}
	if l.job != "" {
		parts = append(parts, "job="+l.job)
	}
	if l.worker != "" {
		parts = append(parts, "worker="+l.worker)
	}
	for _, name := range slices.Sorted(maps.Keys(l.rest)) {
		if l.rest[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.rest[name]))
		}
	}
	return strings.Join(parts, "  ")
}
