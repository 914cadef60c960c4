package hfentry

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	lostAnswers int              // number of batches still to come that get no answer
	applyLost   bool             // unanswered batches take effect at once, otherwise they are delayed
	delayed     []*hfstore.Batch // unanswered batches that have not taken effect
	refuse      bool
	rejectAll   bool // no write is valid
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]hfstore.Item{}} }

func (s *fakeStore) Get(_ context.Context, key string) (hfstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return hfstore.Item{}, hfstore.ErrNotFound
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]hfstore.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []hfstore.Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, i)
		}
	}
	return list, s.revision, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	return s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Put(key, value, lease))
}

func (s *fakeStore) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.Commit(ctx, (&hfstore.Batch{}).Require(key, version).Remove(key))
	return err
}

func (s *fakeStore) Commit(_ context.Context, b *hfstore.Batch) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return 0, hfstore.ErrRefused
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		if s.applyLost {
			_, _ = s.apply(b)
		} else {
			s.delayed = append(s.delayed, b)
		}
		return 0, hfstore.ErrUnavailable
	}
	return s.apply(b)
}

func (s *fakeStore) apply(b *hfstore.Batch) (int64, error) {
	if b.Size() > hfstore.MaxBatch {
		return 0, hfstore.ErrRefused
	}
	for _, w := range b.Writes() {
		if len(w.Key()) > hfstore.MaxKeyBytes || s.rejectAll {
			return 0, hfstore.ErrInvalid
		}
	}
	for _, c := range b.Conditions() {
		if s.items[c.Key()].Version() != c.Version() {
			return 0, hfstore.ErrConflict
		}
	}
	s.revision++
	for _, w := range b.Writes() {
		s.items[w.Key()] = hfstore.NewItem(w.Key(), w.Value(), s.revision, false)
	}
	for _, k := range b.Removals() {
		delete(s.items, k)
	}
	return s.revision, nil
}

// applyDelayed applies the delayed batches.
func (s *fakeStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.delayed {
		_, _ = s.apply(b)
	}
	s.delayed = nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64) ([]hfstore.Item, int64, error) {
	<-ctx.Done()
	return nil, after, hfstore.ErrUnavailable
}
func (s *fakeStore) Grant(context.Context, time.Duration) (string, error) { return "1", nil }
func (s *fakeStore) Renew(context.Context, string) error                  { return nil }
func (s *fakeStore) Revoke(context.Context, string) error                 { return nil }

func openTestWriter(t *testing.T, s *fakeStore) *fencedWriter {
	t.Helper()
	n := &Node{takers: hfloop.NewGuarded(newTakers()), name: "one", store: s, formats: fakeFormats{}, mirror: hfloop.NewGuarded(NewMirror(nil, time.Second))}
	epoch, err := s.Put(t.Context(), leadKey, []byte("one"), s.items[leadKey].Version(), "")
	require.NoError(t, err)
	w, err := n.openWriter(t.Context(), epoch)
	require.NoError(t, err)
	w.onReject = func(string, error) {}
	return w
}

// newStoreCmd returns a command to store a state of job a.
func newStoreCmd(state string) hfplan.StoreCmd {
	return hfplan.Store(map[string]*hfwork.Progress{"a": {State: state}}, nil, nil)
}

func storedState(t *testing.T, s *fakeStore) string {
	t.Helper()
	i, err := s.Get(t.Context(), progressPrefix+"a")
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
	s := newFakeStore()
	w := openTestWriter(t, s)
	s.lostAnswers = 1
	saveWithRetry(t, w, hfwork.StateRunning)
	saveWithRetry(t, w, hfwork.StateCompleted)
	s.applyDelayed()
	require.Equal(t, hfwork.StateCompleted, storedState(t, s))
}

func TestLateWriteBeforeRetryIsAccepted(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	s.lostAnswers = 1
	require.ErrorIs(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrUnavailable)
	s.applyDelayed()
	saveWithRetry(t, w, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, storedState(t, s))
}

func TestUnansweredWriteIsReadBack(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	s.lostAnswers, s.applyLost = 1, true
	require.NoError(t, w.Save(t.Context(), newStoreCmd(hfwork.StateRunning)))
}

func TestEarlierLeaderCannotWrite(t *testing.T) {
	s := newFakeStore()
	first := openTestWriter(t, s)
	second := openTestWriter(t, s)
	require.Greater(t, second.Term(), int64(0))
	require.ErrorIs(t, first.Save(t.Context(), newStoreCmd(hfwork.StateRunning)), hfstore.ErrConflict)
	saveWithRetry(t, second, hfwork.StateCompleted)
	require.Equal(t, hfwork.StateCompleted, storedState(t, s))
}

