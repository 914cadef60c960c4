package hfentry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfseed"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// drawProgress draws the progress of a job of up to three steps.
func drawProgress(t *rapid.T) *hfwork.Progress {
	p := &hfwork.Progress{State: rapid.SampledFrom([]string{hfwork.StateQueued, hfwork.StateRunning}).Draw(t, "state")}
	for step := range uint32(rapid.IntRange(0, 3).Draw(t, "steps")) {
		count := rapid.IntRange(1, 150).Draw(t, "tasks")
		sp := &hfwork.StepProgress{Step: step, Occurrence: step % 2, Places: map[uint32]string{}, Saved: map[uint32]string{}, Failures: map[uint32]uint32{}, Counted: map[uint32]int64{}, Crashes: map[uint32]*hfwork.Crashes{}}
		for range rapid.IntRange(0, 12).Draw(t, "entries") {
			i := uint32(rapid.IntRange(0, count-1).Draw(t, "task"))
			switch rapid.IntRange(0, 4).Draw(t, "field") {
			case 0:
				for len(sp.Done) <= int(i)/8 {
					sp.Done = append(sp.Done, 0)
				}
				sp.Done[i/8] |= 1 << (i % 8)
			case 1:
				sp.Places[i] = fmt.Sprint("w", i)
			case 2:
				sp.Saved[i] = fmt.Sprint("c", i)
			case 3:
				sp.Failures[i], sp.Counted[i] = 1, int64(i)
			default:
				sp.Crashes[i] = &hfwork.Crashes{Total: 1 + i}
			}
		}
		p.Steps = append(p.Steps, sp)
	}
	return p
}

// normal returns the progress in a form in which equal progress has equal fields.
func normal(p *hfwork.Progress) *hfwork.Progress {
	c := hfwire.Copy(p)
	c.Split = false
	c.Steps = slices.DeleteFunc(c.Steps, func(s *hfwork.StepProgress) bool {
		for len(s.Done) > 0 && s.Done[len(s.Done)-1] == 0 {
			s.Done = s.Done[:len(s.Done)-1]
		}
		return proto.Size(&hfwork.StepProgress{Done: s.Done, Places: s.Places, Saved: s.Saved, Failures: s.Failures, Counted: s.Counted, Crashes: s.Crashes}) == 0
	})
	slices.SortFunc(c.Steps, func(a, b *hfwork.StepProgress) int { return int(a.GetStep()) - int(b.GetStep()) })
	return c
}

// storedProgress returns the progress of a job as a new leader reads it.
func storedProgress(s *fakeStore, id string) (*hfwork.Progress, error) {
	items, _, err := s.List(context.Background(), detailPrefix)
	if err != nil {
		return nil, err
	}
	d, err := parseDetails(items)
	if err != nil {
		return nil, err
	}
	record, err := hfwire.Decode(s.items[progressPrefix+id].Value(), &hfwork.Progress{})
	if err != nil {
		return nil, err
	}
	p, readable := d.progress(id, record)
	if !readable {
		return nil, errIncompleteDetails
	}
	return p, nil
}

// Guards against progress that is lost or mixed up when the leader changes: whatever is saved last
// is what the next one reads, also when batches take effect late or twice, and when the instances'
// formats change.
func TestSplitRecordsAreReadAsSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &faultyStore{fakeStore: newFakeStore(), draw: t}
		w, err := s.openWriterOf(t.Context(), "leader")
		require.NoError(t, err)
		split := true
		w.splits = func() bool { return split }
		saved := map[string]*hfwork.Progress{}
		for range rapid.IntRange(1, 6).Draw(t, "saves") {
			split = rapid.IntRange(0, 4).Draw(t, "format") > 0
			records := map[string]*hfwork.Progress{}
			for _, id := range []string{"a", "b", "c"} {
				if rapid.Bool().Draw(t, "changed") {
					records[id] = drawProgress(t)
				}
			}
			tries := 0
			for c := hfplan.Store(records, nil, nil); w.Save(t.Context(), c) != nil; tries++ {
				require.Less(t, tries, 200)
			}
			maps.Copy(saved, records)
			for id, p := range saved {
				got, err := storedProgress(s.fakeStore, id)
				require.NoError(t, err)
				require.True(t, proto.Equal(normal(p), normal(got)), "saved %v, read %v", normal(p), normal(got))
			}
		}
	})
}

// errTakeover reports that a new leader reads something else than the earlier one has saved.
var errTakeover = errors.New("a new leader reads other records")

