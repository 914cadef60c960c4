package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	lastAnswerTime = 20 * time.Millisecond // before the exit of a worker, from when on its answers do not arrive
	exitSeenDelay  = 600 * time.Millisecond
)

// drain makes a worker drain and exit. Its answers of the last moment do not arrive.
func (w *world) drain(f *fakeWorker, remaining time.Duration) {
	id, exit := f.registration.GetId(), w.now.Add(remaining)
	f.registration = hfwire.Copy(f.registration)
	f.registration.Draining = true
	w.mayEnd = map[string]time.Time{id: exit}
	w.send(Workers(w.registered()).WithEnds(w.mayEnd))
	w.at(remaining-lastAnswerTime, func() { f.partitioned = true })
	w.at(remaining, func() {
		for _, e := range f.doneEnds {
			for _, unread := range f.ended {
				require.NotEqual(w.t, unread.Sequence(), e.sequence, "the end as done of %s is lost with its worker", e.name)
			}
		}
		f.runs, f.ended, f.unlisted = map[string]*fakeRun{}, nil, true
	})
	w.at(remaining+exitSeenDelay, func() { w.send(WorkerLeft(id)) })
}

// Guards against a task that runs again after its end as done was lost with a worker that left as planned.
func TestNoEndIsLostWithALeavingWorker(t *testing.T) {
	for name, step := range map[string]*hfwork.Step{
		"tasks":            single(8, 0),
		"gang":             gang(2, 8, 0),
		"with checkpoints": {Count: 8, Accelerators: 1, Saves: true},
	} {
		for _, remaining := range []time.Duration{2 * time.Second, 6 * time.Second} {
			for _, replaced := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " in ", remaining, " new leader ", replaced), func(t *testing.T) {
					for early := -200 * time.Millisecond; early < evacuationLead; early += 10 * time.Millisecond {
						w := newWorld(t, 1, 3)
						w.advance(time.Second)
						step := hfwire.Copy(step)
						step.Estimate = (remaining - early).Milliseconds()
						w.submit("a", "usual", step)
						w.advance(200 * time.Millisecond)
						id := w.busyWorker()
						w.drain(w.fleet[id], remaining)
						if replaced {
							w.advance(remaining / 2)
							w.replaceScheduler()
						}
						w.advance(30 * time.Second)
						require.Equal(t, hfwork.StateCompleted, w.state("a"))
					}
				})
			}
		}
	}
}

// Guards against work that is thrown away long before its worker leaves, or because a worker drains
// without telling for how long.
func TestDrainingWorkerRunsOnUntilItMayEnd(t *testing.T) {
	for name, tells := range map[string]bool{"tells how long": true, "does not": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.advance(time.Second)
			w.submit("a", "usual", single(4, 4*time.Second))
			w.submit("b", "usual", single(4, 20*time.Second))
			w.advance(200 * time.Millisecond)
			f := w.fleet[w.busyWorker()]
			f.registration = hfwire.Copy(f.registration)
			f.registration.Draining = true
			ends := map[string]time.Time{}
			if tells {
				ends[f.registration.GetId()] = w.now.Add(6 * time.Second)
			}
			w.send(Workers(w.registered()).WithEnds(ends))
			w.advance(6*time.Second - evacuationLead - time.Millisecond)
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
			require.Len(t, f.runs, 4)
			w.advance(evacuationLead)
			require.Equal(t, !tells, len(f.runs) == 4)
		})
	}
}

// Guards against ends that are lost because the stops of a worker that leaves at short notice wait for
// the next tick.
func TestShortNoticeStopsRunsAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(time.Second)
	w.submit("a", "usual", single(8, 20*time.Second))
	w.advance(tickInterval + tickInterval/4)
	f := w.fleet[w.busyWorker()]
	f.registration = hfwire.Copy(f.registration)
	f.registration.Draining = true
	w.send(Workers(w.registered()).WithEnds(map[string]time.Time{f.registration.GetId(): w.now.Add(evacuationLead / 2)}))
	w.advance(tickInterval / 2)
	require.True(t, w.stopsRuns(f))
}

// stopsRuns reports whether all runs of a worker have been stopped, or are being.
func (w *world) stopsRuns(f *fakeWorker) bool {
	for _, r := range f.runs {
		if !r.stopped {
			return false
		}
	}
	return true
}
