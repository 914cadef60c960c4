package hfstore

import "context"

// MaxBatch is the largest total number of conditions, writes and removals that the
// platform's store accepts in one batch.
const MaxBatch = 32

// Batch is a set of writes and removals that is applied atomically if all its
// conditions hold.
type Batch struct {
	conditions []Condition
	writes     []Write
	removals   []string
}

// Condition requires that a key has a version; 0 requires that it does not exist.
type Condition struct {
	key     string
	version int64
}

// Write is one key and value of a batch.
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

// Put adds a write. If lease is not "", the store deletes the key when the lease ends.
func (b *Batch) Put(key string, value []byte, lease string) *Batch {
	b.writes = append(b.writes, Write{key: key, value: value, lease: lease})
	return b
}

// Remove adds a removal.
func (b *Batch) Remove(key string) *Batch {
	b.removals = append(b.removals, key)
	return b
}

// Size returns the number of entries. The store refuses a batch with more than MaxBatch.
func (b *Batch) Size() int { return len(b.conditions) + len(b.writes) + len(b.removals) }

// Conditions returns the conditions that must hold.
func (b *Batch) Conditions() []Condition { return b.conditions }

// Writes returns the values to write.
func (b *Batch) Writes() []Write { return b.writes }

// Removals returns the keys to remove.
func (b *Batch) Removals() []string { return b.removals }

// Key returns the key whose version is checked.
func (c Condition) Key() string { return c.key }

// Version returns the version that the key must have.
func (c Condition) Version() int64 { return c.version }

// Key returns the key to write.
func (w Write) Key() string { return w.key }

// Value returns the bytes to write.
func (w Write) Value() []byte { return w.value }

// Lease returns the id of the lease that the key is bound to, or "".
func (w Write) Lease() string { return w.lease }

// Committer is a store that applies batches.
type Committer interface {
	Store
	// Commit applies a batch and returns its revision. It fails with ErrConflict if a
	// condition does not hold, with ErrRefused if the store reported that the batch had
	// no effect, with ErrInvalid if it never accepts the batch, and with ErrUnavailable if
	// the effect is unknown.
	Commit(ctx context.Context, b *Batch) (int64, error)
}
