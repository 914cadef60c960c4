package hfentry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// idleMinions is a set of workers on which nothing runs. It passes on the starts that it gets.
type idleMinions struct {
	hforder.Minions
	silent map[string]bool // workers that do not answer
	starts chan hforder.Start
}

func newIdleMinions(silent ...string) *idleMinions {
	m := &idleMinions{silent: map[string]bool{}, starts: make(chan hforder.Start, 16)}
	for _, id := range silent {
		m.silent[id] = true
	}
	return m
}

func (m *idleMinions) Start(ctx context.Context, _ *hfwork.Worker, s hforder.Start) error {
	select {
	case m.starts <- s:
		return nil
	case <-ctx.Done():
		return hforder.ErrUnanswered
	}
}

func (m *idleMinions) Poll(ctx context.Context, w *hfwork.Worker, _ hforder.PollRequest) (hfwork.Report, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond):
	}
	if m.silent[w.GetId()] {
		return hfwork.Report{}, hforder.ErrUnanswered
	}
	return hfwork.NewReport(1000, 7, nil, nil), nil
}

// leaderSettings has what a leader needs of the settings.
type leaderSettings struct{ Settings }

func (leaderSettings) TaskLease() time.Duration { return time.Hour }
func (leaderSettings) SpreadFactor() float64    { return hfplan.DefaultSpreadFactor }
func (leaderSettings) StopTime() time.Duration  { return hfplan.DefaultStopTime }

// beforeTermStore is a store that calls a function when the key of the term is first read.
type beforeTermStore struct {
	*fakeStore
	beforeTerm func()
}

func (s *beforeTermStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if f := s.beforeTerm; f != nil && key == termKey {
		s.beforeTerm = nil
		f()
	}
	return s.fakeStore.Get(ctx, key)
}

// catchUp applies the present state of the store to the mirror, as the given watches do.
func catchUp(t *testing.T, n *Node, s *fakeStore, watches ...*prefixWatch) {
	t.Helper()
	items, revision, err := s.List(t.Context(), "")
	require.NoError(t, err)
	for _, w := range watches {
		listed := []hfstore.Item{}
		for _, i := range items {
			if strings.HasPrefix(i.Key(), w.prefix) {
				listed = append(listed, i)
			}
		}
		n.applyEvents(w, listed, revision, hflease.Now())
	}
}

// newTakeoverNode returns a node whose store holds a queue, the given workers with 8
// accelerators each, and a job a with two tasks that need 8 each.
func newTakeoverNode(t *testing.T, s *fakeStore, m *idleMinions, workers ...string) *Node {
	t.Helper()
	n := newTestNode("new")
	n.mirror = hfloop.NewGuarded(NewMirror(fakeFormats{}, time.Hour))
	n.settings, n.formats, n.minions, n.store = leaderSettings{}, fakeFormats{}, m, s
	n.stopStarted, n.leaderless = make(chan struct{}), make(chan struct{}, 1)
	n.recordWatch, n.policyWatch, n.workerWatch = prefixWatch{prefix: recordPrefix}, prefixWatch{prefix: "op/"}, prefixWatch{prefix: "workers/"}
	n.recordWatch.synced.Store(true)
	n.workerWatch.synced.Store(true)
	batch := &hfstore.Batch{}
	put := func(i hfstore.Item) { batch.Put(i.Key(), i.Value(), "") }
	put(newItem(t, "op/policy", 0, &hfwork.Policy{Version: 1, Queues: []*hfwork.Queue{{Name: "q", Pool: "p", Attempts: 1}}}))
	put(newItem(t, jobPrefix+"a", 0, &hfwork.Job{Id: "a", Queue: "q", Steps: []*hfwork.Step{{Count: 2, Accelerators: 8, Estimate: 10}}}))
	for _, id := range workers {
		put(newItem(t, "workers/"+id, 0, newTakeoverWorker(id)))
	}
	_, err := s.Commit(t.Context(), batch)
	require.NoError(t, err)
	catchUp(t, n, s, &n.recordWatch, &n.policyWatch, &n.workerWatch)
	return n
}

func newTakeoverWorker(id string) *hfwork.Worker {
	return &hfwork.Worker{Id: id, Pool: "p", Rack: "r", Cpu: 1000, Memory: 1000, Accelerators: 8}
}

// newProgressCmd returns a command to store the progress of job a, and the roster.
func newProgressCmd(step *hfwork.StepProgress, roster ...string) hfplan.StoreCmd {
	var workers []*hfwork.Worker
	for _, id := range roster {
		workers = append(workers, newTakeoverWorker(id))
	}
	return hfplan.Store(map[string]*hfwork.Progress{"a": {State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{step}}}, workers, nil)
}

// putWorker stores the entry of a worker.
func putWorker(t *testing.T, s *fakeStore, w *hfwork.Worker) {
	t.Helper()
	value, err := hfwire.Encode(w)
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), (&hfstore.Batch{}).Put("workers/"+w.GetId(), value, ""))
	require.NoError(t, err)
}

