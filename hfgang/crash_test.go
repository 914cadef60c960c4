package hfgang

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfcrash"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// maxDeadlyAttempts is how often a gang may run that crashes each worker that runs it.
const maxDeadlyAttempts = 5

// Guards against an idempotent gang that crashes each worker that runs it and is started again without
// limit.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, command := range []string{"crash", "crash unanswered"} {
		for _, size := range []int{2, 8, 16} {
			for _, restart := range []time.Duration{simStep, time.Second, 10 * time.Second, 2 * time.Minute} {
				for _, newLeaders := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, size %d, restart after %v, new leaders %v", command, size, restart, newLeaders), func(t *testing.T) {
						sim := newSimulation(11, workersOfEight(16), testDirectory(nil, nil))
						sim.restartAfter = restart
						sim.start()
						sim.submitCommand("bad", "a", "again", size, time.Minute, command)
						for attempts := 0; attempts <= 2*maxDeadlyAttempts && sim.state("bad") != StateFailed; {
							sim.advance(simPoll)
							require.NoError(t, sim.scheduler.Check())
							if n := len(sim.ranAttempts["bad"]); n > attempts {
								attempts = n
								if newLeaders {
									sim.replaceLeader(time.Second)
								}
							}
						}
						requireGivenUp(t, sim, "bad")
					})
				}
			}
		}
	}
}

func requireGivenUp(t *testing.T, sim *simulation, job string) {
	t.Helper()
	require.Equal(t, StateFailed, sim.state(job), "%s after %d attempts", job, len(sim.ranAttempts[job]))
	require.LessOrEqual(t, len(sim.ranAttempts[job]), maxDeadlyAttempts)
	require.Contains(t, sim.scheduler.jobs[job].record.GetReason(), "crashed")
}

// Guards against several gangs that crash their workers and are taken for a loss of many workers that has
// another cause.
func TestGangsThatCrashTheirWorkersTogetherAreGivenUp(t *testing.T) {
	sim := newSimulation(13, workersOfEight(16), testDirectory(nil, nil))
	sim.restartAfter = 10 * time.Second
	sim.start()
	for i := range 6 {
		sim.submitCommand(fmt.Sprint("bad", i), "a", "again", 8, time.Minute, "crash")
	}
	sim.advance(5 * time.Minute)
	for i := range 6 {
		requireGivenUp(t, sim, fmt.Sprint("bad", i))
	}
}

// Guards against an innocent gang that is given up because of cuts, planned departures, losses of many
// workers at once, or crashes long after its start.
func TestGangIsNotBlamedForOtherLosses(t *testing.T) {
	workersOf := func(sim *simulation) []string {
		var names []string
		for _, m := range sim.scheduler.jobs["good"].members {
			names = append(names, m.grant.GetWorker())
		}
		return names
	}
	for name, lose := range map[string]func(sim *simulation){
		"cut that ends before the leases": func(sim *simulation) {
			for _, w := range workersOf(sim) {
				sim.workers[w].unreachable = true
				sim.after(8*time.Second, nil, func() { sim.workers[w].unreachable = false })
			}
		},
		"cut": func(sim *simulation) {
			for _, w := range workersOf(sim) {
				sim.workers[w].unreachable = true
				sim.after(40*time.Second, nil, func() { sim.workers[w].unreachable = false })
			}
		},
		"planned departure": func(sim *simulation) {
			for _, w := range workersOf(sim) {
				sim.setLeaving(w, true)
				sim.advance(simPoll)
				sim.crashWorker(w)
				sim.after(40*time.Second, nil, func() { sim.setLeaving(w, false) })
			}
		},
		"many workers at once": func(sim *simulation) {
			for w := range sim.workers {
				sim.crashWorker(w)
			}
		},
		"crash long after the start": func(sim *simulation) {
			sim.advance(30 * time.Second)
			for _, w := range workersOf(sim) {
				sim.crashWorker(w)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(12, workersOfEight(16), testDirectory(nil, nil))
			sim.restartAfter = 10 * time.Second
			sim.start()
			sim.submit("good", "a", "again", 16, time.Hour)
			for range 2 * maxDeadlyAttempts {
				for i := 0; i < 200 && sim.state("good") != StateRunning; i++ {
					sim.advance(simPoll)
				}
				require.Equal(t, StateRunning, sim.state("good"), sim.scheduler.explain(sim.scheduler.jobs["good"], sim.now))
				lose(sim)
				for i := 0; i < 20 && sim.state("good") == StateRunning; i++ {
					sim.advance(simPoll)
				}
				require.NotEqual(t, StateRunning, sim.state("good"), "the loss is noticed")
			}
			require.NotEqual(t, StateFailed, sim.state("good"))
		})
	}
}

// setLeaving sets whether the membership list says that a worker leaves.
func (sim *simulation) setLeaving(name string, leaving bool) {
	w := sim.listedWorkers[name]
	sim.listedWorkers = maps.Clone(sim.listedWorkers)
	sim.listedWorkers[name] = hfworker.NewWorker(name, w.Address(), w.Domain(), w.Region(), w.Rack(), w.Position(), w.Accelerators(), leaving)
	sim.send(Fleet(sim.listedWorkers))
}

