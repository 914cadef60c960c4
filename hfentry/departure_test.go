package hfentry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// watchAnswer is one answer of a scriptedStore.
type watchAnswer struct {
	delay time.Duration // before the answer is given
	items []hfstore.Item
}

// scriptedStore is a store whose watch returns the given answers, and blocks after the last.
type scriptedStore struct {
	*fakeStore
	mu       sync.Mutex
	answers  []watchAnswer
	revision int64
	finished chan struct{} // closed when a call follows the last answer
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, _ int64) ([]hfstore.Item, int64, error) {
	s.mu.Lock()
	if len(s.answers) == 0 {
		s.mu.Unlock()
		close(s.finished)
		<-ctx.Done()
		return nil, 0, hfstore.ErrUnavailable
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.revision += int64(len(answer.items))
	revision := s.revision
	s.mu.Unlock()
	hfloop.Sleep(ctx, answer.delay)
	return answer.items, revision, nil
}

// watchAnswers lets a node process the answers to its watch of the workers' entries, and
// returns the workers that it takes to have left.
func watchAnswers(t *testing.T, heartbeatInterval time.Duration, answers ...watchAnswer) []string {
	t.Helper()
	store := &scriptedStore{fakeStore: newFakeStore(), answers: answers, finished: make(chan struct{})}
	n := newTestNode("one")
	n.mirror = hfloop.NewGuarded(NewMirror(fakeFormats{}, heartbeatInterval))
	n.store, n.health = store, NewStoreHealth(func(bool, time.Duration) {})
	w := &prefixWatch{prefix: "workers/", pause: func() time.Duration { return 0 }}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.watch(ctx, w); return nil })
	<-store.finished
	cancel()
	require.NoError(t, group.Wait())
	return hfloop.With(n.mirror, func(m *Mirror) []string {
		left := []string{}
		for id := range m.leftWorkers {
			left = append(left, id)
		}
		return left
	})
}

// Guards against taking a worker that was cut off from the store to have left: its entry
// expired three heartbeat intervals after the last write, which was seen late.
func TestEntryThatExpiredAfterLateAnswerIsNoDeparture(t *testing.T) {
	const interval = 50 * time.Millisecond
	draining := newItem(t, "workers/w", 1001, &hfwork.Worker{Id: "w", Draining: true})
	var backlog []hfstore.Item
	for i := range int64(backlogEvents) {
		backlog = append(backlog, newItem(t, fmt.Sprint("workers/other-", i), i+1, &hfwork.Worker{}))
	}
	removal := watchAnswer{items: []hfstore.Item{deletedItem("workers/w", 2001)}}
	for name, answers := range map[string][]watchAnswer{
		"late answer":           {{}, {delay: 3 * interval, items: []hfstore.Item{draining}}, removal},
		"backlog after a pause": {{}, {delay: 3 * interval, items: backlog}, {items: append(slices.Clone(backlog), draining)}, removal},
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, watchAnswers(t, interval, answers...))
		})
	}
	require.Equal(t, []string{"w"}, watchAnswers(t, time.Hour, watchAnswer{}, watchAnswer{items: []hfstore.Item{draining}}, removal))
}

// Guards against applying events that are older than a listed entry, as the watch delivers
// after a list of several pages: the departure of a worker's earlier incarnation, or its other
// resources, would end the runs of the present one for the scheduler.
func TestEventOlderThanListedEntryIsIgnored(t *testing.T) {
	m, now := NewMirror(fakeFormats{}, time.Hour), time.Unix(1000, 0)
	restarted := &hfwork.Worker{Id: "w", Born: 2, Accelerators: 8}
	m.Reset("workers/", []hfstore.Item{newItem(t, "workers/w", 8, restarted)}, 5)
	m.setWriteTimes(now, now)
	for _, i := range []hfstore.Item{
		newItem(t, "workers/w", 6, &hfwork.Worker{Id: "w", Born: 1, Accelerators: 4, Draining: true}),
		deletedItem("workers/w", 7),
		newItem(t, "workers/w", 8, restarted),
	} {
		require.Empty(t, m.Apply(i).leftWorker)
		require.Equal(t, int64(2), m.workers["w"].GetBorn())
	}
	m.Apply(deletedItem("workers/w", 9))
	require.Empty(t, m.workers)
}

