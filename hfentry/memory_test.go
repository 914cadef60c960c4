package hfentry

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// smallMB is the memory of the smallest instance in these tests.
const smallMB = 16

// newSmallNode returns a node beside an instance with little memory, as newAccountsNode does.
func newSmallNode(t *testing.T, s *fakeStore) (n *Node, access func(queue, account string) Access) {
	t.Helper()
	n, access = newAccountsNode(t, s)
	for i, mb := range []int64{0, 512, smallMB, 284} {
		name := fmt.Sprint("i", i)
		n.applyItem(newItem(t, peerPrefix+name, int64(2+i), &hfwork.Instance{Name: name, Memory: mb}))
	}
	return n, access
}

// newWideJob returns a job with about a fiftieth of the memory that one account may take.
func newWideJob(i int) *hfwork.Job {
	j := newTestJob(fmt.Sprintf("%016x", i))
	j.Steps[0].Count = smallMB << 20 / acceptedShare / 2 / 50 / 192
	return j
}

// submitUntilRefused submits jobs until one is refused, and returns how many were accepted.
func submitUntilRefused(t *testing.T, n *Node, a Access, from int) int {
	t.Helper()
	for i := range 1000 {
		if err := n.Submit(t.Context(), a, newWideJob(from+i)); err != nil {
			require.ErrorIs(t, err, ErrTooManyJobs)
			return i
		}
	}
	require.Fail(t, "no job was refused")
	return 0
}

// The accepted jobs of one account exhausted the memory of each leader in turn, and nobody's work ran
// (review/9).
func TestOneAccountCannotTakeTheMemoryOfOthers(t *testing.T) {
	s := newFakeStore()
	n, access := newSmallNode(t, s)
	accepted := submitUntilRefused(t, n, access("a", "a"), 0)
	require.InDelta(t, 50, accepted, 15)
	require.LessOrEqual(t, hfloop.With(n.mirror, func(m *Mirror) int64 { return m.memory.Total() }), int64(smallMB<<20/acceptedShare/2))
	require.NoError(t, n.Submit(t.Context(), access("b", "b"), newWideJob(5000)), "another account")
	require.Equal(t, memoryRetryAfter, n.RetryAfter(fmt.Errorf("submit: %w", ErrTooManyJobs)))
	_, err := s.Get(t.Context(), jobPrefix+newWideJob(accepted).GetId())
	require.ErrorIs(t, err, hfstore.ErrNotFound, "a refused job is not stored")
}

// Guards against a repeated submission that is told that its job was not accepted, while it runs.
func TestStoredJobIsNotRefusedForItsMemory(t *testing.T) {
	s := newFakeStore()
	n, access := newSmallNode(t, s)
	submitUntilRefused(t, n, access("a", "a"), 0)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newWideJob(3)))

	hfloop.With(n.mirror, func(m *Mirror) bool {
		m.removeJob(newWideJob(3).GetId()) // as if its watch had not told of it yet
		m.memory.Add(m.memoryOwner(newWideJob(0)), 1<<40)
		return true
	})
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newWideJob(3)))
	require.ErrorIs(t, n.Submit(t.Context(), access("b", "b"), newWideJob(4)), ErrIDTaken)
}

// Guards against an account that is refused for good: jobs are counted back when they end and when
// they are purged, and the last one leaves nothing behind.
func TestMemoryOfEndedJobsIsGivenBack(t *testing.T) {
	s := newFakeStore()
	n, access := newSmallNode(t, s)
	accepted := submitUntilRefused(t, n, access("a", "a"), 0)
	total := func() int64 { return hfloop.With(n.mirror, func(m *Mirror) int64 { return m.memory.Total() }) }
	for i := range accepted {
		state := []string{hfwork.StateCompleted, hfwork.StateFailed, hfwork.StateCancelled}[i%3]
		n.applyItem(newItem(t, progressPrefix+newWideJob(i).GetId(), int64(1000+i), &hfwork.Progress{State: state}))
	}
	require.EqualValues(t, accepted*hfwork.EndedFootprint, total())
	state, err := n.State(t.Context(), access("a", "a"), newWideJob(1).GetId())
	require.NoError(t, err)
	require.Equal(t, hfwork.StateFailed, state)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newWideJob(1)), "repeated")
	require.InDelta(t, accepted, submitUntilRefused(t, n, access("a", "a"), accepted+1), 2)
	for i := range 2*accepted + 10 {
		n.applyItem(hfstore.NewItem(jobPrefix+newWideJob(i).GetId(), nil, int64(5000+i), true))
	}
	require.Zero(t, total())
}

