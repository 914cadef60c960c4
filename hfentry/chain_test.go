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

// memory is a store that can carry batches out late.
type memory struct {
	mu       sync.Mutex
	items    map[string]hfstore.Item
	revision int64
	lose     int              // batches that get no answer and are kept in late
	after    bool             // lost batches take effect at once, only their answer is lost
	late     []*hfstore.Batch // not carried out yet
	refuse   bool
}

func newMemory() *memory { return &memory{items: map[string]hfstore.Item{}} }

func (m *memory) Get(_ context.Context, key string) (hfstore.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i, ok := m.items[key]; ok {
		return i, nil
	}
	return hfstore.Item{}, hfstore.ErrNotFound
}

func (m *memory) List(context.Context, string) ([]hfstore.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []hfstore.Item
	for _, i := range m.items {
		list = append(list, i)
	}
	return list, m.revision, nil
}

func (m *memory) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	return m.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Put(key, value, lease))
}

func (m *memory) Delete(ctx context.Context, key string, version int64) error {
	_, err := m.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Remove(key))
	return err
}

func (m *memory) Commit(_ context.Context, b *hfstore.Batch) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse {
		return 0, hfstore.ErrRefused
	}
	if m.lose > 0 {
		m.lose--
		if m.after {
			_, _ = m.apply(b)
		} else {
			m.late = append(m.late, b)
		}
		return 0, hfstore.ErrUnavailable
	}
	return m.apply(b)
}

func (m *memory) apply(b *hfstore.Batch) (int64, error) {
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

// catchUp carries the late batches out.
func (m *memory) catchUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.late {
		_, _ = m.apply(b)
	}
	m.late = nil
}

func (m *memory) Watch(ctx context.Context, _ string, after int64) ([]hfstore.Item, int64, error) {
	<-ctx.Done()
	return nil, after, hfstore.ErrUnavailable
}
func (m *memory) Grant(context.Context, time.Duration) (string, error) { return "1", nil }
func (m *memory) Renew(context.Context, string) error                  { return nil }
func (m *memory) Revoke(context.Context, string) error                 { return nil }

func open(t *testing.T, m *memory) *chain {
	t.Helper()
	n := &Node{name: "one", store: m, formats: plain{}, mirror: hfloop.NewCell(NewMirror(nil, time.Second))}
	epoch, err := m.Put(t.Context(), leadKey, []byte("one"), m.items[leadKey].Version(), "")
	require.NoError(t, err)
	c, err := n.openChain(t.Context(), epoch)
	require.NoError(t, err)
	return c
}

// cmd returns a StoreCmd that a scheduler gives for a job in a state.
func cmd(state string) hfplan.StoreCmd {
	return hfplan.Store(map[string]*hfwork.Progress{"a": {State: state}}, nil, nil)
}

func stored(t *testing.T, m *memory) string {
	t.Helper()
	i, err := m.Get(t.Context(), statePrefix+"a")
	require.NoError(t, err)
	p, err := hfwire.Decode(i.Value(), &hfwork.Progress{})
	require.NoError(t, err)
	return p.GetState()
}

// save repeats a write as the leader does.
func save(t *testing.T, c *chain, state string) {
	t.Helper()
	for range 5 {
		if c.Save(t.Context(), cmd(state)) == nil {
			return
		}
	}
	t.Fatal("not saved")
}

// Answers of the store are lost and the writes are carried out seconds later. Found by a
// hunt on prisiau-gorllewin (mix, seed 613522050332): a record of running tasks replaced
// the one in which they were done.
func TestLateWriteDoesNotReplaceNewerRecord(t *testing.T) {
	m := newMemory()
	c := open(t, m)
	m.lose = 1
	save(t, c, hfwork.StateRunning)
	save(t, c, hfwork.StateCompleted)
	m.catchUp()
	require.Equal(t, hfwork.StateCompleted, stored(t, m))
}

func TestLateWriteBeforeItsRepetitionIsTakenOver(t *testing.T) {
	m := newMemory()
	c := open(t, m)
	m.lose = 1
	require.ErrorIs(t, c.Save(t.Context(), cmd(hfwork.StateRunning)), hfstore.ErrUnavailable)
	m.catchUp()
	save(t, c, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, stored(t, m))
}

func TestLostAnswerOfAWriteIsReadBack(t *testing.T) {
	m := newMemory()
	c := open(t, m)
	m.lose, m.after = 1, true
	require.NoError(t, c.Save(t.Context(), cmd(hfwork.StateRunning)))
}

func TestEarlierLeaderWritesNothing(t *testing.T) {
	m := newMemory()
	first := open(t, m)
	second := open(t, m)
	require.Greater(t, second.Term(), int64(0))
	require.ErrorIs(t, first.Save(t.Context(), cmd(hfwork.StateRunning)), hfstore.ErrConflict)
	save(t, second, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, stored(t, m))
}

// Many things change at once: no batch is larger than the store takes, and all is stored.
func TestLargeChangeIsStoredInBatchesThatFit(t *testing.T) {
	m := newMemory()
	c := open(t, m)
	records := map[string]*hfwork.Progress{}
	for i := range 70 {
		records[fmt.Sprint("j", i)] = &hfwork.Progress{State: hfwork.StateRunning}
	}
	var waves []*hfwork.Wave
	for i := range 20 {
		waves = append(waves, &hfwork.Wave{Number: int64(i)})
	}
	require.NoError(t, c.Save(t.Context(), hfplan.Store(records, []*hfwork.Worker{{Id: "w"}}, waves)))
	for i := range 70 {
		require.Contains(t, m.items, statePrefix+fmt.Sprint("j", i))
	}
	for i := range 20 {
		require.Contains(t, m.items, fmt.Sprint(wavePrefix, i))
	}
	require.Contains(t, m.items, rosterKey)
}
