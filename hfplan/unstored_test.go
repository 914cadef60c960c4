package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// shownJobs returns the jobs that may be shown as completed before that is stored.
func (d *desk) shownJobs() []string {
	var jobs []string
	for _, c := range d.notes {
		if c.note == NoteEnded {
			jobs = append(jobs, c.job)
		}
	}
	return jobs
}

// startBeforeOutage starts a job on two workers; what is to be stored afterwards gets no answer.
func startBeforeOutage(t *testing.T, gang bool) (*desk, []StartCmd) {
	t.Helper()
	d := newDesk(t, 1, "v", "w")
	d.report("v")
	d.report("w")
	d.store()
	step := deskStep(2)
	step.Gang = gang
	starts := d.startAll("a", step)
	d.store()
	return d, starts
}

func (d *desk) endOf(c StartCmd) hfwork.End {
	return d.end(c.Worker(), c.Task(), c.Number(), hfwork.Done)
}

// On the heaviest days, jobs that had run to their end during an outage of the store of 4 s were shown as
// completed after it, long past their objective.
func TestEndsDuringStoreOutageAreShown(t *testing.T) {
	d, starts := startBeforeOutage(t, true)
	for _, c := range starts {
		d.reportEnds(c.Worker(), nil, d.endOf(c))
	}
	require.Empty(t, d.shownJobs(), "the store may still answer")
	d.advance(time.Second)
	require.Equal(t, []string{"a"}, d.shownJobs(), "once")
	d.store()
	require.Empty(t, d.s.unstored.ends)
	require.Empty(t, d.s.unstored.shown)
}

func TestEndsAreNotShownWhileTheStoreAnswers(t *testing.T) {
	d, starts := startBeforeOutage(t, true)
	for _, c := range starts {
		d.reportEnds(c.Worker(), nil, d.endOf(c))
		d.store()
	}
	d.advance(time.Second)
	require.Empty(t, d.shownJobs())
}

// The loss of the one worker that lists an end, beside that of the instances' memory, would let the task
// run again after its job was shown as completed.
func TestEndThatOneWorkerHoldsIsNotShown(t *testing.T) {
	t.Run("of a gang", func(t *testing.T) {
		d, starts := startBeforeOutage(t, true)
		d.reportEnds(starts[0].Worker(), nil, d.endOf(starts[0]))
		d.advance(time.Second)
		require.Equal(t, hfwork.StateCompleted, d.s.jobs["a"].state)
		require.Empty(t, d.shownJobs())
	})
	t.Run("of single tasks", func(t *testing.T) {
		d, starts := startBeforeOutage(t, false)
		for _, c := range starts {
			d.reportEnds(c.Worker(), nil, d.endOf(c))
		}
		d.advance(time.Second)
		require.Equal(t, hfwork.StateCompleted, d.s.jobs["a"].state)
		require.Empty(t, d.shownJobs())
	})
}

func TestEndOnWorkersThatMayBeLostIsNotShown(t *testing.T) {
	for name, lose := range map[string]func(d *desk){
		"drains": func(d *desk) {
			workers := deskWorkers("v", "w")
			workers["w"].Draining = true
			d.send(Workers(workers))
		},
		"silent":    func(d *desk) { d.send(WorkerSilent("w")) },
		"gone":      func(d *desk) { d.send(WorkerLeft("w")) },
		"restarted": func(d *desk) { d.born["w"] = 7; d.report("w") },
	} {
		t.Run(name, func(t *testing.T) {
			d, starts := startBeforeOutage(t, true)
			for _, c := range starts {
				d.reportEnds(c.Worker(), nil, d.endOf(c))
			}
			lose(d)
			d.advance(time.Second)
			require.Equal(t, hfwork.StateCompleted, d.s.jobs["a"].state)
			require.Empty(t, d.shownJobs())
		})
	}
}

// Ends that were stored before the outage need no holder.
func TestOnlyUnstoredEndsNeedHolders(t *testing.T) {
	d := newDesk(t, 1, "v", "w")
	d.report("v")
	d.report("w")
	d.store()
	first, second := deskStep(1), deskStep(2)
	second.Gang, second.After = true, []uint32{0}
	d.submit("a", first, second)
	d.store()
	start := d.takeStarts()[0]
	d.send(Started(start, OutcomeDone))
	d.reportEnds(start.Worker(), nil, d.endOf(start))
	d.store()
	starts := d.takeStarts()
	require.Len(t, starts, 2)
	for _, c := range starts {
		d.send(Started(c, OutcomeDone))
	}
	d.store()
	for _, c := range starts {
		d.reportEnds(c.Worker(), nil, d.endOf(c))
	}
	d.advance(time.Second)
	require.Equal(t, []string{"a"}, d.shownJobs())
}

// A later scheduler must not start tasks of a job that callers were told has completed, nor let a
// cancellation of it count, and stores its end before it acknowledges any.
func TestLaterSchedulerTakesShownJobAsCompleted(t *testing.T) {
	for name, cancelled := range map[string]bool{"not cancelled": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			before, starts := startBeforeOutage(t, true)
			d := newDesk(t, 2, "v", "w")
			d.store()
			spec := before.s.jobs["a"].spec
			progress := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Places: map[uint32]string{0: "v", 1: "w"}}}}
			d.send(Job(spec, progress, cancelled).WithShown())
			d.reportEnds("w", nil, before.endOf(starts[1]))
			d.report("v")
			require.Empty(t, d.acks)
			require.Equal(t, hfwork.StateCompleted, d.stores[len(d.stores)-1].Records()["a"].GetState())
			d.store()
			require.NotEmpty(t, d.acks)
			d.advance(10 * time.Second)
			require.Empty(t, d.takeStarts())
			require.Equal(t, hfwork.StateCompleted, d.s.jobs["a"].state)
		})
	}
}

// Workers that list an end are lost after it was shown, and so is the record that was under way.
func TestShownJobStaysCompletedWithoutItsWorkers(t *testing.T) {
	d, starts := startBeforeOutage(t, true)
	for _, c := range starts {
		d.reportEnds(c.Worker(), nil, d.endOf(c))
	}
	d.advance(time.Second)
	require.Equal(t, []string{"a"}, d.shownJobs())
	d.send(WorkerLeft("v"))
	d.send(WorkerSilent("w"))
	d.send(Job(d.s.jobs["a"].spec, nil, true))
	d.advance(10 * time.Second)
	require.Equal(t, hfwork.StateCompleted, d.stores[0].Records()["a"].GetState())
	d.store()
	require.Empty(t, d.takeStarts())
	require.Equal(t, hfwork.StateCompleted, d.s.jobs["a"].state)
}
