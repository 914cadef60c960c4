package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
)

// useParts takes about a third of the processors, of the memory and of the accelerators of a pool of 16
// workers with long tasks, each of which needs little else.
func (w *world) useParts() {
	for name, size := range map[string][3]int64{"processors": {64_000, 0, 0}, "memory": {0, 131_072, 0}, "accelerators": {0, 0, 4}} {
		step := &hfwork.Step{Count: 10, Cpu: size[0], Memory: size[1], Accelerators: size[2], Estimate: time.Hour.Milliseconds(), Saves: true, Apart: 1}
		w.submit(name, "usual", step)
	}
}

// Guards against gangs that are held back for urgent work after that has ended, although less than half
// of the pool is in use (the day late-orders-all-day).
func TestGangsStartInALightlyUsedPoolAfterABurst(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.advance(time.Second)
	w.useParts()
	w.advance(time.Second)
	for i := range 12 {
		w.submit(fmt.Sprint("urgent-", i), "urgent", gang(4, 4, time.Second))
	}
	w.advance(4 * time.Second)
	for i := range 12 {
		require.Equal(t, hfwork.StateCompleted, w.state(fmt.Sprint("urgent-", i)))
	}
	step := gang(2, 4, 20*time.Second)
	step.Compact = false
	w.submit("gang", "usual", step)
	w.advance(longestIdleWait)
	require.Equal(t, 2, w.running("gang"))
}

// Guards against gangs that take the room of urgent work that waits, in a pool of which only one
// resource is in use.
func TestRoomIsNotAmpleWhileUrgentWorkWaits(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.advance(time.Second)
	w.submit("processors", "usual", &hfwork.Step{Count: 16, Cpu: 100_000, Estimate: time.Hour.Milliseconds(), Saves: true, Apart: 1})
	w.advance(time.Second)
	w.submit("gang", "usual", gang(2, 4, 20*time.Second))
	g := w.s.jobs["gang"].group(0, 0)
	need := w.s.generalNeed(g, w.now)
	w.s.urgentWaits["pool"] = false
	require.True(t, w.s.hasAmpleRoom(g, need, 2, w.now))
	w.s.urgentWaits["pool"] = true
	require.False(t, w.s.hasAmpleRoom(g, need, 2, w.now))
}