// Guards against remembering a departure over a list: the worker may have returned, been cut off
// from the store and lost its entry again before it, while it still runs tasks.
func TestListForgetsDepartures(t *testing.T) {
	m, now := NewMirror(fakeFormats{}, time.Hour), time.Unix(1000, 0)
	m.setWriteTimes(now, now)
	m.Apply(newItem(t, "workers/w", 1, &hfwork.Worker{Id: "w", Draining: true}))
	m.Apply(deletedItem("workers/w", 2))
	require.NotEmpty(t, m.leftWorkers)
	m.Reset("workers/", nil, 9)
	require.Empty(t, m.leftWorkers)
}

// Guards against runs that are left on a worker until it ends, as its time to drain was counted from
// when its entry was read, and against those that are stopped although its entries do not tell the time.
func TestDrainingEntriesTellWhenTheirWorkerMayEnd(t *testing.T) {
	const heartbeat = 2 * time.Second
	start := time.Unix(1000, 0)
	second := func(n time.Duration) time.Time { return start.Add(n * time.Second) }
	m := NewMirror(fakeFormats{}, heartbeat)
	version := int64(0)
	apply := func(after, received time.Time, w *hfwork.Worker) {
		version++
		m.setWriteTimes(after, received)
		m.Apply(newItem(t, "workers/w", version, w))
	}
	ends := func() map[string]time.Time { return m.drainEnds(start, start) }
	draining := func(remaining time.Duration) *hfwork.Worker {
		return &hfwork.Worker{Id: "w", Draining: true, Remaining: remaining.Milliseconds()}
	}

	apply(start, second(1), &hfwork.Worker{Id: "w", Remaining: 5000})
	require.Empty(t, ends(), "it does not drain")
	apply(second(1), second(2), draining(0))
	require.Empty(t, ends(), "it does not tell the time")
	apply(second(2), second(3), draining(9*time.Second))
	require.Equal(t, second(11), ends()["w"], "from the earliest time at which the entry was written")
	apply(second(3), second(4), draining(7*time.Second))
	require.Equal(t, second(11), ends()["w"], "the later bound holds")
	apply(second(4), second(5), draining(8*time.Second))
	require.Equal(t, second(12), ends()["w"])
	apply(time.Time{}, second(6), draining(10*time.Second))
	require.Equal(t, second(14), ends()["w"], "a listed entry is up to a heartbeat old")
	apply(second(14), second(15), draining(0))
	require.Equal(t, second(14), ends()["w"])
	require.Equal(t, start.Add(-time.Second), m.drainEnds(second(15), start)["w"], "on the clock of the scheduler")
	apply(second(15), second(16), &hfwork.Worker{Id: "w"})
	require.Empty(t, ends(), "it no longer drains")
	apply(second(16), second(17), draining(3*time.Second))
	m.Apply(deletedItem("workers/w", version+1))
	require.Empty(t, ends())
}

// Guards against runs that are left on a worker until it ends because an instance lists its entry only
// when its time to drain is over: a time of 0 is not written, and the worker may go on for seconds.
func TestListedWorkerWithoutTimeLeftMayEnd(t *testing.T) {
	const heartbeat = 2 * time.Second
	now := time.Unix(1000, 0)
	m := NewMirror(fakeFormats{}, heartbeat)
	m.setWriteTimes(time.Time{}, now)
	m.Reset("workers/", []hfstore.Item{
		newItem(t, "workers/drained", 1, &hfwork.Worker{Id: "drained", Draining: true}),
		newItem(t, "workers/ready", 2, &hfwork.Worker{Id: "ready"}),
	}, 2)
	require.Equal(t, map[string]time.Time{"drained": now.Add(-heartbeat)}, m.drainEnds(now, now))
}