// letLeave lets a worker drain and remove its entry, which the node's watch delivers.
func letLeave(t *testing.T, n *Node, s *fakeStore, id string) {
	t.Helper()
	w := newTakeoverWorker(id)
	w.Draining = true
	putWorker(t, s, w)
	catchUp(t, n, s, &n.workerWatch)
	revision, err := s.Commit(t.Context(), (&hfstore.Batch{}).Remove("workers/"+id))
	require.NoError(t, err)
	n.applyEvents(&n.workerWatch, []hfstore.Item{deletedItem("workers/"+id, revision)}, revision, hflease.Now())
}

// takeOver makes the node the leader and calls during while it leads. Only the records are up to
// date by then.
func takeOver(t *testing.T, n *Node, s *fakeStore, during func(ctx context.Context)) {
	t.Helper()
	lead, err := hfwire.Encode(&hfwork.Lead{Instance: "new"})
	require.NoError(t, err)
	epoch, err := s.Put(t.Context(), leadKey, lead, s.items[leadKey].Version(), "")
	require.NoError(t, err)
	catchUp(t, n, s, &n.recordWatch)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		_ = n.runLeader(ctx, newLeadership(n, hflease.NewTenure(epoch, hflease.Now(), time.Hour)))
		return nil
	})
	during(ctx)
	cancel()
	require.NoError(t, group.Wait())
}

// Guards against a scheduler that starts a task again whose end the earlier leader stored, and
// acknowledged to the worker, after the new leader had read the records: a batch may take effect
// until the new leader has written its term.
func TestSchedulerKnowsBatchThatTookEffectBeforeItsTerm(t *testing.T) {
	s, m := newFakeStore(), newIdleMinions()
	n := newTakeoverNode(t, s, m, "w")
	earlier := openTestWriter(t, s)
	require.NoError(t, earlier.Save(t.Context(), newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "w")))
	s.lostAnswers = 1
	require.Error(t, earlier.Save(t.Context(), newProgressCmd(&hfwork.StepProgress{Done: []byte{1}}, "w")))
	n.store = &beforeTermStore{fakeStore: s, beforeTerm: s.applyDelayed}
	takeOver(t, n, s, func(ctx context.Context) {
		for {
			select {
			case start := <-m.starts:
				require.Equal(t, uint32(1), start.Task().Index(), "task 0 is done")
				return
			case <-ctx.Done():
				t.Error("nothing was started")
				return
			case <-time.After(100 * time.Millisecond): // the records reach the mirror late
				catchUp(t, n, s, &n.recordWatch)
			}
		}
	})
}

// Guards against a scheduler that takes a worker to have left because the mirror holds its
// departure, but not yet its return under the same id: the tasks that the earlier leader has
// started there since would run twice.
func TestReturnedWorkerIsNotTakenToHaveLeft(t *testing.T) {
	s, m := newFakeStore(), newIdleMinions("w")
	n := newTakeoverNode(t, s, m, "v", "w")
	letLeave(t, n, s, "w")
	putWorker(t, s, newTakeoverWorker("w")) // the watch has not delivered it yet
	progress := newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "v", "w")
	require.NoError(t, openTestWriter(t, s).Save(t.Context(), progress))
	takeOver(t, n, s, func(ctx context.Context) {
		for caughtUp := false; ; {
			select {
			case start := <-m.starts:
				require.Equal(t, uint32(1), start.Task().Index(), "task 0 runs on w")
				if caughtUp {
					return
				}
				catchUp(t, n, s, &n.recordWatch, &n.workerWatch)
				caughtUp = true
			case <-ctx.Done():
				t.Error("nothing was started")
				return
			case <-time.After(100 * time.Millisecond):
				catchUp(t, n, s, &n.recordWatch)
			}
		}
	})
}

// Guards against waiting for the leases of a worker that has left before the takeover.
func TestDepartureBeforeTakeoverIsReported(t *testing.T) {
	for name, open := range map[string]func(*testing.T, *fakeStore) *fencedWriter{"whole records": openTestWriter, "split records": newSplitWriter} {
		t.Run(name, func(t *testing.T) { departBeforeTakeover(t, open) })
	}
}

func departBeforeTakeover(t *testing.T, open func(*testing.T, *fakeStore) *fencedWriter) {
	t.Helper()
	s, m := newFakeStore(), newIdleMinions("w")
	n := newTakeoverNode(t, s, m, "v1", "v2", "w")
	progress := newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "v1", "v2", "w")
	require.NoError(t, open(t, s).Save(t.Context(), progress))
	catchUp(t, n, s, &n.recordWatch)
	letLeave(t, n, s, "w")
	takeOver(t, n, s, func(ctx context.Context) {
		for {
			select {
			case start := <-m.starts:
				if start.Task().Index() == 0 {
					return
				}
			case <-ctx.Done():
				t.Error("task 0 was not started")
				return
			case <-time.After(20 * time.Millisecond):
				catchUp(t, n, s, &n.recordWatch, &n.workerWatch)
			}
		}
	})
}

