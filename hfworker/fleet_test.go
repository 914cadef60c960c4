package hfworker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	testPoll      = time.Second
	testHeartbeat = 250 * time.Millisecond
)

func task(index, size uint32, state string) *hfwire.Task {
	t, err := ParseTask(TaskID("j", 1, index, size), state)
	if err != nil {
		panic(err)
	}
	return t
}

// testFleet returns a Fleet with the workers w0 and w1 that observes some of them. The leader of
// their failure domain was asked at now.
func testFleet(now time.Time, observe ...string) *Fleet {
	f := NewFleet(testPoll, testHeartbeat, GangComplete)
	var workers []Worker
	observed := map[string]bool{}
	for _, n := range []string{"w0", "w1"} {
		workers = append(workers, NewWorker(n, n, "a", "one", "r", 0, 8, false))
	}
	for _, n := range observe {
		observed[n] = true
	}
	f.Update(Listed(workers), now)
	f.Update(Observe(observed), now)
	f.Update(Instances([]string{"leader"}), now)
	f.Update(Leaderships("leader", now, []*hfwire.Leadership{{Domain: "a"}}), now)
	return f
}

// renewedTasks returns the number of leases that the polls due now renew.
func renewedTasks(f *Fleet, now time.Time) int {
	n := 0
	for _, cmd := range f.Update(TickMsg{}, now) {
		if p, ok := cmd.(PollCmd); ok {
			n += len(p.Renew())
		}
	}
	return n
}

// TestRenewalNeedsTheWholeGang checks that the lease of a member is renewed only while the
// other member is known to be running or done from a fresh report.
func TestRenewalNeedsTheWholeGang(t *testing.T) {
	start := time.Unix(0, 0)
	for name, test := range map[string]struct {
		receive func(f *Fleet, now time.Time)
		want    int
	}{
		"no report": {func(*Fleet, time.Time) {}, 0},
		"running":   {func(f *Fleet, now time.Time) { peerReport(f, now, task(1, 2, StateRunning), false) }, 1},
		"done":      {func(f *Fleet, now time.Time) { peerReport(f, now, task(1, 2, StateDone), false) }, 1},
		"held":      {func(f *Fleet, now time.Time) { peerReport(f, now, task(1, 2, StateHeld), false) }, 0},
		"failed":    {func(f *Fleet, now time.Time) { peerReport(f, now, task(1, 2, StateFailed), false) }, 0},
		"lost": {func(f *Fleet, now time.Time) {
			peerReport(f, now, task(1, 2, StateRunning), false)
			peerReport(f, now, nil, true)
		}, 0},
		"report too old": {func(f *Fleet, now time.Time) { peerReport(f, now.Add(-f.Freshness()), task(1, 2, StateRunning), false) }, 0},
		"no longer observed": {func(f *Fleet, now time.Time) {
			peerReport(f, now.Add(-f.Freshness()), task(1, 2, StateRunning), false)
			f.Update(PeerReports("peer", "p1", false, []*hfwire.Report{{Worker: "w1", Dropped: true}}), now)
			f.Update(PeerReports("peer", "p1", false, nil), now)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(start, "w0")
			now := start.Add(testPoll)
			f.Update(Polled("w0", []*hfwire.Task{task(0, 2, StateRunning)}, now), now)
			test.receive(f, now)
			require.Equal(t, test.want, renewedTasks(f, now.Add(testPoll)))
		})
	}
}

// peerReport delivers a report of another instance on w1.
func peerReport(f *Fleet, now time.Time, member *hfwire.Task, lost bool) {
	r := &hfwire.Report{Worker: "w1", Lost: lost}
	if member != nil {
		r.Tasks = []*hfwire.Task{member}
	}
	f.Update(PeerReports("peer", "p1", false, []*hfwire.Report{r}), now)
}

