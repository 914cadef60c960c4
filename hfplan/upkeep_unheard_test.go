package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against an upkeep of a machine whose worker has not reported to a new leader yet: the runs of
// an earlier leader go on there, and their ends would be lost with the worker.
func TestNewLeaderAwaitsReportBeforeUpkeep(t *testing.T) {
	for name, unheard := range map[string]time.Duration{"for a moment": 500 * time.Millisecond, "for seconds": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			w.advance(time.Second)
			w.submit("a", "usual", single(8, 20*time.Second))
			w.advance(200 * time.Millisecond)
			id := w.busyWorker()
			f := w.fleet[id]
			require.Len(t, f.runs, 8)
			f.partitioned = true
			w.replaceScheduler()
			w.listMachines()
			w.send(Wave(&hfwork.Wave{Number: 1, Machines: []string{id}, Most: 1, Deadline: w.now.Add(90 * time.Second).UnixMilli()}))
			w.at(unheard, func() {
				if !w.upkeepDone[id] {
					f.partitioned = false
				}
			})
			for range 400 {
				w.advance(100 * time.Millisecond)
				w.listMachines()
			}
			require.True(t, w.upkeepDone[id])
			require.Zero(t, w.interrupted, "runs ended by the upkeep")
			require.Equal(t, hfwork.StateCompleted, w.state("a"))
		})
	}
}
