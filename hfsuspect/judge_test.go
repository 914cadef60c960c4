package hfsuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfseed"
)

func TestMain(m *testing.M) { hfseed.Main(m) }

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// poolOf returns the size of all pools.
func poolOf(workers int) func(string) int { return func(string) int { return workers } }

func early(worker, job string, started float64) Failure {
	return Failure{Worker: worker, Pool: "pool", Job: job, Started: at(started), Early: true}
}

// Guards against a success of a run that had begun before: what runs on a worker that fails everything it
// starts goes on and ends well.
func TestOnlyARunStartedLaterClearsASuspect(t *testing.T) {
	j := New()
	require.False(t, j.Failed(early("a", "j1", 5), 100, at(5.1)))
	j.Succeeded("a")
	require.False(t, j.Proved("a", "pool", at(4)), "its run was started before the one that failed")
	require.Equal(t, 1, j.Suspects())
	require.True(t, j.Failed(early("a", "j2", 5.5), 100, at(5.6)), "two jobs")
	require.Equal(t, MinQuarantine, j.Quarantine("a", "pool", at(5.6)).Sub(at(5.6)))
	require.True(t, j.Proved("a", "pool", at(8)))
	require.Zero(t, j.Suspects())
	require.False(t, j.Failed(early("a", "j3", 7.9), 100, at(8.7)), "what was started later went well")
	require.Zero(t, j.Suspects())
}

func TestOneJobQuarantinesNoWorker(t *testing.T) {
	j := New()
	for i := range 5 {
		require.False(t, j.Failed(early("a", "j1", float64(i)), 100, at(float64(i)+0.1)))
	}
}

// Guards against a fleet that is emptied: by a fault everywhere, or by jobs.
func TestNoMoreThanAShareIsAvoided(t *testing.T) {
	j, quarantined := New(), 0
	for i := range 100 {
		id := fmt.Sprintf("w%02d", i)
		for _, job := range []string{"j1", "j2"} {
			if j.Failed(early(id, job, 1), 100, at(1.2)) {
				quarantined++
				j.Quarantine(id, "pool", at(1.2))
			}
		}
	}
	require.Equal(t, 25, quarantined)
	require.Equal(t, 75, j.Review(poolOf(100), at(1.3)))
	require.Len(t, j.AvoidedWorkers("pool"), 25)
	require.Subset(t, j.AvoidedWorkers("pool"), []string{"w00", "w24"}, "those that were quarantined come first")
}

func TestFailuresOfAJobAtFaultAreWithdrawn(t *testing.T) {
	j := New()
	j.Failed(early("a", "bad", 1), 100, at(1.1))
	j.Failed(early("b", "bad", 1), 100, at(1.1))
	require.True(t, j.Failed(early("b", "other", 1.2), 100, at(1.3)))
	j.Quarantine("b", "pool", at(1.3))
	require.Equal(t, []string{"b"}, j.Withdraw("bad"))
	require.Equal(t, 1, j.Suspects(), "the other job has failed on b, too")
	j.Withdraw("other")
	require.Zero(t, j.Suspects())
}

func TestSuspicionLapses(t *testing.T) {
	j, sizes := New(), poolOf(100)
	j.Failed(early("a", "j1", 1), 100, at(1))
	j.Review(sizes, at(1))
	require.True(t, j.Avoided("pool", "a"))
	j.Review(sizes, at(1).Add(SuspicionTime))
	require.False(t, j.Avoided("pool", "a"))
	require.True(t, j.Calm(at(1).Add(SuspicionTime)))
}

func TestOutbreak(t *testing.T) {
	sizes := poolOf(100)
	for name, c := range map[string]struct {
		failures []Failure
		outbreak bool
	}{
		"two workers":               {failures: []Failure{early("a", "j1", 1), early("b", "j2", 1)}},
		"three workers":             {failures: []Failure{early("a", "j1", 1), early("b", "j2", 2), early("c", "j3", 2)}, outbreak: true},
		"two jobs on one worker":    {failures: []Failure{early("a", "j1", 1), early("a", "j2", 2)}, outbreak: true},
		"late failures, two jobs":   {failures: []Failure{{Worker: "a", Pool: "pool", Job: "j1"}, {Worker: "a", Pool: "pool", Job: "j2"}}},
		"one job on a worker again": {failures: []Failure{early("a", "j1", 1), early("a", "j1", 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			j := New()
			for _, f := range c.failures {
				j.Failed(f, 100, at(2.5))
			}
			j.Review(sizes, at(2.5))
			since, ok := j.Outbreak("pool", at(2.5))
			require.Equal(t, c.outbreak, ok)
			if !ok {
				return
			}
			require.Equal(t, at(1), since)
			require.False(t, j.ProvedSince("d", since))
			j.Proved("d", "pool", at(0.9))
			require.False(t, j.ProvedSince("d", since), "before the outbreak")
			j.Proved("d", "pool", at(1.5))
			require.True(t, j.ProvedSince("d", since))
			_, ok = j.Outbreak("pool", at(2.5).Add(OutbreakTime))
			require.False(t, ok, "it ends by itself")
		})
	}
}

// Guards against wrong counts, too many workers avoided, a suspicion that does not end, and a proved worker
// that is a suspect, whatever the order of events.
func TestJudgeKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, now := New(), start
		size := rapid.IntRange(1, 12).Draw(t, "workers")
		worker := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("w", rapid.IntRange(0, size-1).Draw(t, "worker")) })
		job := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job")) })
		started := rapid.Custom(func(t *rapid.T) time.Time {
			return now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
		})
		lastFailure := time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			id := worker.Draw(t, "at")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				f := Failure{Worker: id, Pool: "pool", Job: job.Draw(t, "of"), Started: started.Draw(t, "started"), Early: rapid.Bool().Draw(t, "early")}
				if j.Failed(f, size, now) {
					until := j.Quarantine(id, "pool", now)
					require.LessOrEqual(t, until.Sub(now), MaxQuarantine)
				}
				lastFailure = now
			case 3:
				at := started.Draw(t, "started")
				j.Proved(id, "pool", at)
				require.True(t, j.workers[id].lastStart.IsZero() || at.Before(j.workers[id].lastStart))
			case 4:
				j.Succeeded(id)
			case 5:
				j.Withdraw(job.Draw(t, "of"))
			case 6:
				j.Forget(id)
			}
			spared := j.Review(poolOf(size), now)
			suspects, quarantined := 0, 0
			for id, w := range j.workers {
				if w.suspect() {
					suspects++
					require.False(t, j.ProvedSince(id, start))
					require.NotEmpty(t, w.early)
				}
				if now.Before(w.quarantinedUntil) {
					quarantined++
				}
			}
			require.Equal(t, suspects, j.Suspects())
			require.Len(t, j.AvoidedWorkers("pool"), suspects-spared)
			require.LessOrEqual(t, len(j.AvoidedWorkers("pool")), max(1, size/4))
			require.LessOrEqual(t, quarantined, max(1, size/4))
		}
		j.Review(poolOf(size), lastFailure.Add(MaxQuarantine+TrialTime))
		require.Zero(t, j.Suspects(), "a worker is trusted again in time")
	})
}
