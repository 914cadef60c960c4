package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

func TestCriticalPathIsTheLongestChainOfSteps(t *testing.T) {
	j := &job{spec: &hfwork.Job{Id: "a", Steps: []*hfwork.Step{
		{Count: 1, Estimate: 1000}, {Count: 2, Estimate: 500}, {Count: 1, Estimate: 2000, After: []uint32{0, 1}}, {Count: 1, Estimate: 100, After: []uint32{1}},
	}}}
	j.occurrences = map[uint32]*occurrence{0: newOccurrence(j, 0)}
	total, remaining := j.criticalPath(0)
	require.Equal(t, 3*time.Second, total)
	require.Equal(t, 3*time.Second, remaining)
	j.group(0, 0).open = 0
	_, remaining = j.criticalPath(0)
	require.Equal(t, 2500*time.Millisecond, remaining)
}

// In a burst of urgent jobs, some have already waited too long to meet their
// objective. They must not delay those that still can.
func TestJobsThatCanMeetTheirObjectiveGoFirst(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.policy.Queues[0].Stretch, w.policy.Queues[0].Objective = 1.5, 400
	w.policy.Accounts[0].Guaranteed = 0
	w.send(Policy(w.policy))
	w.advance(time.Second)
	w.submit("first", "urgent", gang(4, 8, 3*time.Second))
	w.advance(50 * time.Millisecond)
	w.submit("short", "urgent", gang(4, 8, time.Second)) // can wait 0.9 s
	w.advance(2800 * time.Millisecond)
	w.submit("long", "urgent", gang(4, 8, 2*time.Second)) // can wait 1.4 s, but has more work
	w.advance(time.Second)
	require.Equal(t, 4, w.running("long"))
	require.Zero(t, w.running("short"))
	w.advance(4 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("short"), "late jobs still run")
}

func TestObjectiveStatus(t *testing.T) {
	received := time.UnixMilli(1_000_000)
	j := &job{
		spec:  &hfwork.Job{Id: "a", Received: received.UnixMilli(), Steps: []*hfwork.Step{{Count: 1, Estimate: 1000}}},
		queue: &hfwork.Queue{Stretch: 2, Objective: 500},
	}
	j.occurrences = map[uint32]*occurrence{0: newOccurrence(j, 0)}
	g := j.group(0, 0)
	for after, want := range map[time.Duration]objectiveStatus{0: onTime, 1500 * time.Millisecond: onTime, 1501 * time.Millisecond: late, 6500 * time.Millisecond: late, 7 * time.Second: overdue} {
		require.Equal(t, want, g.objectiveStatus(received.Add(after)), after)
	}
	j.queue.Stretch = 0
	require.Equal(t, onTime, g.objectiveStatus(received.Add(time.Hour)), "a queue without an objective")
}
