package hfentry

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

var errUnreadable = eris.New("unreadable")

func unreadableItem(key string) hfstore.Item {
	return hfstore.NewUnreadableItem(key, 0, errUnreadable)
}

// Guards against an unreadable item being applied as an empty record, or naming a worker.
func TestUnreadableItemReplacesNoRecord(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Hour)
	m.Apply(newItem(t, leadKey, 1, &hfwork.Lead{Instance: "a"}))
	m.Apply(newItem(t, rosterKey, 2, &hfwork.Roster{Workers: []*hfwork.Worker{{Id: "w"}}}))
	m.Apply(newItem(t, "op/policy", 3, &hfwork.Policy{Version: 7}))
	m.Apply(newItem(t, jobPrefix+"j", 4, &hfwork.Job{Id: "j"}))
	m.Apply(newItem(t, progressPrefix+"j", 5, &hfwork.Progress{State: hfwork.StateRunning}))
	m.Apply(newItem(t, "workers/w", 6, &hfwork.Worker{Id: "w", Draining: true}))
	m.Apply(newItem(t, "workers/x", 7, &hfwork.Worker{Id: "x"}))
	for _, key := range []string{leadKey, rosterKey, termKey, "op/policy", "op/wave/1", jobPrefix + "j", progressPrefix + "j", cancelPrefix + "j", peerPrefix + "a", "workers/w", "workers/", "", "other"} {
		require.ErrorIs(t, m.Apply(unreadableItem(key)).err, errUnreadable, key)
	}
	require.Equal(t, "a", m.lead.GetInstance())
	require.Len(t, m.roster.GetWorkers(), 1)
	require.Equal(t, int64(7), m.policy.config.GetVersion())
	require.Equal(t, hfwork.StateRunning, m.jobs["j"].state())
	require.Nil(t, m.workers["w"], "an unreadable entry names no worker")
	require.NotNil(t, m.workers["x"])
	require.Empty(t, m.Apply(deletedItem("workers/w", 8)).leftWorker, "whether it left as planned is not known")
	require.True(t, m.Apply(newItem(t, "workers/w", 9, &hfwork.Worker{Id: "w"})).workers)
	require.NotNil(t, m.workers["w"], "a readable entry names it again")
}
