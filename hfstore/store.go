// Package hfstore is the client of the platform's key-value store: compare and
// swap, leases and watches, with a call budget and the resolution of answers
// that were lost after a write took effect.
package hfstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = eris.New("key not found")
	// ErrConflict reports a write whose expected version was not the current one.
	ErrConflict = eris.New("version conflict")
	// ErrUnavailable reports a call that failed or got no answer. A write that
	// failed so may have taken effect.
	ErrUnavailable = eris.New("store unavailable")
	// ErrRefused reports a call that the store turned away: nothing was done.
	ErrRefused = eris.New("store refused the call")
	// ErrBudget reports a call that was not sent because the budget was spent.
	ErrBudget = eris.New("store call budget spent")
	// ErrCompacted reports a watch that starts before the oldest kept event.
	ErrCompacted = eris.New("watch revision compacted")
	// ErrLeaseLost reports a lease that the store no longer knows.
	ErrLeaseLost = eris.New("lease lost")
)

// MaxValueBytes is the largest value that the platform's store takes.
const MaxValueBytes = 1 << 20

// Item is one key with its value and the store revision that wrote it.
type Item struct {
	key     string
	value   []byte
	version int64 // store revision of the last write; rises with every write to any key
	deleted bool  // only in watch events
}

// NewItem builds an item, for stores other than Client.
func NewItem(key string, value []byte, version int64, deleted bool) Item {
	return Item{key: key, value: value, version: version, deleted: deleted}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the stored bytes.
func (i Item) Value() []byte { return i.value }

// Version returns the store revision of the last write to the key.
func (i Item) Version() int64 { return i.version }

// Deleted tells whether a watch event removed the key.
func (i Item) Deleted() bool { return i.deleted }

// Store is what the rest of the program needs of the platform's store. Each
// call fails with ErrUnavailable when no answer came.
type Store interface {
	// Get returns one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns every key under a prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Put writes a value if the key's version is still version (0: the key does
	// not exist) and returns the new version, or ErrConflict. A key with a lease
	// goes when the lease does.
	Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error)
	// Delete removes a key if its version is still version.
	Delete(ctx context.Context, key string, version int64) error
	// Watch waits for events under a prefix later than revision after.
	Watch(ctx context.Context, prefix string, after int64) ([]Item, int64, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew extends a lease by its time to live, or fails with ErrLeaseLost.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
}
