package hfplan

import (
	"testing"

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
