package hfentry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// fakeFormats encodes the platform's entries like our own records.
type fakeFormats struct{}

func (fakeFormats) PolicyPrefix() string     { return "op/" }
func (fakeFormats) PolicyKey() string        { return "op/policy" }
func (fakeFormats) WorkerPrefix() string     { return "workers/" }
func (fakeFormats) WavePrefix() string       { return "op/wave/" }
func (fakeFormats) EvacuationPrefix() string { return "op/evacuate/" }
func (fakeFormats) Policy(raw []byte) (*hfwork.Policy, []InvalidPart, error) {
	p, err := hfwire.Decode(raw, &hfwork.Policy{})
	if err != nil {
		return nil, nil, err
	}
	var invalid []InvalidPart
	p.Queues = slices.DeleteFunc(p.Queues, func(q *hfwork.Queue) bool {
		if q.GetPool() == "invalid" {
			invalid = append(invalid, NewInvalidPart(PartQueue, q.GetName(), errUnreadable))
		}
		return q.GetPool() == "invalid"
	})
	return p, invalid, nil
}

func (fakeFormats) Worker(id string, raw []byte) (*hfwork.Worker, error) {
	return hfwire.Decode(raw, &hfwork.Worker{})
}

func (fakeFormats) Wave(raw []byte, _ time.Time) (*hfwork.Wave, error) {
	return hfwire.Decode(raw, &hfwork.Wave{})
}
func (fakeFormats) WaveStatus(*hfwork.Wave) (string, []byte, error) { return "status", nil, nil }

func newItem(t *testing.T, key string, version int64, m proto.Message) hfstore.Item {
	t.Helper()
	value, err := hfwire.Encode(m)
	require.NoError(t, err)
	return hfstore.NewItem(key, value, version, false)
}

func deletedItem(key string, version int64) hfstore.Item {
	return hfstore.NewItem(key, nil, version, true)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Second)
	require.True(t, m.Apply(newItem(t, "op/policy", 5, &hfwork.Policy{Version: 7})).policy)
	require.False(t, m.Apply(newItem(t, "op/policy", 4, &hfwork.Policy{Version: 6})).policy)
	require.False(t, m.Apply(deletedItem("op/policy", 6)).policy)
	bad := m.Apply(hfstore.NewItem("op/policy", []byte{0xff}, 7, false))
	require.Error(t, bad.err)
	require.Equal(t, int64(7), m.policy.config.GetVersion())
}

func TestProgressNeverGoesBack(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Second)
	m.Apply(newItem(t, jobPrefix+"a", 1, &hfwork.Job{Id: "a", Queue: "q"}))
	require.Equal(t, hfwork.StateQueued, m.jobs["a"].state())
	require.Equal(t, 1, m.waitingJobs("q"))
	m.Apply(newItem(t, progressPrefix+"a", 5, &hfwork.Progress{State: hfwork.StateRunning}))
	require.Zero(t, m.waitingJobs("q"))
	m.Apply(newItem(t, progressPrefix+"a", 9, &hfwork.Progress{State: hfwork.StateCompleted}))
	m.Apply(newItem(t, progressPrefix+"a", 5, &hfwork.Progress{State: hfwork.StateRunning}))
	m.Apply(hfstore.NewItem(cancelPrefix+"a", nil, 10, false))
	require.Equal(t, hfwork.StateCompleted, m.jobs["a"].state(), "a cancellation after the end changes nothing")
}

// The time that counts is the one between the earliest possible write and the receipt of the
// deletion. Entries expire after three intervals.
func TestWorkerThatRemovesItsEntryHasLeft(t *testing.T) {
	const interval = time.Second
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		draining     bool
		writtenAfter time.Time
		received     time.Duration // of the write, after start
		deleted      time.Duration // receipt of the deletion, after start
		want         string
	}{
		"draining, removed at once":         {true, start, 0, 0, "w"},
		"draining, removed before the next": {true, start, 100 * time.Millisecond, 1900 * time.Millisecond, "w"},
		"draining, then silent":             {true, start, 0, 3 * interval, ""},
		"write received late":               {true, start, 2900 * time.Millisecond, 3 * interval, ""},
		"all received late":                 {true, start, time.Hour, time.Hour, ""},
		"not draining":                      {false, start, 0, 0, ""},
		"time of the write not known":       {true, time.Time{}, 0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMirror(fakeFormats{}, interval)
			m.setWriteTimes(c.writtenAfter, start.Add(c.received))
			m.Apply(newItem(t, "workers/w", 1, &hfwork.Worker{Id: "w", Draining: c.draining}))
			m.setWriteTimes(start.Add(c.received), start.Add(c.deleted))
			require.Equal(t, c.want, m.Apply(deletedItem("workers/w", 2)).leftWorker)
		})
	}
}

