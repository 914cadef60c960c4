// Package hflease elects the holder of a key in the platform's store. The key is bound
// to a lease, which its holder renews, and its epoch increases with every holder.
package hflease

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of a clock that keeps running while the machine is suspended,
// unlike the monotonic clock of time.Now. It counts from the start of the machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // kernels without this clock do not suspend the machine either
	}
	return time.Unix(ts.Unix())
}

// marginDivisor sets the safety margin: a tenure expires TTL/marginDivisor before its
// lease. The margin covers the time between a check of the tenure and the arrival of a
// message sent after it, and clocks that run at slightly different rates.
const marginDivisor = 8

// Tenure is the time during which the holder of a lease may act. It ends at a deadline
// on the clock of Now, which keeps running while the process or the machine is paused.
// The deadline counts from before the call that granted or renewed the lease, so it
// passes before the lease expires in the store.
type Tenure struct {
	mu         sync.Mutex
	epoch      int64
	deadline   time.Time
	resumeBy   time.Time // an expired tenure may be resumed until then; zero if it has ended
	suspending bool      // it may be resumed after it has expired
}

// NewTenure returns the tenure of a lease whose grant was requested at sent.
func NewTenure(epoch int64, sent time.Time, ttl time.Duration) *Tenure {
	t := &Tenure{epoch: epoch}
	t.Extend(sent, ttl)
	return t
}

// Epoch returns the epoch of this tenure. Each later holder has a higher one. It rises when the
// tenure is resumed under another lease.
func (t *Tenure) Epoch() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// Extend moves the deadline after a renewal that was requested at sent.
func (t *Tenure) Extend(sent time.Time, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extend(sent, ttl)
}

// extend moves the deadline. t.mu is held.
func (t *Tenure) extend(sent time.Time, ttl time.Duration) {
	t.deadline = sent.Add(ttl - ttl/marginDivisor)
	t.resumeBy = t.deadline.Add(MaxSuspension)
}

// Expire ends the tenure immediately.
func (t *Tenure) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline, t.resumeBy = time.Time{}, time.Time{}
}

// Valid reports whether the holder may act at now. Call it right before every action
// that could conflict with an action of another holder.
func (t *Tenure) Valid(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.deadline)
}

// Remaining returns the time from now until the deadline.
func (t *Tenure) Remaining(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deadline.Sub(now)
}