// TestReportsContainOnlyChanges checks that a peer receives every change once, and
// everything when it asks for full reports.
func TestReportsContainOnlyChanges(t *testing.T) {
	now := time.Unix(0, 0)
	f := testFleet(now, "w0", "w1")
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now), now)
	f.Update(Polled("w1", nil, now), now)
	reports, version := f.Reports(0, now)
	require.Len(t, reports, 2)
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now), now)
	reports, version = f.Reports(version, now)
	require.Empty(t, reports, "nothing changed")
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateDone)}, now), now)
	reports, version = f.Reports(version, now)
	require.Len(t, reports, 1)
	f.Update(Observe(map[string]bool{"w0": true}), now)
	reports, _ = f.Reports(version, now)
	require.Len(t, reports, 1)
	require.True(t, reports[0].GetDropped())
	reports, _ = f.Reports(0, now)
	require.Len(t, reports, 1)
}

// TestReassignedWorkerIsReportedAgain guards against a fault: an instance that stopped
// observing a worker for a moment did not report that it observes it again, and the other
// instances took the worker for silent from then on.
func TestReassignedWorkerIsReportedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	observer, leader := testFleet(now, "w0"), testFleet(now)
	version := uint64(0)
	report := func() {
		var reports []*hfwire.Report
		reports, version = observer.Reports(version, now)
		leader.Update(PeerReports("observer", "o1", version == 0, reports), now)
	}
	observer.Update(Polled("w0", nil, now), now)
	report()
	require.Equal(t, []string{"w0"}, leader.FreshWorkers("a", now))
	observer.Update(Observe(nil), now)
	report()
	observer.Update(Observe(map[string]bool{"w0": true}), now)
	now = now.Add(leader.Freshness() / 2)
	observer.Update(Polled("w0", nil, now), now)
	now = now.Add(leader.Freshness() / 2)
	report()
	require.Equal(t, []string{"w0"}, leader.FreshWorkers("a", now))
}

// TestIgnoredReportIsRequestedAgain guards against a fault: an instance that considered
// itself a worker's observer ignored another instance's report, and was without it once
// the other instance had become the observer.
func TestIgnoredReportIsRequestedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	f := testFleet(now, "w1")
	f.Update(PeerReports("peer", "p1", true, nil), now)
	require.False(t, f.NeedsFullReport("peer", "p1"))
	require.True(t, f.NeedsFullReport("peer", "p2"), "another incarnation of the peer")
	peerReport(f, now, task(0, 1, StateRunning), false)
	f.Update(Observe(nil), now)
	require.True(t, f.NeedsFullReport("peer", "p1"))
	f.Update(PeerReports("peer", "p1", true, []*hfwire.Report{{Worker: "w1"}}), now)
	require.False(t, f.NeedsFullReport("peer", "p1"))
	require.Equal(t, []string{"w1"}, f.FreshWorkers("a", now))
}

func TestTaskIDs(t *testing.T) {
	for _, id := range []string{"", "a", "a.b", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := ParseTask(id, StateHeld)
		require.ErrorIs(t, err, ErrTaskID, id)
	}
}

func FuzzTaskID(f *testing.F) {
	f.Add("j.1.2.3")
	f.Fuzz(func(t *testing.T, id string) {
		task, err := ParseTask(id, StateHeld)
		if err == nil {
			require.NotNil(t, task)
		}
	})
}

// Guards against an instance that was paused and passes on what it had seen before the pause:
// another instance took a gang that was started meanwhile for lost.
func TestPausedObserverReportsNothingOld(t *testing.T) {
	start := time.Unix(0, 0)
	paused, other := testFleet(start, "w1"), testFleet(start, "w0")
	paused.Update(Polled("w1", nil, start), start)
	reports, version := paused.Reports(0, start)
	other.Update(PeerReports("paused", "p1", true, reports), start)

	now := start.Add(10 * time.Second)
	other.Update(Observe(map[string]bool{"w0": true, "w1": true}), now)
	other.Update(Polled("w1", []*hfwire.Task{task(1, 2, StateRunning)}, now), now)
	other.Update(Observe(map[string]bool{"w0": true}), now)
	for _, since := range []uint64{0, version} {
		reports, _ = paused.Reports(since, now)
		cmds := other.Update(PeerReports("paused", "p1", since == 0, reports), now)
		require.Empty(t, cmds, "what was seen before the pause is reported as current")
		require.Equal(t, 1, other.TaskCount())
	}
	require.NotContains(t, paused.FreshWorkers("a", now), "w1")

	_, version = paused.Reports(version, now)
	paused.Update(Polled("w1", []*hfwire.Task{task(1, 2, StateRunning)}, now), now)
	reports, _ = paused.Reports(version, now)
	require.Len(t, reports, 1, "the first poll after the pause is reported")
	require.False(t, reports[0].GetDropped())
	require.Len(t, reports[0].GetTasks(), 1)
}

