package hfentry

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// relistingStore calls a function before the progress of a job is read.
type relistingStore struct {
	*fakeStore
	beforeProgress func()
}

func (s *relistingStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	if strings.HasPrefix(key, progressPrefix) {
		s.beforeProgress()
	}
	return s.fakeStore.Get(ctx, key)
}

// Guards against a client that is told that its job was not accepted, or does not exist, while the job
// is stored and runs: a list that was begun before the job was stored replaces the mirror while the
// job is read back (review/6).
func TestListDuringReadBackDoesNotHideTheJob(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	a := access("a", "a")
	listed, revision, err := s.List(t.Context(), recordPrefix)
	require.NoError(t, err)
	require.NoError(t, n.Submit(t.Context(), a, newTestJob(testJobID)))
	replace := func() {
		hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(recordPrefix, listed, revision) })
	}
	forget := func() {
		hfloop.With(n.mirror, func(m *Mirror) bool { m.removeJob(testJobID); return true })
	}
	n.store = &relistingStore{fakeStore: s, beforeProgress: replace}
	for name, call := range map[string]func() error{
		"submission": func() error { return n.Submit(t.Context(), a, newTestJob(testJobID)) },
		"query": func() error {
			_, err := n.State(t.Context(), a, testJobID)
			return err
		},
		"cancellation": func() error { return n.Cancel(t.Context(), a, testJobID) },
	} {
		t.Run(name, func(t *testing.T) {
			forget()
			require.NoError(t, call())
		})
	}
}

// Guards against records that an older list removes from the mirror, until the watch brings them again.
func TestListKeepsNewerRecords(t *testing.T) {
	n, _ := newAccountsNode(t, newFakeStore())
	job, record := newTestJob(testJobID), &hfwork.Withdrawal{Queue: "qa", Account: "a"}
	n.applyItem(newItem(t, jobPrefix+testJobID, 20, job))
	n.applyItem(newItem(t, withdrawalKey("00000000000000bb", record), 20, record))
	for revision, kept := range map[int64]bool{19: true, 20: false, 21: false} {
		n := hfloop.With(n.mirror, func(m *Mirror) [2]int {
			m.Apply(newItem(t, jobPrefix+testJobID, 20, job))
			m.Apply(newItem(t, withdrawalKey("00000000000000bb", record), 20, record))
			m.Reset(recordPrefix, nil, revision)
			return [2]int{len(m.jobs), len(m.withdrawals)}
		})
		want := [2]int{}
		if kept {
			want = [2]int{1, 1}
		}
		require.Equal(t, want, n, "a list of revision %d", revision)
	}
}
