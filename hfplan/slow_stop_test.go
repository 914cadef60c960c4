package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Workers take up to 900 ms to stop a run. An urgent gang used to give up the room that was being
// freed for it after the same time, and stopped further runs elsewhere.
func TestUrgentGangsOverFullFleetWhereStopsTakeLong(t *testing.T) {
	const stop = 900 * time.Millisecond
	w := newWorld(t, 3, 8)
	w.stopDelay, w.timing = stop, NewTiming(6*time.Second).WithStopTime(stop)
	w.replaceScheduler()
	w.advance(time.Second)
	for i := range 6 {
		w.submit(fmt.Sprint("bulk", i), "spare", single(32, 20*time.Second))
	}
	w.advance(time.Second)
	for i := range 3 {
		id := fmt.Sprint("now", i)
		before := w.preempted
		w.submit(id, "urgent", gang(4, 8, 2*time.Second))
		w.advance(stop + 150*time.Millisecond)
		require.Equal(t, 4, w.running(id), "starts once the stopped runs have ended")
		require.LessOrEqual(t, w.preempted-before, 4*8, "no more runs are stopped than make room")
	}
}
