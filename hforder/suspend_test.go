package hforder

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// switchedTenure is a tenure that a test suspends, resumes and ends.
type switchedTenure struct {
	epoch atomic.Int64
	state atomic.Int32
}

const (
	tenureValid int32 = iota
	tenureSuspended
	tenureEnded
)

func newSwitchedTenure() *switchedTenure {
	t := &switchedTenure{}
	t.epoch.Store(5)
	return t
}

func (t *switchedTenure) Epoch() int64             { return t.epoch.Load() }
func (t *switchedTenure) Valid(time.Time) bool     { return t.state.Load() == tenureValid }
func (t *switchedTenure) Suspended(time.Time) bool { return t.state.Load() == tenureSuspended }

// startSuspendable starts a leader like startLeader, whose tenure a test switches.
func startSuspendable(t *testing.T, m *fakeMinions, r *fakeRecords) (*Leader, *switchedTenure, <-chan error) {
	t.Helper()
	tenure := newSwitchedTenure()
	l, ended := startLeaderWith(t, m, r, tenure)
	return l, tenure, ended
}

// lastPolls returns the polls from a number on.
func (m *fakeMinions) lastPolls(from int) []PollRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]PollRequest(nil), m.polls[min(from, len(m.polls)):]...)
}

// A leader that renews leases after its own has lapsed keeps runs alive that a later leader takes to have
// expired.
func TestSuspendedLeaderOnlyLooks(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	l, tenure, _ := startSuspendable(t, m, r)
	require.Eventually(t, func() bool { starts, acked := m.counts(); return starts == 1 && acked == 1 }, 5*time.Second, time.Millisecond)
	tenure.state.Store(tenureSuspended)
	number := l.Suspend()
	time.Sleep(100 * time.Millisecond) // polls that were on their way
	from := len(m.lastPolls(0))
	l.Send(hfplan.Job(&hfwork.Job{Id: "b", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}}, nil, false))
	require.Eventually(t, func() bool { return len(m.lastPolls(from)) > 5 }, 5*time.Second, time.Millisecond)
	for _, p := range m.lastPolls(from) {
		require.False(t, p.Bound(), "it renews no leases and acknowledges no ends")
	}
	starts, _ := m.counts()
	require.Equal(t, 1, starts)

	tenure.epoch.Store(9)
	tenure.state.Store(tenureValid)
	from = len(m.lastPolls(0))
	require.Eventually(t, func() bool {
		for _, p := range m.lastPolls(from) {
			if p.Bound() && p.Epoch() == 9 {
				return true
			}
		}
		return false
	}, 5*time.Second, time.Millisecond, "leases are renewed at once")
	starts, _ = m.counts()
	require.Equal(t, 1, starts, "the scheduler has not heard of the resumption")
	l.Resume(number)
	require.Eventually(t, func() bool { starts, _ := m.counts(); return starts == 2 }, 5*time.Second, time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Equal(t, int64(9), m.starts[1].Epoch())
}

// A start that was queued when the suspension began, or whose goroutine was paused, must not be sent after
// it: the job may have been cancelled meanwhile.
func TestStartDecidedBeforeSuspensionIsNotSent(t *testing.T) {
	l := NewLeader(hfplan.New(1, hfplan.NewTiming(time.Second), time.Now()), newSwitchedTenure(), &fakeMinions{}, fakeServices{}, fakeServices{}, "one", &fakeRecords{}, fakeServices{}, hfplan.NewTiming(time.Second))
	require.NoError(t, l.checkSuspensions(hfplan.StartCmd{}))
	l.Suspend()
	require.ErrorIs(t, l.checkSuspensions(hfplan.StartCmd{}), ErrNotSent)
	l.Resume(1)
	require.ErrorIs(t, l.checkSuspensions(hfplan.StartCmd{}), ErrNotSent)
}

func TestSuspendedLeaderEndsWithItsTenure(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	l, tenure, ended := startSuspendable(t, m, r)
	tenure.state.Store(tenureSuspended)
	l.Suspend()
	tenure.state.Store(tenureEnded)
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrNotLeading)
	case <-time.After(5 * time.Second):
		t.Fatal("the leadership goes on")
	}
}

func TestSuspendedLeaderEndsWhenAWorkerHasHeardOfALaterOne(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	l, tenure, ended := startSuspendable(t, m, r)
	tenure.state.Store(tenureSuspended)
	l.Suspend()
	m.mu.Lock()
	m.pollErr = ErrFenced
	m.mu.Unlock()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrFenced)
	case <-time.After(5 * time.Second):
		t.Fatal("the leadership goes on")
	}
}

// Further ends of a worker were read 2 s after the first one that could not be stored.
func TestEndsAreReadSoonWhileTheyCannotBeStored(t *testing.T) {
	m, r := &fakeMinions{}, &fakeRecords{}
	l, _, _ := startSuspendable(t, m, r)
	require.Eventually(t, func() bool { _, acked := m.counts(); return acked == 1 }, 5*time.Second, time.Millisecond)
	r.setErr(hfstore.ErrUnavailable)
	m.mu.Lock()
	m.ends = append(m.ends, hfwork.NewEnd(2, hfwork.NewTaskID("a", 0, 0, 0), 99, hfwork.Failed, ""))
	m.mu.Unlock()
	l.Send(hfplan.Job(&hfwork.Job{Id: "b", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}}, nil, false))
	require.Eventually(t, func() bool { return l.unstored.Load() }, 5*time.Second, time.Millisecond)
	from, began := len(m.lastPolls(0)), time.Now()
	require.Eventually(t, func() bool { return len(m.lastPolls(from)) >= 2 }, 5*time.Second, time.Millisecond)
	require.Less(t, time.Since(began), ackTimeout)
}
