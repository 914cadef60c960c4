package hfplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Urgent jobs arrive every few seconds. A gang without checkpoints that used their
// capacity in between would be preempted by the next one and lose all its work. In one
// simulated day, such gangs caused nine tenths of the lost work.
func TestGangsWithoutCheckpointsLeaveRoomForUrgentPeaks(t *testing.T) {
	w := newWorld(t, 3, 4) // 96 accelerators
	w.advance(time.Second)
	submitUrgent := func(name string) {
		w.submit(name, "urgent", gang(4, 8, time.Second))
		w.submit(name+"-more", "urgent", gang(4, 8, time.Second))
	}
	submitUrgent("first")
	w.advance(500 * time.Millisecond)
	w.submit("saving", "usual", checkpointing(gang(4, 8, 8*time.Second)))
	w.submit("small", "usual", gang(4, 8, 8*time.Second))
	w.submit("large", "usual", gang(4, 8, 8*time.Second))
	w.advance(1500 * time.Millisecond)
	// Two of the three racks may be needed for urgent jobs again. One gang without
	// checkpoints fits beside them; the gang with checkpoints may use their racks.
	require.Equal(t, 4, w.running("saving"))
	for i := range 3 {
		submitUrgent(string(rune('a' + i)))
		w.advance(2500 * time.Millisecond)
	}
	require.Zero(t, w.lostTime, "no work may be lost")
	w.advance(40 * time.Second)
	for _, id := range []string{"saving", "small", "large"} {
		require.Equal(t, "completed", w.state(id), id)
	}
}

func TestHalfIdlePoolDoesNotLimitGangs(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("urgent", "urgent", gang(4, 8, time.Second))
	w.advance(2 * time.Second)
	w.submit("gang", "usual", gang(4, 8, 4*time.Second))
	w.advance(2500 * time.Millisecond) // a job that waits 3 s while half of its pool is idle counts as forgotten
	require.Equal(t, 4, w.running("gang"))
}

func TestUsagePeaksExpire(t *testing.T) {
	var peaks usagePeaks
	now := time.Unix(1_000_000, 0)
	peaks.record(30, now)
	peaks.record(10, now.Add(time.Second))
	require.InDelta(t, 30, peaks.peak(10), 0)
	peaks.record(0, now.Add(peakWindow))
	require.InDelta(t, 10, peaks.peak(10), 0)
	peaks.record(0, now.Add(10*peakWindow))
	require.Zero(t, peaks.peak(10))
}

// Gangs that cannot be placed are refunded, so that a later gang without checkpoints
// can use the budget.
func TestUnplaceableGangsDoNotUseUpTheBudget(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("busy", "usual", checkpointing(gang(5, 8, 20*time.Second)))
	w.advance(500 * time.Millisecond)
	for _, id := range []string{"nowhere-1", "nowhere-2"} {
		step := gang(4, 8, time.Second)
		step.Label = "none has it"
		w.submit(id, "usual", step)
	}
	w.submit("small", "usual", gang(3, 8, 8*time.Second))
	w.advance(time.Second)
	require.Equal(t, 3, w.running("small"))
}
