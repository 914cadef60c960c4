package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playUrgentBesideBulk plays urgent gangs that come twice a second over a backlog of bulk tasks, which are
// stopped for them where there is no room. It returns how many of the gangs of the second half were at work
// 200 ms after they came, and how many runs were stopped for them.
func playUrgentBesideBulk(t *testing.T, stop time.Duration) (atOnce, gangs, preempted int) {
	w := newWorld(t, 4, 8)
	w.stopDelay, w.timing = stop, NewTiming(6*time.Second).WithStopTime(stop)
	for _, q := range w.policy.Queues {
		q.Stretch, q.Objective = 1.5, 400
	}
	w.replaceScheduler()
	w.advance(time.Second)
	for i := range 40 {
		w.submit(fmt.Sprint("bulk", i), "spare", single(64, 8*time.Second))
	}
	w.advance(time.Second)
	for i := range 40 {
		if i == 20 {
			w.preempted = 0
		}
		id := fmt.Sprint("now", i)
		w.submit(id, "urgent", gang(4, 8, 1500*time.Millisecond))
		w.advance(200 * time.Millisecond)
		if i >= 20 {
			gangs++
			if w.running(id) == 4 {
				atOnce++
			}
		}
		w.advance(300 * time.Millisecond)
	}
	return atOnce, gangs, w.preempted
}

// Urgent gangs of 1.5 s may wait for 0.4 s beyond half of their run time; a stop takes 0.9 s. Each one used to
// wait for runs that were stopped for it.
func TestUrgentGangsFindRoomBesideBacklogWhereStopsTakeLong(t *testing.T) {
	atOnce, gangs, preempted := playUrgentBesideBulk(t, 900*time.Millisecond)
	require.GreaterOrEqual(t, atOnce, gangs*9/10)
	require.LessOrEqual(t, preempted, 4*8, "hardly any work is thrown away")
}

// Where stops are fast, bulk work may use all room, as it can be stopped in time.
func TestRoomIsNotKeptWhereStopsAreFast(t *testing.T) {
	w := newWorld(t, 4, 8)
	w.advance(time.Second)
	w.submit("now", "urgent", gang(8, 8, time.Second))
	w.advance(2 * time.Second)
	w.submit("bulk", "spare", single(300, 20*time.Second))
	w.advance(time.Second)
	require.Equal(t, 4*8*8, w.running("bulk"))
}

// Without urgent work in the last ten seconds nothing is kept, and nothing waits in vain beside room.
func TestRoomIsKeptOnlyForRecentUrgentWork(t *testing.T) {
	w := newWorld(t, 4, 8)
	w.stopDelay, w.timing = 900*time.Millisecond, NewTiming(6*time.Second).WithStopTime(900*time.Millisecond)
	for _, q := range w.policy.Queues {
		q.Stretch, q.Objective = 1.5, 400
	}
	w.replaceScheduler()
	w.advance(time.Second)
	w.submit("now", "urgent", gang(8, 8, time.Second))
	w.advance(2 * time.Second)
	w.submit("bulk", "spare", single(300, 60*time.Second))
	w.advance(time.Second)
	require.Less(t, w.running("bulk"), 4*8*8, "a quarter of the pool is kept")
	require.GreaterOrEqual(t, w.running("bulk"), 3*8*8)
	w.advance(peakWindow)
	require.Equal(t, 4*8*8, w.running("bulk"))
}
