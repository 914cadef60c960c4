package hflease

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	renewDivisor        = 4           // a lease is renewed every TTL/renewDivisor
	renewTimeoutDivisor = 4           // one renewal call times out after TTL/renewTimeoutDivisor at most
	renewCheckDivisor   = 16          // the tenure and the renewal time are checked every TTL/renewCheckDivisor
	revokeTimeout       = time.Second // bounds the revocation of a lease after the work has returned
)

// ErrHeld reports that another instance holds the key.
var ErrHeld = eris.New("key held by another instance")

// TTL is the default time to live of a lease. The key of a holder that crashed becomes
// free after at most this time.
const TTL = 4 * time.Second

// Acquire tries once to acquire a key, and returns the tenure and the id of its lease. value
// returns the value to store, which must be unique to the call; it may contain the lease
// id. Acquire fails with ErrHeld if the key exists.
func Acquire(ctx context.Context, s hfstore.Store, key string, value func(leaseID string) ([]byte, error), ttl time.Duration) (*Tenure, string, error) {
	sent := Now()
	leaseID, err := s.Grant(ctx, ttl)
	if err != nil {
		return nil, "", fmt.Errorf("acquire key: %w", err)
	}
	epoch, err := putHolder(ctx, s, key, value, leaseID)
	if err != nil {
		_ = s.Revoke(context.WithoutCancel(ctx), leaseID) // on failure the lease expires after its TTL
		return nil, "", fmt.Errorf("acquire key: %w", err)
	}
	return NewTenure(epoch, sent, ttl), leaseID, nil
}

func putHolder(ctx context.Context, s hfstore.Store, key string, value func(leaseID string) ([]byte, error), leaseID string) (int64, error) {
	raw, err := value(leaseID)
	if err != nil {
		return 0, fmt.Errorf("encode value: %w", err)
	}
	epoch, err := s.Put(ctx, key, raw, 0, leaseID)
	if err != nil {
		return resolveFailedPut(ctx, s, key, raw, err)
	}
	return epoch, nil
}

// resolveFailedPut reads the key back to determine whether a failed write took effect. A
// write can also fail with a conflict because an earlier attempt of the same call took
// effect.
func resolveFailedPut(ctx context.Context, s hfstore.Store, key string, value []byte, cause error) (int64, error) {
	item, err := s.Get(ctx, key)
	if errors.Is(err, hfstore.ErrNotFound) && errors.Is(cause, hfstore.ErrConflict) {
		return 0, ErrHeld // the other holder released the key after the conflict
	}
	if err != nil {
		return 0, fmt.Errorf("read back: %w", cause)
	}
	if !bytes.Equal(item.Value(), value) {
		return 0, ErrHeld
	}
	return item.Version(), nil
}

// Hold renews the lease while work runs, and cancels work's context before the lease
// can expire. It returns after work has returned.
func Hold(ctx context.Context, s hfstore.Store, t *Tenure, leaseID string, ttl time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, workCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer cancel()
		renewUntilLost(workCtx, s, t, leaseID, ttl)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return work(workCtx)
	})
	return release(ctx, s, t, leaseID, g.Wait())
}

// release ends a tenure whose work has returned err, and its lease.
func release(ctx context.Context, s hfstore.Store, t *Tenure, leaseID string, err error) error {
	t.Expire()
	revokeCtx, cancelRevoke := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancelRevoke()
	_ = s.Revoke(revokeCtx, leaseID) // on failure the lease expires after its TTL
	if err != nil {
		return fmt.Errorf("hold key: %w", err)
	}
	return nil
}

// renewUntilLost renews the lease until ctx ends, the lease is lost, or the tenure has
// expired.
func renewUntilLost(ctx context.Context, s hfstore.Store, t *Tenure, leaseID string, ttl time.Duration) {
	ticker := time.NewTicker(ttl / renewCheckDivisor)
	defer ticker.Stop()
	renewAt := Now().Add(ttl / renewDivisor)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := Now()
		if !t.Valid(now) {
			return
		}
		if now.Before(renewAt) {
			continue
		}
		// The timeout is shorter than the lease, so that a call on an unresponsive
		// connection leaves time for another attempt.
		renewCtx, cancel := context.WithTimeout(ctx, max(min(t.Remaining(now), ttl/renewTimeoutDivisor), time.Millisecond))
		err := s.Renew(renewCtx, leaseID)
		cancel()
		switch {
		case err == nil:
			t.Extend(now, ttl)
			renewAt = now.Add(ttl / renewDivisor)
		case errors.Is(err, hfstore.ErrLeaseLost):
			t.Expire()
			return
		}
	}
}
