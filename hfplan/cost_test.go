package hfplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplacement"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// newContendedWorld returns a world of one rack with four workers, whose queues have the objectives of short urgent
// jobs and of long ones, and no guarantees.
func newContendedWorld(t *testing.T, order Order) *world {
	t.Helper()
	w := newWorld(t, 1, 4)
	w.order = order
	w.policy.Accounts = nil
	for k, objective := range []int64{400, 1200, 3000} {
		w.policy.Queues[k].Stretch, w.policy.Queues[k].Objective = 1.5, objective
	}
	w.replaceScheduler()
	w.advance(time.Second)
	return w
}

func TestOrderIsTheDefaultUnlessItIsSet(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for order, bySize := range map[Order]bool{"": DefaultOrder == BySize, ByCost: false, BySize: true} {
		require.Equal(t, bySize, New(1, NewTiming(time.Second), now).WithOrder(order).bySize, order)
	}
	require.Equal(t, DefaultOrder == BySize, New(1, NewTiming(time.Second), now).bySize)
}

// finishedWithin reports whether a job completes until a time after it was handed in.
func (w *world) finishedWithin(id string, d time.Duration) bool {
	w.advance(time.UnixMilli(w.jobs[id].GetReceived()).Add(d).Sub(w.now))
	return w.state(id) == hfwork.StateCompleted
}

// wide returns a step of independent tasks that each fill a worker.
func wide(count uint32, estimate time.Duration) *hfwork.Step {
	return &hfwork.Step{Count: count, Cpu: 15_000, Memory: 22_000, Accelerators: 8, Estimate: estimate.Milliseconds()}
}

// A burst of short urgent jobs over a full fleet: one is near its objective, and others are smaller and have time.
func TestBurstOfShortUrgentJobsServesThoseNearTheirObjective(t *testing.T) {
	play := func(order Order) (near, small bool) {
		w := newContendedWorld(t, order)
		w.submit("running", "urgent", wide(4, 1500*time.Millisecond))
		w.advance(800 * time.Millisecond)
		w.submit("near", "urgent", wide(4, time.Second)) // may wait 0.9 s, of which 0.7 s pass
		w.advance(650 * time.Millisecond)
		w.submit("small", "urgent", wide(2, 1900*time.Millisecond)) // may wait 1.35 s, and has a little less work
		return w.finishedWithin("near", 1900*time.Millisecond), w.finishedWithin("small", 3250*time.Millisecond)
	}
	near, small := play(ByCost)
	require.True(t, near)
	require.True(t, small)
	near, _ = play(BySize)
	require.False(t, near)
}

// A few large accounts: one hands in forty small urgent jobs, another account one that is a little larger.
func TestBurstOfALargeAccountDoesNotDelayASmallOne(t *testing.T) {
	play := func(order Order) bool {
		w := newContendedWorld(t, order)
		for i := range 40 {
			w.submitFor("large", fmt.Sprintf("large%02d", i), "urgent", wide(1, 500*time.Millisecond))
		}
		w.submitFor("small", "small", "urgent", wide(1, 600*time.Millisecond))
		return w.finishedWithin("small", 1300*time.Millisecond)
	}
	require.True(t, play(ByCost))
	require.False(t, play(BySize), "it waits for all that are smaller")
}

// Long jobs near their objective: an urgent job that is late in any case does not throw them away.
func TestLateUrgentJobLeavesLongJobsNearTheirObjective(t *testing.T) {
	play := func(order Order) (long bool, thrownAway float64) {
		w := newContendedWorld(t, order)
		w.submit("long", "usual", wide(4, 6*time.Second)) // ends after 6 s, and has to after 10.2 s
		w.advance(5 * time.Second)
		late := &hfwork.Job{Id: "late", Queue: "urgent", Account: "plants", Steps: []*hfwork.Step{wide(4, time.Second)}, Received: w.now.Add(-1500 * time.Millisecond).UnixMilli()}
		w.jobs["late"] = late
		w.send(Job(late, nil, false))
		return w.finishedWithin("long", 10200*time.Millisecond), w.thrownAway
	}
	long, thrownAway := play(ByCost)
	require.True(t, long)
	require.Zero(t, thrownAway)
	long, thrownAway = play(BySize)
	require.False(t, long)
	require.Positive(t, thrownAway)
}