// drawWideProgress draws the progress of a job whose blocks need several batches.
func drawWideProgress(t *rapid.T, version int64) *hfwork.Progress {
	p := &hfwork.Progress{State: hfwork.StateRunning}
	for step := range uint32(rapid.IntRange(1, 2).Draw(t, "steps")) {
		sp := &hfwork.StepProgress{Step: step, Places: map[uint32]string{}}
		for block := range uint32(40) {
			if rapid.IntRange(0, 3).Draw(t, "block") > 0 {
				sp.Places[block*blockTasks+uint32(rapid.IntRange(0, 1).Draw(t, "task"))] = fmt.Sprint("w", version)
			}
		}
		p.Steps = append(p.Steps, sp)
	}
	return p
}

// blocksOf returns the encoded blocks of progress by the key of the block.
func blocksOf(p *hfwork.Progress) (map[string]string, error) {
	blocks := map[string]string{}
	for _, step := range p.GetSteps() {
		for number, block := range splitStep(step) {
			value, err := hfwire.Encode(block)
			if err != nil {
				return nil, fmt.Errorf("block: %w", err)
			}
			blocks[fmt.Sprint(step.GetStep(), ".", number)] = string(value)
		}
	}
	return blocks, nil
}

// checkTakenOver returns an error unless each block that a new leader reads is as saved last, or as in
// the save that the earlier leader has not finished. unfinished is nil if there is none.
func checkTakenOver(read, saved, unfinished *hfwork.Progress) error {
	got, err := blocksOf(read)
	if err != nil {
		return err
	}
	want, err := blocksOf(saved)
	if err != nil {
		return err
	}
	other, err := blocksOf(unfinished)
	if err != nil {
		return err
	}
	for _, keys := range []map[string]string{got, want, other} {
		for key := range keys {
			if got[key] != want[key] && (unfinished == nil || got[key] != other[key]) {
				return fmt.Errorf("block %s: read %q, saved %q: %w", key, got[key], want[key], errTakeover)
			}
		}
	}
	return nil
}

// runTakeovers lets successive leaders save the wide progress of a job, some of which do not finish, and
// read what the earlier one has left. Batches take effect late, also those of earlier leaders. In the wrong
// variant a new leader reads the details before its term is stored.
func runTakeovers(t *rapid.T, readFirst bool) error {
	ctx, s := t.Context(), &faultyStore{fakeStore: newFakeStore(), draw: t}
	var earlier []*fencedWriter
	var saved, unfinished *hfwork.Progress
	for version := range int64(rapid.IntRange(2, 5).Draw(t, "leaders")) {
		items, _, err := s.List(ctx, detailPrefix)
		if err != nil {
			return err
		}
		w, err := s.openWriterOf(ctx, fmt.Sprint("leader", version))
		if err != nil {
			return err
		}
		if !readFirst {
			if items, _, err = s.List(ctx, detailPrefix); err != nil {
				return err
			}
		}
		w.splits = func() bool { return true }
		d, err := parseDetails(items)
		if err != nil {
			return err
		}
		var record *hfwork.Progress
		if item, ok := s.items[progressPrefix+"a"]; ok {
			if record, err = hfwire.Decode(item.Value(), &hfwork.Progress{}); err != nil {
				return err
			}
		}
		read, readable := d.progress("a", record)
		if !readable {
			return errIncompleteDetails
		}
		if err := checkTakenOver(read, saved, unfinished); err != nil {
			return err
		}
		jobs := map[string]*hfwork.Progress{}
		if d.hasSteps("a", record) {
			jobs["a"] = read
		}
		w.layout.restore(d, jobs, nil, func(string) bool { return false })
		saved, unfinished = read, nil
		for range rapid.IntRange(1, 3).Draw(t, "saves") {
			p := drawWideProgress(t, version)
			c, done := hfplan.Store(map[string]*hfwork.Progress{"a": p}, nil, nil), false
			for range rapid.IntRange(1, 12).Draw(t, "tries") {
				if done = w.Save(ctx, c) == nil; done {
					break
				}
			}
			for _, e := range earlier {
				if e.Save(ctx, hfplan.Store(map[string]*hfwork.Progress{"a": drawWideProgress(t, -version)}, nil, nil)) == nil {
					return fmt.Errorf("an earlier leader saved: %w", errTakeover)
				}
			}
			if !done {
				unfinished = p
				break // this leader ends
			}
			saved = p
			if got, err := storedProgress(s.fakeStore, "a"); err != nil || checkTakenOver(got, saved, nil) != nil {
				return fmt.Errorf("after a save: %w", errTakeover)
			}
		}
		earlier = append(earlier, w)
	}
	return nil
}

