package hfentry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/heatherfront/heatherfront/hfevent"
	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
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

// newLoggingNode returns a node without connections, the lines that it logs and its metrics.
func newLoggingNode() (*Node, *observer.ObservedLogs, metrics.Registry) {
	core, logs := observer.New(zap.InfoLevel)
	n := newTestNode("one")
	n.log = hfevent.New(zap.New(core), n.registry)
	return n, logs, n.registry
}

func rejections(logs *observer.ObservedLogs) []observer.LoggedEntry {
	return logs.FilterMessage(hfevent.EntryRejected.Name()).All()
}

// Guards against a log line for every heartbeat of an entry that stays invalid.
func TestInvalidEntryIsLoggedOnceAndCounted(t *testing.T) {
	n, logs, registry := newLoggingNode()
	bad := []byte{0xff}
	for revision := range int64(50) {
		n.applyItem(hfstore.NewItem("workers/w", bad, revision+1, false))
	}
	require.Len(t, rejections(logs), 1)
	fields := rejections(logs)[0].ContextMap()
	require.Equal(t, "workers/w", fields["key"])
	require.Equal(t, int64(1), fields["revision"])
	require.NotEmpty(t, fields["error"])
	require.Equal(t, int64(50), metrics.GetOrRegisterCounter("entry.rejected", registry).Count())
	n.applyItem(unreadableItem("workers/w"))
	require.Len(t, rejections(logs), 2, "another reason")
	n.applyItem(deletedItem("workers/w", 60))
	n.applyItem(unreadableItem("workers/w"))
	require.Len(t, rejections(logs), 3, "another entry of the same key")
}

// Guards against many or huge invalid entries filling the log or the memory.
func TestRejectionsAreBounded(t *testing.T) {
	n, logs, registry := newLoggingNode()
	long := strings.Repeat("\u00e4", 1<<14)
	for k := range 2 * hfevent.MaxRejections {
		n.applyItem(hfstore.NewUnreadableItem(fmt.Sprint("workers/", k), 1, fmt.Errorf("%w: %s", errUnreadable, long)))
	}
	require.Len(t, rejections(logs), hfevent.MaxRejections)
	require.Less(t, len(fmt.Sprint(rejections(logs)[0].ContextMap()["error"])), 2*hfevent.MaxReasonBytes)
	require.Equal(t, int64(2*hfevent.MaxRejections), metrics.GetOrRegisterCounter("entry.rejected", registry).Count())
	n.notify(hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset("workers/", nil, 5) }))
	n.applyItem(unreadableItem("workers/new"))
	require.Len(t, rejections(logs), hfevent.MaxRejections+1, "entries that are gone make room")
}

// Guards against a watch that stops at an invalid entry.
func TestWatchMovesOnPastInvalidEntries(t *testing.T) {
	n, logs, _ := newLoggingNode()
	w := &prefixWatch{prefix: "workers/"}
	n.applyEvents(w, []hfstore.Item{
		newItem(t, "workers/a", 1, &hfwork.Worker{Id: "a"}), hfstore.NewItem("workers/b", []byte{0xff}, 2, false),
		unreadableItem(""), newItem(t, "workers/c", 4, &hfwork.Worker{Id: "c"}),
	}, 4, hflease.Now())
	require.Equal(t, int64(4), w.revision)
	require.Len(t, n.workersMsg().Nodes(), 2)
	require.Len(t, rejections(logs), 2)
}

// Guards against a log line for every report of a worker that repeats a bad row.
func TestRejectedRowsAreLoggedOnceAndCounted(t *testing.T) {
	n, logs, registry := newLoggingNode()
	for range 50 {
		n.ReportRejected("w", []error{errUnreadable, eris.New("another row")})
	}
	n.ReportRejected("x", []error{errUnreadable})
	require.Len(t, rejections(logs), 3)
	require.Equal(t, int64(101), metrics.GetOrRegisterCounter("report.rejected", registry).Count())
}

// Guards against a part of a configuration that is invalid taking its last valid version out of
// force, or keeping the other parts from coming into force.
func TestInvalidPartKeepsItsLastVersion(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Hour)
	queue := func(name, host, pool string) *hfwork.Queue {
		return &hfwork.Queue{Name: name, Host: host, Prefix: "/" + name + "/", Pool: pool}
	}
	m.Apply(newItem(t, "op/policy", 1, &hfwork.Policy{Queues: []*hfwork.Queue{queue("a", "old", "p"), queue("b", "old", "p")}}))
	c := m.Apply(newItem(t, "op/policy", 2, &hfwork.Policy{Queues: []*hfwork.Queue{queue("a", "new", "p"), queue("b", "new", "invalid"), queue("c", "new", "invalid")}}))
	require.True(t, c.policy)
	require.NotNil(t, c.rejection)
	require.Len(t, m.policy.config.GetQueues(), 2)
	a, _ := m.policy.matchQueue("new", "/a/")
	require.Equal(t, "a", a.GetName())
	b, _ := m.policy.matchQueue("old", "/b/")
	require.Equal(t, "b", b.GetName())
	gone, _ := m.policy.matchQueue("old", "/a/")
	require.Nil(t, gone)
}

