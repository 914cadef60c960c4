package hfstore

import "context"

// MaxBatch is the largest number of conditions, writes and removals that the
// platform's store takes in one batch.
const MaxBatch = 32

// Batch is a set of writes that take effect together or not at all.
type Batch struct {
	conditions []Condition
	writes     []Write
	removals   []string
}

// Condition demands that a key has a version; 0 demands that it does not exist.
type Condition struct {
	key     string
	version int64
}

// Write is one value of a batch.
type Write struct {
	key   string
	value []byte
	lease string
}

// Require adds a condition.
func (b *Batch) Require(key string, version int64) *Batch {
	b.conditions = append(b.conditions, Condition{key: key, version: version})
	return b
}

// Put adds a write. A key with a lease goes when the lease does.
func (b *Batch) Put(key string, value []byte, lease string) *Batch {
	b.writes = append(b.writes, Write{key: key, value: value, lease: lease})
	return b
}

// Remove adds a removal.
func (b *Batch) Remove(key string) *Batch {
	b.removals = append(b.removals, key)
	return b
}

// Size returns the number of entries, at most MaxBatch.
func (b *Batch) Size() int { return len(b.conditions) + len(b.writes) + len(b.removals) }

// Conditions returns what must hold.
func (b *Batch) Conditions() []Condition { return b.conditions }

// Writes returns the values to write.
func (b *Batch) Writes() []Write { return b.writes }

// Removals returns the keys to remove.
func (b *Batch) Removals() []string { return b.removals }

// Key returns the key that is looked at.
func (c Condition) Key() string { return c.key }

// Version returns the version that it must have.
func (c Condition) Version() int64 { return c.version }

// Key returns the key to write.
func (w Write) Key() string { return w.key }

// Value returns the bytes to write.
func (w Write) Value() []byte { return w.value }

// Lease returns the lease that holds the key, or "".
func (w Write) Lease() string { return w.lease }

// Committer is a store that takes batches.
type Committer interface {
	Store
	// Commit applies a batch and returns the revision that wrote it. It fails with
	// ErrConflict when a condition does not hold, ErrRefused when the store said
	// that nothing was done, and ErrUnavailable when the effect is not known.
	Commit(ctx context.Context, b *Batch) (int64, error)
}