// Guards against a task that starts twice after a takeover because a block of the earlier leader is
// unknown to the new one, or is replaced by a batch of an earlier leader that takes effect late.
func TestNewLeaderReadsAllSavedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runTakeovers(t, false)) })
}

// The property is proved only if a leader that reads the details before its term is stored violates it.
func TestDetailsReadBeforeTheTermAreIncomplete(t *testing.T) {
	require.True(t, hfseed.FindsFailure(200, func(t *rapid.T) error { return runTakeovers(t, true) }))
}

// newSplitWriter returns the writer of a leader whose instances all read split records.
func newSplitWriter(t *testing.T, s *fakeStore) *fencedWriter {
	t.Helper()
	w := openTestWriter(t, s)
	w.splits = func() bool { return true }
	return w
}

// wideStep returns the progress of a step of which the first tasks are done and all others have a place.
func wideStep(tasks, done int) *hfwork.StepProgress {
	sp := &hfwork.StepProgress{Done: make([]byte, (tasks+7)/8), Places: map[uint32]string{}}
	for i := range tasks {
		if i < done {
			sp.Done[i/8] |= 1 << (i % 8)
		} else {
			sp.Places[uint32(i)] = fmt.Sprintf("i-%010x", i)
		}
	}
	return sp
}

// writtenBytes is a store that counts the bytes of the values written, and of those that all
// instances read.
type writtenBytes struct {
	*fakeStore
	all, watched int
}

func (s *writtenBytes) Commit(ctx context.Context, b *hfstore.Batch) (int64, error) {
	for _, w := range b.Writes() {
		s.all += len(w.Key()) + len(w.Value())
		if w.Key()[:len(recordPrefix)] == recordPrefix {
			s.watched += len(w.Key()) + len(w.Value())
		}
	}
	return s.fakeStore.Commit(ctx, b)
}

// Guards against records whose cost grows with the width of the job and the number of instances:
// each end of one of 470 tasks was written with the places of all others, and read by everyone.
func TestEndOfOneTaskCostsItsBlock(t *testing.T) {
	const tasks = 470
	cost := func(split bool) writtenBytes {
		s := &writtenBytes{fakeStore: newFakeStore()}
		w := openTestWriter(t, s.fakeStore)
		w.store, w.splits = s, func() bool { return split }
		for done := range tasks {
			p := &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{wideStep(tasks, done)}}
			require.NoError(t, w.Save(t.Context(), hfplan.Store(map[string]*hfwork.Progress{"a": p}, nil, nil)))
		}
		return *s
	}
	whole, split := cost(false), cost(true)
	require.Less(t, split.all, whole.all/5)
	require.Less(t, split.watched, whole.watched/20)
}

// Guards against a roster that is written whole, and read by all instances, at each of a thousand
// registrations.
func TestRegistrationCostsOneWorker(t *testing.T) {
	s := &writtenBytes{fakeStore: newFakeStore()}
	w := newSplitWriter(t, s.fakeStore)
	w.store = s
	var roster []*hfwork.Worker
	for i := range 300 {
		roster = append(roster, newTakeoverWorker(fmt.Sprint("w", i)))
		require.NoError(t, w.Save(t.Context(), hfplan.Store(nil, roster, nil)))
	}
	require.Less(t, s.all, 300*250)
	require.NoError(t, w.Save(t.Context(), hfplan.Store(nil, roster[1:], nil)))
	items, _, err := s.List(t.Context(), detailPrefix)
	require.NoError(t, err)
	d, err := parseDetails(items)
	require.NoError(t, err)
	require.Len(t, d.members, 299)
}

// Guards against an instance of an earlier release that becomes the leader and does not know where
// tasks run: while there is one, records are whole, also those that were split before.
func TestInstanceOfEarlierReleaseFindsWholeRecords(t *testing.T) {
	s := newFakeStore()
	w := openTestWriter(t, s)
	m := NewMirror(fakeFormats{}, time.Second)
	w.splits = m.readsSplit
	m.Apply(newItem(t, peerPrefix+"new", 1, &hfwork.Instance{Name: "new", Format: recordFormat}))
	step, roster := wideStep(40, 3), []*hfwork.Worker{newTakeoverWorker("w")}
	running := func() *hfwork.Progress {
		return &hfwork.Progress{State: hfwork.StateRunning, Steps: []*hfwork.StepProgress{step}}
	}
	require.NoError(t, w.Save(t.Context(), hfplan.Store(map[string]*hfwork.Progress{"a": running(), "b": running()}, roster, nil)))
	require.NotContains(t, string(s.items[progressPrefix+"a"].Value()), "i-")

	m.Apply(newItem(t, peerPrefix+"old", 2, &hfwork.Instance{Name: "old"}))
	require.NoError(t, w.Save(t.Context(), hfplan.Store(map[string]*hfwork.Progress{"a": running()}, nil, nil)))
	for _, id := range []string{"a", "b"} {
		p, err := hfwire.Decode(s.items[progressPrefix+id].Value(), &hfwork.Progress{})
		require.NoError(t, err)
		require.True(t, proto.Equal(normal(running()), normal(p)), "record of %s: %v", id, p)
	}
	whole, err := hfwire.Decode(s.items[rosterKey].Value(), &hfwork.Roster{})
	require.NoError(t, err)
	require.Len(t, whole.GetWorkers(), 1)
	items, _, err := s.List(t.Context(), detailPrefix)
	require.NoError(t, err)
	require.Empty(t, items)
}

