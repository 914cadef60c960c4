package hfcommand

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTraceFollowsAJobAndItsWorkers checks that trace prints a job's lines in the order of
// time, with those of its workers and of a job preempted for it, and nothing else.
func TestTraceFollowsAJobAndItsWorkers(t *testing.T) {
	log := strings.Join([]string{
		`  2.5 edge-2 {"level":"info","ts":"2026-12-04T12:00:02Z","msg":"task-retried","node":"edge-2","job":"a1","reason":"lease lapsed","step":0,"worker":"w7","event":807}`,
		`{"level":"info","ts":"2026-12-04T12:00:00Z","msg":"job-accepted","node":"edge-1","job":"a1","queue":"q","event":800}`,
		`{"level":"warn","ts":"2026-12-04T12:00:01Z","msg":"worker-silent","node":"edge-2","worker":"w7","event":810}`,
		`{"level":"warn","ts":"2026-12-04T12:00:01Z","msg":"worker-silent","node":"edge-2","worker":"w8","event":810}`,
		`{"level":"info","ts":"2026-12-04T12:00:03Z","msg":"tasks-preempted","node":"edge-2","job":"b2","reason":"for job a1","tasks":3,"event":806}`,
		`not an event`,
	}, "\n")
	var out bytes.Buffer
	s := NewStreams(strings.NewReader(log), &out, &bytes.Buffer{})
	require.Equal(t, ExitOK, Run(context.Background(), []string{"trace", "a1"}, s))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	require.Contains(t, lines[0], "job-accepted")
	require.Contains(t, lines[1], "worker-silent  worker=w7")
	require.Contains(t, lines[2], "lease lapsed")
	require.Contains(t, lines[3], "job=b2")
	s = NewStreams(strings.NewReader(log), &out, &bytes.Buffer{})
	require.Equal(t, ExitNotFound, Run(context.Background(), []string{"trace", "c3"}, s))
}
