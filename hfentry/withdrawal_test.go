package hfentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const testJobID = "00000000000000aa"

func newTestJob(id string) *hfwork.Job {
	return &hfwork.Job{Id: id, Steps: []*hfwork.Step{{Count: 1, Estimate: 1}}}
}

// newAccountsNode returns a node that has read a configuration with a queue for each of two accounts,
// and the access of both accounts to both queues.
func newAccountsNode(t *testing.T, s *fakeStore) (n *Node, access func(queue, account string) Access) {
	t.Helper()
	policy := &hfwork.Policy{Version: 1}
	for _, name := range []string{"a", "b"} {
		policy.Queues = append(policy.Queues, &hfwork.Queue{Name: "q" + name, Host: "h", Prefix: "/" + name + "/", Pool: "p", Attempts: 1})
		policy.Accounts = append(policy.Accounts, &hfwork.Account{Name: name, Keys: []string{"key-" + name}})
	}
	n = newTestNode("one")
	n.store, n.formats, n.health = s, fakeFormats{}, NewStoreHealth(func(bool, time.Duration) {})
	n.applyItem(newItem(t, "op/policy", 1, policy))
	return n, func(queue, account string) Access {
		a, err := n.Admit("h", "/"+queue+"/"+testJobID, "key-"+account)
		require.NoError(t, err)
		return a
	}
}

// Guards against a job that runs after its cancellation was answered with "no such job": the store
// carries out the write of its submission later (review/4).
func TestLateSubmissionOfACancelledJobHasNoEffect(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	s.lostAnswers = 1
	require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)), ErrEffectUnknown)
	other, access := newAccountsNode(t, s)
	require.ErrorIs(t, other.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob)
	s.applyDelayed()
	_, err := s.Get(t.Context(), jobPrefix+testJobID)
	require.ErrorIs(t, err, hfstore.ErrNotFound)
	require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)), ErrWithdrawn, "a repeated submission")
	require.ErrorIs(t, other.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob, "a repeated cancellation")
}

// Guards against the same if the submission takes effect between the read and the write of the
// cancellation.
func TestCancellationThatMeetsTheSubmissionCancelsTheJob(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	s.lostAnswers = 1
	require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)), ErrEffectUnknown)
	meets := &effectAfterReadStore{fakeStore: s}
	n.store = meets
	require.NoError(t, n.Cancel(t.Context(), access("a", "a"), testJobID))
	_, err := s.Get(t.Context(), cancelPrefix+testJobID)
	require.NoError(t, err)
}

// Guards against a job of an instance of an earlier release, whose write does not depend on the
// withdrawal, being started.
func TestWithdrawnJobCountsAsCancelled(t *testing.T) {
	for _, jobFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("job first ", jobFirst), func(t *testing.T) {
			n, access := newAccountsNode(t, newFakeStore())
			job := newTestJob(testJobID)
			job.Queue, job.Account = "qa", "a"
			record := &hfwork.Withdrawal{Queue: "qa", Account: "a"}
			items := []hfstore.Item{newItem(t, withdrawalKey(testJobID, record), 3, record), newItem(t, jobPrefix+testJobID, 4, job)}
			if jobFirst {
				items[0], items[1] = items[1], items[0]
			}
			for _, i := range items {
				n.applyItem(i)
			}
			state, err := n.State(t.Context(), access("a", "a"), testJobID)
			require.NoError(t, err)
			require.Equal(t, hfwork.StateCancelled, state)
		})
	}
}

// Guards against an account that keeps another one from using an id, or cancels its job.
func TestWithdrawalDoesNotBarOtherAccounts(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob)
	require.NoError(t, n.Submit(t.Context(), access("b", "b"), newTestJob(testJobID)))
	require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob)
	require.ErrorIs(t, n.Cancel(t.Context(), access("b", "a"), testJobID), ErrNoJob, "another account on its queue")
	state, err := n.State(t.Context(), access("b", "b"), testJobID)
	require.NoError(t, err)
	require.Equal(t, hfwork.StateQueued, state)
}

// Guards against records without bound from cancellations of jobs that were never submitted.
func TestWithdrawalsAreBounded(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	for i := range maxWithdrawals {
		require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), fmt.Sprintf("%016x", i)), ErrNoJob)
	}
	require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), testJobID), ErrNotDone)
	require.ErrorIs(t, n.Cancel(t.Context(), access("b", "b"), testJobID), ErrNoJob, "each account has its own limit")
	require.ErrorIs(t, n.Cancel(t.Context(), access("b", "b"), "no job id"), ErrNoJob)
	require.Equal(t, maxWithdrawals+1, len(s.items))
	keys := hfloop.With(n.mirror, func(m *Mirror) []string { return m.expiredWithdrawals(time.Now().Add(time.Hour)) })
	require.Len(t, keys, maxWithdrawals+1)
	hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(recordPrefix, nil, 1<<20) })
	require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob, "purged ones make room")
}

// effectAfterReadStore applies delayed batches after the first read.
type effectAfterReadStore struct{ *fakeStore }

func (s *effectAfterReadStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	defer s.applyDelayed()
	return s.fakeStore.Get(ctx, key)
}
