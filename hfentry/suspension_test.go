package hfentry

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hforder"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// outageStore is a store that can go away, and whose leases can lapse meanwhile.
type outageStore struct {
	*fakeStore
	away, lapsed atomic.Bool
	granted      atomic.Int32
}

func (s *outageStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if s.away.Load() {
		return hfstore.Item{}, hfstore.ErrUnavailable
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *outageStore) List(ctx context.Context, prefix string) ([]hfstore.Item, int64, error) {
	if s.away.Load() {
		return nil, 0, hfstore.ErrUnavailable
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *outageStore) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	if s.away.Load() {
		return 0, hfstore.ErrUnavailable
	}
	return s.fakeStore.Commit(ctx, b)
}

func (s *outageStore) Grant(context.Context, time.Duration) (string, error) {
	s.granted.Add(1)
	s.lapsed.Store(false)
	return "2", nil
}

func (s *outageStore) Renew(context.Context, string) error {
	switch {
	case s.away.Load():
		return hfstore.ErrUnavailable
	case s.lapsed.Load():
		return hfstore.ErrLeaseLost
	}
	return nil
}

func (s *outageStore) Revoke(context.Context, string) error { return nil }

// end makes the store answer again. The leader's lease has lapsed if lapse is set.
func (s *outageStore) end(t *testing.T, lapse bool) {
	t.Helper()
	if lapse {
		s.lapsed.Store(true)
		_, err := s.fakeStore.Commit(t.Context(), (&hfstore.Batch{}).Remove(leadKey))
		require.NoError(t, err)
	}
	s.away.Store(false)
}

// outageSettings has what a leader needs of the settings to lead again.
type outageSettings struct{ leaderSettings }

func (outageSettings) MinLease() time.Duration { return 0 }

// newSuspendedLeadership returns a leadership that has stored a record of job a as running, and was
// suspended since.
func newSuspendedLeadership(t *testing.T) (*leadership, *outageStore) {
	t.Helper()
	s := &outageStore{fakeStore: newFakeStore()}
	w := openTestWriter(t, s.fakeStore)
	saveWithRetry(t, w, hfwork.StateRunning)
	w.store = s
	n := newTestNode("one")
	n.store, n.settings, n.health = s, outageSettings{}, NewStoreHealth(func(bool, time.Duration) {})
	l := newLeadership(n, hflease.NewTenure(1, hflease.Now(), time.Minute))
	timing := hfplan.NewTiming(time.Second)
	l.begin(w, hforder.NewLeader(hfplan.New(1, timing, time.Now()), l.tenure, n.minions, n.adviser, n.machines, n.name, w, n, timing))
	l.Suspended()
	s.away.Store(true)
	return l, s
}

func TestLapsedLeadershipIsTakenUpAgain(t *testing.T) {
	l, s := newSuspendedLeadership(t)
	_, err := l.Reacquire(t.Context())
	require.ErrorIs(t, err, hfstore.ErrUnavailable)
	s.end(t, true)
	_, err = l.Reacquire(t.Context())
	require.NoError(t, err)
	require.NotZero(t, s.items[leadKey].Version())
	saveWithRetry(t, l.writer, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, storedState(t, s.fakeStore), "the records go on under the same term")
}

// The scheduler of an earlier leadership must not go on with what it knows once another one has led: tasks
// would run twice.
func TestLeadershipIsNotResumedAfterAnotherOne(t *testing.T) {
	t.Run("that leads", func(t *testing.T) {
		l, s := newSuspendedLeadership(t)
		s.end(t, true)
		_, err := s.Put(t.Context(), leadKey, []byte("another"), 0, "")
		require.NoError(t, err)
		_, err = l.Reacquire(t.Context())
		require.ErrorIs(t, err, hflease.ErrSuperseded)
	})
	t.Run("that has ended since", func(t *testing.T) {
		l, s := newSuspendedLeadership(t)
		s.end(t, true)
		openTestWriter(t, s.fakeStore)
		_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Remove(leadKey))
		require.NoError(t, err)
		_, err = l.Reacquire(t.Context())
		require.ErrorIs(t, err, hflease.ErrSuperseded)
	})
}

