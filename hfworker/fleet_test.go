package hfworker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
)

const (
	testPoll = time.Second
	testBeat = 250 * time.Millisecond
)

func task(index, size uint32, state string) *hfwire.Task {
	t, err := ParseTask(TaskID("j", 1, index, size), state)
	if err != nil {
		panic(err)
	}
	return t
}

func testFleet(now time.Time, mine ...string) *Fleet {
	f := NewFleet(testPoll, testBeat, Whole)
	var workers []Worker
	duty := map[string]bool{}
	for _, n := range []string{"w0", "w1"} {
		workers = append(workers, NewWorker(n, n, "a", "one", "r", 0, 8, false))
	}
	for _, n := range mine {
		duty[n] = true
	}
	f.Update(Listed(workers), now)
	f.Update(Duty(duty), now)
	return f
}

func renewed(f *Fleet, now time.Time) int {
	n := 0
	for _, cmd := range f.Update(TickMsg{}, now) {
		if p, ok := cmd.(PollCmd); ok {
			n += len(p.Renew())
		}
	}
	return n
}

// TestRenewalNeedsTheWholeGang gives one instance a member and lets it hear of the
// other in several ways.
func TestRenewalNeedsTheWholeGang(t *testing.T) {
	start := time.Unix(0, 0)
	for name, row := range map[string]struct {
		hear func(f *Fleet, now time.Time)
		want int
	}{
		"never heard": {func(*Fleet, time.Time) {}, 0},
		"runs":        {func(f *Fleet, now time.Time) { heard(f, now, task(1, 2, StateRunning), false) }, 1},
		"done":        {func(f *Fleet, now time.Time) { heard(f, now, task(1, 2, StateDone), false) }, 1},
		"held":        {func(f *Fleet, now time.Time) { heard(f, now, task(1, 2, StateHeld), false) }, 0},
		"failed":      {func(f *Fleet, now time.Time) { heard(f, now, task(1, 2, StateFailed), false) }, 0},
		"lost": {func(f *Fleet, now time.Time) {
			heard(f, now, task(1, 2, StateRunning), false)
			heard(f, now, nil, true)
		}, 0},
		"heard long ago": {func(f *Fleet, now time.Time) { heard(f, now.Add(-f.Freshness()), task(1, 2, StateRunning), false) }, 0},
		"no longer observed": {func(f *Fleet, now time.Time) {
			heard(f, now.Add(-f.Freshness()), task(1, 2, StateRunning), false)
			f.Update(Heard("peer", "p1", false, []*hfwire.Report{{Worker: "w1", Dropped: true}}), now)
			f.Update(Heard("peer", "p1", false, nil), now)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet(start, "w0")
			now := start.Add(testPoll)
			f.Update(Polled("w0", []*hfwire.Task{task(0, 2, StateRunning)}, now), now)
			row.hear(f, now)
			require.Equal(t, row.want, renewed(f, now.Add(testPoll)))
		})
	}
}

func heard(f *Fleet, now time.Time, member *hfwire.Task, lost bool) {
	r := &hfwire.Report{Worker: "w1", Lost: lost}
	if member != nil {
		r.Tasks = []*hfwire.Task{member}
	}
	f.Update(Heard("peer", "p1", false, []*hfwire.Report{r}), now)
}

// TestReportsTellWhatIsNew checks that a peer hears every change once, and all after
// a full request.
func TestReportsTellWhatIsNew(t *testing.T) {
	now := time.Unix(0, 0)
	f := testFleet(now, "w0", "w1")
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now), now)
	f.Update(Polled("w1", nil, now), now)
	reports, heard := f.Reports(0)
	require.Len(t, reports, 2)
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateRunning)}, now), now)
	reports, heard = f.Reports(heard)
	require.Empty(t, reports, "nothing changed")
	f.Update(Polled("w0", []*hfwire.Task{task(0, 1, StateDone)}, now), now)
	reports, heard = f.Reports(heard)
	require.Len(t, reports, 1)
	f.Update(Duty(map[string]bool{"w0": true}), now)
	reports, _ = f.Reports(heard)
	require.Len(t, reports, 1)
	require.True(t, reports[0].GetDropped())
	reports, _ = f.Reports(0)
	require.Len(t, reports, 1)
}

// TestDutyMovesAwayAndBack is a found fault: an observer that lost a worker for a
// moment did not tell the others that it observes it again, and they took it for
// silent ever after.
func TestDutyMovesAwayAndBack(t *testing.T) {
	now := time.Unix(0, 0)
	observer, leader := testFleet(now, "w0"), testFleet(now)
	heardUpTo := uint64(0)
	beat := func() {
		var reports []*hfwire.Report
		reports, heardUpTo = observer.Reports(heardUpTo)
		leader.Update(Heard("observer", "o1", heardUpTo == 0, reports), now)
	}
	observer.Update(Polled("w0", nil, now), now)
	beat()
	require.Equal(t, []string{"w0"}, leader.Fresh("a", now))
	observer.Update(Duty(nil), now)
	beat()
	observer.Update(Duty(map[string]bool{"w0": true}), now)
	observer.Update(Polled("w0", nil, now), now)
	now = now.Add(leader.Freshness())
	beat()
	require.Equal(t, []string{"w0"}, leader.Fresh("a", now))
}

// TestReportPassedOverIsAskedForAgain is a found fault: an instance that took itself
// for a worker's observer passed another one's report over, and lacked it when the
// duty had moved there.
func TestReportPassedOverIsAskedForAgain(t *testing.T) {
	now := time.Unix(0, 0)
	f := testFleet(now, "w1")
	f.Update(Heard("peer", "p1", true, nil), now)
	require.False(t, f.Lacks("peer", "p1"))
	require.True(t, f.Lacks("peer", "p2"), "another run of it")
	heard(f, now, task(0, 1, StateRunning), false)
	f.Update(Duty(nil), now)
	require.True(t, f.Lacks("peer", "p1"))
	f.Update(Heard("peer", "p1", true, []*hfwire.Report{{Worker: "w1"}}), now)
	require.False(t, f.Lacks("peer", "p1"))
	require.Equal(t, []string{"w1"}, f.Fresh("a", now))
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
