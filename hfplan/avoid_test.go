package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// newSickWorld returns a world of two workers: one is full with tasks that last, the other one fails
// what it starts.
func newSickWorld(t *testing.T) (w *world, sick *fakeWorker) {
	t.Helper()
	w = newWorld(t, 1, 2)
	w.advance(time.Second)
	full := single(1, time.Hour)
	full.Accelerators, full.Lasting = 8, true
	w.submit("full", "usual", full)
	w.advance(2 * time.Second)
	for _, f := range w.fleet {
		if len(f.runs) == 0 {
			sick = f
		}
	}
	sick.failsRuns = true
	return w, sick
}

// startsOf returns how often the first task of a job was started.
func (w *world) startsOf(job string) int {
	return w.startCounts[fmt.Sprint(hfwork.NewTaskID(job, 0, 0, 0))]
}

// A task that had failed once on a sick worker waited for a full one for good (review/7).
func TestTaskDoesNotWaitForFullWorkerForGood(t *testing.T) {
	for name, lasting := range map[string]bool{"lasting": true, "ending": false} {
		t.Run(name, func(t *testing.T) {
			w, sick := newSickWorld(t)
			step := single(1, 10*time.Second)
			step.Lasting = lasting
			w.submit("a", "usual", step)
			w.advance(2 * time.Second)
			require.Zero(t, w.running("a"), "its first run has failed")
			sick.failsRuns = false
			w.advance(2 * time.Second)
			require.Equal(t, 1, w.running("a"))
			require.Equal(t, hfwork.StateRunning, w.state("a"))
		})
	}
}

// Guards against tasks that use up their attempts on a sick worker while others are only full for a
// short time.
func TestTaskWaitsForOtherWorkersBeforeItReturnsToASickOne(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	full := single(8, 4*time.Second)
	full.Cpu, full.Memory = 16_000, 32_768
	w.submit("full", "usual", full)
	w.advance(100 * time.Millisecond)
	for _, f := range w.fleet {
		f.failsRuns = len(f.runs) == 0
	}
	w.submit("a", "usual", single(1, 2*time.Second))
	w.advance(8 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
	require.Equal(t, 2, w.startsOf("a"), w.startCounts)
}

// Guards against a lasting task that restarts in a loop on a worker that fails it.
func TestLastingTaskRestartsAtIntervalsOnItsOnlyWorker(t *testing.T) {
	w, _ := newSickWorld(t)
	step := single(1, 5*time.Second)
	step.Lasting = true
	w.submit("a", "usual", step)
	w.advance(20 * time.Second)
	require.LessOrEqual(t, w.startsOf("a"), 10)
	require.GreaterOrEqual(t, w.startsOf("a"), 4)
}
