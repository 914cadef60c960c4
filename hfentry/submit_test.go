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
