package hfentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfwork"
)

// mergedPolicy is the configuration of newAccountsNode after account a was merged into b.
func mergedPolicy() *hfwork.Policy {
	p := &hfwork.Policy{Version: 2, Accounts: []*hfwork.Account{{Name: "b", Keys: []string{"key-b", "key-a"}}, {Name: "c", Keys: []string{"key-c"}}}}
	for _, name := range []string{"a", "b"} {
		p.Queues = append(p.Queues, &hfwork.Queue{Name: "q" + name, Host: "h", Prefix: "/" + name + "/", Pool: "p", Attempts: 1})
	}
	return p
}

// Guards against jobs that are answered with "no such job" after their account was merged into another
// one, also by instances that start later (review/5).
func TestJobsOfAMergedAccountBelongToTheOther(t *testing.T) {
	for name, restarted := range map[string]bool{"seen by the instance": false, "before the instance started": true} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			n, access := newAccountsNode(t, s)
			require.NoError(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)))
			record := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Accounts { return m.accounts.history.Record() })
			if restarted {
				n, access = newAccountsNode(t, s)
				n.mirror = hfloop.NewGuarded(NewMirror(fakeFormats{}, 0))
			}
			n.applyItem(newItem(t, "op/policy", 2, mergedPolicy()))
			n.applyItem(newItem(t, accountsKey, 3, record))
			for _, key := range []string{"a", "b"} {
				state, err := n.State(t.Context(), access("a", key), testJobID)
				require.NoError(t, err, "key-%s", key)
				require.Equal(t, hfwork.StateQueued, state)
			}
			_, err := n.State(t.Context(), access("a", "c"), testJobID)
			require.ErrorIs(t, err, ErrNoJob, "another account")
			require.NoError(t, n.Cancel(t.Context(), access("a", "a"), testJobID))
			state, err := n.State(t.Context(), access("a", "b"), testJobID)
			require.NoError(t, err)
			require.Equal(t, hfwork.StateCancelled, state)
		})
	}
}

// Guards against a cancellation that finds no job, because the account was merged while the submission
// was under way.
func TestWithdrawalByTheOtherAccountOfAMerge(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	s.lostAnswers = 1
	require.ErrorIs(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)), ErrEffectUnknown)
	n.applyItem(newItem(t, "op/policy", 2, mergedPolicy()))
	require.ErrorIs(t, n.Cancel(t.Context(), access("a", "a"), testJobID), ErrNoJob)
	s.applyDelayed()
	state, err := n.State(t.Context(), access("a", "a"), testJobID)
	require.NoError(t, err)
	require.Equal(t, hfwork.StateCancelled, state)
}
