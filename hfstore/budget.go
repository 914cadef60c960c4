package hfstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Budget limits the rate of the calls of one instance to its share of the limits of the
// whole system. Lease renewals are never delayed, because recovering from a lost lease
// takes more calls than the delay saves. Revocations are not delayed either.
type Budget struct {
	store   Store
	reads   *rate.Limiter
	writes  *rate.Limiter
	calls   metrics.Counter // calls sent; a watch counts as one
	refused metrics.Counter // calls not sent because the budget was spent
	total   atomic.Int64
}

// Limits of the whole system in calls per second. They stay below the capacity of the
// platform's store, which is several hundred writes and two thousand reads per second.
const (
	TotalReads  = 1200
	TotalWrites = 240
)

// initialInstances is the number of instances that share the limits before the first
// call of SetInstances. It also sets the burst size.
const initialInstances = 8

// NewBudget returns a Budget that limits the calls to a store.
func NewBudget(s Store, registry metrics.Registry) *Budget {
	b := &Budget{
		store:   s,
		reads:   rate.NewLimiter(TotalReads/initialInstances, TotalReads/initialInstances),
		writes:  rate.NewLimiter(TotalWrites/initialInstances, TotalWrites/initialInstances),
		calls:   metrics.GetOrRegisterCounter("store.calls", registry),
		refused: metrics.GetOrRegisterCounter("store.refused", registry),
	}
	return b
}

// SetInstances sets the number of instances that share the limits equally.
func (b *Budget) SetInstances(instances int) {
	instances = max(instances, 1)
	b.reads.SetLimit(rate.Limit(TotalReads / float64(instances)))
	b.writes.SetLimit(rate.Limit(TotalWrites / float64(instances)))
}

// Calls returns the number of calls sent since the start of the instance.
func (b *Budget) Calls() int64 { return b.total.Load() }

// take waits for the limiter. It fails with ErrBudget if ctx would end first.
func (b *Budget) take(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		b.refused.Inc(1)
		return fmt.Errorf("%w: %w", ErrBudget, err)
	}
	b.count()
	return nil
}

func (b *Budget) count() {
	b.calls.Inc(1)
	b.total.Add(1)
}

// Get implements Store.
func (b *Budget) Get(ctx context.Context, key string) (Item, error) {
	if err := b.take(ctx, b.reads); err != nil {
		return Item{}, fmt.Errorf("get: %w", err)
	}
	return b.store.Get(ctx, key)
}

// List implements Store.
func (b *Budget) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	if err := b.take(ctx, b.reads); err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	return b.store.List(ctx, prefix)
}

// Put implements Store.
func (b *Budget) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	if err := b.take(ctx, b.writes); err != nil {
		return 0, fmt.Errorf("put: %w", err)
	}
	return b.store.Put(ctx, key, value, version, lease)
}

// Delete implements Store.
func (b *Budget) Delete(ctx context.Context, key string, version int64) error {
	if err := b.take(ctx, b.writes); err != nil {
		return fmt.Errorf("delete: %w", err)
	}
	return b.store.Delete(ctx, key, version)
}

// Watch implements Store.
func (b *Budget) Watch(ctx context.Context, prefix string, after int64) ([]Item, int64, error) {
	if err := b.take(ctx, b.reads); err != nil {
		return nil, 0, fmt.Errorf("watch: %w", err)
	}
	return b.store.Watch(ctx, prefix, after)
}

// Grant implements Store.
func (b *Budget) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := b.take(ctx, b.writes); err != nil {
		return "", fmt.Errorf("grant: %w", err)
	}
	return b.store.Grant(ctx, ttl)
}

// Renew implements Store.
func (b *Budget) Renew(ctx context.Context, lease string) error {
	b.count()
	return b.store.Renew(ctx, lease)
}

// Revoke implements Store.
func (b *Budget) Revoke(ctx context.Context, lease string) error {
	b.count()
	return b.store.Revoke(ctx, lease)
}
