package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// A run is given up and its task runs again elsewhere; then the first run turns out to have
// ended as done. The later run used to go on, and was even started after the end was stored
// (incident TWICE, play 2).
func TestCompletionEndsTheLaterRunOfTheTask(t *testing.T) {
	for _, later := range allPhases {
		t.Run(later.String(), func(t *testing.T) {
			d := newDesk(t, 1, "a", "b")
			d.report("a")
			d.store()
			d.report("b")
			// The second task keeps the step open, so that its other runs are still started.
			open := deskStep(2)
			open.Estimate = 600_000
			d.startAll("x", open)
			task := hfwork.NewTaskID("x", 0, 0, 0)
			first := d.s.task(task).run
			gone := first.worker.id()
			d.send(Workers(deskWorkers("a", "b", "c")))
			d.store()
			d.report("c")
			d.loseWorker(gone)
			second := d.s.task(task).run
			require.NotNil(t, second)
			require.Equal(t, "c", second.worker.id())
			d.bring(later)
			require.Equal(t, later, second.phase)

			d.reportEnds(gone, nil, d.end(gone, task, first.number, hfwork.Done))
			require.True(t, d.s.task(task).done)
			if later != assigned {
				require.Equal(t, 1, d.stopsOf(task, second.number), "the later run is stopped")
			}
			d.store()
			require.Empty(t, d.takeStarts(), "no run starts after the task is done")
			if later == assigned {
				require.Nil(t, d.s.task(task).run)
				require.Empty(t, d.s.workers["c"].runs)
				return
			}
			require.Equal(t, stopping, second.phase)
			require.False(t, d.s.workers["c"].resources.CanStart(deskSize), "the run counts until it is known to have ended")
			d.send(Stopped(d.stops[len(d.stops)-1], OutcomeDone))
			d.report("c")
			require.Empty(t, d.s.workers["c"].runs)
			require.True(t, d.s.workers["c"].resources.CanStart(deskSize))
			require.Zero(t, d.retries(task, second.number), "a run of a completed task is not retried")
			d.advance(3 * time.Second)
			d.store()
			require.Empty(t, d.takeStarts())
		})
	}
}

// One end represents a whole gang. The end of a member's earlier run used to complete the gang
// while its later run went on (incident TWICE).
func TestCompletionEndsTheLaterRunOfAGang(t *testing.T) {
	for _, later := range allPhases {
		t.Run(later.String(), func(t *testing.T) {
			d := newDesk(t, 1, "a", "b", "c", "d")
			for _, id := range []string{"a", "b", "c", "d"} {
				d.report(id)
				d.store()
			}
			step := deskStep(2)
			step.Gang = true
			starts := d.startAll("x", step)
			gone, survivor := starts[0], starts[1]
			d.loseWorker(gone.Worker())
			d.send(Stopped(d.stops[len(d.stops)-1], OutcomeDone))
			d.reportEnds(survivor.Worker(), nil, d.end(survivor.Worker(), survivor.Task(), survivor.Number(), hfwork.Stopped))
			members := d.s.task(gone.Task()).group.tasks
			second := []*run{members[0].run, members[1].run}
			require.NotNil(t, second[0])
			d.bring(later)
			require.Equal(t, later, second[0].phase)
			d.stops = nil

			d.reportEnds(gone.Worker(), nil, d.end(gone.Worker(), gone.Task(), gone.Number(), hfwork.Done))
			if later != assigned && later != stopping {
				require.Len(t, d.stops, 2, "both members of the later run are stopped")
			}
			d.store()
			require.Empty(t, d.takeStarts(), "no member starts after the gang is done")
			require.Equal(t, hfwork.StateCompleted, d.s.jobs["x"].state)
			for i, r := range second {
				if later == assigned {
					require.Nil(t, members[i].run)
					continue
				}
				require.Equal(t, stopping, r.phase)
				d.send(Stopped(StopCmd{worker: r.worker.id(), task: members[i].id(), number: r.number}, OutcomeDone))
				d.report(r.worker.id())
				require.Empty(t, r.worker.runs)
				require.Zero(t, d.retries(members[i].id(), r.number))
			}
			require.True(t, d.s.jobs["x"].idle())
			d.advance(3 * time.Second)
			require.Empty(t, d.takeStarts())
		})
	}
}

