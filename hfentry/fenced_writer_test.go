package hfentry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// fakeStore is a store in memory that can lose answers and apply batches late.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]hfstore.Item
	revision    int64
	lostAnswers int              // number of next batches that get no answer
	applyLost   bool             // unanswered batches take effect at once, otherwise they are delayed
	delayed     []*hfstore.Batch // unanswered batches that have not taken effect
	refuse      bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]hfstore.Item{}} }

func (m *fakeStore) Get(_ context.Context, key string) (hfstore.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i, ok := m.items[key]; ok {
		return i, nil
	}
	return hfstore.Item{}, hfstore.ErrNotFound
}

func (m *fakeStore) List(context.Context, string) ([]hfstore.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []hfstore.Item
	for _, i := range m.items {
		list = append(list, i)
	}
	return list, m.revision, nil
}

func (m *fakeStore) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	return m.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Put(key, value, lease))
}

func (m *fakeStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := m.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Remove(key))
	return err
}

func (m *fakeStore) Commit(_ context.Context, b *hfstore.Batch) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse {
		return 0, hfstore.ErrRefused
	}
	if m.lostAnswers > 0 {
		m.lostAnswers--
		if m.applyLost {
			_, _ = m.apply(b)
		} else {
			m.delayed = append(m.delayed, b)
		}
		return 0, hfstore.ErrUnavailable
	}
	return m.apply(b)
}

func (m *fakeStore) apply(b *hfstore.Batch) (int64, error) {
	if b.Size() > hfstore.MaxBatch {
		return 0, hfstore.ErrRefused
	}
	for _, c := range b.Conditions() {
		if m.items[c.Key()].Version() != c.Version() {
			return 0, hfstore.ErrConflict
		}
	}
	m.revision++
	for _, w := range b.Writes() {
		m.items[w.Key()] = hfstore.NewItem(w.Key(), w.Value(), m.revision, false)
	}
	for _, k := range b.Removals() {
		delete(m.items, k)
	}
	return m.revision, nil
}

// applyDelayed applies the delayed batches.
func (m *fakeStore) applyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.delayed {
		_, _ = m.apply(b)
	}
	m.delayed = nil
}

func (m *fakeStore) Watch(ctx context.Context, _ string, after int64) ([]hfstore.Item, int64, error) {
	<-ctx.Done()
	return nil, after, hfstore.ErrUnavailable
}
func (m *fakeStore) Grant(context.Context, time.Duration) (string, error) { return "1", nil }
func (m *fakeStore) Renew(context.Context, string) error                  { return nil }
func (m *fakeStore) Revoke(context.Context, string) error                 { return nil }

func openTestWriter(t *testing.T, m *fakeStore) *fencedWriter {
	t.Helper()
	n := &Node{name: "one", store: m, formats: fakeFormats{}, mirror: hfloop.NewGuarded(NewMirror(nil, time.Second))}
	epoch, err := m.Put(t.Context(), leadKey, []byte("one"), m.items[leadKey].Version(), "")
	require.NoError(t, err)
	w, err := n.openWriter(t.Context(), epoch)
	require.NoError(t, err)
	return w
}

// newStoreCmd returns a command to store a state of job a.
func newStoreCmd(state string) hfplan.StoreCmd {
	return hfplan.Store(map[string]*hfwork.Progress{"a": {State: state}}, nil, nil)
}

func storedState(t *testing.T, m *fakeStore) string {
	t.Helper()
	i, err := m.Get(t.Context(), progressPrefix+"a")
	require.NoError(t, err)
	p, err := hfwire.Decode(i.Value(), &hfwork.Progress{})
	require.NoError(t, err)
	return p.GetState()
}

// saveWithRetry repeats a failed write as the leader does.
func saveWithRetry(t *testing.T, w *fencedWriter, state string) {
	t.Helper()
	for range 5 {
		if w.Save(t.Context(), newStoreCmd(state)) == nil {
			return
		}
	}
	t.Fatal("not saved")
}

// The store may carry out an unanswered write seconds later. A record with running tasks once
// replaced the newer one in which they had completed (fault mix, seed 613522050332).
func TestLateWriteDoesNotReplaceNewerRecord(t *testing.T) {
	m := newFakeStore()
	w := openTestWriter(t, m)
	m.lostAnswers = 1
	saveWithRetry(t, w, hfwork.StateRunning)
	saveWithRetry(t, w, hfwork.StateCompleted)
	m.applyDelayed()
	require.Equal(t, hfwork.StateCompleted, storedState(t, m))
}

func TestLateWriteBeforeRetryIsAccepted(t *testing.T) {
	m := newFakeStore()
	w := openTestWriter(t, m)
	m.lostAnswers = 1
	require.ErrorIs(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrUnavailable)
	m.applyDelayed()
	saveWithRetry(t, w, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, storedState(t, m))
}

func TestUnansweredWriteIsReadBack(t *testing.T) {
	m := newFakeStore()
	w := openTestWriter(t, m)
	m.lostAnswers, m.applyLost = 1, true
	require.NoError(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)))
}

func TestEarlierLeaderCannotWrite(t *testing.T) {
	m := newFakeStore()
	first := openTestWriter(t, m)
	second := openTestWriter(t, m)
	require.Greater(t, second.Term(), int64(0))
	require.ErrorIs(t, first.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrConflict)
	saveWithRetry(t, second, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, storedState(t, m))
}

// A change with more entries than the store accepts in one batch is split, and every entry is
// stored.
func TestLargeChangeIsSplitIntoBatches(t *testing.T) {
	m := newFakeStore()
	w := openTestWriter(t, m)
	records := map[string]*hfwork.Progress{}
	for i := range 70 {
		records[fmt.Sprint("j", i)] = &hfwork.Progress{State: hfwork.StateRunning}
	}
	var waves []*hfwork.Wave
	for i := range 20 {
		waves = append(waves, &hfwork.Wave{Number: int64(i)})
	}
	require.NoError(t, w.Save(t.Context(), hfplan.Store(records, []*hfwork.Worker{{Id: "w"}}, waves)))
	for i := range 70 {
		require.Contains(t, m.items, progressPrefix+fmt.Sprint("j", i))
	}
	for i := range 20 {
		require.Contains(t, m.items, fmt.Sprint(wavePrefix, i))
	}
	require.Contains(t, m.items, rosterKey)
}
