package hfgang

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfseed"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// partialBound is the maximum time for which part of a gang may run without the rest. A
// report of a dead member stays current for two polls and two heartbeats, leases
// renewed until then expire one lease later, and the last second allows for polls that
// are delayed by up to one simulation step.
const partialBound = 2*simPoll + 2*simHeartbeat + simLease + time.Second

// urgentBound is the maximum time until an urgent job starts.
const urgentBound = 3900 * time.Millisecond

func TestGangRunsToCompletion(t *testing.T) {
	sim := newSimulation(1, workersOfEight(4), testDirectory(nil, nil))
	sim.start()
	token := sim.submit("j1", "a", "once", 16, 5*time.Second)
	sim.advance(time.Second)
	require.Equal(t, CodeOK, sim.replies[token].Code())
	require.Equal(t, StateRunning, sim.state("j1"))
	sim.advance(10 * time.Second)
	require.Equal(t, StateDone, sim.state("j1"))
	require.Len(t, sim.ranAttempts["j1"], 1)
	require.Zero(t, sim.longestPartial)
}

// TestReclaim fills the domain with preemptible jobs and then claims all guarantees at
// once.
func TestReclaim(t *testing.T) {
	guarantees := []hfconfig.Guarantee{{Domain: "a", Size: 16, Count: 1}, {Domain: "a", Size: 4, Count: 2}}
	sim := newSimulation(2, workersOfEight(4), testDirectory(guarantees, []hfconfig.Guarantee{{Domain: "a", Size: 8, Count: 1}}))
	sim.start()
	for i := range 8 {
		sim.submit(fmt.Sprintf("fill%d", i), "c", "filler", 4, time.Hour)
	}
	sim.advance(3 * time.Second)
	idle, _ := sim.scheduler.Idle()
	require.Zero(t, idle, "the preemptible jobs hold the whole domain")
	sim.submit("c16", "a", "urgent", 16, time.Minute)
	sim.submit("c4", "a", "urgent", 4, time.Minute)
	sim.submit("d4", "a", "urgent", 4, time.Minute)
	sim.submit("c8", "b", "urgent", 8, time.Minute)
	sim.advance(urgentBound)
	for _, id := range []string{"c16", "c4", "d4", "c8"} {
		require.Equal(t, StateRunning, sim.state(id), "%s: %s", id, sim.scheduler.explain(sim.scheduler.jobs[id], sim.now))
	}
	require.NoError(t, sim.scheduler.Check())
}

