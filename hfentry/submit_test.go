package hfentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against a new leader that does not know the queue of a job, as it was removed meanwhile
// (removed-route in review/REPORT.md).
func TestJobIsStoredWithTheSettingsOfItsQueue(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)))
	item, err := s.Get(t.Context(), jobPrefix+testJobID)
	require.NoError(t, err)
	job, err := hfwire.Decode(item.Value(), &hfwork.Job{})
	require.NoError(t, err)
	require.Equal(t, "p", job.GetSettings().GetPool())
	require.Equal(t, job.GetQueue(), job.GetSettings().GetName())
}

// Guards against a submission that is answered as accepted and never runs, because a job of another
// account or queue has its id (same-id in review/REPORT.md).
func TestSubmissionWithTheIDOfAnotherJobIsRejected(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)))
	other, _ := newAccountsNode(t, s) // has not seen the job
	for name, instance := range map[string]*Node{"the same instance": n, "another instance": other} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, instance.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)), "repeated")
			require.ErrorIs(t, instance.Submit(t.Context(), access("b", "b"), newTestJob(testJobID)), ErrIDTaken, "another account")
			require.ErrorIs(t, instance.Submit(t.Context(), access("b", "a"), newTestJob(testJobID)), ErrIDTaken, "another queue")
		})
	}
}

// Guards against the same if the answer to the write is lost and the other job is read back.
func TestSubmissionThatReadsBackAnotherJobIsRejected(t *testing.T) {
	s := newFakeStore()
	n, access := newAccountsNode(t, s)
	require.NoError(t, n.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)))
	other, _ := newAccountsNode(t, s)
	s.lostAnswers = 1
	require.ErrorIs(t, other.Submit(t.Context(), access("b", "b"), newTestJob(testJobID)), ErrIDTaken)
	s.lostAnswers = 1
	require.NoError(t, other.Submit(t.Context(), access("a", "a"), newTestJob(testJobID)))
}