// The members of a gang end together. When the end of one of them arrives first, the others
// must not be told to stop.
func TestCompletionLeavesTheSameRunOfAGangAlone(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	step := deskStep(2)
	step.Gang = true
	starts := d.startAll("x", step)
	for _, c := range starts {
		require.False(t, d.s.jobs["x"].idle())
		d.reportEnds(c.Worker(), nil, d.end(c.Worker(), c.Task(), c.Number(), hfwork.Done))
	}
	require.Empty(t, d.stops)
	require.True(t, d.s.jobs["x"].idle())
}

// A run of an earlier scheduler ends as done on a worker whose leases were taken to have
// expired. The run that the new scheduler had assigned used to be started afterwards
// (incident TWICE).
func TestCompletionOfARunOfAnEarlierSchedulerEndsTheLaterRun(t *testing.T) {
	for _, later := range allPhases {
		t.Run(later.String(), func(t *testing.T) {
			d := newDesk(t, 2, "a", "b")
			task := hfwork.NewTaskID("x", 0, 0, 0)
			d.send(Job(&hfwork.Job{Id: "x", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{deskStep(2)}}, &hfwork.Progress{
				State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{0: "a", 1: "a"}}},
			}, false))
			d.store()
			d.report("b")
			d.store()
			require.Empty(t, d.takeStarts(), "the tasks may still run on the silent worker")
			d.loseWorker("a")
			second := d.s.task(task).run
			require.NotNil(t, second)
			d.bring(later)
			require.Equal(t, later, second.phase)

			d.reportEnds("a", nil, d.end("a", task, 1, hfwork.Done))
			if later != assigned {
				require.Equal(t, 1, d.stopsOf(task, second.number))
			}
			d.store()
			for _, c := range d.takeStarts() {
				require.NotEqual(t, task, c.Task())
			}
			require.Zero(t, d.retries(task, second.number))
		})
	}
}

// A late end as failed uses up the last attempt while a later run of the task is under way.
// No run may start or go on after that.
func TestLastFailureEndsTheLaterRunOfTheTask(t *testing.T) {
	for _, later := range allPhases {
		t.Run(later.String(), func(t *testing.T) {
			d := newDesk(t, 1, "a", "b")
			d.s.queues["usual"].Attempts = 1
			d.report("a")
			d.store()
			d.report("b")
			first := d.startAll("x", deskStep(1))[0]
			d.loseWorker(first.Worker())
			second := d.s.task(first.Task()).run
			require.NotNil(t, second)
			d.bring(later)
			require.Equal(t, later, second.phase)
			d.reportEnds(first.Worker(), nil, d.end(first.Worker(), first.Task(), first.Number(), hfwork.Failed))
			require.Equal(t, hfwork.StateFailed, d.s.jobs["x"].state)
			if later != assigned {
				require.Equal(t, 1, d.stopsOf(first.Task(), second.number))
			}
			d.store()
			require.Empty(t, d.takeStarts())
		})
	}
}

// Two runs of a task are active and one of them is being stopped. When the other one ends, the
// task used to be started a third time before the stop had taken effect.
func TestTaskWaitsForTheEndOfItsOrphan(t *testing.T) {
	for name, settle := range map[string]func(d *desk, worker string){
		"gone":   func(d *desk, worker string) { d.report(worker) },
		"silent": func(d *desk, worker string) { d.loseWorker(worker) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1, "a", "b")
			d.report("a")
			d.store()
			d.report("b")
			first := d.startAll("x", deskStep(1))[0]
			d.loseWorker(first.Worker())
			d.store()
			second := d.takeStarts()[0]
			d.send(Started(second, OutcomeDone))
			active := hfwork.NewRun(first.Task(), first.Number(), "", 50, 0)
			d.report(first.Worker(), active)
			require.Equal(t, 1, d.stopsOf(first.Task(), first.Number()))
			d.send(Workers(deskWorkers("a", "b", "c")))
			d.store()
			d.report("c")
			d.reportEnds(second.Worker(), nil, d.end(second.Worker(), second.Task(), second.Number(), hfwork.Failed))
			d.store()
			require.Empty(t, d.takeStarts(), "the first run has not ended")
			settle(d, first.Worker())
			d.store()
			require.Len(t, d.takeStarts(), 1)
		})
	}
}

