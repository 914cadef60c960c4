package hfgang

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfseed"
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
	w := newSimulation(1, workersOfEight(4), testBook(nil, nil))
	w.start()
	token := w.submit("j1", "a", "once", 16, 5*time.Second)
	w.advance(time.Second)
	require.Equal(t, CodeOK, w.replies[token].Code())
	require.Equal(t, StateRunning, w.state("j1"))
	w.advance(10 * time.Second)
	require.Equal(t, StateDone, w.state("j1"))
	require.Len(t, w.ranAttempts["j1"], 1)
	require.Zero(t, w.longestPartial)
}

// TestReclaim fills the domain with preemptible jobs and then claims all guarantees at
// once.
func TestReclaim(t *testing.T) {
	guarantees := []hfconfig.Guarantee{{Domain: "a", Size: 16, Count: 1}, {Domain: "a", Size: 4, Count: 2}}
	w := newSimulation(2, workersOfEight(4), testBook(guarantees, []hfconfig.Guarantee{{Domain: "a", Size: 8, Count: 1}}))
	w.start()
	for i := range 8 {
		w.submit(fmt.Sprintf("fill%d", i), "c", "filler", 4, time.Hour)
	}
	w.advance(3 * time.Second)
	idle, _ := w.s.Idle()
	require.Zero(t, idle, "the preemptible jobs hold the whole domain")
	w.submit("c16", "a", "urgent", 16, time.Minute)
	w.submit("c4", "a", "urgent", 4, time.Minute)
	w.submit("d4", "a", "urgent", 4, time.Minute)
	w.submit("c8", "b", "urgent", 8, time.Minute)
	w.advance(urgentBound)
	for _, id := range []string{"c16", "c4", "d4", "c8"} {
		require.Equal(t, StateRunning, w.state(id), "%s: %s", id, w.s.explain(w.s.jobs[id], w.now))
	}
	require.NoError(t, w.s.Check())
}

// runWithFaults runs a random sequence of jobs and faults. It returns the first
// violated invariant.
func runWithFaults(t *rapid.T, configure func(*simulation)) error {
	guarantees := []hfconfig.Guarantee{{Domain: "a", Size: 8, Count: 2}, {Domain: "a", Size: 12, Count: 1}}
	w := newSimulation(rapid.Uint64().Draw(t, "seed"), workersOfEight(6), testBook(guarantees, []hfconfig.Guarantee{{Domain: "a", Size: 4, Count: 2}}))
	if configure != nil {
		configure(w)
	}
	w.start()
	works := []string{"urgent", "once", "again", "filler", "filler"}
	accounts := []string{"a", "b", "c"}
	for n := range rapid.IntRange(10, 40).Draw(t, "operations") {
		name := fmt.Sprintf("w%02d", rapid.IntRange(0, 5).Draw(t, "worker"))
		switch rapid.IntRange(0, 12).Draw(t, "operation") {
		case 0, 1, 2, 3, 4:
			size := rapid.SampledFrom([]int{1, 2, 4, 8, 12, 16}).Draw(t, "size")
			run := time.Duration(rapid.IntRange(1, 20).Draw(t, "run")) * time.Second
			w.submit(fmt.Sprintf("j%d", n), rapid.SampledFrom(accounts).Draw(t, "account"), rapid.SampledFrom(works).Draw(t, "work"), size, run)
		case 5:
			w.killWorker(name)
		case 6:
			w.workers[name].unreachable = true
		case 7:
			w.workers[name].dead, w.workers[name].unreachable = false, false
		case 8:
			w.storeDown = !w.storeDown
		case 9:
			w.replaceLeader(time.Duration(rapid.IntRange(0, 15000).Draw(t, "gap")) * time.Millisecond)
		case 10:
			w.lastToken++
			w.send(Cancel(w.lastToken, fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(t, "job")), "", "test"))
		case 11:
			w.workers[name].failsTasks = !w.workers[name].failsTasks
		case 12:
			if w.reportsCut {
				w.restoreReports()
			} else {
				w.reportsCut = true
			}
		}
		w.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		if err := w.checkInvariants(); err != nil {
			return err
		}
	}
	return w.recoverAndClaim()
}