// Guards against details that stay in the store after their job has ended, also if the leader
// changes before they are removed.
func TestDetailsOfEndedJobsAreRemoved(t *testing.T) {
	s := newFakeStore()
	w := newSplitWriter(t, s)
	save := func(w *fencedWriter, id, state string, steps ...*hfwork.StepProgress) {
		p := &hfwork.Progress{State: state, Steps: steps}
		require.NoError(t, w.Save(t.Context(), hfplan.Store(map[string]*hfwork.Progress{id: p}, nil, nil)))
	}
	save(w, "a", hfwork.StateRunning, wideStep(100, 1))
	save(w, "b", hfwork.StateRunning, wideStep(100, 1))
	save(w, "a", hfwork.StateFailed, wideStep(100, 1))
	items, _, err := s.List(t.Context(), blockPrefix+"a/")
	require.NoError(t, err)
	require.Empty(t, items)

	next := newSplitWriter(t, s)
	items, _, err = s.List(t.Context(), detailPrefix)
	require.NoError(t, err)
	d, err := parseDetails(items)
	require.NoError(t, err)
	next.layout.restore(d, map[string]*hfwork.Progress{}, nil, func(string) bool { return true })
	save(next, "c", hfwork.StateQueued)
	items, _, err = s.List(t.Context(), detailPrefix)
	require.NoError(t, err)
	require.Empty(t, items)
}

// Guards against a task that runs twice after a takeover: the new leader reads where tasks run, and
// which are done, from the blocks.
func TestTakeoverReadsSplitRecords(t *testing.T) {
	s, m := newFakeStore(), newIdleMinions("w")
	n := newTakeoverNode(t, s, m, "v", "w")
	earlier := newSplitWriter(t, s)
	require.NoError(t, earlier.Save(t.Context(), newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "v", "w")))
	takeOver(t, n, s, func(ctx context.Context) {
		for begun := time.Now(); time.Since(begun) < time.Second; {
			select {
			case start := <-m.starts:
				require.Equal(t, uint32(1), start.Task().Index(), "task 0 may run on the silent worker")
			case <-ctx.Done():
				t.Error("the leadership ended")
				return
			case <-time.After(20 * time.Millisecond):
				catchUp(t, n, s, &n.recordWatch)
			}
		}
	})
}

// Guards against a job whose tasks are started although a block of its progress cannot be read.
func TestJobWithUnreadableBlockWaits(t *testing.T) {
	s, m := newFakeStore(), newIdleMinions()
	n := newTakeoverNode(t, s, m, "v")
	earlier := newSplitWriter(t, s)
	require.NoError(t, earlier.Save(t.Context(), newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "v"}}, "v")))
	_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Put(blockPrefix+"a/0.0.0", []byte{0xff}, ""))
	require.NoError(t, err)
	takeOver(t, n, s, func(ctx context.Context) {
		for begun := time.Now(); time.Since(begun) < time.Second; {
			select {
			case <-m.starts:
				t.Error("a task of the job was started")
				return
			case <-ctx.Done():
				t.Error("the leadership ended")
				return
			case <-time.After(20 * time.Millisecond):
				catchUp(t, n, s, &n.recordWatch)
			}
		}
	})
}

// Guards against a task that runs twice after a takeover because the roster's entry of its worker cannot
// be read: the new leader would take the worker to be gone.
func TestWorkerWithUnreadableEntryIsNotTakenToBeGone(t *testing.T) {
	for name, value := range map[string][]byte{"no message": {0xff}, "another worker": encoded(t, newTakeoverWorker("v")), "empty": {}} {
		t.Run(name, func(t *testing.T) {
			s, m := newFakeStore(), newIdleMinions("w")
			n := newTakeoverNode(t, s, m, "v")
			earlier := newSplitWriter(t, s)
			require.NoError(t, earlier.Save(t.Context(), newProgressCmd(&hfwork.StepProgress{Places: map[uint32]string{0: "w"}}, "v", "w")))
			_, err := s.Commit(t.Context(), (&hfstore.Batch{}).Put(memberPrefix+"w", value, ""))
			require.NoError(t, err)
			takeOver(t, n, s, func(ctx context.Context) {
				for begun := time.Now(); time.Since(begun) < time.Second; {
					select {
					case start := <-m.starts:
						require.Equal(t, uint32(1), start.Task().Index(), "task 0 may run on the silent worker")
					case <-ctx.Done():
						t.Error("the leadership ended")
						return
					case <-time.After(20 * time.Millisecond):
						catchUp(t, n, s, &n.recordWatch)
					}
				}
			})
		})
	}
}

