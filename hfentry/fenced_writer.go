package hfentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/semaphore"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfwork"
)

// fencedWriter stores the records of one leadership. Each batch also writes termKey, on the
// condition that the previous batch was the last to write it. The store may carry out a write
// seconds after the call has failed without an answer; the condition keeps such a write, and
// any write of an earlier leadership, from replacing a newer record.
type fencedWriter struct {
	store    hfstore.Committer
	formats  Formats
	writing  *semaphore.Weighted // held while a batch is written; guards the next three
	head     *hfwork.Lead        // value of termKey; its nonce differs for every batch
	sequence int64               // number of batches, which serves as the nonce
	version  int64               // store revision of the last batch that took effect
	layout   *recordLayout
	splits   func() bool // whether all instances read the records of this release
	// split is whether the records of the command that is being saved are split. It is decided
	// once for a command, as an unanswered batch may take effect before the next try.
	split, decided bool
	// rejected holds the changes that the store does not accept, by key. They are not tried again.
	rejected map[string][]byte
	onReject func(key string, err error)
	onStore  func(key string, value []byte, version int64) // called for each value that took effect
	// onPart is called with jobs whose records of a command are stored while others are not yet.
	onPart func(c hfplan.StoreCmd, jobs []string)
}

// openWriter returns the writer of a new leadership, after storing the next term.
func (n *Node) openWriter(ctx context.Context, epoch int64) (*fencedWriter, error) {
	head := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead {
		return &hfwork.Lead{Instance: fmt.Sprintf("%s/%d", n.name, epoch), Term: m.term + 1}
	})
	f := &fencedWriter{
		store: n.store, formats: n.formats, writing: semaphore.NewWeighted(1), head: head, layout: newRecordLayout(),
		splits:   func() bool { return hfloop.With(n.mirror, (*Mirror).readsSplit) },
		rejected: map[string][]byte{}, onReject: n.recordRejected, onStore: n.pushState,
		onPart: func(hfplan.StoreCmd, []string) {},
	}
	f.layout.job = func(id string) *hfwork.Job {
		if r := n.cachedJob(id); r != nil {
			return r.job
		}
		return nil
	}
	for {
		item, err := n.store.Get(ctx, termKey)
		if err == nil || errors.Is(err, hfstore.ErrNotFound) {
			f.version = item.Version()
			err = f.write(ctx, (&hfstore.Batch{}).Require(leadKey, epoch))
		}
		if err == nil {
			return f, nil
		}
		if errors.Is(err, hfstore.ErrConflict) {
			// A batch of the earlier leader may have taken effect between the read and the write.
			if lead, readErr := n.store.Get(ctx, leadKey); readErr == nil && lead.Version() == epoch {
				continue
			}
			return nil, fmt.Errorf("open record writer: %w", err)
		}
		if !hfloop.Sleep(ctx, retryPause) {
			return nil, fmt.Errorf("open record writer: %w", err)
		}
	}
}

// Term returns the term, the number of the leadership.
func (f *fencedWriter) Term() int64 { return f.head.GetTerm() }

// Save implements hforder.RecordStore. After a failure it may be called again with the same
// records.
func (f *fencedWriter) Save(ctx context.Context, c hfplan.StoreCmd) error {
	if !f.decided {
		f.split, f.decided = f.splits(), true
	}
	groups, err := f.layout.changes(c, f.split)
	if err != nil {
		return fmt.Errorf("save: %w", err)
	}
	waves, err := f.waveChanges(c)
	if err != nil {
		return fmt.Errorf("save: %w", err)
	}
	groups = append(waves, groups...)
	batches := packGroups(f.withoutRejected(groups), hfstore.MaxBatch-writerEntries)
	remaining := changesByJob(groups)
	for i, batch := range batches {
		err := f.writeChanges(ctx, batch)
		if errors.Is(err, hfstore.ErrInvalid) {
			err = f.writeSeparately(ctx, batch)
		}
		if err != nil {
			return fmt.Errorf("save: %w", err)
		}
		if jobs := f.wholeJobs(batch, remaining); i < len(batches)-1 && len(jobs) > 0 {
			f.onPart(c, jobs)
		}
	}
	f.layout.saved(c, f.split)
	f.decided = false
	return f.rejectedOf(groups, c)
}

// changesByJob returns the number of changes of each job.
func changesByJob(groups [][]keyChange) map[string]int {
	changes := map[string]int{}
	for _, c := range slices.Concat(groups...) {
		if id, ok := recordJob(c.key); ok {
			changes[id]++
		}
	}
	return changes
}

