package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// apartStep returns a step of small tasks of which only one may be on a worker.
func apartStep(count uint32) *hfwork.Step {
	step := single(count, 20*time.Second)
	step.Apart = 1
	return step
}

// Guards against more tasks of a step on a worker than the step allows, when one scheduling pass places
// some of its tasks on fast workers and the rest on any (ROUTE).
func TestTasksPlacedInTwoPartsKeepApart(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	slow := w.s.workers["w0-0"]
	slow.durationLog, slow.durationSamples = 1, minSpeedSamples
	w.submit("job", "urgent", apartStep(3))
	w.advance(time.Second)
	require.Equal(t, 2, w.running("job"), "the third task waits")
}

// Guards against a task beside one of its step that is not known to have ended: a run that is being
// stopped, as its task runs elsewhere, or one of an earlier scheduler (ROUTE).
func TestRunsThatMayGoOnCountAgainstTheLimitOfTheirStep(t *testing.T) {
	for _, kind := range []string{"being stopped", "of an earlier scheduler"} {
		t.Run(kind, func(t *testing.T) {
			d := newDesk(t, 1, "v", "w")
			for _, id := range []string{"v", "w"} {
				d.report(id)
				d.store()
			}
			starts := d.startAll("job", apartStep(2))
			onV, onW := starts[0], starts[1]
			if onV.Worker() != "v" {
				onV, onW = onW, onV
			}
			number := onW.Number() - 1
			if kind == "being stopped" {
				d.report("v", hfwork.NewRun(onV.Task(), onV.Number(), "", 10, 0), hfwork.NewRun(onW.Task(), number, "", 10, 0))
				d.reportEnds("v", []hfwork.Run{hfwork.NewRun(onW.Task(), number, "", 10, 0)}, d.end("v", onV.Task(), onV.Number(), hfwork.Stopped))
			} else {
				progress := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{onW.Task().Index(): "v"}}}}
				d.s = New(2, NewTiming(workerLease), d.now)
				d.send(Policy(&hfwork.Policy{Version: 1, Pools: []*hfwork.Pool{{Name: "pool"}}, Queues: []*hfwork.Queue{{Name: "usual", Pool: "pool", Priority: 1, Attempts: 2}}}))
				d.send(Roster([]*hfwork.Worker{deskWorkers("v")["v"]}))
				d.send(Workers(deskWorkers("v")))
				d.send(Job(&hfwork.Job{Id: "job", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{apartStep(2)}}, progress, false))
				d.send(Report("v", d.now, hfwork.NewReport(0, 1, nil, nil).WithRejected([]error{ErrPartialGang}, true)))
			}
			d.takeStarts()
			d.store()
			for _, c := range d.takeStarts() {
				require.NotEqual(t, "v", c.Worker(), fmt.Sprint(c.Task()))
			}
		})
	}
}

// Guards against a start on a worker that came back under its id without the label that it had (ROUTE).
func TestWorkerThatComesBackIsUsedByItsNewLabels(t *testing.T) {
	d := newDesk(t, 1)
	life := func(born int64, label string) {
		workers := deskWorkers("w")
		workers["w"].Born, workers["w"].Labels = born, []string{label}
		d.send(Workers(workers))
		d.born["w"] = born
		d.report("w")
		d.store()
	}
	life(1, "first")
	life(2, "second")
	step := smallStep(1, 1)
	step.Label = "first"
	d.submit("job", step)
	d.store()
	require.Empty(t, d.takeStarts())
	step = smallStep(1, 1)
	step.Label = "second"
	d.submit("other", step)
	d.store()
	require.Len(t, d.takeStarts(), 1)
}