// replaceLeader stops the leader and starts another one after gap. During the gap only
// the worker observers are active.
func (w *simulation) replaceLeader(gap time.Duration) {
	w.s = New("a", NewTiming(simLease, w.fleet.Freshness(), time.Hour)) // has not loaded the records, so it does nothing
	w.advance(gap)
	w.startLeader()
}

// checkInvariants checks the invariants from outside the scheduler, and calls the
// scheduler's own check.
func (w *simulation) checkInvariants() error {
	if err := w.s.Check(); err != nil {
		return err
	}
	if w.longestPartial > partialBound {
		return fmt.Errorf("part of a gang ran alone for %s, bound %s", w.longestPartial, partialBound)
	}
	for id, attempts := range w.ranAttempts {
		if j, ok := w.s.jobs[id]; ok && !j.record.GetIdempotent() && len(attempts) > 1 {
			return fmt.Errorf("non-idempotent job %s ran %d times", id, len(attempts))
		}
	}
	return nil
}

// recoverAndClaim ends all faults, waits for recovery and claims every guarantee that
// is met and has no claims.
func (w *simulation) recoverAndClaim() error {
	w.storeDown = false
	w.restoreReports()
	for _, fw := range w.workers {
		fw.dead, fw.unreachable, fw.failsTasks = false, false, false
	}
	w.advance(partialBound + 5*time.Second)
	claims := map[string]bool{}
	for i, g := range w.s.guarantees {
		if g.met && len(g.claims) == 0 {
			id := fmt.Sprintf("claim%d", i)
			claims[id] = true
			w.submit(id, g.account, "urgent", g.size, time.Minute)
		}
	}
	w.advance(urgentBound)
	for id := range claims {
		if j := w.s.jobs[id]; j.state() != StateRunning {
			return fmt.Errorf("claim %s is %s: %s", id, j.state(), w.s.explain(j, w.now))
		}
	}
	return w.checkInvariants()
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
		"non-preemptible jobs take guarantees": func(w *simulation) { w.rules.mayOccupy = func(*Scheduler, Block) bool { return true } },
		"release before all members are held":  func(w *simulation) { w.rules.mayRelease = func(*job) bool { return true } },
		"a lost attempt is always retried":     func(w *simulation) { w.rules.mayRetry = func(*job) bool { return true } },
	}
	for name, configure := range faulty {
		t.Run(name, func(t *testing.T) {
			require.True(t, hfseed.FindsFailure(300, func(rt *rapid.T) error { return runWithFaults(rt, configure) }), "no run detected the faulty rule")
		})
	}
}

