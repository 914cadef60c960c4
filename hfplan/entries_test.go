package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// changedEntries are entries that another writer may have left in place of a worker's own; nil
// stands for one that names no worker.
var changedEntries = map[string]func(w *hfwork.Worker){
	"no longer registered": nil,
	"without resources":    func(w *hfwork.Worker) { w.Cpu, w.Memory, w.Accelerators = 0, 0, 0 },
	"with fewer resources": func(w *hfwork.Worker) { w.Accelerators = 1 },
	"with huge resources": func(w *hfwork.Worker) {
		w.Cpu, w.Memory, w.Accelerators = hfwork.MaxCPU, hfwork.MaxMemory, hfwork.MaxAccelerators
	},
	"without a rack":        func(w *hfwork.Worker) { w.Rack, w.Labels = "", nil },
	"in another pool":       func(w *hfwork.Worker) { w.Pool = "odd" },
	"started at other time": func(w *hfwork.Worker) { w.Born, w.Cpu = 77, 1 },
	"draining":              func(w *hfwork.Worker) { w.Draining, w.Cpu = true, 1 },
}

// sendChangedEntry registers all workers, with a changed entry for the given one.
func (w *world) sendChangedEntry(id string, change func(*hfwork.Worker)) {
	workers := w.registered()
	if change == nil {
		delete(workers, id)
	} else {
		workers[id] = hfwire.Copy(workers[id])
		change(workers[id])
	}
	w.send(Workers(workers))
}

// Guards against the runs of a worker being taken as ended because its entry changed: they ran
// on, and their tasks were started a second time on other workers.
func TestChangedEntryOfWorkerEndsNoRuns(t *testing.T) {
	for name, change := range changedEntries {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.advance(time.Second)
			w.submit("a", "usual", single(16, 20*time.Second))
			w.advance(time.Second)
			require.Equal(t, 16, w.running("a"))
			busy := w.busyWorker()
			w.sendChangedEntry(busy, change)
			w.advance(8 * time.Second)
			require.NotContains(t, w.notes, NoteRetry)
			require.Equal(t, 16, w.running("a"))
			w.send(Workers(w.registered()))
			w.submit("b", "usual", single(32, time.Second))
			w.advance(15 * time.Second)
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
			require.NotContains(t, w.notes, NoteRetry)
			w.advance(5 * time.Second)
			require.Equal(t, hfwork.StateCompleted, w.state("b"))
		})
	}
}

// Guards against a new scheduler taking the runs of an unreachable worker as ended because its
// entry changed.
func TestChangedEntryKeepsNewSchedulerWaiting(t *testing.T) {
	for name, change := range changedEntries {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.advance(time.Second)
			w.submit("a", "usual", single(8, 20*time.Second))
			w.advance(time.Second)
			busy := w.busyWorker()
			w.fleet[busy].partitioned = true
			w.replaceScheduler()
			w.sendChangedEntry(busy, change)
			w.advance(4 * time.Second) // fails if a task starts a second time
			require.Equal(t, 8, w.running("a"))
			w.fleet[busy].partitioned = false
			w.send(Workers(w.registered()))
			w.advance(20 * time.Second)
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
		})
	}
}

// Guards against a worker that restarted with other resources keeping those of the runs it had.
func TestRestartWithOtherResourcesFreesThem(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(time.Second)
	w.submit("a", "usual", single(8, 4*time.Second))
	w.advance(time.Second)
	require.Equal(t, 8, w.running("a"))
	f := w.fleet["w0-0"]
	f.registration = hfwire.Copy(f.registration)
	f.registration.Accelerators, f.registration.Born = 4, 2
	f.incarnation, f.runs, f.ended, f.lastEnd = 2, map[string]*fakeRun{}, nil, 0
	w.send(Workers(w.registered()))
	w.advance(3 * time.Second)
	require.Equal(t, 4, w.running("a"))
	w.advance(10 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
}

// busyWorker returns a worker with runs.
func (w *world) busyWorker() string {
	for _, id := range sortedKeys(w.fleet) {
		if len(w.fleet[id].runs) > 0 {
			return id
		}
	}
	w.t.Fatal("no worker has runs")
	return ""
}

// Guards against a run being taken as ended because its row in a report could not be read.
func TestIncompleteReportEndsNoRuns(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(16, 6*time.Second))
	w.advance(time.Second)
	busy := w.busyWorker()
	incomplete := hfwork.NewReport(0, 1, nil, nil).WithRejected(nil, true)
	for range 5 {
		w.send(Report(busy, w.now, incomplete))
		w.advance(200 * time.Millisecond)
	}
	require.Equal(t, 16, w.running("a"))
	w.advance(8 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
	require.NotContains(t, w.notes, NoteRetry)
}

// Guards against a new scheduler starting a task again while the row of its run could not be
// read.
func TestIncompleteReportKeepsNewSchedulerWaiting(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(16, 6*time.Second))
	w.advance(time.Second)
	busy := w.busyWorker()
	w.fleet[busy].partitioned = true
	w.replaceScheduler()
	w.send(Report(busy, w.now, hfwork.NewReport(0, 1, nil, nil).WithRejected(nil, true)))
	w.advance(time.Second) // fails if a task starts a second time
	w.fleet[busy].partitioned = false
	w.advance(8 * time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("a"))
}

// Guards against an objective that overflows, so that jobs of the largest values lose their turn.
func TestLargestObjectiveDoesNotOverflow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	j := &job{
		spec:  &hfwork.Job{Received: now.UnixMilli(), Steps: []*hfwork.Step{{Count: 1, Estimate: hfwork.MaxEstimate}}},
		queue: &hfwork.Queue{Stretch: 1 << 20, Objective: hfwork.MaxMillis},
	}
	j.occurrences = map[uint32]*occurrence{0: newOccurrence(j, 0)}
	require.Equal(t, onTime, j.group(0, 0).objectiveStatus(now))
}
