package hfentry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfseed"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

func TestMain(m *testing.M) { hfseed.Main(m) }

// faultyStore is a store that refuses batches, loses answers, applies batches late, and gets
// some of them twice, as when they are relayed.
type faultyStore struct {
	*fakeStore
	draw             *rapid.T
	calm             bool // no faults but late batches
	ignoreConditions bool // on the key of the term; a wrong variant
}

func (s *faultyStore) commitNow(b *hfstore.Batch) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoreConditions {
		unconditional := &hfstore.Batch{}
		for _, w := range b.Writes() {
			unconditional.Put(w.Key(), w.Value(), w.Lease())
		}
		return s.apply(unconditional)
	}
	return s.apply(b)
}

// applySomeDelayed applies some of the delayed batches, in any order.
func (s *faultyStore) applySomeDelayed() {
	for len(s.delayed) > 0 && rapid.IntRange(0, 2).Draw(s.draw, "apply a late batch") == 0 {
		k := rapid.IntRange(0, len(s.delayed)-1).Draw(s.draw, "late batch")
		b := s.delayed[k]
		s.delayed = append(s.delayed[:k:k], s.delayed[k+1:]...)
		_, _ = s.commitNow(b)
	}
}

func (s *faultyStore) Commit(_ context.Context, b *hfstore.Batch) (int64, error) {
	s.applySomeDelayed()
	if s.calm {
		return s.commitNow(b)
	}
	switch rapid.IntRange(0, 6).Draw(s.draw, "fault") {
	case 0:
		return 0, hfstore.ErrRefused
	case 1:
		_, _ = s.commitNow(b)
		return 0, hfstore.ErrUnavailable
	case 2:
		s.delayed = append(s.delayed, b)
		return 0, hfstore.ErrUnavailable
	case 3:
		s.delayed = append(s.delayed, b)
		return s.commitNow(b)
	}
	return s.commitNow(b)
}

func (s *faultyStore) Get(ctx context.Context, key string) (hfstore.Item, error) {
	s.applySomeDelayed()
	if !s.calm && rapid.IntRange(0, 3).Draw(s.draw, "lose the answer to a read") == 0 {
		return hfstore.Item{}, hfstore.ErrUnavailable
	}
	return s.fakeStore.Get(ctx, key)
}

// errRecords reports stored records that are not those that were saved last.
var errRecords = errors.New("other records than were saved last")

// manyRecords is a number of records that needs several batches.
const manyRecords = 40

// newVersionCmd returns a command to store a version of many records.
func newVersionCmd(version int64) hfplan.StoreCmd {
	records := map[string]*hfwork.Progress{}
	for i := range manyRecords {
		records[fmt.Sprint("j", i)] = &hfwork.Progress{Ended: version}
	}
	return hfplan.Store(records, nil, nil)
}

// versions returns the stored version of each record.
func (s *faultyStore) versions() ([manyRecords]int64, error) {
	var list [manyRecords]int64
	for i := range list {
		p, err := hfwire.Decode(s.items[fmt.Sprint(progressPrefix, "j", i)].Value(), &hfwork.Progress{})
		if err != nil {
			return list, fmt.Errorf("decode record: %w", err)
		}
		list[i] = p.GetEnded()
	}
	return list, nil
}

// openWriterOf makes an instance the leader and returns its writer.
func (s *faultyStore) openWriterOf(ctx context.Context, name string) (*fencedWriter, error) {
	s.calm = true
	defer func() { s.calm = false }()
	epoch, err := s.Put(ctx, leadKey, []byte(name), s.items[leadKey].Version(), "")
	if err != nil {
		return nil, err
	}
	n := &Node{takers: hfloop.NewGuarded(newTakers()), name: name, store: s, formats: fakeFormats{}, mirror: hfloop.NewGuarded(NewMirror(nil, time.Second))}
	return n.openWriter(ctx, epoch)
}

// runWriters lets successive leaders store records. It returns an error if a record changes
// after a leader took it to be stored, other than by a later save of the current leader.
func runWriters(t *rapid.T, ignoreConditions bool) error {
	ctx, s := context.Background(), &faultyStore{fakeStore: newFakeStore(), draw: t, ignoreConditions: ignoreConditions}
	var earlier, current *fencedWriter
	for version := range int64(rapid.IntRange(2, 12).Draw(t, "saves")) {
		if current == nil || rapid.IntRange(0, 3).Draw(t, "new leader") == 0 {
			w, err := s.openWriterOf(ctx, fmt.Sprint("leader", version))
			if err != nil {
				return fmt.Errorf("new leader: %w", err)
			}
			earlier, current = current, w
		} else if current.Save(ctx, newVersionCmd(version+1)) != nil {
			continue // the leader would repeat it; the effect is unknown until then
		} else if list, err := s.versions(); err != nil || slices.Min(list[:]) != version+1 || slices.Max(list[:]) != version+1 {
			return fmt.Errorf("saved version %d, stored %v: %w", version+1, list, errRecords)
		}
		want, err := s.versions()
		if err != nil {
			return err
		}
		s.applySomeDelayed()
		if earlier != nil && earlier.Save(ctx, newVersionCmd(-version)) == nil {
			return fmt.Errorf("an earlier leader saved version %d: %w", -version, errRecords)
		}
		s.applySomeDelayed()
		if got, err := s.versions(); err != nil || got != want {
			return fmt.Errorf("stored %v, want %v: %w", got, want, errRecords)
		}
	}
	return nil
}

// Guards against records that return to an earlier version, in which a task has no place yet or
// is not done, when batches of this or an earlier leader take effect late or twice.
func TestStoredRecordsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runWriters(t, false)) })
}

// The property is proved only if writes without the condition violate it.
func TestRecordsWithoutFenceGoBack(t *testing.T) {
	require.True(t, hfseed.FindsFailure(200, func(t *rapid.T) error { return runWriters(t, true) }))
}
