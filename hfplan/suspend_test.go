package hfplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// A cancellation that was acknowledged during an outage of the store came after the start that a leader
// had decided before it.
func TestNothingStartsBetweenSuspensionAndResumption(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.store()
	d.submit("a", deskStep(1))
	d.submit("b", deskStep(1))
	d.send(Suspend(1))
	d.store() // the store answers again; the place of a is stored
	require.Empty(t, d.takeStarts())
	d.send(Job(d.s.jobs["a"].spec, nil, true))
	d.send(Resume(1))
	d.store()
	starts := d.takeStarts()
	require.Len(t, starts, 1)
	require.Equal(t, "b", starts[0].Task().Job(), "a was cancelled")
	require.Equal(t, uint64(1), starts[0].Suspensions())
}

func TestDrainingWorkerGetsNothingAfterResumption(t *testing.T) {
	d := newDesk(t, 1, "v", "w")
	d.report("v")
	d.report("w")
	d.store()
	d.submit("a", deskStep(1))
	d.send(Suspend(1))
	d.store()
	place := d.s.jobs["a"].group(0, 0).tasks[0].run.worker.id()
	workers := deskWorkers("v", "w")
	workers[place].Draining = true
	d.send(Workers(workers))
	d.send(Resume(1))
	d.store()
	starts := d.takeStarts()
	require.Len(t, starts, 1)
	require.NotEqual(t, place, starts[0].Worker())
}

// The queue was moved to another pool during the outage.
func TestTasksArePlacedByTheConfigurationOfTheResumption(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.store()
	d.submit("a", deskStep(1))
	d.send(Suspend(1))
	d.store()
	d.send(Policy(&hfwork.Policy{Version: 2, Pools: []*hfwork.Pool{{Name: "other"}}, Queues: []*hfwork.Queue{{Name: "usual", Pool: "other", Priority: 1, Attempts: 2}}}))
	d.send(Resume(1))
	d.store()
	require.Empty(t, d.takeStarts(), "the other pool has no workers")
}

func TestResumptionOfEarlierSuspensionIsIgnored(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.store()
	d.send(Suspend(1))
	d.send(Suspend(2))
	d.submit("a", deskStep(1))
	d.send(Resume(1))
	d.store()
	require.Empty(t, d.takeStarts())
	d.send(Resume(2))
	d.store()
	require.Len(t, d.takeStarts(), 1)
}

// Ends that happen during an outage are learned, and their records are stored as soon as the store answers.
func TestEndsAreLearnedWhileSuspended(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	start := d.startAll("a", deskStep(1))[0]
	d.store()
	d.send(Suspend(1))
	d.reportEnds("w", nil, d.end("w", start.Task(), start.Number(), hfwork.Done))
	require.Len(t, d.stores, 1)
	require.Equal(t, hfwork.StateCompleted, d.stores[0].Records()["a"].GetState())
}