func TestMemoryOfListedJobsIsCountedOnce(t *testing.T) {
	n, _ := newSmallNode(t, newFakeStore())
	jobs := []hfstore.Item{}
	for i := range 3 {
		job := newWideJob(i)
		job.Account, job.Queue, job.Policy = "a", "qa", 1
		jobs = append(jobs, newItem(t, jobPrefix+job.GetId(), int64(100+i), job))
	}
	totals := hfloop.With(n.mirror, func(m *Mirror) []int64 {
		var totals []int64
		for _, items := range [][]hfstore.Item{jobs, jobs, jobs[:1], nil} {
			m.Reset(recordPrefix, items, 200)
			totals = append(totals, m.memory.Total())
		}
		return totals
	})
	require.Positive(t, totals[0])
	require.Equal(t, []int64{totals[0], totals[0], totals[0] / 3, 0}, totals)
}

func TestJobThatNeverFitsIsInvalid(t *testing.T) {
	s := newFakeStore()
	n, access := newSmallNode(t, s)
	huge := newTestJob(testJobID)
	huge.Steps[0].Count = 20_000
	require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), huge), hfwork.ErrInvalidJob)
	require.Zero(t, hfloop.With(n.mirror, func(m *Mirror) int64 { return m.memory.Total() }))
	yearly := newTestJob(testJobID)
	yearly.Times, yearly.Interval, yearly.First = 365*24, time.Hour.Milliseconds(), time.Now().Add(time.Hour).UnixMilli()
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), yearly), "a schedule costs what its next hours cost")
}

// Guards against occurrences that an instance of an earlier release would run again: it does not know
// which have completed unless their steps are in the record.
func TestInstanceOfEarlierReleaseFindsCompletedOccurrences(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	job := newTestJob(testJobID)
	job.Times, job.Interval, job.Steps[0].Count = 20, 1000, 3
	w.layout.job = func(string) *hfwork.Job { return job }
	p := &hfwork.Progress{State: hfwork.StateRunning, Completed: []byte{1, 2}, Steps: []*hfwork.StepProgress{{Occurrence: 1, Done: []byte{1}}}}
	for _, split := range []bool{true, false} {
		w.splits = func() bool { return split }
		require.NoError(t, w.Save(t.Context(), hfplan.Store(map[string]*hfwork.Progress{testJobID: p}, nil, nil)))
		record, err := hfwire.Decode(s.items[progressPrefix+testJobID].Value(), &hfwork.Progress{})
		require.NoError(t, err)
		if split {
			require.Equal(t, p.GetCompleted(), record.GetCompleted())
			continue
		}
		done := map[uint32]byte{}
		for _, sp := range record.GetSteps() {
			done[sp.GetOccurrence()] = sp.GetDone()[0]
		}
		require.Equal(t, map[uint32]byte{0: 7, 9: 7, 1: 1}, done)
	}
	taken, err := storedProgress(s, testJobID)
	require.NoError(t, err)
	require.Len(t, taken.GetSteps(), 3)
}

