package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Single tasks run on every worker and end at different times, and a gang needs
// several whole workers. A gang of five whole workers that needs no common rack used
// to wait 48 s, because no rack had five free at once.
func TestGangOfWholeWorkersSpansSeveralRacks(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.advance(time.Second)
	// Each rack has a worker that becomes free soon; the others are refilled repeatedly.
	for i := range 128 {
		id := fmt.Sprintf("spare-%03d", i)
		w.durations[id] = time.Duration(2+i%7) * time.Second
		w.submit(id, "spare", single(1, w.durations[id]))
	}
	w.advance(100 * time.Millisecond)
	step := gang(5, 8, 2*time.Second) // more workers than a rack has
	step.Compact = false
	w.submit("gang", "usual", step)
	for i := range 600 {
		id := fmt.Sprintf("more-%03d", i)
		w.durations[id] = time.Duration(2+i%7) * time.Second
		w.submit(id, "spare", single(1, w.durations[id]))
	}
	w.advance(14 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("gang"))
}

// Lasting tasks can be preempted at any time, so they may use reserved workers until
// the gang starts.
func TestLastingTasksUseWorkersReservedForAGang(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	w.submit("busy", "usual", checkpointing(gang(3, 8, 10*time.Second)))
	w.advance(500 * time.Millisecond)
	w.submit("gang", "usual", checkpointing(gang(4, 8, 5*time.Second)))
	w.advance(500 * time.Millisecond)
	lasting := single(8, time.Hour)
	lasting.Lasting = true
	w.submit("lasting", "spare", lasting)
	w.advance(time.Second)
	require.Equal(t, 8, w.running("lasting"))
	w.advance(20 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("gang"), "lasting tasks are preempted for it")
}

// The lasting tasks never all fit and are preempted again and again. Without turns,
// the largest job did not run for 23 s.
func TestLastingTasksTakeTurns(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	for i := range 6 {
		step := single(uint32(4+i), time.Hour)
		step.Lasting = true
		w.submit(fmt.Sprint("lasting-", i), "spare", step)
		w.advance(50 * time.Millisecond)
	}
	ran := map[string]bool{}
	for i := range 12 {
		w.submit(fmt.Sprint("urgent-", i), "urgent", gang(1, 8, 400*time.Millisecond))
		for range 10 {
			w.advance(100 * time.Millisecond)
			for k := range 6 {
				id := fmt.Sprint("lasting-", k)
				ran[id] = ran[id] || w.running(id) > 0
			}
		}
	}
	require.Len(t, ran, 6)
	for id, did := range ran {
		require.True(t, did, id)
	}
}
