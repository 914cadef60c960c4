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

// chain writes the records of one leadership, each batch under the condition that the
// one before it was the last. The store may carry a write out seconds after it gave no
// answer; in a chain an older record can then not replace a newer one, nor can one of
// an earlier leadership.
type chain struct {
	store   hfstore.Committer
	formats Formats
	lead    *hfwork.Lead // value of the chain's key; its nonce differs for every batch
	batches int64
	version int64 // store revision of the last batch that took effect
}

// openChain begins the chain of a new leadership and raises its term.
func (n *Node) openChain(ctx context.Context, epoch int64) (*chain, error) {
	lead := hfloop.With(n.mirror, func(m *Mirror) *hfwork.Lead {
		return &hfwork.Lead{Instance: fmt.Sprintf("%s/%d", n.name, epoch), Term: m.term + 1}
	})
	c := &chain{store: n.store, formats: n.formats, lead: lead}
	for {
		item, err := n.store.Get(ctx, termKey)
		if err == nil || errors.Is(err, hfstore.ErrNotFound) {
			c.version = item.Version()
			err = c.write(ctx, (&hfstore.Batch{}).Require(leadKey, epoch))
		}
		if err == nil {
			return c, nil
		}
		if errors.Is(err, hfstore.ErrConflict) || !hfloop.Pause(ctx, retryPause) {
			return nil, fmt.Errorf("open chain: %w", err)
		}
	}
}

// Term returns the number of the leadership.
func (c *chain) Term() int64 { return c.lead.GetTerm() }

// Save implements hforder.Records. It may be called again with the same records after
// a failure.
func (c *chain) Save(ctx context.Context, s hfplan.StoreCmd) error {
	all := &hfstore.Batch{}
	if err := c.collect(s, all); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	for chunk := range slices.Chunk(all.Writes(), hfstore.MaxBatch-chainEntries) {
		batch := &hfstore.Batch{}
		for _, w := range chunk {
			batch.Put(w.Key(), w.Value(), w.Lease())
		}
		if err := c.write(ctx, batch); err != nil {
			return fmt.Errorf("save: %w", err)
		}
	}
	return nil
}

// collect adds what a StoreCmd changes: the roster first, then what was done of waves of
// upkeep, for the next scheduler and for the operator, and the records of jobs.
func (c *chain) collect(s hfplan.StoreCmd, into *hfstore.Batch) error {
	add := func(key string, m proto.Message) error {
		value, err := hfwire.Encode(m)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		into.Put(key, value, "")
		return nil
	}
	if s.Roster() != nil {
		if err := add(rosterKey, &hfwork.Roster{Workers: s.Roster()}); err != nil {
			return fmt.Errorf("roster: %w", err)
		}
	}
	for _, w := range s.Waves() {
		if err := add(fmt.Sprintf("%s%d", wavePrefix, w.GetNumber()), w); err != nil {
			return fmt.Errorf("wave: %w", err)
		}
		key, status, err := c.formats.WaveStatus(w)
		if err != nil {
			return fmt.Errorf("status of wave: %w", err)
		}
		into.Put(key, status, "")
	}
	for _, id := range slices.Sorted(maps.Keys(s.Records())) {
		if err := add(statePrefix+id, s.Records()[id]); err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	return nil
}

// chainEntries is the number of entries that the chain adds to a batch.
const chainEntries = 2

// write applies a batch as the next of the chain. It fails with hfstore.ErrConflict
// when another leadership has written.
func (c *chain) write(ctx context.Context, b *hfstore.Batch) error {
	c.batches++
	c.lead.Nonce = fmt.Sprint(c.batches)
	value, err := hfwire.Encode(c.lead)
	if err != nil {
		return fmt.Errorf("chain: %w", err)
	}
	b.Require(termKey, c.version).Put(termKey, value, "")
	call, cancel := context.WithTimeout(ctx, writeWindow)
	defer cancel()
	version, err := c.store.Commit(call, b)
	if err == nil {
		c.version = version
		return nil
	}
	if errors.Is(err, hfstore.ErrRefused) {
		return fmt.Errorf("chain: %w", err)
	}
	item, readErr := c.store.Get(call, termKey)
	switch {
	case readErr != nil && !errors.Is(readErr, hfstore.ErrNotFound):
		return fmt.Errorf("chain: %w", readErr)
	case bytes.Equal(item.Value(), value):
		c.version = item.Version()
		return nil
	case item.Version() == c.version:
		if errors.Is(err, hfstore.ErrConflict) {
			return fmt.Errorf("chain: another condition: %w", err)
		}
		return fmt.Errorf("chain: not written yet: %w", hfstore.ErrUnavailable)
	}
	return c.adopt(item)
}

// adopt takes over a batch of this chain that was given up as unanswered and took
// effect late. Its records are written again.
func (c *chain) adopt(item hfstore.Item) error {
	lead, err := hfwire.Decode(item.Value(), &hfwork.Lead{})
	if err != nil || lead.GetInstance() != c.lead.GetInstance() {
		return fmt.Errorf("chain: written by %s: %w", lead.GetInstance(), hfstore.ErrConflict)
	}
	c.version = item.Version()
	return fmt.Errorf("chain: an earlier batch took effect: %w", hfstore.ErrUnavailable)
}