func encoded(t *testing.T, m proto.Message) []byte {
	t.Helper()
	value, err := hfwire.Encode(m)
	require.NoError(t, err)
	return value
}

func TestGroupsStayTogetherInBatches(t *testing.T) {
	group := func(n int) []keyChange { return make([]keyChange, n) }
	var sizes []int
	for _, b := range packGroups([][]keyChange{group(20), group(15), group(0), group(70), group(20)}, 30) {
		sizes = append(sizes, len(b))
	}
	require.Equal(t, []int{20, 15, 30, 30, 30}, sizes)
}

// FuzzBlock guards against a block of any content that takes the instance down.
func FuzzBlock(f *testing.F) {
	value, err := hfwire.Encode(wideStep(40, 8))
	require.NoError(f, err)
	f.Add(blockPrefix+"a/0.0.1", value)
	f.Add(blockPrefix, []byte{})
	f.Add(blockPrefix+"a/0.0.99999999", value)
	f.Add(memberPrefix+"w", value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		d, err := parseDetails([]hfstore.Item{hfstore.NewItem(key, value, 3, false)})
		if key == "" {
			require.ErrorIs(t, err, errIncompleteDetails)
			return
		}
		require.NoError(t, err)
		d.progress("a", nil)
	})
}

// Guards against a thousand workers whose every heartbeat is read by all of 147 instances.
func TestFewInstancesFollowWorkers(t *testing.T) {
	m := NewMirror(fakeFormats{}, time.Second)
	for i := range 147 {
		suitability := 0.1
		if i/6%8 == 0 {
			suitability = 0.8
		}
		name := fmt.Sprintf("e%03d", i)
		m.Apply(newItem(t, peerPrefix+name, int64(i+1), &hfwork.Instance{Name: name, Domain: fmt.Sprint("d", i%6), Suitability: suitability, Format: recordFormat}))
	}
	names := m.followers()
	require.Len(t, names, maxFollowers)
	domains := map[string]bool{}
	for _, name := range names {
		require.InDelta(t, 0.8, m.instances[name].GetSuitability(), 0.01)
		domains[m.instances[name].GetDomain()] = true
	}
	require.GreaterOrEqual(t, len(domains), 3)
	m.Apply(deletedItem(peerPrefix+names[0], 200))
	require.NotContains(t, m.followers(), names[0])
}

// Guards against a standby that reads the workers' entries, and against a new leader that does not.
func TestWorkersAreListedOnceNeeded(t *testing.T) {
	s := newFakeStore()
	putWorker(t, s, newTakeoverWorker("w"))
	n := newTestNode("one")
	n.store, n.health, n.followNow = s, NewStoreHealth(func(bool, time.Duration) {}), make(chan struct{}, 1)
	n.workerWatch = prefixWatch{prefix: "workers/", pause: func() time.Duration { return 0 }, needed: n.followsWorkers}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		n.watch(ctx, &n.workerWatch)
		close(ended)
	}()
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, n.workersMsg().Nodes())
	n.claiming.Store(true)
	n.follow()
	require.NoError(t, n.awaitWorkers(t.Context()))
	require.Contains(t, n.workersMsg().Nodes(), "w")
	cancel()
	<-ended
}

// Guards against all instances that list everything at the moment at which the store drops its
// history.
func TestListsAfterLostHistoryAreSpread(t *testing.T) {
	n := newTestNode("one")
	hfloop.With(n.mirror, func(m *Mirror) bool {
		for i := range 147 {
			m.instances[fmt.Sprint(i)] = &hfwork.Instance{Name: fmt.Sprint(i)}
		}
		return true
	})
	longest := time.Duration(0)
	for range 200 {
		longest = max(longest, n.relistDelay())
	}
	require.Greater(t, longest, 147*relistSpread/2)
	require.LessOrEqual(t, longest, 147*relistSpread)
	n.claiming.Store(true)
	require.Zero(t, n.relistDelay(), "the leader does not wait")
}