// TestMemberLostWithoutLeader loses a member while no leader is active. The observers
// must let the other members' leases expire within partialBound. With a renewal rule
// that ignores the rest of the gang, the same run must exceed the bound.
func TestMemberLostWithoutLeader(t *testing.T) {
	alwaysRenew := func(*hfworker.Fleet, hfworker.Gang, uint32, time.Time) bool { return true }
	for name, inject := range map[string]func(*simulation){
		"dead":        func(w *simulation) { w.killWorker("w01") },
		"unreachable": func(w *simulation) { w.workers["w01"].unreachable = true },
		"failed":      func(w *simulation) { w.workers["w01"].failsTasks = true },
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(rule hfworker.RenewalRule) time.Duration {
				w := newSimulation(5, workersOfEight(4), testBook(nil, nil))
				w.renewalRule = rule
				w.start()
				w.submit("j1", "a", "again", 32, time.Minute)
				w.advance(3 * time.Second)
				require.Equal(t, StateRunning, w.state("j1"))
				inject(w)
				w.replaceLeader(20 * time.Second)
				return w.longestPartial
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
	w := newSimulation(6, workersOfEight(2), testBook(nil, nil))
	w.start()
	w.reportsCut = true
	w.submit("j1", "a", "once", 16, 10*time.Second)
	w.advance(8 * time.Second)
	require.Equal(t, StateRunning, w.state("j1"))
	w.submit("j2", "a", "once", 1, time.Second)
	w.advance(time.Second)
	require.Equal(t, StateQueued, w.state("j2"), "nothing starts on workers without current reports")
	w.restoreReports()
	w.advance(8 * time.Second)
	require.Equal(t, StateDone, w.state("j1"))
	require.Equal(t, StateDone, w.state("j2"))
}

// TestBadWorkerAndPoisonJobAreDistinguished first makes one worker fail all its tasks,
// and then one job fail on every worker.
func TestBadWorkerAndPoisonJobAreDistinguished(t *testing.T) {
	w := newSimulation(7, workersOfEight(4), testBook(nil, nil))
	w.start()
	w.workers["w00"].failsTasks = true
	for i := range 16 {
		w.submit(fmt.Sprint("j", i), "a", "again", 8, 2*time.Second)
	}
	w.advance(29 * time.Second)
	for i := range 16 {
		require.Equal(t, StateDone, w.state(fmt.Sprint("j", i)), "a bad worker fails no job permanently")
	}
	require.Equal(t, []QuarantineCmd{{worker: "w00"}}, w.quarantines)
	w.workers["w00"].failsTasks = false
	w.advance(minQuarantine)
	for i := range 4 {
		w.submit(fmt.Sprint("k", i), "a", "again", 8, 2*time.Second)
	}
	w.advance(20 * time.Second)
	require.Equal(t, []QuarantineCmd{{worker: "w00"}, {worker: "w00", lifted: true}}, w.quarantines)
	w.submitCommand("bad", "a", "again", 1, time.Second, "poison")
	w.advance(40 * time.Second)
	require.Equal(t, StateFailed, w.state("bad"))
	require.Len(t, w.ranAttempts["bad"], poisonThreshold)
	require.Len(t, w.quarantines, 2, "a poison job quarantines no worker")
}

// TestReuseWaitsForStoredRecord guards against a bug where accelerators were given to
// the next job before the record of the previous job leaving them was stored. Records
// of different shards are stored in no particular order, so a new leader could load two
// jobs on one accelerator.
func TestReuseWaitsForStoredRecord(t *testing.T) {
	w := newSimulation(3, workersOfEight(1), testBook(nil, nil))
	w.start()
	w.submit("first", "a", "once", 8, time.Second)
	w.advance(time.Second)
	w.submit("second", "a", "once", 8, time.Second)
	w.storeDown = true
	w.advance(10 * time.Second)
	require.Equal(t, StateDone, w.state("first"))
	require.Equal(t, StateQueued, w.state("second"), "the end of the first is not stored yet")
	w.storeDown = false
	w.advance(time.Second)
	require.Equal(t, StateRunning, w.state("second"))
}

// TestLateCommandsOfReplacedLeader delivers the last commands of a paused leader after
// another one has taken over.
func TestLateCommandsOfReplacedLeader(t *testing.T) {
	w := newSimulation(4, workersOfEight(2), testBook(nil, nil))
	w.start()
	w.submit("j1", "a", "once", 16, 5*time.Second)
	w.advance(100 * time.Millisecond)
	j := w.s.jobs["j1"]
	require.Equal(t, StateStarting, j.state())
	late := []TaskCmd{j.command(VerbStart, j.members[0]), j.command(VerbStart, j.members[1])}
	w.replaceLeader(0)
	w.advance(3 * time.Second)
	for _, c := range late {
		w.answerTask(c)
	}
	w.advance(20 * time.Second)
	require.Equal(t, StateDone, w.state("j1"))
	require.Len(t, w.ranAttempts["j1"], 1, "it ran in one attempt only")
	require.LessOrEqual(t, w.longestPartial, partialBound)
}
