// Package hfstore is a client of the platform's key-value store, which has
// compare-and-swap, leases and watches. It limits the call rate and resolves the
// effect of writes whose answer was lost.
package hfstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = eris.New("key not found")
	// ErrConflict reports a write whose expected version is not the current one.
	ErrConflict = eris.New("version conflict")
	// ErrUnavailable reports a call that failed or got no answer. A write may have
	// taken effect nevertheless.
	ErrUnavailable = eris.New("store unavailable")
	// ErrRefused reports a call that the store refused and that had no effect.
	ErrRefused = eris.New("store refused the call")
	// ErrInvalid reports a call that the store does not accept as it is, such as a write of too
	// long a key. It had no effect, and repeating it does not help.
	ErrInvalid = eris.New("the store does not accept the call")
	// ErrBudget reports a call that was not sent because the budget was spent.
	ErrBudget = eris.New("store call budget spent")
	// ErrCompacted reports a watch that starts before the oldest retained event.
	ErrCompacted = eris.New("watch revision compacted")
	// ErrLeaseLost reports a lease that does not exist in the store anymore.
	ErrLeaseLost = eris.New("lease lost")
)

// MaxValueBytes is the largest size of a value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// MaxKeyBytes is the largest size of a key that the platform's store accepts.
const MaxKeyBytes = 200

// Item is one key with its value and the store revision that wrote it.
type Item struct {
	key     string
	value   []byte
	version int64 // store revision of the last write; it increases with every write to any key
	deleted bool  // set only in watch events
	err     error // why the item cannot be read; it then has no value, and its key and version may be missing
}

// NewItem returns an item, for implementations of Store other than Client.
func NewItem(key string, value []byte, version int64, deleted bool) Item {
	return Item{key: key, value: value, version: version, deleted: deleted}
}

// NewUnreadableItem returns an item of a list or a watch that cannot be read. key and version
// are set as far as they are known.
func NewUnreadableItem(key string, version int64, err error) Item {
	return Item{key: key, version: version, err: err}
}

// Err returns why the item cannot be read, or nil. An unreadable item has no value, and its key
// may be "".
func (i Item) Err() error { return i.err }

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the stored bytes.
func (i Item) Value() []byte { return i.value }

// Version returns the store revision of the last write to the key.
func (i Item) Version() int64 { return i.version }

// Deleted reports whether the item is a watch event for the removal of the key.
func (i Item) Deleted() bool { return i.deleted }

// Store is the interface to the platform's store. Each call fails with ErrUnavailable if
// no answer arrives.
type Store interface {
	// Get returns one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns every key with a prefix and the revision of the store. Items that cannot
	// be read are in the list too, see Item.Err; so they are in the result of Watch.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Put writes a value if the current version of the key is version (0: the key does
	// not exist) and returns the new version. Otherwise it fails with ErrConflict. If
	// lease is not "", the store deletes the key when the lease ends.
	Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error)
	// Delete removes a key if its current version is version.
	Delete(ctx context.Context, key string, version int64) error
	// Watch waits for events of keys with a prefix that are later than the revision after.
	// It returns them and the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64) ([]Item, int64, error)
	// Grant creates a lease and returns its id.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew extends a lease by its time to live, or fails with ErrLeaseLost.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}