// A run that is measured to end before an urgent job could start in its place goes on.
func TestRunsThatAreAboutToEndAreNotStopped(t *testing.T) {
	play := func(order Order) (starts int, urgent bool) {
		w := newContendedWorld(t, order)
		w.submit("usual", "usual", wide(4, 6*time.Second))
		w.advance(5800 * time.Millisecond)
		w.submit("urgent", "urgent", wide(4, time.Second))
		urgent = w.finishedWithin("urgent", 1900*time.Millisecond)
		return w.startCounts[fmt.Sprint(hfwork.NewTaskID("usual", 0, 0, 0))], urgent
	}
	starts, urgent := play(ByCost)
	require.Equal(t, 1, starts)
	require.True(t, urgent)
	starts, urgent = play(BySize)
	require.Equal(t, 2, starts, "stopped a moment before its end")
	require.True(t, urgent)
}

// A burst of short urgent jobs over a full fleet: the room that they need comes free by itself while they have time.
func TestUrgentJobsWaitForRunsThatEndInTime(t *testing.T) {
	play := func(order Order) (starts int, urgent bool) {
		w := newContendedWorld(t, order)
		w.submit("usual", "usual", wide(4, 6*time.Second))
		w.advance(5650 * time.Millisecond)
		w.submit("urgent", "urgent", wide(4, 2*time.Second)) // may wait 1.4 s
		urgent = w.finishedWithin("urgent", 3400*time.Millisecond)
		return w.startCounts[fmt.Sprint(hfwork.NewTaskID("usual", 0, 0, 0))], urgent
	}
	starts, urgent := play(ByCost)
	require.Equal(t, 1, starts)
	require.True(t, urgent)
	starts, urgent = play(BySize)
	require.Equal(t, 2, starts, "thrown away for 0.4 s")
	require.True(t, urgent)
}

// An urgent gang that waits for runs that end in time reserves room once.
func TestWaitingForEndsReservesRoomOnce(t *testing.T) {
	for _, compact := range []bool{false, true} {
		w := newWorld(t, 6, 4)
		w.order = ByCost
		w.policy.Accounts = nil
		for k, objective := range []int64{400, 1200, 3000} {
			w.policy.Queues[k].Stretch, w.policy.Queues[k].Objective = 1.5, objective
		}
		w.replaceScheduler()
		w.advance(time.Second)
		w.submit("usual", "usual", wide(24, 6*time.Second))
		w.advance(5650 * time.Millisecond)
		step := wide(4, 4*time.Second) // may wait 2.4 s
		step.Gang, step.Compact = true, compact
		w.submit("urgent", "urgent", step)
		w.advance(50 * time.Millisecond)
		reserved := 0
		w.s.resources.EachWorker(w.policy.Queues[0].GetPool(), func(k *hfplacement.Worker) {
			if k.Reserved() {
				reserved++
			}
		})
		require.LessOrEqual(t, reserved, 4, "compact: %v", compact)
		if !compact {
			require.Equal(t, 4, reserved)
		}
	}
}

// Forecasts go over all runs, so that a pass makes few of them, also if none shows room in time.
func TestPassMakesFewForecastsOfEnds(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	w.submit("running", "urgent", wide(4, 20*time.Second))
	w.advance(time.Second)
	for i := range 3 * maxEndForecasts {
		w.submit(fmt.Sprintf("waiting%02d", i), "urgent", wide(1, 4*time.Second)) // may wait 2.4 s
	}
	w.advance(200 * time.Millisecond)
	require.Equal(t, maxEndForecasts, w.s.endForecasts)
}

// A run that is spared counts once, however many jobs ask for its room, and however often.
func TestSparedRunsCountOnce(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	w.submit("long", "usual", wide(4, 6*time.Second))
	w.advance(5 * time.Second)
	for i := range 3 {
		id := fmt.Sprint("late", i)
		w.jobs[id] = &hfwork.Job{Id: id, Queue: "urgent", Account: "plants", Steps: []*hfwork.Step{wide(4, time.Second)}, Received: w.now.Add(-1500 * time.Millisecond).UnixMilli()}
		w.send(Job(w.jobs[id], nil, false))
	}
	w.advance(900 * time.Millisecond)
	require.Equal(t, 4, w.s.delays.Spared())
}

