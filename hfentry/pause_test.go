package hfentry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
