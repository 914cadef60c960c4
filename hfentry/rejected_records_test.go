package hfentry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// longID is an id whose record has a longer key than the store accepts.
var longID = strings.Repeat("x", hfstore.MaxKeyBytes)

// Guards against one record that the store does not accept holding back all others (review/2).
func TestRejectedRecordDoesNotHoldTheOthers(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	c := hfplan.Store(map[string]*hfwork.Progress{"a": {State: hfwork.StateRunning}, longID: {State: hfwork.StateRunning}}, nil, nil)
	var rejected *hfplan.RejectedError
	require.ErrorAs(t, w.Save(t.Context(), c), &rejected)
	require.Equal(t, []string{longID}, rejected.Jobs())
	require.Empty(t, rejected.Workers())
	require.Equal(t, hfwork.StateRunning, storedState(t, s))
	revision := s.revision
	require.ErrorAs(t, w.Save(t.Context(), c), &rejected)
	require.Equal(t, []string{longID}, rejected.Jobs())
	require.Equal(t, revision, s.revision, "it is not tried again")
	require.NoError(t, w.Save(t.Context(), newStoreCmd(hfwork.StateCompleted)))
	require.Equal(t, hfwork.StateCompleted, storedState(t, s))
}

// A store that rejects every write for a while says nothing about a record.
func TestStoreThatRejectsEverythingRejectsNoRecord(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	s.rejectAll = true
	require.ErrorIs(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrUnavailable)
	s.rejectAll = false
	require.NoError(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)))
	require.Equal(t, hfwork.StateRunning, storedState(t, s))
}