// wholeJobs returns the jobs of a batch of which no change remains, after the batch was written. A change that
// the store does not accept remains.
func (f *fencedWriter) wholeJobs(batch []keyChange, remaining map[string]int) []string {
	var jobs []string
	for _, c := range batch {
		id, ok := recordJob(c.key)
		if !ok || f.isRejected(c) {
			continue
		}
		if remaining[id]--; remaining[id] == 0 {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// writeChanges writes changes in one batch.
func (f *fencedWriter) writeChanges(ctx context.Context, changes []keyChange) error {
	batch := &hfstore.Batch{}
	for _, c := range changes {
		if c.value == nil {
			batch.Remove(c.key)
		} else {
			batch.Put(c.key, c.value, "")
		}
	}
	version, err := f.writeVersion(ctx, batch)
	if err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	for _, c := range changes {
		f.layout.committed(c)
		if c.value != nil {
			f.onStore(c.key, c.value, version)
		}
	}
	return nil
}

// packGroups distributes changes over batches of at most the given size. The changes of a group are
// in one batch if they fit into one, and in order otherwise.
func packGroups(groups [][]keyChange, size int) [][]keyChange {
	var batches [][]keyChange
	var current []keyChange
	for _, group := range groups {
		for len(current)+len(group) > size {
			if len(current) > 0 {
				batches, current = append(batches, current), nil
				continue
			}
			batches, group = append(batches, group[:size]), group[size:]
		}
		current = append(current, group...)
	}
	if len(current) > 0 {
		batches = append(batches, current)
	}
	return batches
}

// waveChanges returns the changes that store the waves of upkeep of a command, each as a record for
// the next scheduler and as a status for the operator.
func (f *fencedWriter) waveChanges(c hfplan.StoreCmd) ([][]keyChange, error) {
	var groups [][]keyChange
	for _, w := range c.Waves() {
		value, err := hfwire.Encode(w)
		if err != nil {
			return nil, fmt.Errorf("wave: %w", err)
		}
		key, status, err := f.formats.WaveStatus(w)
		if err != nil {
			return nil, fmt.Errorf("status of wave: %w", err)
		}
		groups = append(groups, []keyChange{{key: fmt.Sprintf("%s%d", wavePrefix, w.GetNumber()), value: value}, {key: key, value: status}})
	}
	return groups, nil
}

// writerEntries is the number of entries that write adds to a batch: a condition and a put.
const writerEntries = 2

// write commits a batch on the condition that the previous one was the last. It fails with
// hfstore.ErrConflict if another leadership has written since.
func (f *fencedWriter) write(ctx context.Context, b *hfstore.Batch) error {
	_, err := f.writeVersion(ctx, b)
	return err
}

// writeVersion is write, and returns the store revision of the batch.
func (f *fencedWriter) writeVersion(ctx context.Context, b *hfstore.Batch) (int64, error) {
	if err := f.writing.Acquire(ctx, 1); err != nil {
		return 0, fmt.Errorf("await earlier batch: %w", err)
	}
	defer f.writing.Release(1)
	if err := f.commit(ctx, b); err != nil {
		return 0, err
	}
	return f.version, nil
}

// commit is write. f.writing is held.
func (f *fencedWriter) commit(ctx context.Context, b *hfstore.Batch) error {
	f.sequence++
	f.head.Nonce = fmt.Sprint(f.sequence)
	value, err := hfwire.Encode(f.head)
	if err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	b.Require(termKey, f.version).Put(termKey, value, "")
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := f.store.Commit(call, b)
	if err == nil {
		f.version = version
		return nil
	}
	if errors.Is(err, hfstore.ErrRefused) || errors.Is(err, hfstore.ErrInvalid) {
		return fmt.Errorf("write records: %w", err)
	}
	item, readErr := f.store.Get(call, termKey)
	switch {
	case readErr != nil && !errors.Is(readErr, hfstore.ErrNotFound):
		return fmt.Errorf("write records: %w", readErr)
	case bytes.Equal(item.Value(), value):
		f.version = item.Version()
		return nil
	case item.Version() == f.version:
		if errors.Is(err, hfstore.ErrConflict) {
			return fmt.Errorf("write records: another condition failed: %w", err)
		}
		return fmt.Errorf("write records: not written yet: %w", hfstore.ErrUnavailable)
	}
	return f.acceptLateBatch(item)
}

// acceptLateBatch continues after a batch of this writer that was given up as unanswered and
// took effect late. It always returns an error, so that the caller writes its records again.
func (f *fencedWriter) acceptLateBatch(item hfstore.Item) error {
	head, err := hfwire.Decode(item.Value(), &hfwork.Lead{})
	if err != nil || head.GetInstance() != f.head.GetInstance() {
		return fmt.Errorf("write records: last written by %s: %w", head.GetInstance(), hfstore.ErrConflict)
	}
	f.version = item.Version()
	return fmt.Errorf("write records: an earlier batch took effect: %w", hfstore.ErrUnavailable)
}
