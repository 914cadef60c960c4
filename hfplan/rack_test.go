package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holdRacks runs a lasting task on the first racks of a world, one on each.
func (w *world) holdRacks(racks int) {
	for r := range racks {
		id := fmt.Sprint("lasting-", r)
		step := single(1, time.Hour)
		step.Lasting, step.Near = true, fmt.Sprint("r", r)
		w.submit(id, "usual", step)
		w.advance(200 * time.Millisecond)
	}
}

// longestIdleWait is the time for which a job may have nothing running although there is room for it.
const longestIdleWait = 3 * time.Second

// Guards against a gang that asks for one rack and waits for good, as lasting tasks hold a part of
// each rack that is large enough (review/3).
func TestCompactGangSpreadsIfNoRackWillBeFree(t *testing.T) {
	for _, queue := range []string{"urgent", "usual", "spare"} {
		t.Run(queue, func(t *testing.T) {
			w := newWorld(t, 5, 8)
			w.advance(time.Second)
			w.holdRacks(4)
			w.partition(w.fleet["w4-7"], time.Hour)
			w.fleet["w4-7"].unlisted = true
			w.advance(15 * time.Second)
			for i := range 2 {
				w.submit(fmt.Sprint("gang-", i), queue, gang(8, 8, 20*time.Second))
			}
			w.advance(longestIdleWait)
			require.Equal(t, 8, w.running("gang-0"))
			require.Equal(t, 8, w.running("gang-1"))
		})
	}
}

// Guards against a gang that waits beside runs that end late: less than half of the pool is in use.
func TestCompactGangSpreadsInALightlyUsedPool(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.advance(time.Second)
	for r := range 4 {
		id := fmt.Sprint("long-", r)
		step := single(1, 10*time.Minute)
		step.Near = fmt.Sprint("r", r)
		w.submit(id, "usual", step)
		w.advance(200 * time.Millisecond)
	}
	w.submit("gang", "usual", gang(4, 8, time.Minute))
	w.advance(longestIdleWait)
	require.Equal(t, 4, w.running("gang"))
}

// Guards against a gang that is spread early and takes three times as long, although a rack is about to
// be free.
func TestCompactGangWaitsForARackThatIsFreeSoon(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("short", "usual", gang(3, 8, 6*time.Second))
	w.submit("long", "usual", gang(3, 8, time.Minute))
	w.advance(500 * time.Millisecond)
	w.submit("gang", "usual", gang(2, 8, 10*time.Second))
	w.advance(3 * time.Second)
	require.Zero(t, w.running("gang"), "it waits for the rack of the short gang")
	w.advance(4 * time.Second)
	require.Equal(t, 2, w.running("gang"))
	require.Len(t, w.racksOf("gang"), 1)
}

// Guards against a gang that waits for runs that end later than expected.
func TestCompactGangSpreadsAfterALongWait(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	for i := range 2 {
		id := fmt.Sprint("late-", i)
		w.durations[id] = time.Hour
		w.submit(id, "usual", gang(3, 8, 6*time.Second))
	}
	w.advance(500 * time.Millisecond)
	w.durations["gang"] = time.Hour
	w.submit("gang", "usual", gang(2, 8, 10*time.Second))
	w.advance((DefaultSpreadFactor-1)*10*time.Second + longestIdleWait)
	require.Equal(t, 2, w.running("gang"))
}

// Guards against workers that are reserved for a gang that may not use them.
func TestReservationKeepsToTheLabelOfAGang(t *testing.T) {
	w := newWorld(t, 2, 4)
	for id, f := range w.fleet {
		f.registration.Labels = []string{"other"}
		if id[:2] == "w1" {
			f.registration.Labels = []string{"needed"}
		}
	}
	w.replaceScheduler()
	w.advance(time.Second)
	for i := range 2 {
		w.submit(fmt.Sprint("busy-", i), "usual", checkpointing(gang(4, 8, 20*time.Second)))
	}
	w.advance(500 * time.Millisecond)
	step := checkpointing(gang(4, 8, 5*time.Second))
	step.Label = "needed"
	w.submit("gang", "usual", step)
	w.advance(500 * time.Millisecond)
	for id, other := range w.s.workers {
		require.Equal(t, id[:2] == "w1", other.resources.Reserved(), id)
	}
}

// racksOf returns the racks on which a job runs.
func (w *world) racksOf(job string) map[string]bool {
	racks := map[string]bool{}
	for _, f := range w.fleet {
		for _, r := range f.runs {
			if r.task.Job() == job {
				racks[f.registration.GetRack()] = true
			}
		}
	}
	return racks
}
