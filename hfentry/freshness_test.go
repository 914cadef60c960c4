package hfentry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// newPolicyNode returns a node that has read a configuration in which a key is valid, and the store,
// whose configuration no longer has that key.
func newPolicyNode(t *testing.T) (*Node, *fakeStore) {
	t.Helper()
	policy := func(keys ...string) *hfwork.Policy {
		return &hfwork.Policy{Version: int64(3 - len(keys)), Queues: []*hfwork.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 1}}, Accounts: []*hfwork.Account{{Name: "a", Keys: keys}}}
	}
	s := newFakeStore()
	n := newTestNode("one")
	n.store, n.formats, n.health = s, fakeFormats{}, NewStoreHealth(func(bool, time.Duration) {})
	n.applyItem(newItem(t, "op/policy", 1, policy("k1", "k2")))
	n.policyWatch.synced.Store(true)
	s.revision = 1
	_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Put("op/policy", newItem(t, "op/policy", 0, policy("k2")).Value(), ""))
	require.NoError(t, err)
	return n, s
}

// Guards against a process that was paused for seconds and accepts a job with a key that was withdrawn
// meanwhile, before its watch tells it.
func TestPausedInstanceRefusesWithdrawnKey(t *testing.T) {
	n, _ := newPolicyNode(t)
	n.policyWatch.confirm(hflease.Now().Add(-5 * time.Second))
	require.NoError(t, n.ConfirmPolicy(t.Context()))
	_, err := n.Admit("h", "/q/1", "k1")
	require.ErrorIs(t, err, ErrUnknownKey)
	_, err = n.Admit("h", "/q/1", "k2")
	require.NoError(t, err)
	require.Less(t, n.policyWatch.age(hflease.Now()), maxPolicyAge, "the next call needs no read")
}

// Guards against a read of the store for each call while the watch is alive.
func TestFreshConfigurationIsNotReadAgain(t *testing.T) {
	n, s := newPolicyNode(t)
	n.policyWatch.confirm(hflease.Now())
	s.refuse = true
	require.NoError(t, n.ConfirmPolicy(t.Context()))
	_, err := n.Admit("h", "/q/1", "k1")
	require.NoError(t, err, "the watch brings the new configuration in time")
}

// silentStore is a store whose reads get no answer.
type silentStore struct{ *fakeStore }

func (silentStore) Get(context.Context, string) (hfstore.Item, error) {
	return hfstore.Item{}, hfstore.ErrUnavailable
}

// Guards against changes on the word of an old configuration while the store is silent.
func TestNothingIsAdmittedOnAnOldConfiguration(t *testing.T) {
	n, s := newPolicyNode(t)
	n.store = silentStore{s}
	n.policyWatch.confirm(hflease.Now().Add(-5 * time.Second))
	require.ErrorIs(t, n.ConfirmPolicy(t.Context()), ErrNotDone)
	n.policyWatch.synced.Store(false)
	require.ErrorIs(t, n.ConfirmPolicy(t.Context()), ErrNotReady)
}

// watchlessStore is a store whose watches get no answer. It counts the reads.
type watchlessStore struct {
	*fakeStore
	reads   atomic.Int64
	release chan struct{} // reads wait until it is closed, nil if they do not
}

func (*watchlessStore) Watch(ctx context.Context, _ string, _ int64) ([]hfstore.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, hfstore.ErrUnavailable
}

func (s *watchlessStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	s.reads.Add(1)
	if s.release != nil {
		<-s.release
	}
	return s.fakeStore.Get(ctx, key)
}

// Guards against a change of the configuration that waits for a watch that is never answered, as on a
// connection that went silent.
func TestSilentWatchDelaysNoConfiguration(t *testing.T) {
	n, s := newPolicyNode(t)
	n.store = &watchlessStore{fakeStore: s}
	n.policyWatch.prefix, n.policyWatch.pause = "op/", func() time.Duration { return policyPause }
	n.policyWatch.confirm(hflease.Now())
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { n.watch(ctx, &n.policyWatch); return nil })
	g.Go(func() error { n.keepPolicyFresh(ctx); return nil })
	require.Eventually(t, func() bool {
		_, err := n.Admit("h", "/q/1", "k1")
		return errors.Is(err, ErrUnknownKey)
	}, 10*time.Second, 10*time.Millisecond, "the key was withdrawn")
	cancel()
	require.NoError(t, g.Wait())
}

// Guards against a read of the store for each of the calls that wait for the same confirmation.
func TestCallsShareTheReadOfTheConfiguration(t *testing.T) {
	n, s := newPolicyNode(t)
	store := &watchlessStore{fakeStore: s, release: make(chan struct{})}
	n.store = store
	n.policyWatch.confirm(hflease.Now().Add(-5 * time.Second))
	var g errgroup.Group
	for range 50 {
		g.Go(func() error {
			_, err := n.AdmitRead(t.Context(), "h", "/q/1", "k2")
			return err
		})
	}
	require.Eventually(t, func() bool { return store.reads.Load() > 0 }, 10*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // the others join
	close(store.release)
	require.NoError(t, g.Wait())
	require.EqualValues(t, 1, store.reads.Load())
}

// Guards against calls that an old configuration refuses, or allows to change something, although it
// cannot be confirmed. What it allows to be read is still shown in an outage of the store.
func TestUnconfirmedConfigurationRefusesNoRead(t *testing.T) {
	for name, down := range map[string]bool{"store was heard": false, "store is down": true} {
		t.Run(name, func(t *testing.T) {
			n, s := newPolicyNode(t)
			n.store = silentStore{s}
			n.policyWatch.confirm(hflease.Now().Add(-5 * time.Second))
			ctx := t.Context()
			if down {
				n.health.Record(hfstore.ErrUnavailable, time.Now())
				n.health.Record(hfstore.ErrUnavailable, time.Now())
			}
			_, err := n.AdmitRead(ctx, "h", "/added/1", "k2")
			require.ErrorIs(t, err, ErrNotDone)
			require.NotErrorIs(t, err, ErrNoQueue)
			_, err = n.AdmitRead(ctx, "h", "/q/1", "added")
			require.ErrorIs(t, err, ErrNotDone)
			_, err = n.AdmitRead(ctx, "h", "/q/1", "k2")
			require.NoError(t, err)
			_, err = n.AdmitChange(ctx, "h", "/q/1", "k2")
			require.ErrorIs(t, err, ErrNotDone)
		})
	}
}

// Guards against a GET that is answered by the configuration of before a pause of the process.
func TestReadConfirmsOldConfiguration(t *testing.T) {
	n, _ := newPolicyNode(t)
	n.policyWatch.confirm(hflease.Now().Add(-5 * time.Second))
	_, err := n.AdmitRead(t.Context(), "h", "/q/1", "k1")
	require.ErrorIs(t, err, ErrUnknownKey)
	_, err = n.AdmitRead(t.Context(), "h", "/q/1", "k2")
	require.NoError(t, err)
}
