package hfstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Budget limits the calls of one instance to its share of what the store takes.
// Lease renewals are never held back: losing a lease costs more calls than it saves.
type Budget struct {
	store  Store
	reads  *rate.Limiter
	writes *rate.Limiter
	calls  metrics.Counter // every call sent, a watch as one
	refuse metrics.Counter // calls refused for the budget
	total  atomic.Int64
}

// Totals over the whole system, calls per second. They stay below the several
// hundred writes and two thousand reads that the platform gives.
const (
	TotalReads  = 1200
	TotalWrites = 240
)

// NewBudget wraps a store. The share starts at that of one of eight instances.
func NewBudget(s Store, registry metrics.Registry) *Budget {
	b := &Budget{
		store:  s,
		reads:  rate.NewLimiter(TotalReads/8, TotalReads/8),
		writes: rate.NewLimiter(TotalWrites/8, TotalWrites/8),
		calls:  metrics.GetOrRegisterCounter("store.calls", registry),
		refuse: metrics.GetOrRegisterCounter("store.refused", registry),
	}
	return b
}

// Share sets the number of instances that divide the total.
func (b *Budget) Share(instances int) {
	instances = max(instances, 1)
	b.reads.SetLimit(rate.Limit(TotalReads / float64(instances)))
	b.writes.SetLimit(rate.Limit(TotalWrites / float64(instances)))
}

// Calls returns the number of calls sent since the start.
func (b *Budget) Calls() int64 { return b.total.Load() }

func (b *Budget) spend(ctx context.Context, l *rate.Limiter) error {
	if err := l.Wait(ctx); err != nil {
		b.refuse.Inc(1)
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
	if err := b.spend(ctx, b.reads); err != nil {
		return Item{}, fmt.Errorf("get: %w", err)
	}
	return b.store.Get(ctx, key)
}

// List implements Store.
func (b *Budget) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	if err := b.spend(ctx, b.reads); err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	return b.store.List(ctx, prefix)
}

// Put implements Store.
func (b *Budget) Put(ctx context.Context, key string, value []byte, version int64, lease string) (int64, error) {
	if err := b.spend(ctx, b.writes); err != nil {
		return 0, fmt.Errorf("put: %w", err)
	}
	return b.store.Put(ctx, key, value, version, lease)
}

// Delete implements Store.
func (b *Budget) Delete(ctx context.Context, key string, version int64) error {
	if err := b.spend(ctx, b.writes); err != nil {
		return fmt.Errorf("delete: %w", err)
	}
	return b.store.Delete(ctx, key, version)
}

// Watch implements Store.
func (b *Budget) Watch(ctx context.Context, prefix string, after int64) ([]Item, int64, error) {
	if err := b.spend(ctx, b.reads); err != nil {
		return nil, 0, fmt.Errorf("watch: %w", err)
	}
	return b.store.Watch(ctx, prefix, after)
}

// Grant implements Store.
func (b *Budget) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if err := b.spend(ctx, b.writes); err != nil {
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