// The limit of what is accepted rests on these figures, as on TestFootprintIsNotExceeded of hfplan.
func TestFootprintOfRecordsIsNotExceeded(t *testing.T) {
	const jobs = 1000
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, steps := range []int{1, 3, hfwork.MaxSteps} {
		for _, text := range []int{20, hfwork.MaxCommandBytes} {
			n, _ := newAccountsNode(t, newFakeStore())
			newJob := func(i int) *hfwork.Job {
				j := newTestJob(fmt.Sprintf("%016x", i))
				j.Account, j.Queue, j.Policy, j.Command = "a", "qa", 1, strings.Repeat("x", text)
				j.Settings = &hfwork.Queue{Name: "qa", Host: "host.example", Prefix: "/qa/", Pool: "p", Attempts: 3}
				for len(j.Steps) < steps {
					j.Steps = append(j.Steps, &hfwork.Step{Count: 3, Estimate: 1000, Cpu: 1000, Memory: 100, After: []uint32{0}})
				}
				return j
			}
			before := heap()
			for i := range jobs {
				n.applyItem(newItem(t, jobPrefix+newJob(i).GetId(), int64(i+1), newJob(i)))
			}
			require.LessOrEqual(t, (heap()-before)/jobs, hfwork.RecordFootprint(newJob(0)), "%d steps, %d bytes of text", steps, text)
			runtime.KeepAlive(n)
		}
	}
}

// Guards against a limit that does not hold once instances have heard of each other's jobs: each may accept
// half of the budget before, and a leader loads no more than its own limit.
func TestInstancesThatDoNotHearEachOtherAcceptHalfOfTheBudgetEach(t *testing.T) {
	s := newFakeStore()
	one, access := newSmallNode(t, s)
	other, _ := newSmallNode(t, s)
	first := submitUntilRefused(t, one, access("a", "a"), 0)
	second := submitUntilRefused(t, other, access("a", "a"), first+1)
	require.Equal(t, first, second)
	items, _, err := s.List(t.Context(), jobPrefix)
	require.NoError(t, err)
	for _, n := range []*Node{one, other} {
		for _, i := range items {
			n.applyItem(i)
		}
		total, limit := hfloop.With2(n.mirror, func(m *Mirror) (int64, int64) { return m.memory.Total(), m.memory.Limit() })
		require.LessOrEqual(t, total, limit)
		require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), newWideJob(first+second+5)), ErrTooManyJobs)
		require.ErrorIs(t, n.Submit(t.Context(), access("b", "b"), newWideJob(first+second+6)), ErrTooManyJobs, "more than the minimum of an account")
		require.NoError(t, n.Submit(t.Context(), access("b", "b"), newTestJob(fmt.Sprintf("%016x", 7000+len(n.name)))))
	}
}

// Guards against urgent callers that are told to come back after their objective is lost.
func TestRefusedUrgentCallersComeBackWhileTheyCanBeServed(t *testing.T) {
	n, _ := newSmallNode(t, newFakeStore())
	now := time.Unix(1_000_000, 0)
	j := newTestJob("0000000000000001")
	j.Steps = []*hfwork.Step{{Count: 1, Estimate: 5000}, {Count: 1, Estimate: 1000, After: []uint32{0}}, {Count: 1, Estimate: 2000}}
	j.Settings = &hfwork.Queue{Stretch: 1.5, Objective: 400}
	require.Equal(t, 6*time.Second, hfwork.Chain(j))
	after := n.memoryRetryAfter(j, now)
	require.LessOrEqual(t, after, 3400*time.Millisecond, "half of its chain and 400 ms")
	refusal := fmt.Errorf("submit: %w", &refusedError{cause: ErrTooManyJobs, retryAfter: after})
	require.ErrorIs(t, refusal, ErrTooManyJobs)
	require.Equal(t, after, n.RetryAfter(refusal))
	j.Settings = &hfwork.Queue{}
	require.Equal(t, memoryRetryAfter, n.memoryRetryAfter(j, now), "a queue without an objective")
	j.Settings = &hfwork.Queue{Stretch: 1.5, Objective: 400}
	require.Equal(t, memoryRetryAfter, n.WithOrder(hfplan.BySize).memoryRetryAfter(j, now))
}
