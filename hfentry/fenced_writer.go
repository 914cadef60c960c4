package hfentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

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
	head     *hfwork.Lead // value of termKey; its nonce differs for every batch
	sequence int64        // number of batches, which serves as the nonce
	version  int64        // store revision of the last batch that took effect
}

// openWriter returns the writer of a new leadership, after storing the next term.
func (n *Node) openWriter(ctx context.Context, epoch int64) (*fencedWriter, error) {
	head := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead {
		return &hfwork.Lead{Instance: fmt.Sprintf("%s/%d", n.name, epoch), Term: m.term + 1}
	})
	f := &fencedWriter{store: n.store, formats: n.formats, head: head}
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
	changes := &hfstore.Batch{}
	if err := f.addChanges(c, changes); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	for chunk := range slices.Chunk(changes.Writes(), hfstore.MaxBatch-writerEntries) {
		batch := &hfstore.Batch{}
		for _, w := range chunk {
			batch.Put(w.Key(), w.Value(), w.Lease())
		}
		if err := f.write(ctx, batch); err != nil {
			return fmt.Errorf("save: %w", err)
		}
	}
	return nil
}

// addChanges adds the changes of a StoreCmd to a batch: first the roster, then the waves of
// upkeep, each as a record for the next scheduler and as a status for the operator, and last
// the progress of jobs.
func (f *fencedWriter) addChanges(c hfplan.StoreCmd, batch *hfstore.Batch) error {
	add := func(key string, m proto.Message) error {
		value, err := hfwire.Encode(m)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		batch.Put(key, value, "")
		return nil
	}
	if c.Roster() != nil {
		if err := add(rosterKey, &hfwork.Roster{Workers: c.Roster()}); err != nil {
			return fmt.Errorf("roster: %w", err)
		}
	}
	for _, w := range c.Waves() {
		if err := add(fmt.Sprintf("%s%d", wavePrefix, w.GetNumber()), w); err != nil {
			return fmt.Errorf("wave: %w", err)
		}
		key, status, err := f.formats.WaveStatus(w)
		if err != nil {
			return fmt.Errorf("status of wave: %w", err)
		}
		batch.Put(key, status, "")
	}
	for _, id := range slices.Sorted(maps.Keys(c.Records())) {
		if err := add(progressPrefix+id, c.Records()[id]); err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	return nil
}

// writerEntries is the number of entries that write adds to a batch: a condition and a put.
const writerEntries = 2

// write commits a batch on the condition that the previous one was the last. It fails with
// hfstore.ErrConflict if another leadership has written since.
func (f *fencedWriter) write(ctx context.Context, b *hfstore.Batch) error {
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
	if errors.Is(err, hfstore.ErrRefused) {
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