// runWithFaults runs a random sequence of jobs and faults. It returns the first
// violated invariant.
func runWithFaults(t *rapid.T, configure func(*simulation)) error {
	guarantees := []hfconfig.Guarantee{{Domain: "a", Size: 8, Count: 2}, {Domain: "a", Size: 12, Count: 1}}
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), workersOfEight(6), testDirectory(guarantees, []hfconfig.Guarantee{{Domain: "a", Size: 4, Count: 2}}))
	if configure != nil {
		configure(sim)
	}
	sim.start()
	works := []string{"urgent", "once", "again", "filler", "filler"}
	accounts := []string{"a", "b", "c"}
	for n := range rapid.IntRange(10, 40).Draw(t, "operations") {
		name := fmt.Sprintf("w%02d", rapid.IntRange(0, 5).Draw(t, "worker"))
		switch rapid.IntRange(0, 12).Draw(t, "operation") {
		case 0, 1, 2, 3, 4:
			size := rapid.SampledFrom([]int{1, 2, 4, 8, 12, 16}).Draw(t, "size")
			run := time.Duration(rapid.IntRange(1, 20).Draw(t, "run")) * time.Second
			sim.submit(fmt.Sprintf("j%d", n), rapid.SampledFrom(accounts).Draw(t, "account"), rapid.SampledFrom(works).Draw(t, "work"), size, run)
		case 5:
			sim.killWorker(name)
		case 6:
			sim.workers[name].unreachable = true
		case 7:
			sim.workers[name].dead, sim.workers[name].unreachable = false, false
		case 8:
			sim.storeDown = !sim.storeDown
		case 9:
			sim.replaceLeader(time.Duration(rapid.IntRange(0, 15000).Draw(t, "gap")) * time.Millisecond)
		case 10:
			sim.lastToken++
			sim.send(Cancel(sim.lastToken, fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job")), "", "test"))
		case 11:
			sim.workers[name].failsTasks = !sim.workers[name].failsTasks
		case 12:
			if sim.reportsCut {
				sim.restoreReports()
			} else {
				sim.reportsCut = true
			}
		}
		sim.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		if err := sim.checkInvariants(); err != nil {
			return err
		}
	}
	return sim.recoverAndClaim()
}

// replaceLeader stops the leader and starts another one after gap. During the gap only
// the observers of the workers are active.
func (sim *simulation) replaceLeader(gap time.Duration) {
	sim.scheduler = New("a", NewTiming(simLease, sim.fleet.Freshness(), time.Hour)) // has not loaded the records, so it does nothing
	sim.advance(gap)
	sim.startLeader()
}

// checkInvariants checks the invariants from outside the scheduler, and calls the
// scheduler's own check.
func (sim *simulation) checkInvariants() error {
	if err := sim.scheduler.Check(); err != nil {
		return err
	}
	if sim.longestPartial > partialBound {
		return fmt.Errorf("part of a gang ran alone for %s, bound %s", sim.longestPartial, partialBound)
	}
	for id, attempts := range sim.ranAttempts {
		if j, ok := sim.scheduler.jobs[id]; ok && !j.record.GetIdempotent() && len(attempts) > 1 {
			return fmt.Errorf("non-idempotent job %s ran %d times", id, len(attempts))
		}
	}
	return nil
}

// recoverAndClaim ends all faults, waits for recovery and claims every guarantee that
// is met and has no claims.
func (sim *simulation) recoverAndClaim() error {
	sim.storeDown = false
	sim.restoreReports()
	for _, fw := range sim.workers {
		fw.dead, fw.unreachable, fw.failsTasks = false, false, false
	}
	sim.advance(partialBound + 5*time.Second)
	claims := map[string]bool{}
	for i, g := range sim.scheduler.guarantees {
		if g.met && len(g.claims) == 0 {
			id := fmt.Sprintf("claim%d", i)
			claims[id] = true
			sim.submit(id, g.account, "urgent", g.size, time.Minute)
		}
	}
	sim.advance(urgentBound)
	for id := range claims {
		if j := sim.scheduler.jobs[id]; j.state() != StateRunning {
			return fmt.Errorf("claim %s is %s: %s", id, j.state(), sim.scheduler.explain(j, sim.now))
		}
	}
	return sim.checkInvariants()
}

func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runWithFaults(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFaultyRulesAreDetected runs the same faults with one faulty rule each. The
// invariant checks must detect it, otherwise TestPromisesUnderFaults proves nothing.
func TestFaultyRulesAreDetected(t *testing.T) {
	faulty := map[string]func(*simulation){
		"non-preemptible jobs take guarantees": func(sim *simulation) { sim.rules.mayOccupy = func(*Scheduler, Block) bool { return true } },
		"release before all members are held":  func(sim *simulation) { sim.rules.mayRelease = func(*job) bool { return true } },
		"a lost attempt is always retried":     func(sim *simulation) { sim.rules.mayRetry = func(*job) bool { return true } },
	}
	for name, configure := range faulty {
		t.Run(name, func(t *testing.T) {
			require.True(t, hfseed.FindsFailure(300, func(rt *rapid.T) error { return runWithFaults(rt, configure) }), "no run detected the faulty rule")
		})
	}
}

// TestMemberLostWithoutLeader loses a member while no leader is active. The observers of
// the workers must let the other members' leases expire within partialBound. With a
// renewal rule that ignores the rest of the gang, the same run must exceed the bound.
func TestMemberLostWithoutLeader(t *testing.T) {
	alwaysRenew := func(*hfworker.Fleet, hfworker.Gang, uint32, time.Time) bool { return true }
	for name, inject := range map[string]func(*simulation){
		"dead":        func(sim *simulation) { sim.killWorker("w01") },
		"unreachable": func(sim *simulation) { sim.workers["w01"].unreachable = true },
		"failed":      func(sim *simulation) { sim.workers["w01"].failsTasks = true },
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(rule hfworker.RenewalRule) time.Duration {
				sim := newSimulation(5, workersOfEight(4), testDirectory(nil, nil))
				sim.renewalRule = rule
				sim.start()
				sim.submit("j1", "a", "again", 32, time.Minute)
				sim.advance(3 * time.Second)
				require.Equal(t, StateRunning, sim.state("j1"))
				inject(sim)
				sim.replaceLeader(20 * time.Second)
				return sim.longestPartial
			}
			require.LessOrEqual(t, measure(hfworker.GangComplete), partialBound)
			require.Greater(t, measure(alwaysRenew), partialBound, "the faulty rule is not detected")
		})
	}
}