// Guards against innocent gangs that are given up because workers crash by themselves.
func TestChanceCrashesFailNoGang(t *testing.T) {
	const crashInterval = 10 * time.Second
	for _, size := range []int{4, 8, 16} {
		sim := newSimulation(14, workersOfEight(16), testDirectory(nil, nil))
		sim.restartAfter = 10 * time.Second
		sim.start()
		for n := range 30 {
			sim.submit(fmt.Sprint("good", n), "a", "again", size, 20*time.Second)
			sim.crashWorker(fmt.Sprintf("w%02d", sim.random.IntN(16)))
			sim.advance(crashInterval)
		}
		sim.advance(2 * time.Minute)
		for n := range 30 {
			id := fmt.Sprint("good", n)
			require.Equal(t, StateDone, sim.state(id), "%s of size %d: %s", id, size, sim.scheduler.jobs[id].record.GetReason())
		}
	}
}

// Guards against innocent gangs that are started beside the culprit again and again, and are given up with
// it.
func TestGangsBesideTheCulpritAreNotGivenUp(t *testing.T) {
	for _, restart := range []time.Duration{simStep, time.Second, 10 * time.Second, 2 * time.Minute} {
		t.Run(fmt.Sprintf("restart after %v", restart), func(t *testing.T) {
			sim := newSimulation(11, workersOfEight(16), testDirectory(nil, nil))
			sim.restartAfter = restart
			sim.start()
			sim.submit("other", "a", "again", 4, time.Hour)
			sim.submitCommand("bad", "a", "again", 2, time.Minute, "crash")
			sim.submit("third", "a", "again", 2, time.Hour)
			sim.advance(5 * time.Minute)
			requireGivenUp(t, sim, "bad")
			for _, id := range []string{"other", "third"} {
				require.Equal(t, StateRunning, sim.state(id), sim.scheduler.jobs[id].record.GetReason())
				require.LessOrEqual(t, len(sim.ranAttempts[id]), 2, "it is lost beside the culprit once")
			}
		})
	}
}

// submitSuspect submits a job under which a worker has crashed before.
func (sim *simulation) submitSuspect(id, work string, size uint32) {
	sim.lastToken++
	sim.send(Submit(sim.lastToken, &hfwire.Job{
		Id: id, Account: "a", Caller: "c", Work: work, Class: string(sim.directory.View().Works()[work].Class), Size: size,
		Idempotent: true, Run: time.Hour.Milliseconds(), Crashes: &hfwire.Crashes{Total: 1, Early: 1, Run: 1},
	}))
}

// Guards against a suspect that waits for ever for workers without other jobs, or an urgent one that
// waits at all.
func TestSuspectWaitsForOwnWorkersForAWhileOnly(t *testing.T) {
	for _, work := range []string{"again", "urgent"} {
		sim := newSimulation(15, workersOfEight(4), testDirectory(nil, nil))
		sim.start()
		for i := range 4 {
			sim.submit(fmt.Sprint("other", i), "a", "once", 5, time.Hour)
		}
		sim.advance(3 * time.Second)
		sim.submitSuspect("suspect", work, 2)
		sim.advance(isolationWait / 2)
		require.Equal(t, work == "urgent", sim.state("suspect") == StateRunning)
		sim.advance(isolationWait + retryInterval)
		require.Equal(t, StateRunning, sim.state("suspect"), work)
	}
}

// Guards against gangs that are placed beside a suspect that has just started, and an urgent gang that
// waits for the end of its isolation.
func TestJobsArePlacedBesideASuspectLater(t *testing.T) {
	for _, work := range []string{"again", "urgent"} {
		sim := newSimulation(16, workersOfEight(4), testDirectory(nil, nil))
		sim.start()
		for i := range 3 {
			sim.submit(fmt.Sprint("other", i), "a", "once", 8, time.Hour)
		}
		sim.advance(3 * time.Second)
		sim.submitSuspect("suspect", "again", 2)
		sim.advance(time.Second)
		require.Equal(t, StateRunning, sim.state("suspect"))
		sim.submit("next", "a", work, 2, time.Hour)
		sim.advance(time.Second)
		require.Equal(t, work == "urgent", sim.state("next") == StateRunning)
		sim.advance(hfcrash.StartWindow + sim.scheduler.timing.lossDelay())
		require.Equal(t, StateRunning, sim.state("next"), work)
	}
}

// Guards against suspects that take more than their share of the workers: most of them are innocent.
func TestSuspectsIsolateAShareOfTheWorkersOnly(t *testing.T) {
	sim := newSimulation(17, workersOfEight(4), testDirectory(nil, nil))
	sim.start()
	for i := range 3 {
		sim.submit(fmt.Sprint("other", i), "a", "once", 5, time.Hour)
	}
	sim.advance(3 * time.Second)
	sim.submitSuspect("first", "again", 2)
	sim.submitSuspect("second", "again", 2)
	sim.advance(isolationWait / 2)
	require.Equal(t, StateRunning, sim.state("first"))
	require.Equal(t, StateRunning, sim.state("second"), "it does not wait for a worker of its own")
	require.NotEqual(t, sim.scheduler.jobs["first"].members[0].grant.GetWorker(), sim.scheduler.jobs["second"].members[0].grant.GetWorker())
}
