package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a gang that waits for the leases of a crashed worker although its next life, which
// has another id, answers at its address.
func TestGangOfReplacedWorkerStartsAgain(t *testing.T) {
	d := newDesk(t, 1, "u", "v", "w", "x")
	for _, id := range []string{"u", "v", "w", "x"} {
		d.report(id)
	}
	d.store()
	step := deskStep(2)
	step.Gang = true
	starts := d.startAll("a", step)
	lost, other := starts[0], starts[1]
	d.send(WorkerSilent(lost.Worker()))
	d.advance(testRestart)
	require.Empty(t, d.takeStarts())
	d.send(WorkerReplaced(lost.Worker(), 1))
	require.Equal(t, 1, d.retries(lost.Task(), lost.Number()))
	require.Equal(t, 1, d.stopsOf(other.Task(), other.Number()), "the rest of the gang is stopped")
	d.send(Stopped(stopOf(other), OutcomeDone))
	d.reportEnds(other.Worker(), nil, d.end(other.Worker(), other.Task(), other.Number(), hfwork.Stopped))
	d.store()
	again := d.takeStarts()
	require.Len(t, again, 2)
	for _, c := range again {
		require.NotEqual(t, lost.Worker(), c.Worker())
	}
}

// Guards against a task that starts twice, or never again, because its run was not settled when
// another worker answered at the address of its worker: nothing that the worker held can start.
func TestReplacedWorkerEndsRunsInEveryPhase(t *testing.T) {
	for _, p := range allPhases {
		t.Run(p.String(), func(t *testing.T) {
			d := newDesk(t, 1, "w", "x")
			d.report("w")
			d.store()
			d.submit("a", deskStep(1))
			d.bring(p)
			task := hfwork.NewTaskID("a", 0, 0, 0)
			require.Equal(t, p, d.s.task(task).run.phase)
			d.report("x")
			d.store()
			d.send(WorkerSilent("w"))
			d.send(WorkerReplaced("w", 1))
			require.Nil(t, d.s.workers["w"])
			d.store()
			starts := d.takeStarts()
			require.NotEmpty(t, starts)
			require.Equal(t, "x", starts[len(starts)-1].Worker())
			d.send(Workers(deskWorkers("w", "x"))) // its entry has not expired
			d.advance(d.s.timing.leaseExpiryDelay())
			d.report("x", hfwork.NewRun(task, starts[len(starts)-1].Number(), "", 50, 0))
			require.Empty(t, d.takeStarts())
			require.False(t, d.s.workers["w"].resources.Usable())
			d.send(Workers(deskWorkers("x")))
			d.advance(tickInterval)
			require.Nil(t, d.s.workers["w"])
		})
	}
}

// Guards against the end of an earlier incarnation ending the runs of the next one.
func TestReplacementOfEarlierIncarnationIsIgnored(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.store()
	d.born["w"] = 2
	d.report("w")
	starts := d.startAll("a", deskStep(1))
	d.send(WorkerReplaced("w", 1))
	require.Zero(t, d.retries(starts[0].Task(), starts[0].Number()))
	require.NotNil(t, d.s.workers["w"])
}

// reportFrom sends a report that a worker gave at an address.
func (d *desk) reportFrom(worker, address string, runs ...hfwork.Run) {
	d.t.Helper()
	d.now = d.now.Add(messageDelay)
	d.send(Report(worker, d.now.Add(-time.Millisecond), hfwork.NewReport(0, 1, runs, nil).AnsweredAt(address)))
}

// Guards against a start at an address that a later scheduler does not know of: it would take the
// answer of another worker at the earlier address as proof that nothing runs.
func TestWorkerIsUsedOnceItsAddressIsStored(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.store()
	answered := func() string {
		d.t.Helper()
		require.Len(t, d.stores, 1)
		require.Len(t, d.stores[0].Roster(), 1)
		return d.stores[0].Roster()[0].GetAnswered()
	}
	d.reportFrom("w", "10.0.0.1:80")
	require.False(t, d.s.workers["w"].resources.Usable())
	require.Equal(t, "10.0.0.1:80", answered())
	d.reportFrom("w", "10.0.0.2:80")
	d.send(Stored(d.stores[0])) // with the earlier address
	d.stores = d.stores[1:]
	require.False(t, d.s.workers["w"].resources.Usable())
	require.Equal(t, "10.0.0.2:80", answered())
	d.store()
	require.True(t, d.s.workers["w"].resources.Usable())
	d.reportFrom("w", "10.0.0.2:80")
	require.Empty(t, d.stores)
	require.Empty(t, d.s.workers["w"].registration.GetAnswered(), "the registration does not tell it")
}

// Guards against a task that waits for the leases of a crashed worker because the scheduler that
// started it has been replaced, too; and against a stored address that the next roster has lost.
func TestNewSchedulerSettlesTasksOfReplacedWorker(t *testing.T) {
	d := newDesk(t, 2, "x")
	worker := deskWorkers("w")["w"]
	worker.Answered = "10.0.0.1:80"
	d.send(Roster([]*hfwork.Worker{worker}))
	progress := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{0: "w"}}}}
	d.send(Job(&hfwork.Job{Id: "a", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{deskStep(1)}}, progress, false))
	d.send(Workers(deskWorkers("w", "x")))
	d.report("x")
	d.store()
	require.Empty(t, d.takeStarts())
	require.Equal(t, "10.0.0.1:80", d.s.workers["w"].rosterEntry().GetAnswered())
	d.send(WorkerReplaced("w", 0))
	d.store()
	starts := d.takeStarts()
	require.Len(t, starts, 1)
	require.Equal(t, "x", starts[0].Worker())
}