// A job whose queue leaves priority 0 is not covered by a guarantee any more.
func TestGuaranteeEndsWithPriorityZero(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	w.policy.Accounts = []*hfwork.Account{{Name: "plants", Guaranteed: 32}}
	w.send(Policy(w.policy))
	w.submit("full", "urgent", wide(4, 20*time.Second))
	w.submit("waiting", "urgent", wide(1, time.Second))
	w.advance(time.Second)
	require.True(t, w.s.jobs["full"].guaranteed)
	changed := hfwire.Copy(w.policy)
	changed.Queues[0].Priority = 1
	w.send(Policy(changed))
	w.advance(time.Second)
	require.False(t, w.s.jobs["full"].guaranteed)
}

// Lasting tasks that never ran go before waiting work of their priority, with and without objectives.
func TestNewLastingTasksDoNotWaitForABacklog(t *testing.T) {
	for _, objectives := range []bool{false, true} {
		for _, order := range Orders() {
			w := newContendedWorld(t, order)
			if !objectives {
				for _, q := range w.policy.Queues {
					q.Stretch = 0
				}
				w.replaceScheduler()
				w.advance(time.Second)
			}
			w.submit("full", "usual", wide(4, 20*time.Second))
			w.advance(500 * time.Millisecond)
			for i := range 3 {
				w.submit(fmt.Sprintf("batch%d", i), "usual", wide(4, time.Minute))
			}
			lasting := wide(1, time.Hour)
			lasting.Lasting = true
			w.submit("lasting", "usual", lasting)
			w.advance(25 * time.Second)
			require.Equal(t, 1, w.running("lasting"), "%v, objectives: %v", order, objectives)
		}
	}
}

// Without objectives, equal jobs go by id in both orders.
func TestEqualJobsWithoutObjectivesGoAlikeInBothOrders(t *testing.T) {
	order := func(o Order) (ids []string) {
		w := newWorld(t, 1, 4)
		w.order, w.policy.Accounts = o, nil
		for _, q := range w.policy.Queues {
			q.Stretch = 0
		}
		w.replaceScheduler()
		w.advance(time.Second)
		w.submit("full", "usual", wide(4, 20*time.Second))
		w.advance(500 * time.Millisecond)
		for i := range 4 {
			w.submit(fmt.Sprint("b", 9-i), "usual", wide(4, time.Minute))
			w.advance(100 * time.Millisecond)
		}
		for _, c := range w.s.candidates(w.now) {
			ids = append(ids, c.group.job.id())
		}
		return ids
	}
	require.Equal(t, order(BySize), order(ByCost))
}

// Run times are declared too short: an urgent job waits for no end that does not come until it is late, whether a
// guarantee covers it or not.
func TestUrgentJobsStopRunsThatTakeLongerThanDeclared(t *testing.T) {
	for _, guaranteed := range []int64{0, 32} {
		w := newContendedWorld(t, ByCost)
		w.policy.Accounts = []*hfwork.Account{{Name: "plants", Guaranteed: guaranteed}}
		w.send(Policy(w.policy))
		w.durations["usual"] = 42 * time.Second
		w.submit("usual", "usual", wide(4, 6*time.Second))
		w.advance(5650 * time.Millisecond)
		w.submit("urgent", "urgent", wide(4, 2*time.Second)) // may wait 1.4 s
		require.True(t, w.finishedWithin("urgent", 3400*time.Millisecond))
	}
}

// Guarantees go before everything: a guaranteed job stops what is near its objective, however late it is itself.
func TestGuaranteedJobsDisplaceWhatIsNearItsObjective(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	w.policy.Accounts = []*hfwork.Account{{Name: "sure", Guaranteed: 32}}
	w.send(Policy(w.policy))
	w.submitFor("other", "long", "usual", wide(4, 6*time.Second))
	w.submitFor("other", "urgent", "urgent", wide(4, 6*time.Second))
	w.advance(5 * time.Second)
	w.jobs["sure"] = &hfwork.Job{Id: "sure", Queue: "urgent", Account: "sure", Steps: []*hfwork.Step{wide(4, time.Second)}, Received: w.now.Add(-20 * time.Second).UnixMilli()}
	w.send(Job(w.jobs["sure"], nil, false))
	w.advance(500 * time.Millisecond)
	require.Equal(t, 4, w.running("sure"))
}