func TestResetDropsMissingRecords(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Second)
	m.Apply(newItem(t, jobPrefix+"a", 1, &hfwork.Job{Id: "a"}))
	m.Apply(newItem(t, jobPrefix+"b", 2, &hfwork.Job{Id: "b"}))
	m.Apply(newItem(t, leadKey, 3, &hfwork.Lead{Instance: "one"}))
	m.Apply(newItem(t, "workers/w", 4, &hfwork.Worker{Id: "w"}))
	m.Reset(recordPrefix, []hfstore.Item{newItem(t, jobPrefix+"b", 2, &hfwork.Job{Id: "b"})}, 9)
	require.Len(t, m.jobs, 1)
	require.Nil(t, m.lead)
	require.Equal(t, int64(9), m.appliedRevision)
	require.Len(t, m.workers, 1, "only the part below the prefix is replaced")
}

func TestPolicyFindsLongestPrefixAndAccount(t *testing.T) {
	p := newPolicyIndex(&hfwork.Policy{
		Queues: []*hfwork.Queue{
			{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/"},
		},
		Accounts: []*hfwork.Account{{Name: "plants", Keys: []string{"k1", "k2"}}},
	})
	for target, want := range map[string]string{"h/a/x": "short", "h/a/b/x": "long", "h:80/a/b/x": "long", "H/a/x": "short", "i/a/b/x": "other", "h/c": "", "j/a/x": ""} {
		host, path, _ := splitTarget(target)
		q, _ := p.matchQueue(host, path)
		require.Equal(t, want, q.GetName(), target)
	}
	require.Equal(t, "plants", p.accountsByKey["k2"])
}

// splitTarget splits a target such as "h:80/a" into host and path.
func splitTarget(target string) (host, path string, ok bool) {
	for i := range target {
		if target[i] == '/' {
			return target[:i], target[i:], true
		}
	}
	return target, "", false
}

func TestHealthLetsAProbeThrough(t *testing.T) {
	var changes []bool
	h := NewStoreHealth(func(down bool, _ time.Duration) { changes = append(changes, down) })
	now := time.Unix(1000, 0)
	for range maxFailures {
		require.True(t, h.Allow(now))
		h.Record(hfstore.ErrUnavailable, now)
	}
	require.False(t, h.Allow(now), "calls are refused at once while the store is down")
	now = now.Add(probeInterval)
	require.True(t, h.Allow(now))
	require.False(t, h.Allow(now), "only one probe is let through")
	h.Record(hfstore.ErrConflict, now)
	require.True(t, h.Allow(now), "a conflict is an answer of the store")
	require.Equal(t, []bool{true, false}, changes)
}

// Callers give up after a few tries. With short waits, all of these would fall into one outage.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	h := NewStoreHealth(func(bool, time.Duration) {})
	now := time.Unix(1000, 0)
	h.Record(nil, now)
	require.Equal(t, minRetryAfter, h.RetryAfter(now.Add(time.Hour)), "the store is not down")
	for range maxFailures {
		h.Record(hfstore.ErrRefused, now)
	}
	require.Equal(t, minRetryAfter, h.RetryAfter(now.Add(100*time.Millisecond)))
	require.Equal(t, 2*time.Second, h.RetryAfter(now.Add(2*time.Second)))
	require.Equal(t, maxRetryAfter, h.RetryAfter(now.Add(time.Minute)))
}

// The age of a listed entry is not known. If the entry expires soon after, it must not be taken
// for one that its worker removed.
func TestListDoesNotCountAsHeartbeat(t *testing.T) {
	m, now := NewMirror(fakeFormats{}, time.Hour), time.Unix(1000, 0)
	m.Reset("workers/", []hfstore.Item{newItem(t, "workers/w", 1, &hfwork.Worker{Id: "w", Draining: true})}, 1)
	m.setWriteTimes(now, now)
	require.Empty(t, m.Apply(deletedItem("workers/w", 2)).leftWorker)
	m.Reset("workers/", []hfstore.Item{newItem(t, "workers/w", 3, &hfwork.Worker{Id: "w", Draining: true})}, 3)
	m.setWriteTimes(now, now)
	m.Apply(newItem(t, "workers/w", 4, &hfwork.Worker{Id: "w", Draining: true}))
	require.Equal(t, "w", m.Apply(deletedItem("workers/w", 5)).leftWorker, "the worker wrote its entry after the list")
}

// Guards against running a job again that was purged too early: a repeated submission creates
// its key anew. The clock of the leader that ended the job, or of the one that purges it, may have
// jumped, so that only the time since the mirror has known of the end counts.
func TestJobIsKeptForRetentionAfterEndIsKnown(t *testing.T) {
	m, now := NewMirror(fakeFormats{}, time.Second), time.Unix(1000, 0)
	ended := &hfwork.Progress{State: hfwork.StateCompleted, Ended: 1}
	m.setWriteTimes(time.Time{}, now)
	m.Apply(newItem(t, jobPrefix+"a", 1, &hfwork.Job{Id: "a"}))
	m.Apply(newItem(t, progressPrefix+"a", 2, ended))
	require.Empty(t, m.endedJobs(now))
	m.setWriteTimes(time.Time{}, now.Add(time.Minute))
	m.Reset(recordPrefix, []hfstore.Item{newItem(t, progressPrefix+"a", 2, ended), newItem(t, jobPrefix+"a", 1, &hfwork.Job{Id: "a"})}, 9)
	require.Equal(t, []string{"a"}, m.endedJobs(now.Add(time.Second)), "a list does not postpone it")
}
