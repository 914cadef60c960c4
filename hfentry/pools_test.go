package hfentry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

// Guards against orders to what the entry of another writer names, and against tasks on it: its
// pool is in no configuration (review/2).
func TestEntryOfUnknownPoolNamesNoWorker(t *testing.T) {
	n, logs, registry := newLoggingNode()
	n.applyItem(newItem(t, "op/policy", 1, &hfwork.Policy{Version: 1, Pools: []*hfwork.Pool{{Name: "pool"}}}))
	n.applyItem(newItem(t, "workers/own", 2, &hfwork.Worker{Id: "own", Pool: "pool"}))
	for revision := range int64(5) {
		n.applyItem(newItem(t, "workers/other", 3+revision, &hfwork.Worker{Id: "other", Pool: "elsewhere"}))
	}
	require.Contains(t, n.workersMsg().Nodes(), "own")
	require.NotContains(t, n.workersMsg().Nodes(), "other")
	require.Len(t, rejections(logs), 1, "logged once")
	require.Equal(t, int64(5), registry.Get("entry.rejected").(interface{ Count() int64 }).Count())
	n.applyItem(newItem(t, "op/policy", 9, &hfwork.Policy{Version: 2, Queues: []*hfwork.Queue{{Name: "q", Pool: "elsewhere"}}}))
	require.Contains(t, n.workersMsg().Nodes(), "other", "a configuration names its pool now")
	require.Contains(t, n.workersMsg().Nodes(), "own", "its tasks run on")
}

// Guards against a worker whose record in the roster has a longer key than the store accepts, which
// stopped all records of every leader (review/2).
func TestWorkerWithTheLongestIDIsInTheStoredRoster(t *testing.T) {
	s := newFakeStore()
	w := newSplitWriter(t, s)
	ids := []string{"short", strings.Repeat("x", hfstore.MaxKeyBytes-len("servers/"))}
	require.NoError(t, w.Save(t.Context(), hfplan.Store(nil, []*hfwork.Worker{{Id: ids[0]}, {Id: ids[1]}}, nil)))
	items, _, err := s.List(t.Context(), detailPrefix)
	require.NoError(t, err)
	d, err := parseDetails(items)
	require.NoError(t, err)
	var stored []string
	for _, member := range d.members {
		stored = append(stored, member.GetId())
	}
	require.ElementsMatch(t, ids, stored)
	require.NoError(t, w.Save(t.Context(), hfplan.Store(nil, []*hfwork.Worker{{Id: ids[0]}}, nil)))
	items, _, err = s.List(t.Context(), memberPrefix)
	require.NoError(t, err)
	require.Len(t, items, 1, "it is removed with the worker")
}