// An outage just over: of what was handed in meanwhile, those go first that can meet their objective, and the others end
// within the longest wait that is allowed and the time of those before them.
func TestBacklogAfterAnOutageIsServedOnTimeFirst(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	w.submit("running", "urgent", wide(4, 2500*time.Millisecond))
	const lateJobs, lateWork = 6, time.Second
	for i := range lateJobs {
		w.submit(fmt.Sprintf("late%d", i), "urgent", wide(4, lateWork)) // may wait 900 ms
	}
	w.advance(2 * time.Second)
	w.submit("fresh", "urgent", wide(4, 2*time.Second)) // may wait 1.4 s, and has more work
	require.True(t, w.finishedWithin("fresh", 3400*time.Millisecond))
	for i := range lateJobs {
		require.True(t, w.finishedWithin(fmt.Sprintf("late%d", i), 15*time.Second), i)
	}
}

// A wide job that has lost its objective is not put off for ever by a steady stream of smaller ones that take all room.
func TestSteadyStreamDoesNotStarveALargeJob(t *testing.T) {
	play := func(order Order) bool {
		w := newContendedWorld(t, order)
		n := 0
		stream := func(d time.Duration) {
			for range int(d / (100 * time.Millisecond)) {
				w.submit(fmt.Sprintf("small%04d", n), "urgent", wide(1, 800*time.Millisecond)) // twice what can be served
				n++
				w.advance(100 * time.Millisecond)
			}
		}
		stream(time.Second)
		w.submit("wide", "urgent", wide(4, 2*time.Second))
		objective := 3400 * time.Millisecond
		stream(patience(objective) + 20*time.Second)
		return w.state("wide") == hfwork.StateCompleted
	}
	require.True(t, play(ByCost))
	require.False(t, play(BySize))
}

// A job that no worker can take does not keep the others from their turn, however long it waits.
func TestUnplaceableJobDoesNotKeepOthersStarving(t *testing.T) {
	w := newContendedWorld(t, ByCost)
	unplaceable := wide(1, 100*time.Millisecond)
	unplaceable.Label = "none"
	w.submit("unplaceable", "urgent", unplaceable)
	n := 0
	stream := func(d time.Duration) {
		for range int(d / (100 * time.Millisecond)) {
			w.submit(fmt.Sprintf("small%04d", n), "urgent", wide(1, 800*time.Millisecond))
			n++
			w.advance(100 * time.Millisecond)
		}
	}
	stream(time.Second)
	w.submit("wide", "urgent", wide(4, 2*time.Second))
	stream(patience(3400*time.Millisecond) + 20*time.Second)
	require.Equal(t, hfwork.StateCompleted, w.state("wide"))
	require.Zero(t, w.running("unplaceable"))
}

// A job that has waited for as long as others may overtake it does not take the fleet from the callers of small jobs,
// which need half of it.
func TestOverdueGiantLeavesSmallAccountsTheirShare(t *testing.T) {
	const interval, length, objective = 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond
	w := newContendedWorld(t, ByCost)
	var small []string
	onTime := map[string]bool{}
	stream := func(d time.Duration) (handedIn, onTimeThen int) {
		from, before := len(small), len(onTime)
		for range int(d / interval) {
			id := fmt.Sprintf("small%04d", len(small))
			small = append(small, id)
			w.submitFor(fmt.Sprint("s", len(small)%5), id, "urgent", wide(1, length))
			w.advance(interval)
			for _, id := range small {
				if w.state(id) == hfwork.StateCompleted && w.now.Sub(time.UnixMilli(w.jobs[id].GetReceived())) <= objective {
					onTime[id] = true
				}
			}
		}
		return len(small) - from, len(onTime) - before
	}
	stream(time.Second)
	w.submitFor("giant", "giant", "urgent", wide(200, 2*time.Second))
	stream(patience(3400 * time.Millisecond))
	before := len(w.startCounts)
	handedIn, served := stream(60 * time.Second)
	require.GreaterOrEqual(t, served, handedIn*9/10)
	require.Greater(t, len(w.startCounts)-before, handedIn, "it goes on")
}

// patience returns for how long others may overtake a job with the given objective.
func patience(objective time.Duration) time.Duration { return 4 * 3 * objective }
