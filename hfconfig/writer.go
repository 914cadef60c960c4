package hfconfig

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/heatherfront/heatherfront/hfstore"
)

// Write stores a change with compare-and-swap and returns the resource at its new
// revision. expected is the current revision, or 0 for a resource that never
// existed. If the store's answer is lost, Write reads the resource back to find
// out whether the write took effect. A change is accepted once it is stored; only a
// nil error confirms this.
//
// Write returns ErrRevisionConflict if another write came first, and
// hfstore.ErrUnavailable if the effect is unknown.
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
		return Resource{}, fmt.Errorf("%w: %s", ErrRevisionConflict, r.Key())
	}
	if err != nil {
		return Resource{}, fmt.Errorf("write resource: %w", err)
	}
	return r.WithRevision(revision), nil
}

// Load reads every resource from the store and returns them with the store's
// revision. Values that cannot be decoded are left out; their errors are in the
// third result.
func Load(ctx context.Context, s hfstore.Store) ([]Resource, int64, []error, error) {
	items, revision, err := s.List(ctx, ConfigPrefix)
	if err != nil {
		return nil, 0, nil, fmt.Errorf("load configuration: %w", err)
	}
	resources, decodeErrs := DecodeItems(items)
	return resources, revision, decodeErrs, nil
}

// DecodeItems decodes the resources among store items and returns the errors of
// those that cannot be decoded. It skips items under other prefixes, and deletions
// in the store, because resources are deleted by tombstones.
func DecodeItems(items []hfstore.Item) ([]Resource, []error) {
	var resources []Resource
	var errs []error
	for _, i := range items {
		if i.Deleted() || len(i.Key()) < len(ConfigPrefix) || i.Key()[:len(ConfigPrefix)] != ConfigPrefix {
			continue
		}
		r, err := Decode(i.Key(), i.Version(), i.Value())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		resources = append(resources, r)
	}
	return resources, errs
}