// Guards against a key that moved to another account going back to an account that is invalid.
func TestKeyOfInvalidAccountStaysWithItsNewAccount(t *testing.T) {
	previous := &hfwork.Policy{Accounts: []*hfwork.Account{{Name: "old", Keys: []string{"k", "l"}}}, Body: 5}
	p := &hfwork.Policy{Accounts: []*hfwork.Account{{Name: "new", Keys: []string{"k"}}}}
	keepInvalidParts(p, previous, []InvalidPart{NewInvalidPart(PartAccount, "old", errUnreadable), NewInvalidPart(PartLimits, "", errUnreadable), NewInvalidPart(PartPool, "x", errUnreadable)})
	index := newPolicyIndex(p)
	require.Equal(t, "new", index.accountsByKey["k"])
	require.Equal(t, "old", index.accountsByKey["l"])
	require.Equal(t, int64(5), p.GetBody())
}

// Guards against a stored job that no leader can hold in memory reaching the scheduler.
func TestStoredJobOutOfRangeIsNotScheduled(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Hour)
	good := &hfwork.Job{Id: "a", Steps: []*hfwork.Step{{Count: 1}}}
	require.Equal(t, "a", m.Apply(newItem(t, jobPrefix+"a", 1, good)).job)
	huge := &hfwork.Job{Id: "b", Times: hfwork.MaxOccurrences, Interval: 1, Steps: []*hfwork.Step{{Count: hfwork.MaxTasksPerStep}}}
	for _, item := range []hfstore.Item{newItem(t, jobPrefix+"b", 2, huge), newItem(t, jobPrefix+"c", 3, good), newItem(t, jobPrefix, 4, good)} {
		c := m.Apply(item)
		require.Empty(t, c.job, item.Key())
		require.NotNil(t, c.rejection, item.Key())
	}
	require.Len(t, m.jobs, 1)
}

// Guards against a new leader starting the tasks of a job again, some of which run or are done,
// because the record of its progress cannot be read.
func TestJobWithUnreadableProgressIsNotScheduled(t *testing.T) {
	twice := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{{Done: []byte{1}}, {Done: []byte{1}}}}
	for name, bad := range map[string]hfstore.Item{
		"bytes":           hfstore.NewItem(progressPrefix+"a", []byte{0xff}, 3, false),
		"a step twice":    newItem(t, progressPrefix+"a", 3, twice),
		"no item":         unreadableItem(progressPrefix + "a"),
		"before readable": hfstore.NewItem(progressPrefix+"a", []byte{0xff}, 1, false),
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode("one")
			jobs := func() int {
				count := 0
				for _, msg := range n.initialMessages() {
					if _, ok := msg.(hfplan.JobMsg); ok {
						count++
					}
				}
				return count
			}
			n.applyItem(newItem(t, "op/policy", 1, &hfwork.Policy{}))
			n.applyItem(newItem(t, jobPrefix+"a", 2, &hfwork.Job{Id: "a", Steps: []*hfwork.Step{{Count: 1}}}))
			n.applyItem(newItem(t, jobPrefix+"b", 2, &hfwork.Job{Id: "b", Steps: []*hfwork.Step{{Count: 1}}}))
			require.Equal(t, 2, jobs())
			if name == "before readable" {
				n.applyItem(newItem(t, progressPrefix+"a", 2, &hfwork.Progress{State: hfwork.StateRunning}))
				n.applyItem(bad)
				require.Equal(t, 2, jobs(), "an older record changes nothing")
				return
			}
			n.applyItem(bad)
			require.Equal(t, 1, jobs())
			n.applyItem(newItem(t, progressPrefix+"a", 4, &hfwork.Progress{State: hfwork.StateRunning}))
			require.Equal(t, 2, jobs(), "a readable record replaces it")
		})
	}
}

// Guards against a record that could not be read in a watch being missed until it is written
// again, and against a list that lacks a key taking a job out of the mirror.
func TestUnreadableRecordIsListedAgain(t *testing.T) {
	n := newTestNode("one")
	w := &prefixWatch{prefix: recordPrefix}
	w.synced.Store(true)
	n.applyEvents(w, []hfstore.Item{newItem(t, jobPrefix+"a", 2, &hfwork.Job{Id: "a"}), unreadableItem(jobPrefix + "b")}, 3, time.Time{})
	require.False(t, w.synced.Load())
	require.Equal(t, int64(3), w.revision)
	require.NotNil(t, n.cachedJob("a"))
	hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(recordPrefix, []hfstore.Item{unreadableItem("")}, 4) })
	require.NotNil(t, n.cachedJob("a"), "the unreadable item may be that of the job")
	hfloop.With(n.mirror, func(m *Mirror) []change { return m.Reset(recordPrefix, nil, 5) })
	require.Nil(t, n.cachedJob("a"))
	workers := &prefixWatch{prefix: "workers/"}
	workers.synced.Store(true)
	n.applyEvents(workers, []hfstore.Item{unreadableItem("workers/w")}, 6, time.Time{})
	require.True(t, workers.synced.Load(), "a worker writes its entry again soon")
}