// A change with more entries than the store accepts in one batch is split, and every entry is
// stored.
func TestLargeChangeIsSplitIntoBatches(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
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
		require.Contains(t, s.items, progressPrefix+fmt.Sprint("j", i))
	}
	for i := range 20 {
		require.Contains(t, s.items, fmt.Sprint(wavePrefix, i))
	}
	require.Contains(t, s.items, rosterKey)
}

// partsOf saves a command once, and returns the jobs that were told to be stored while others were not yet.
func partsOf(t *testing.T, w *fencedWriter, c hfplan.StoreCmd) (parts [][]string, err error) {
	t.Helper()
	w.onPart = func(_ hfplan.StoreCmd, jobs []string) { parts = append(parts, jobs) }
	err = w.Save(t.Context(), c)
	return parts, err
}

// newWideCmd returns a command with jobs, the first of which has as many blocks of steps as given.
func newWideCmd(blocks int, jobs ...string) hfplan.StoreCmd {
	records := map[string]*hfwork.Progress{}
	for _, id := range jobs {
		records[id] = &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{wideStep(1, 0)}}
	}
	for i := range blocks {
		step := wideStep(1, 0)
		step.Step = uint32(i)
		if i > 0 {
			records[jobs[0]].Steps = append(records[jobs[0]].Steps, step)
		}
	}
	return hfplan.Store(records, nil, nil)
}

// Nothing of a command started before all of it was stored, in several batches of which each may need several
// tries.
func TestJobsAreToldAsSoonAsTheirRecordsAreStored(t *testing.T) {
	size := hfstore.MaxBatch - writerEntries
	var many []string
	for i := range size {
		many = append(many, fmt.Sprintf("j%03d", i))
	}
	t.Run("several batches", func(t *testing.T) {
		parts, err := partsOf(t, newSplitWriter(t, newFakeStore()), newWideCmd(1, many...))
		require.NoError(t, err)
		require.Len(t, parts, 1, "the last batch ends the command")
		require.Contains(t, parts[0], many[0])
		require.NotContains(t, parts[0], many[size-1])
	})
	t.Run("one batch", func(t *testing.T) {
		parts, err := partsOf(t, newSplitWriter(t, newFakeStore()), newWideCmd(1, "a"))
		require.NoError(t, err)
		require.Empty(t, parts)
	})
	t.Run("a job spans two batches", func(t *testing.T) {
		s := newFakeStore()
		w := newSplitWriter(t, s)
		batches, told := s.revision, false
		w.onPart = func(_ hfplan.StoreCmd, jobs []string) {
			if slices.Contains(jobs, many[0]) {
				told = true
				require.Equal(t, batches+2, s.revision, "its last change is in the second batch")
				require.Contains(t, s.items, progressPrefix+many[0])
			}
		}
		require.NoError(t, w.Save(t.Context(), newWideCmd(size+2, many...)))
		require.True(t, told)
	})
	t.Run("another leadership writes after the first batch", func(t *testing.T) {
		s := newFakeStore()
		w := newSplitWriter(t, s)
		told := 0
		w.onPart = func(hfplan.StoreCmd, []string) {
			told++
			openTestWriter(t, s)
		}
		require.ErrorIs(t, w.Save(t.Context(), newWideCmd(1, many...)), hfstore.ErrConflict)
		require.Equal(t, 1, told)
	})
	t.Run("the second batch gets no answer", func(t *testing.T) {
		s := newFakeStore()
		w := newSplitWriter(t, s)
		var told []string
		w.onPart = func(_ hfplan.StoreCmd, jobs []string) {
			if len(told) == 0 {
				s.lostAnswers = 1
			}
			told = append(told, jobs...)
		}
		c := newWideCmd(1, many...)
		require.ErrorIs(t, w.Save(t.Context(), c), hfstore.ErrUnavailable)
		require.NoError(t, w.Save(t.Context(), c))
		require.Equal(t, len(told), len(slices.Compact(slices.Sorted(slices.Values(told)))), "each is told once")
	})
	t.Run("the store does not accept a record", func(t *testing.T) {
		w := newSplitWriter(t, newFakeStore())
		c := newWideCmd(1, many...)
		_, err := partsOf(t, w, c)
		require.NoError(t, err)
		c = newWideCmd(2, many...)
		groups, err := w.layout.changes(c, true)
		require.NoError(t, err)
		first := groups[0][0]
		w.rejected[first.key] = first.value
		remaining := changesByJob(groups)
		require.NotContains(t, w.wholeJobs(slices.Concat(groups...), remaining), many[0])
	})
}