// A job becomes known after a worker has reported a run of it, which is being stopped. Its task
// used to be started elsewhere at once, since the worker had reported.
func TestJobLearnedLateWaitsForItsReportedRuns(t *testing.T) {
	d := newDesk(t, 2, "a", "b")
	task := hfwork.NewTaskID("x", 0, 0, 0)
	d.report("a", hfwork.NewRun(task, 1, "", 50, 0))
	d.store()
	d.report("b")
	require.Equal(t, 1, d.stopsOf(task, 1))
	d.send(Job(&hfwork.Job{Id: "x", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{deskStep(1)}}, &hfwork.Progress{
		State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{0: "a"}}},
	}, false))
	d.store()
	require.Empty(t, d.takeStarts(), "the run has not ended")
	d.report("a")
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// A worker whose leases were taken to have expired reports that the run is still active, while
// the next run of the task waits for its start. That start used to be sent.
func TestReportedRunReplacesAnAssignedOne(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	first := d.startAll("x", deskStep(1))[0]
	d.loseWorker(first.Worker())
	second := d.s.task(first.Task()).run
	require.NotNil(t, second)
	require.Equal(t, assigned, second.phase)
	d.report(first.Worker(), hfwork.NewRun(first.Task(), first.Number(), "", 50, 0))
	d.store()
	require.Empty(t, d.takeStarts())
	require.Equal(t, first.Number(), d.s.task(first.Task()).run.number)
	require.Empty(t, d.stops)
	require.Empty(t, second.worker.runs)
}

// A worker's registration changes while it runs a task: an entry that was written late, or by
// someone else, proves nothing about the runs. They used to be given up at once, and started
// again elsewhere while they went on.
func TestChangedRegistrationDoesNotEndRuns(t *testing.T) {
	d := newDesk(t, 1, "a")
	d.report("a")
	d.store()
	c := d.startAll("x", deskStep(1))[0]
	registered := deskWorkers("a", "b")
	registered["a"].Rack, registered["a"].Accelerators = "other", 16
	d.send(Workers(registered))
	d.store()
	d.report("b")
	d.advance(time.Second)
	d.store()
	require.Empty(t, d.takeStarts(), "the run has not ended")
	require.Len(t, d.s.workers["a"].runs, 1)
	a := d.s.workers["a"].resources
	require.Equal(t, int64(8), a.Free().Accelerators(), "the run counts on the changed worker")
	require.True(t, a.CanStart(deskSize))

	d.report("a", hfwork.NewRun(c.Task(), c.Number(), "", 50, 0))
	require.Empty(t, d.stops)
	d.reportEnds("a", nil, d.end("a", c.Task(), c.Number(), hfwork.Done))
	require.Equal(t, int64(16), a.Free().Accelerators())
	require.Equal(t, hfwork.StateCompleted, d.s.jobs["x"].state)
}

// Runs that were assigned to a worker before its registration changed are placed again: all
// members of a gang or none.
func TestChangedRegistrationReleasesAssignedRuns(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	step := deskStep(2)
	step.Gang = true
	d.submit("x", step)
	require.Equal(t, 2, d.s.jobs["x"].group(0, 0).assigned)
	registered := deskWorkers("a", "b")
	registered["b"].Accelerators = 4
	d.send(Workers(registered))
	d.store()
	require.Empty(t, d.takeStarts())
	require.Empty(t, d.s.workers["a"].runs)
	require.Empty(t, d.s.workers["b"].runs)
	require.Equal(t, int64(4), d.s.workers["b"].resources.Free().Accelerators())
}

