package hfentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfintake"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfwork"
)

// The parts of an instance fit into its memory together: on all machines of the platform beside all jobs that may be
// accepted, on larger ones also beside what a leader may load of earlier releases.
func TestPartsFitIntoMemory(t *testing.T) {
	for _, mb := range []int64{184, 284, 384, 536, 640, 4096} {
		total := mb << 20
		require.True(t, NewMemoryPlan(total).Fits(0), "%d MB without jobs", mb)
		require.True(t, NewMemoryPlan(total).Fits(total/acceptedShare), "%d MB", mb)
		if mb >= 284 {
			require.True(t, NewMemoryPlan(total).Fits(total/loadedShare), "%d MB, all loaded", mb)
		}
	}
}

// The heap may grow to its limit while the kernel holds all that it may.
func TestHeapLeavesRoomForKernel(t *testing.T) {
	for _, mb := range []int64{96, 128, 160, 184, 284, 4096} {
		total := mb << 20
		limit := NewMemoryPlan(total).HeapLimit()
		require.LessOrEqual(t, limit+programBytes+hfintake.KernelBytes(total), total, "%d MB", mb)
		require.Greater(t, limit, total/2)
	}
}

// Jobs take room of callers' connections, but never all of it.
func TestConnectionsGiveWayToJobs(t *testing.T) {
	const total = 284 << 20
	p := NewMemoryPlan(total)
	require.Equal(t, int64(total/ConnShare), p.Connections(0))
	require.Less(t, p.Connections(total/acceptedShare), p.Connections(0))
	require.Equal(t, int64(total/minConnShare), p.Connections(total))
}

// An instance that does not lead holds the records of jobs alone.
func TestJobMemoryFollowsJobs(t *testing.T) {
	s := newFakeStore()
	n, access := newSmallNode(t, s)
	require.Zero(t, n.JobMemory())
	job := newWideJob(1)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), job))
	records := n.JobMemory()
	require.Equal(t, hfwork.RecordFootprint(job), records)
	n.claiming.Store(true)
	require.Equal(t, hfwork.Footprint(job), n.JobMemory())
	for i := range 1000 {
		_ = n.Submit(t.Context(), access("a", "a"), newWideJob(2+i))
	}
	recorded, loadable := hfloop.With2(n.mirror, func(m *Mirror) (int64, int64) { return m.recorded, m.loadableMemory() })
	require.LessOrEqual(t, n.JobMemory(), recorded+loadable)
	ended := newItem(t, progressPrefix+job.GetId(), 1<<40, &hfwork.Progress{State: hfwork.StateCompleted})
	before := n.JobMemory()
	n.applyItem(ended)
	require.Less(t, n.JobMemory(), before)
}