// Guards against heartbeats that keep a worker's report current although the instance that
// sends them gets no answer from the worker.
func TestUnansweredPollsEndTheFreshnessOfReports(t *testing.T) {
	start := time.Unix(0, 0)
	observer, other := testFleet(start, "w1"), testFleet(start, "w0")
	observer.Update(Polled("w1", nil, start), start)
	var version uint64
	now := start
	beat := func() {
		var reports []*hfwire.Report
		reports, version = observer.Reports(version, now)
		other.Update(PeerReports("observer", "o1", version == 0, reports), now)
	}
	for beat(); now.Before(start.Add(observer.Freshness())); now = now.Add(testHeartbeat) {
		beat()
		require.Contains(t, other.FreshWorkers("a", now), "w1")
	}
	beat()
	now = now.Add(other.Freshness())
	beat()
	require.NotContains(t, other.FreshWorkers("a", now), "w1")
}

// Guards against a poll that is answered after its worker was assigned to another instance: it
// replaced the newer report of that instance, whose heartbeats then kept nothing current.
func TestPollAnsweredAfterReassignmentReplacesNoReport(t *testing.T) {
	for name, late := range map[string]Msg{
		"answered": Polled("w1", nil, time.Unix(0, 0)),
		"failed":   PollFailed("w1"),
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(0, 0)
			f := testFleet(start, "w0", "w1")
			for range lostAfterPolls - 1 {
				f.Update(PollFailed("w1"), start)
			}
			f.Update(Observe(map[string]bool{"w0": true}), start)
			now := start.Add(testHeartbeat)
			running := []*hfwire.Task{task(1, 2, StateRunning)}
			f.Update(PeerReports("other", "o1", true, []*hfwire.Report{{Worker: "w1", Tasks: running}}), now)
			require.Empty(t, f.Update(late, now), "the report of the observer is newer")
			require.Equal(t, 1, f.TaskCount())
			for range 20 {
				now = now.Add(testHeartbeat)
				f.Update(PeerReports("other", "o1", false, nil), now)
			}
			require.Contains(t, f.FreshWorkers("a", now), "w1")
		})
	}
}

// Guards against an instance that was paused and passes on that it had lost a worker before the
// pause: a gang that was started there meanwhile ended as lost.
func TestPausedObserverReportsNoLossFromBefore(t *testing.T) {
	start := time.Unix(0, 0)
	paused, other := testFleet(start, "w1"), testFleet(start, "w0")
	for range lostAfterPolls {
		paused.Update(PollFailed("w1"), start)
	}
	reports, version := paused.Reports(0, start)
	require.True(t, reports[0].GetLost())
	other.Update(PeerReports("paused", "p1", true, reports), start)

	now := start.Add(10 * time.Second)
	other.Update(Observe(map[string]bool{"w0": true, "w1": true}), now)
	other.Update(Polled("w1", []*hfwire.Task{task(1, 2, StateRunning)}, now), now)
	other.Update(Observe(map[string]bool{"w0": true}), now)
	for _, since := range []uint64{0, version} {
		reports, _ = paused.Reports(since, now)
		require.Empty(t, other.Update(PeerReports("paused", "p1", since == 0, reports), now), "a loss from before the pause is reported as current")
	}

	_, version = paused.Reports(version, now)
	paused.Update(PollFailed("w1"), now)
	reports, version = paused.Reports(version, now)
	require.Len(t, reports, 1, "the first poll after the pause is reported")
	require.True(t, reports[0].GetLost())
	for range 20 {
		now = now.Add(testPoll / retryPollDivisor)
		paused.Update(PollFailed("w1"), now)
		reports, version = paused.Reports(version, now)
		require.Empty(t, reports, "it is still lost")
	}
}
