package hfconfig

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/heatherfront/heatherfront/hfstore"
)

// Write stores a change by compare-and-swap against the revision expected, 0 for
// a resource that has never existed, and returns it at its new revision. A lost
// answer is resolved by reading back. Accepted means stored: only a nil error
// tells so.
//
// It fails with ErrStale when another write came first, and with
// hfstore.ErrUnavailable when the effect is not known.
func Write(ctx context.Context, s hfstore.Store, r Resource, expected int64) (Resource, error) {
	value, err := r.Encode(uuid.NewString())
	if err != nil {
		return Resource{}, fmt.Errorf("write resource: %w", err)
	}
	if len(value) > hfstore.MaxValueBytes {
		return Resource{}, fmt.Errorf("%w: resource is larger than %d bytes", ErrInvalid, hfstore.MaxValueBytes)
	}
	revision, err := hfstore.Swap(ctx, s, r.Key(), value, expected)
	if errors.Is(err, hfstore.ErrConflict) {
		return Resource{}, fmt.Errorf("%w: %s", ErrStale, r.Key())
	}
	if err != nil {
		return Resource{}, fmt.Errorf("write resource: %w", err)
	}
	return r.At(revision), nil
}

// Load reads every resource of the store. Values that cannot be read are
// returned as errors and left out.
func Load(ctx context.Context, s hfstore.Store) ([]Resource, int64, []error, error) {
	items, revision, err := s.List(ctx, ConfigPrefix)
	if err != nil {
		return nil, 0, nil, fmt.Errorf("load configuration: %w", err)
	}
	resources, bad := DecodeItems(items)
	return resources, revision, bad, nil
}

// DecodeItems reads the resources among store items. Items under other prefixes
// and deletions are passed over: a resource is deleted by a tombstone.
func DecodeItems(items []hfstore.Item) ([]Resource, []error) {
	var resources []Resource
	var bad []error
	for _, i := range items {
		if i.Deleted() || len(i.Key()) < len(ConfigPrefix) || i.Key()[:len(ConfigPrefix)] != ConfigPrefix {
			continue
		}
		r, err := Decode(i.Key(), i.Version(), i.Value())
		if err != nil {
			bad = append(bad, err)
			continue
		}
		resources = append(resources, r)
	}
	return resources, bad
}