// TestLeaderWithoutReports guards against a bug where a leader without reports from the
// observers took a report from before a gang's release as proof that the members were
// lost.
func TestLeaderWithoutReports(t *testing.T) {
	sim := newSimulation(6, workersOfEight(2), testDirectory(nil, nil))
	sim.start()
	sim.reportsCut = true
	sim.submit("j1", "a", "once", 16, 10*time.Second)
	sim.advance(8 * time.Second)
	require.Equal(t, StateRunning, sim.state("j1"))
	sim.submit("j2", "a", "once", 1, time.Second)
	sim.advance(time.Second)
	require.Equal(t, StateQueued, sim.state("j2"), "nothing starts on workers without current reports")
	sim.restoreReports()
	sim.advance(8 * time.Second)
	require.Equal(t, StateDone, sim.state("j1"))
	require.Equal(t, StateDone, sim.state("j2"))
}

// TestBadWorkerAndPoisonJobAreDistinguished first makes one worker fail all its tasks,
// and then one job fail on every worker.
func TestBadWorkerAndPoisonJobAreDistinguished(t *testing.T) {
	sim := newSimulation(7, workersOfEight(4), testDirectory(nil, nil))
	sim.start()
	sim.workers["w00"].failsTasks = true
	for i := range 16 {
		sim.submit(fmt.Sprint("j", i), "a", "again", 8, 2*time.Second)
	}
	sim.advance(29 * time.Second)
	for i := range 16 {
		require.Equal(t, StateDone, sim.state(fmt.Sprint("j", i)), "a bad worker fails no job permanently")
	}
	require.Equal(t, []QuarantineCmd{{worker: "w00"}}, sim.quarantines)
	sim.workers["w00"].failsTasks = false
	sim.advance(minQuarantine)
	for i := range 4 {
		sim.submit(fmt.Sprint("k", i), "a", "again", 8, 2*time.Second)
	}
	sim.advance(20 * time.Second)
	require.Equal(t, []QuarantineCmd{{worker: "w00"}, {worker: "w00", lifted: true}}, sim.quarantines)
	sim.submitCommand("bad", "a", "again", 1, time.Second, "poison")
	sim.advance(40 * time.Second)
	require.Equal(t, StateFailed, sim.state("bad"))
	require.Len(t, sim.ranAttempts["bad"], poisonThreshold)
	require.Len(t, sim.quarantines, 2, "a poison job quarantines no worker")
}

// TestReuseWaitsForStoredRecord guards against a bug where accelerators were given to
// the next job before it was stored that the previous job had left them. Records
// of different shards are stored in no particular order, so a new leader could load two
// jobs on one accelerator.
func TestReuseWaitsForStoredRecord(t *testing.T) {
	sim := newSimulation(3, workersOfEight(1), testDirectory(nil, nil))
	sim.start()
	sim.submit("first", "a", "once", 8, time.Second)
	sim.advance(time.Second)
	sim.submit("second", "a", "once", 8, time.Second)
	sim.storeDown = true
	sim.advance(10 * time.Second)
	require.Equal(t, StateDone, sim.state("first"))
	require.Equal(t, StateQueued, sim.state("second"), "the end of the first is not stored yet")
	sim.storeDown = false
	sim.advance(time.Second)
	require.Equal(t, StateRunning, sim.state("second"))
}