func TestPlannedStopEndsSuspendedLeadership(t *testing.T) {
	l, s := newSuspendedLeadership(t)
	s.end(t, true)
	l.node.stopping.Store(true)
	_, err := l.Reacquire(t.Context())
	require.ErrorIs(t, err, hflease.ErrSuperseded)
}

// The store may carry out a batch that got no answer during the outage. It is the leader's own, and
// proves nothing against it.
func TestOwnLateBatchDoesNotEndLeadership(t *testing.T) {
	l, s := newSuspendedLeadership(t)
	s.away.Store(false)
	s.lostAnswers = 1
	require.Error(t, l.writer.Save(t.Context(), newStoreCmd(hfwork.StateCompleted)))
	s.applyDelayed()
	s.end(t, true)
	reacquireWithRetry(t, l)
	require.Equal(t, hfwork.StateCompleted, storedState(t, s.fakeStore))
}

// The write of the lead key itself may take effect late, before or after the next attempt.
func TestLateClaimIsTheLeadersOwn(t *testing.T) {
	for name, applied := range map[string]bool{"at once": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			l, s := newSuspendedLeadership(t)
			s.end(t, true)
			s.lostAnswers, s.applyLost = 1, applied
			_, err := l.Reacquire(t.Context())
			if !applied {
				require.Error(t, err)
				s.applyDelayed()
				reacquireWithRetry(t, l)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, int32(1), s.granted.Load())
			saveWithRetry(t, l.writer, hfwork.StateCompleted)
		})
	}
}

func reacquireWithRetry(t *testing.T, l *leadership) {
	t.Helper()
	var err error
	for range 5 {
		if _, err = l.Reacquire(t.Context()); err == nil {
			return
		}
		require.NotErrorIs(t, err, hflease.ErrSuperseded)
	}
	t.Fatal(err)
}

// placedMinions passes on the workers of the starts, too.
type placedMinions struct {
	*idleMinions
	places chan string
}

func (m *placedMinions) Start(ctx context.Context, w *hfwork.Worker, s hforder.Start) error {
	m.places <- w.GetId()
	return m.idleMinions.Start(ctx, w, s)
}

// Job a runs on the worker w when the store goes away. At its return, a is cancelled, w drains, and there
// are a job c and a worker v.
func TestSuspendedLeaderHearsOfChangesBeforeItStartsAnything(t *testing.T) {
	for name, lapse := range map[string]bool{"lease paused": false, "lease lapsed": true} {
		t.Run(name, func(t *testing.T) { changeDuringOutage(t, lapse) })
	}
}

func changeDuringOutage(t *testing.T, lapse bool) {
	t.Helper()
	s, m := &outageStore{fakeStore: newFakeStore()}, newIdleMinions()
	n := newTakeoverNode(t, s.fakeStore, m, "w")
	places := make(chan string, 64)
	n.minions = &placedMinions{idleMinions: m, places: places}
	n.store, n.settings, n.health = s, outageSettings{}, NewStoreHealth(func(bool, time.Duration) {})
	value, err := n.leadValue("1")
	require.NoError(t, err)
	epoch, err := s.Put(t.Context(), leadKey, value, 0, "1")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { // the watch of the records
		for hfloop.Sleep(ctx, 50*time.Millisecond) {
			if !s.away.Load() {
				catchUp(t, n, s.fakeStore, &n.recordWatch)
			}
		}
		return nil
	})
	tenure := hflease.NewTenure(epoch, hflease.Now(), n.leaseTTL())
	l := newLeadership(n, tenure)
	group.Go(func() error {
		_ = hflease.HoldResumable(ctx, s, tenure, "1", n.leaseTTL(), l, func(ctx context.Context) error { return n.runLeader(ctx, l) })
		return nil
	})
	first := <-m.starts
	require.Equal(t, "a", first.Task().Job())

	s.away.Store(true)
	require.Eventually(t, func() bool { return tenure.Suspended(hflease.Now()) }, 5*time.Second, time.Millisecond)
	for len(m.starts) > 0 {
		<-m.starts
	}
	for len(places) > 0 {
		<-places
	}
	c := newItem(t, jobPrefix+"c", 0, &hfwork.Job{Id: "c", Queue: "q", Steps: []*hfwork.Step{{Count: 1, Accelerators: 8, Estimate: 10}}})
	batch := (&hfstore.Batch{}).Put(cancelPrefix+"a", []byte("x"), "").Put(c.Key(), c.Value(), "")
	for _, id := range []string{"v", "w"} {
		w := newTakeoverWorker(id)
		w.Draining = id == "w"
		i := newItem(t, "workers/"+id, 0, w)
		batch.Put(i.Key(), i.Value(), "")
	}
	_, err = s.fakeStore.Commit(t.Context(), batch)
	require.NoError(t, err)
	s.end(t, lapse)
	select {
	case start := <-m.starts:
		require.Equal(t, "c", start.Task().Job(), "a was cancelled")
		require.Equal(t, "v", <-places, "w drains")
		if lapse {
			require.Greater(t, start.Epoch(), epoch)
		} else {
			require.Equal(t, epoch, start.Epoch())
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing was started after the outage")
	}
	require.Equal(t, int64(1), l.writer.Term())
	cancel()
	require.NoError(t, group.Wait())
}

