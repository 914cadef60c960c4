package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwork"
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

// newSlowStopWorld returns a world in which stops take longer than urgent work can wait.
func newSlowStopWorld(t *testing.T, racks, perRack int) *world {
	w := newWorld(t, racks, perRack)
	w.stopDelay, w.timing = 900*time.Millisecond, NewTiming(6*time.Second).WithStopTime(900*time.Millisecond)
	for _, q := range w.policy.Queues {
		q.Stretch, q.Objective = 1.5, 400
	}
	w.replaceScheduler()
	w.advance(time.Second)
	return w
}

// Lasting tasks fill a pool of which a quarter is kept: what is beyond it goes to other work, which stops them.
func TestWorkBesideKeptRoomStopsLastingTasks(t *testing.T) {
	w := newSlowStopWorld(t, 4, 8)
	serve := single(256, time.Hour)
	serve.Lasting = true
	w.submit("serve", "spare", serve)
	w.advance(3 * time.Second)
	w.submit("now", "urgent", gang(8, 8, time.Second))
	w.advance(4 * time.Second)
	w.submit("bulk", "usual", single(230, 60*time.Second))
	w.advance(3 * time.Second)
	require.Equal(t, 192, w.running("bulk"))
}

// Room is kept, and last attempts wait for proved workers: together they may wait for 3 s.
func TestLastAttemptStartsInTimeBesideKeptRoom(t *testing.T) {
	for _, count := range []uint32{1, 2} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := newSlowStopWorld(t, 4, 4)
			for i := range 12 {
				w.submit(fmt.Sprint("u", i), "urgent", gang(8, 4, time.Second))
			}
			w.advance(8 * time.Second)
			w.keepOutbreak()
			w.jobs["a"] = &hfwork.Job{Id: "a", Queue: "usual", Account: "plants", Steps: []*hfwork.Step{checkpointing(single(count, 20*time.Second))}, Received: w.now.UnixMilli()}
			w.records["a"] = &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: map[uint32]uint32{0: 2}}}}
			began := w.now
			w.send(Job(w.jobs["a"], w.records["a"], false))
			for w.running("a") == 0 {
				w.advance(50 * time.Millisecond)
				require.Less(t, w.now.Sub(began), 3*time.Second)
			}
		})
	}
}

// placeByHand places a step of six tasks, of which some have failed, in an outbreak.
func (w *world) placeByHand(job string, failures map[uint32]uint32, prepare func(g *group)) (*group, bool) {
	w.advance(time.Second)
	w.keepOutbreak()
	w.jobs[job] = &hfwork.Job{Id: job, Queue: "usual", Account: "plants", Steps: []*hfwork.Step{single(6, 2*time.Minute)}, Received: w.now.UnixMilli()}
	w.s.Update(Job(w.jobs[job], &hfwork.Progress{Steps: []*hfwork.StepProgress{{Failures: failures}}}, false), w.now)
	g := w.s.jobs[job].group(0, 0)
	w.s.reviewSuspects(w.now)
	g.provedBy, g.trustedBy = w.now.Add(-10*time.Second), w.now.Add(-5*time.Second)
	prepare(g)
	return g, w.s.placeGroup(g, w.now)
}

func TestOneTaskGoesFirstBesideLastAttempts(t *testing.T) {
	g, ok := newWorld(t, 2, 4).placeByHand("a", map[uint32]uint32{0: 2}, func(g *group) { g.goesFirst, g.keptBack = true, 5 })
	require.Equal(t, 1, g.assigned)
	require.True(t, ok)
}

func TestOneTaskGoesFirstBesideTrials(t *testing.T) {
	w := newWorld(t, 2, 4)
	g, ok := w.placeByHand("a", nil, func(g *group) {
		g.goesFirst, g.keptBack, w.s.proofsWanted["pool"] = true, 5, w.now.Add(time.Minute)
	})
	require.Equal(t, 1, g.assigned)
	require.True(t, ok)
}

func TestTasksAreKeptBackOnceBesideLastAttempts(t *testing.T) {
	g, _ := newWorld(t, 2, 4).placeByHand("a", map[uint32]uint32{0: 2, 1: 2, 2: 2}, func(g *group) { g.keptBack = 3 })
	require.Equal(t, 3, g.assigned)
}