// A stop that is refused shows nothing about the run. It used to end the run, and its task was
// started elsewhere while the worker went on with it.
func TestRefusedStopDoesNotEndTheRun(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	d.submit("x", deskStep(1))
	d.store()
	c := d.takeStarts()[0]
	d.send(Started(c, OutcomeUnknown))
	require.Len(t, d.stops, 1)
	d.send(Stopped(d.stops[0], OutcomeRefused))
	d.store()
	require.Empty(t, d.takeStarts(), "the run may be active")
	d.report(c.Worker())
	d.store()
	require.Empty(t, d.takeStarts(), "the start may be carried out later, as no stop was")
	d.advance(time.Second)
	d.store()
	require.Empty(t, d.takeStarts(), "the run may be active")
	require.Greater(t, d.stopsOf(c.Task(), c.Number()), 1, "the stop is repeated")
	d.send(Stopped(d.stops[0], OutcomeDone))
	d.report(c.Worker())
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// A worker that refuses a start because it knows this or a later run may have that run. Its
// task used to be started elsewhere at once.
func TestStaleStartIsSettledByAStop(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	d.submit("x", deskStep(1))
	d.store()
	c := d.takeStarts()[0]
	d.send(Started(c, OutcomeStale))
	d.store()
	require.Empty(t, d.takeStarts(), "the worker may have the run")
	require.Equal(t, 1, d.stopsOf(c.Task(), c.Number()))
	d.send(Stopped(d.stops[0], OutcomeDone))
	d.report(c.Worker())
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// A start gets no answer, and its stop is confirmed; then the worker restarts under the same id
// and no longer knows of the stop. The start may still arrive there, so the task used to run
// twice if it was started elsewhere at once.
func TestUnansweredStartIsStoppedAgainAfterARestart(t *testing.T) {
	d := newDesk(t, 1, "a", "b")
	d.report("a")
	d.store()
	d.report("b")
	d.submit("x", deskStep(1))
	d.store()
	c := d.takeStarts()[0]
	d.send(Started(c, OutcomeUnknown))
	d.send(Stopped(d.stops[0], OutcomeDone))
	d.born[c.Worker()] = 2
	d.report(c.Worker())
	d.store()
	require.Empty(t, d.takeStarts(), "the new incarnation does not know of the stop")
	require.Equal(t, 2, d.stopsOf(c.Task(), c.Number()))
	d.send(Stopped(d.stops[1], OutcomeDone))
	d.report(c.Worker())
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// Guards against a worker that gets no tasks for a while because a start for it was withdrawn by
// a stop, which says nothing about the worker.
func TestWithdrawnStartIsNoRefusal(t *testing.T) {
	d := newDesk(t, 1, "a")
	d.report("a")
	d.store()
	d.submit("x", deskStep(1))
	d.store()
	c := d.takeStarts()[0]
	d.send(Job(&hfwork.Job{Id: "x"}, nil, true))
	require.Equal(t, 1, d.stopsOf(c.Task(), c.Number()))
	d.send(Started(c, OutcomeRefused))
	d.submit("y", deskStep(1))
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// Guards against members of a gang that start again, alone, because the earlier leader ended between two
// batches that tell that the gang is done: the blocks of a large job are not stored all at once.
func TestGangThatIsStoredAsDoneInPartIsDone(t *testing.T) {
	for name, places := range map[string]map[uint32]string{"its other member is on a worker that has left": {1: "c"}, "its other member has no place": nil} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 2, "a", "b")
			d.report("a")
			d.report("b")
			d.store()
			step, next := deskStep(2), deskStep(1)
			step.Gang, next.After = true, []uint32{0}
			spec := &hfwork.Job{Id: "x", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{step, next}}
			progress := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Done: []byte{1}, Places: places}}}
			d.send(Job(spec, progress, false))
			d.store()
			starts := d.takeStarts()
			require.Len(t, starts, 1)
			require.Equal(t, uint32(1), starts[0].Task().Step(), "the gang has ended")
			d.reportEnds("a", nil, d.end("a", hfwork.NewTaskID("x", 0, 0, 1), 1, hfwork.Done))
			require.Zero(t, d.s.jobs["x"].group(0, 0).open)
		})
	}
}

// Guards against a worker that rejects the starts of a new leader as old ones, and against failures that do not
// count: a task that an earlier leader has started more often than a term has numbers.
func TestRunNumbersOfALaterTermAreHigher(t *testing.T) {
	d := newDesk(t, 1, "a")
	d.report("a")
	d.store()
	step := deskStep(1)
	step.Lasting = true
	start := d.startAll("x", step)[0]
	d.s.jobs["x"].group(0, 0).tasks[0].lastRun = runsPerTerm - 3
	highest := start.Number()
	for range 100 { // it fails again and again, until this scheduler ends its term
		if d.ended {
			break
		}
		d.reportEnds("a", nil, d.end("a", start.Task(), start.Number(), hfwork.Failed))
		var starts []StartCmd
		for len(starts) == 0 {
			d.advance(tickInterval)
			d.store()
			starts = d.takeStarts()
		}
		start = starts[0]
		highest = max(highest, start.Number())
		d.send(Started(start, OutcomeDone))
	}
	require.Less(t, highest, int64(runsPerTerm+1))
	require.True(t, d.ended)
	next := newDesk(t, 2, "a")
	next.report("a")
	next.store()
	require.Greater(t, next.startAll("x", step)[0].Number(), highest)
}