// TestLateCommandsOfReplacedLeader delivers the last commands of a paused leader after
// another one has taken over.
func TestLateCommandsOfReplacedLeader(t *testing.T) {
	sim := newSimulation(4, workersOfEight(2), testDirectory(nil, nil))
	sim.start()
	sim.submit("j1", "a", "once", 16, 5*time.Second)
	sim.advance(100 * time.Millisecond)
	j := sim.scheduler.jobs["j1"]
	require.Equal(t, StateStarting, j.state())
	late := []TaskCmd{j.command(VerbStart, j.members[0]), j.command(VerbStart, j.members[1])}
	sim.replaceLeader(0)
	sim.advance(3 * time.Second)
	for _, c := range late {
		sim.answerTask(c)
	}
	sim.advance(20 * time.Second)
	require.Equal(t, StateDone, sim.state("j1"))
	require.Len(t, sim.ranAttempts["j1"], 1, "it ran in one attempt only")
	require.LessOrEqual(t, sim.longestPartial, partialBound)
}

// Guards against a member that is taken for gone by a report from before its start, which its
// observer vouched for until it was paused.
func TestReportOfPausedObserverTakesNoMemberForGone(t *testing.T) {
	const pause = 3 * time.Second // until another instance would observe the worker
	for offset := range int(simPoll / simStep) {
		sim := newSimulation(1, workersOfEight(1), testDirectory(nil, nil))
		sim.start()
		sim.reportsCut = true // the leader has only what the observer's heartbeats report
		fleet, entries := hfworker.NewFleet(simPoll, simHeartbeat, hfworker.GangComplete), []hfworker.Worker{}
		for _, name := range slices.Sorted(maps.Keys(sim.listedWorkers)) {
			entries = append(entries, sim.listedWorkers[name])
		}
		fleet.Update(hfworker.Listed(entries), sim.now)
		var version uint64
		var lastBeat time.Time
		step := func(paused bool) {
			sim.now = sim.now.Add(simStep)
			sim.runDueEvents()
			sim.endTasks()
			if !paused {
				sim.pollWorkers()
			}
			if !paused && sim.now.Sub(lastBeat) >= simHeartbeat {
				var reports []*hfwire.Report
				full := version == 0
				reports, version = sim.fleet.Reports(version, sim.now)
				for _, cmd := range fleet.Update(hfworker.PeerReports("observer", "o1", full, reports), sim.now) {
					if r, ok := cmd.(hfworker.ReportCmd); ok {
						sim.send(Report(r.Worker(), r.Tasks(), r.Lost()))
					}
				}
				lastBeat = sim.now
			}
			sim.send(Fresh(fleet.FreshWorkers("a", sim.now)))
			sim.send(TickMsg{})
		}
		for range offset {
			step(false)
		}
		sim.submit("j1", "a", "once", 4, time.Minute)
		for sim.state("j1") != StateRunning {
			step(false)
		}
		for released := sim.now; !lastBeat.After(released); {
			step(false)
		}
		for resumes := sim.now.Add(pause); sim.now.Before(resumes); {
			step(true)
			require.Equal(t, StateRunning, sim.state("j1"), "submitted %d steps after a poll", offset)
		}
		for range int(2 * simPoll / simStep) {
			step(false)
		}
		require.Equal(t, StateRunning, sim.state("j1"))
		require.Len(t, sim.workers["w00"].tasks, 1)
	}
}