// An instance that takes the leadership right after an outage makes all wait for an election, a list of all
// details and the workers' reports. One that waits for a dead leader keeps urgent work waiting.
func TestSuspendedLeaderGetsAHeadStart(t *testing.T) {
	for name, c := range map[string]struct {
		suspended, outage bool
		least, most       time.Duration
	}{
		"suspended, all saw the outage": {true, true, headStart, 5 * time.Second},
		"ended":                         {false, true, 0, headStart / 2},
		"cut off alone":                 {true, false, 0, headStart / 2},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newSuspendedLeadership(t)
			if l.tenure.Expire(); c.suspended {
				l.tenure.Extend(hflease.Now().Add(-time.Minute), time.Minute)
			}
			l.node.leader.Store(l.leader)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			group, ctx := errgroup.WithContext(t.Context())
			group.Go(func() error { l.node.servePeers(ctx, ln); return nil })
			n := newTestNode("two")
			n.health = NewStoreHealth(func(bool, time.Duration) {})
			if c.outage {
				for range maxFailures {
					n.health.Record(hfstore.ErrUnavailable, time.Now())
				}
				n.health.Record(nil, time.Now())
			}
			n.recordWatch.synced.Store(true)
			n.policyWatch.synced.Store(true)
			hfloop.With(n.mirror, func(m *Mirror) bool {
				m.policy, m.lastLead = &policyIndex{}, &hfwork.Lead{Instance: "one", Address: ln.Addr().String()}
				return true
			})
			began := time.Now()
			n.grantHeadStart(t.Context())
			require.GreaterOrEqual(t, time.Since(began), c.least)
			require.Less(t, time.Since(began), c.most)
		})
	}
}

func TestDeadLeaderGetsNoHeadStart(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	n := newTestNode("two")
	began := time.Now()
	require.False(t, n.isSuspended(t.Context(), &hfwork.Lead{Instance: "one", Address: ln.Addr().String()}))
	require.Less(t, time.Since(began), headStart)
}

// eventStore answers watches with the events of a store that is not deleted from, a few at a time.
type eventStore struct{ *fakeStore }

func (s eventStore) Watch(_ context.Context, prefix string, after int64) ([]hfstore.Item, int64, error) {
	items, revision, _ := s.List(context.Background(), prefix)
	slices.SortFunc(items, func(a, b hfstore.Item) int { return cmp.Compare(a.Version(), b.Version()) })
	items = slices.DeleteFunc(items, func(i hfstore.Item) bool { return i.Version() <= after })
	if len(items) > 2 {
		return items[:2], items[1].Version(), nil
	}
	return items, revision, nil
}

// The watch of the records waited up to 0.9 s for an answer that was lost in the outage, and nothing started
// meanwhile.
func TestRecordsAreReadBesideASilentWatch(t *testing.T) {
	s := newFakeStore()
	n := newTestNode("one")
	n.store = eventStore{s}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		i := newItem(t, jobPrefix+id, 0, &hfwork.Job{Id: id, Queue: "q"})
		_, err := s.Put(t.Context(), i.Key(), i.Value(), 0, "")
		require.NoError(t, err)
	}
	revision, err := s.Put(t.Context(), cancelPrefix+"a", []byte("x"), 0, "")
	require.NoError(t, err)
	require.NoError(t, n.readRecords(t.Context(), revision))
	require.True(t, n.cachedJob("a").cancelled)
	require.NotNil(t, n.cachedJob("e"))
}
