package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// isolatedIDs returns the workers on which nothing is placed beside a suspect.
func (w *world) isolatedIDs() []string {
	var ids []string
	for _, id := range sortedKeys(w.s.workers) {
		if w.s.workers[id].resources.Isolated() {
			ids = append(ids, id)
		}
	}
	return ids
}

// crashUnder ends a worker of a job, and waits until its crash is proven and the job runs again.
func (w *world) crashUnder(job string, running int) {
	w.t.Helper()
	notes := w.crashNotes()
	w.crash(w.fleet[w.workerOf(job)])
	for i := 0; i < 200 && (w.crashNotes() == notes || w.running(job) < running); i++ {
		w.advance(50 * time.Millisecond)
	}
	require.Greater(w.t, w.crashNotes(), notes)
	require.Equal(w.t, running, w.running(job))
}

// Guards against workers that stay isolated for as long as a gang lasts: the first member that is seen
// at work clears the whole gang, and the isolation of the other members is never ended.
func TestIsolationEndsOnAllWorkersOfAGang(t *testing.T) {
	for name, perWorker := range map[string]int64{"on one worker": 4, "on two workers": 8} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 4)
			w.advance(time.Second)
			w.submit("a", "usual", gang(2, perWorker, 2*time.Minute))
			w.advance(500 * time.Millisecond)
			w.crashUnder("a", 2)
			require.NotEmpty(t, w.isolatedIDs())
			w.advance(isolationTime + 2*pollInterval)
			require.Equal(t, 2, w.running("a"))
			require.Empty(t, w.isolatedIDs())
		})
	}
}

// Guards against a worker that stays isolated for as long as a task runs: the second crash that was
// presumed turns out to be a cut while the task, no longer a suspect, runs isolated.
func TestIsolationEndsWhenTheTaskIsAbsolved(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(1, 2*time.Minute))
	w.advance(500 * time.Millisecond)
	w.crashUnder("a", 1)
	w.partition(w.fleet[w.workerOf("a")], 10*time.Second)
	for i := 0; i < 200 && w.s.jobs["a"].group(0, 0).tasks[0].crashes.Total() < 2; i++ {
		w.advance(50 * time.Millisecond)
	}
	w.advance(20 * time.Second)
	require.EqualValues(t, 1, w.s.jobs["a"].group(0, 0).tasks[0].crashes.Total())
	require.Equal(t, 1, w.running("a"))
	require.Empty(t, w.isolatedIDs())
	require.NotEqual(t, hfwork.StateFailed, w.state("a"))
}

// Guards against a gang with few tasks on each worker that keeps other work off most of a pool: the limit of
// isolated workers was checked before it was placed, not with its own workers.
func TestGangIsolatesNoMoreThanItsShare(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	step := gang(6, 1, 2*time.Minute)
	step.Compact, step.Apart = false, 1
	w.submit("a", "usual", step)
	w.advance(500 * time.Millisecond)
	require.Equal(t, 6, w.running("a"))
	w.crash(w.fleet[w.workerOf("a")])
	for range 400 {
		w.advance(50 * time.Millisecond)
		require.LessOrEqual(t, len(w.isolatedIDs()), 2)
	}
	require.Equal(t, 6, w.running("a"))
}

// Guards against many suspects that reserve the whole pool: each one that found no empty worker
// reserved another worker, beyond the share that suspects may have.
func TestWaitingSuspectsReserveNoMoreThanTheirShare(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("short", "usual", single(56, 5*time.Second)) // all end before the suspects may share a worker
	w.advance(500 * time.Millisecond)
	w.submit("a", "usual", single(8, 20*time.Second))
	w.advance(500 * time.Millisecond)
	require.Equal(t, 8, w.running("a"))
	w.crash(w.fleet[w.workerOf("a")])
	for range 200 {
		w.advance(50 * time.Millisecond)
		reserved := 0
		for _, id := range sortedKeys(w.s.workers) {
			if r := w.s.workers[id].resources; r.Reserved() || r.Isolated() {
				reserved++
			}
		}
		require.LessOrEqual(t, reserved, 2)
	}
}

// Guards against new urgent work that waits for a suspect of less urgent work, which is isolated for ten
// seconds after two crashes.
func TestUrgentWorkPreemptsASuspect(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(1, 2*time.Minute))
	w.advance(500 * time.Millisecond)
	w.crashUnder("a", 1)
	require.Len(t, w.isolatedIDs(), 1)
	w.advance(6 * time.Second)
	w.crashUnder("a", 1)
	w.advance(time.Second)
	require.Len(t, w.isolatedIDs(), 1)
	w.submit("b", "urgent", gang(4, 8, 5*time.Second))
	w.advance(2700 * time.Millisecond)
	require.Equal(t, 4, w.running("b"))
}

// Guards against tasks that are placed beside a suspect under a new scheduler, or since its worker's resources
// have changed.
func TestIsolationOutlivesChanges(t *testing.T) {
	for name, change := range map[string]func(*world){
		"of the scheduler": func(w *world) { w.replaceScheduler() },
		"of resources": func(w *world) {
			worker := w.s.workers[w.workerOf("a")]
			w.s.replaceResources(worker, worker.registration, w.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 4)
			w.advance(time.Second)
			w.submit("a", "usual", single(1, time.Minute))
			w.advance(500 * time.Millisecond)
			w.crashUnder("a", 1)
			require.Len(t, w.isolatedIDs(), 1)
			w.advance(100 * time.Millisecond)
			change(w)
			w.advance(300 * time.Millisecond)
			require.Equal(t, []string{w.workerOf("a")}, w.isolatedIDs())
		})
	}
}

// Guards against a task that is never known to have been alone: its next start goes to the address of its crash,
// where a second crash does not count as certain.
func TestSuspectIsPlacedAwayFromItsCrash(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(1, time.Minute))
	w.advance(500 * time.Millisecond)
	before := w.workerOf("a")
	f := w.fleet[before]
	w.partition(f, 200*time.Millisecond) // back soon: it would be the first choice again
	w.crash(f)
	for i := 0; i < 200 && (w.crashNotes() == 0 || w.running("a") == 0); i++ {
		w.advance(50 * time.Millisecond)
	}
	require.Equal(t, 1, w.running("a"))
	require.NotEqual(t, before, w.workerOf("a"))
}

// Guards against an innocent task that is isolated at each later start: a run at work for a while clears it.
func TestTaskAtWorkIsNoSuspectAnyMore(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(1, time.Minute))
	w.advance(500 * time.Millisecond)
	w.crashUnder("a", 1)
	task := &w.s.jobs["a"].group(0, 0).tasks[0]
	require.True(t, task.suspect())
	w.advance(isolationTime + 2*pollInterval)
	require.False(t, task.suspect())
	require.False(t, w.records["a"].GetSteps()[0].GetCrashes()[0].GetSuspect(), "as recorded")
}