// requireNoStartOf lets a node take over, which has to list the workers first, and then applies events of
// theirs. It requires that task 0 is not started while its worker does not answer.
func requireNoStartOf(t *testing.T, n *Node, s *fakeStore, afterList func()) {
	t.Helper()
	takeOver(t, n, s, func(ctx context.Context) {
		time.Sleep(20 * time.Millisecond)
		require.True(t, n.list(ctx, &n.workerWatch))
		afterList()
		others := 0
		for begun := time.Now(); time.Since(begun) < time.Second; {
			select {
			case start := <-n.minions.(*idleMinions).starts:
				require.Equal(t, uint32(1), start.Task().Index(), "task 0 may run on the silent worker")
				others++
			case <-ctx.Done():
				t.Error("the leadership ended")
				return
			case <-time.After(20 * time.Millisecond):
				catchUp(t, n, s, &n.recordWatch)
			}
		}
		require.Positive(t, others, "the leader starts what may be started")
	})
}

// newStandby returns a node that does not follow the workers any more, and whose store has two workers
// and a job whose task 0 was started on w, which does not answer.
func newStandby(t *testing.T, s *fakeStore, before func(n *Node)) *Node {
	t.Helper()
	n := newTakeoverNode(t, s, newIdleMinions("w"), "v", "w")
	n.health, n.followNow = NewStoreHealth(func(bool, time.Duration) {}), make(chan struct{}, 1)
	before(n)
	n.follow()
	n.leave(t.Context(), &n.workerWatch)
	require.Empty(t, n.workersMsg().Nodes())
	progress := newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "v", "w")
	require.NoError(t, newSplitWriter(t, s).Save(t.Context(), progress))
	return n
}

// Guards against a new leader that takes a worker to have left because it did so while this instance
// followed the workers: it has returned since, got a task, and lost its entry as it cannot reach the store.
func TestDepartureSeenBeforeFollowingEndedIsForgotten(t *testing.T) {
	s := newFakeStore()
	n := newStandby(t, s, func(n *Node) { letLeave(t, n, s, "w") })
	putWorker(t, s, newTakeoverWorker("w"))
	_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Remove("workers/w"))
	require.NoError(t, err)
	requireNoStartOf(t, n, s, func() {})
}

// Guards against a new leader that takes a worker to have left because the entry that it listed, of which
// the age is not known, expires at once: the worker drains, cannot reach the store and goes on.
func TestListedEntryThatExpiresIsNoDeparture(t *testing.T) {
	s := newFakeStore()
	n := newStandby(t, s, func(*Node) {})
	draining := newTakeoverWorker("w")
	draining.Draining = true
	putWorker(t, s, draining)
	requireNoStartOf(t, n, s, func() {
		revision, err := s.Commit(t.Context(), (&hfstore.Batch{}).Remove("workers/w"))
		require.NoError(t, err)
		n.applyEvents(&n.workerWatch, []hfstore.Item{deletedItem("workers/w", revision)}, revision, hflease.Now())
	})
}

// Guards against a new leader that takes a worker to be gone because it has no entry when the leader
// lists the workers for the first time.
func TestWorkerWithoutEntryIsNotTakenToBeGone(t *testing.T) {
	s := newFakeStore()
	n := newStandby(t, s, func(*Node) {})
	_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Remove("workers/w"))
	require.NoError(t, err)
	requireNoStartOf(t, n, s, func() {})
}

// lateBatchStore is a store that applies the delayed batches right before the next batch.
type lateBatchStore struct{ *fakeStore }

func (s *lateBatchStore) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	s.applyDelayed()
	return s.fakeStore.Commit(ctx, b)
}

// Guards against giving up a leadership because a batch of the earlier leader took effect
// between reading and writing the term.
func TestLateBatchDoesNotEndNewLeadership(t *testing.T) {
	s := newFakeStore()
	earlier := openTestWriter(t, s)
	s.lostAnswers = 1
	require.Error(t, earlier.Save(t.Context(), newStoreCmd(hfwork.StateRunning)))
	epoch, err := s.Put(t.Context(), leadKey, []byte("two"), s.items[leadKey].Version(), "")
	require.NoError(t, err)
	n := &Node{name: "two", store: &lateBatchStore{s}, formats: fakeFormats{}, mirror: hfloop.NewGuarded(NewMirror(nil, time.Second))}
	w, err := n.openWriter(t.Context(), epoch)
	require.NoError(t, err)
	require.NoError(t, w.Save(t.Context(), newStoreCmd(hfwork.StateCompleted)))
	require.ErrorIs(t, earlier.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrConflict)
	_, err = n.openWriter(t.Context(), epoch-1)
	require.ErrorIs(t, err, hfstore.ErrConflict, "another instance leads")
}