// Guards against a job that runs although its cancellation was answered "not found": its submission
// was still on its way to the leader.
func TestLateSubmissionOfACancelledJobIsRefused(t *testing.T) {
	sim := newSimulation(1, workersOfEight(2), testDirectory(nil, nil))
	sim.start()
	sim.advance(time.Second)
	now := sim.now
	reply := func(msg Msg) Code {
		for _, cmd := range sim.scheduler.Update(msg, now) {
			if r, ok := cmd.(ReplyCmd); ok {
				return r.code
			}
		}
		return CodeOK // replied once it is stored
	}
	job := func(id, account string) *hfwire.Job {
		return &hfwire.Job{Id: id, Account: account, Work: "once", Size: 1}
	}
	require.Equal(t, CodeNotFound, reply(Cancel(1, "j1", "a", "test")))
	require.Equal(t, CodeConflict, reply(Submit(2, job("j1", "a"))))
	require.Equal(t, CodeNotFound, reply(Cancel(3, "j2", "", "test")), "by an operator")
	require.Equal(t, CodeConflict, reply(Submit(4, job("j2", "a"))))
	require.Equal(t, CodeNotFound, reply(Cancel(5, "j3", "other", "test")))
	require.Equal(t, CodeOK, reply(Submit(6, job("j3", "a"))), "the cancellation of another account bars nothing")
	now = now.Add(withdrawalTime)
	require.Equal(t, CodeOK, reply(Submit(7, job("j1", "a"))))
	for i := range maxWithdrawals {
		require.Equal(t, CodeNotFound, reply(Cancel(8, fmt.Sprint("flood", i), "a", "test")))
	}
	require.Equal(t, CodeRetryLater, reply(Cancel(9, "flood", "a", "test")), "the answer must not be that it never runs")
	now = now.Add(withdrawalTime)
	require.Equal(t, CodeNotFound, reply(Cancel(10, "flood", "a", "test")))
}

// Guards against a member that counts as stopped because its worker answered the stop, although
// the answer says that the member still runs.
func TestAnswerThatMemberRunsDoesNotEndIt(t *testing.T) {
	for _, state := range []string{hfworker.StateHeld, hfworker.StateRunning, "stopping"} {
		sim := newSimulation(1, workersOfEight(1), testDirectory(nil, nil))
		sim.start()
		sim.submit("j1", "a", "once", 8, time.Minute)
		sim.advance(time.Second)
		require.Equal(t, StateRunning, sim.state("j1"))
		j := sim.scheduler.jobs["j1"]
		stop := j.command(VerbStop, j.members[0])
		sim.workers["w00"].unreachable = true // no other answer
		sim.lastToken++
		sim.send(Cancel(sim.lastToken, "j1", "", "test"))
		sim.send(Answered(stop, state, false, 0))
		require.Equal(t, StateStopping, sim.state("j1"), state)
		sim.send(Answered(stop, hfworker.StateStopped, false, 0))
		require.Equal(t, StateCancelled, sim.state("j1"))
	}
}

// Guards against two attempts of a job at once when a worker and its observer are cut off from
// the leader, which takes the leases there to have expired while the observer renews them.
func TestIsolatedObserverRenewsNoReplacedAttempt(t *testing.T) {
	sim := newSimulation(1, workersOfEight(2), testDirectory(nil, nil))
	sim.start()
	sim.submit("j1", "a", "again", 8, time.Hour)
	sim.advance(3 * time.Second)
	require.Equal(t, StateRunning, sim.state("j1"))
	cutOff := sim.workers["w00"]
	if len(cutOff.tasks) == 0 {
		cutOff = sim.workers["w01"]
	}
	// The instance of the leader polls the workers as well, and does not reach one of them.
	leaders, isolated := hfworker.NewFleet(simPoll, simHeartbeat, sim.renewalRule), sim.fleet
	observed, entries := map[string]bool{}, []hfworker.Worker{}
	for _, name := range slices.Sorted(maps.Keys(sim.listedWorkers)) {
		observed[name], entries = true, append(entries, sim.listedWorkers[name])
	}
	leaders.Update(hfworker.Listed(entries), sim.now)
	leaders.Update(hfworker.Observe(observed), sim.now)
	for end := sim.now.Add(5 * simLease); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		cutOff.unreachable, sim.fleet, sim.reportsCut = true, leaders, false
		sim.runDueEvents()
		sim.endTasks()
		sim.pollWorkers()
		sim.send(TickMsg{})
		cutOff.unreachable, sim.fleet, sim.reportsCut = false, isolated, true
		sim.pollWorkers()
		attempts := 0
		for _, fw := range sim.workers {
			for _, task := range fw.tasks {
				if task.state == hfworker.StateRunning {
					attempts++
				}
			}
		}
		require.LessOrEqual(t, attempts, 1, "attempts of j1 that run at once")
	}
}
