package hfplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a job whose progress cannot be stored and that nevertheless runs, or holds back the
// starts of others (review/2).
func TestJobWithRejectedRecordFailsAlone(t *testing.T) {
	d := newDesk(t, 1, "v", "w")
	d.store()
	d.report("v")
	d.report("w")
	d.submit("bad", deskStep(1))
	d.submit("good", deskStep(1))
	d.reject([]string{"bad"}, nil)
	d.store()
	starts := d.takeStarts()
	require.Len(t, starts, 1)
	require.Equal(t, "good", starts[0].Task().Job())
	require.Equal(t, hfwork.StateFailed, d.s.jobs["bad"].state)
}

// Guards against ends that are forgotten by their worker although no record holds them (review/2).
func TestEndsOfRejectedRecordAreAcknowledgedWithItsFailure(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.store()
	d.report("w")
	start := d.startAll("bad", deskStep(1))[0]
	d.store()
	d.reportEnds("w", nil, d.end("w", start.Task(), start.Number(), hfwork.Failed))
	d.acks = nil
	require.Contains(t, d.reject([]string{"bad"}, nil).Records(), "bad")
	require.Empty(t, d.acks, "the end is not stored")
	require.Equal(t, hfwork.StateFailed, d.stores[0].Records()["bad"].GetState())
	d.store()
	require.NotEmpty(t, d.acks)
}

// Guards against tasks on a worker that a later scheduler would not know of.
func TestWorkerWithRejectedRecordGetsNoTasks(t *testing.T) {
	d := newDesk(t, 1, "w")
	d.report("w")
	d.submit("a", deskStep(1))
	for n := 0; len(d.stores) > 0; n++ {
		require.Less(t, n, maxStores)
		d.reject(nil, []string{"w"})
	}
	require.Empty(t, d.takeStarts())
}
