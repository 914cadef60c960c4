package hflease

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/heatherfront/heatherfront/hfstore"
)

const (
	// MaxSuspension is how long after its deadline a tenure may be resumed. What a holder keeps in
	// memory grows out of date meanwhile.
	MaxSuspension = 15 * time.Second
	// maxHolderPause is the longest pause of the process in which a suspended tenure stays resumable.
	maxHolderPause   = 3 * time.Second
	reacquireTimeout = 2 * time.Second // bounds one call of Resumer.Reacquire
)

// ErrSuperseded reports that a tenure cannot be resumed, as another holder may have acted since.
var ErrSuperseded = eris.New("another holder may have acted since")

// Resumer takes part in the suspension of a tenure. Its methods are called one at a time.
type Resumer interface {
	// Suspended is called when the tenure has expired and may be resumed.
	Suspended()
	// Reacquire stores the key again under a new lease after the earlier one was lost, on the condition
	// that no other holder has acted since. sent is when the lease was requested. It fails with
	// ErrSuperseded if another one may have; after any other error it is called again.
	Reacquire(ctx context.Context) (r Reacquired, err error)
	// Resumed is called when the tenure is valid again.
	Resumed()
}

// Reacquired is the lease under which a key was stored again.
type Reacquired struct {
	lease string
	epoch int64
	sent  time.Time
}

// NewReacquired returns a lease that was requested at sent. epoch is the store revision that wrote the key.
func NewReacquired(lease string, epoch int64, sent time.Time) Reacquired {
	return Reacquired{lease: lease, epoch: epoch, sent: sent}
}

// AllowSuspension lets the tenure be resumed after it has expired, until MaxSuspension has passed.
func (t *Tenure) AllowSuspension() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspending = true
}

// Suspended reports whether the tenure has expired and may be resumed.
func (t *Tenure) Suspended(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspending && !now.Before(t.deadline) && now.Before(t.resumeBy)
}

// resume makes a suspended tenure valid again, under a lease that was requested at sent. It reports
// false if the tenure has ended.
func (t *Tenure) resume(epoch int64, sent time.Time, ttl time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspending || !now.Before(t.resumeBy) || epoch < t.epoch {
		return false
	}
	t.epoch = epoch
	t.extend(sent, ttl)
	return true
}

// HoldResumable is Hold for work that outlasts an outage of the store. When the tenure expires without
// an answer of the store, the work goes on, and has to check the tenure before each action. Its context
// ends when the tenure cannot be resumed any more.
func HoldResumable(ctx context.Context, s hfstore.Store, t *Tenure, leaseID string, ttl time.Duration, r Resumer, work func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, workCtx := errgroup.WithContext(ctx)
	k := &keeper{store: s, tenure: t, resumer: r, lease: leaseID}
	g.Go(func() error {
		defer cancel()
		k.keep(workCtx, ttl)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return work(workCtx)
	})
	err := g.Wait()
	return release(ctx, s, t, k.lease, err)
}

// keeper renews the lease of a resumable tenure.
type keeper struct {
	store     hfstore.Store
	tenure    *Tenure
	resumer   Resumer
	lease     string
	suspended bool // the resumer was told so
}

// keep renews the lease until ctx ends, or the tenure has expired and cannot be resumed.
func (k *keeper) keep(ctx context.Context, ttl time.Duration) {
	ticker := time.NewTicker(ttl / renewCheckDivisor)
	defer ticker.Stop()
	last := Now()
	renewAt := last.Add(ttl / renewDivisor)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := Now()
		paused := now.Sub(last) > maxHolderPause
		last = now
		if k.tenure.Valid(now) {
			if now.Before(renewAt) {
				continue
			}
		} else if paused || !k.suspend(now) {
			k.tenure.Expire()
			return
		}
		if !k.renew(ctx, now, ttl) {
			k.tenure.Expire()
			return
		}
		if k.tenure.Valid(Now()) {
			renewAt = now.Add(ttl / renewDivisor)
		}
	}
}

// suspend tells the resumer that the tenure is suspended. It returns false if the tenure has ended.
func (k *keeper) suspend(now time.Time) bool {
	if !k.tenure.Suspended(now) {
		return false
	}
	if !k.suspended {
		k.suspended = true
		k.resumer.Suspended()
	}
	return true
}

// renew tries once to renew the lease, or to replace it if the tenure is suspended and the lease was
// lost. It returns false if the tenure has ended.
func (k *keeper) renew(ctx context.Context, now time.Time, ttl time.Duration) bool {
	timeout := ttl / renewTimeoutDivisor
	if !k.suspended {
		timeout = min(k.tenure.Remaining(now), timeout)
	}
	call, cancel := context.WithTimeout(ctx, max(timeout, time.Millisecond))
	err := k.store.Renew(call, k.lease)
	cancel()
	switch {
	case err == nil && !k.suspended:
		k.tenure.Extend(now, ttl)
		return true
	case err == nil:
		// The lease has lived all the while, so the key was there and nobody else could hold it.
		return k.resume(k.tenure.Epoch(), now, ttl)
	case !errors.Is(err, hfstore.ErrLeaseLost):
		return true
	case !k.suspended:
		return false
	}
	call, cancel = context.WithTimeout(ctx, reacquireTimeout)
	r, err := k.resumer.Reacquire(call)
	cancel()
	if errors.Is(err, ErrSuperseded) {
		return false
	}
	if err != nil {
		return true
	}
	k.lease = r.lease
	return k.resume(r.epoch, r.sent, ttl)
}

// resume makes the tenure valid again.
func (k *keeper) resume(epoch int64, sent time.Time, ttl time.Duration) bool {
	if !k.tenure.resume(epoch, sent, ttl, Now()) {
		return false
	}
	if k.tenure.Valid(Now()) {
		k.suspended = false
		k.resumer.Resumed()
	}
	return true
}
