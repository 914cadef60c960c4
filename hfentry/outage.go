package hfentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// A call that changes something and comes while the store does not answer is held for a while. It is
	// carried out the moment the store answers, and nothing was sent for it before.
	maxHold       = time.Second
	holdShare     = 4                      // divisor of the time that the caller still waits, which a hold may take
	releaseSpread = 200 * time.Millisecond // within which less urgent calls go on when the store answers
	retryHeldWait = 50 * time.Millisecond  // between two tries of a held call
	maxHeld       = 256                    // calls that are held at the same time
	maxHeldBytes  = 4 << 20                // of the jobs in them

	// knockAfter is the time since the last answer of the store from which on a read precedes a write.
	// Only a write that was sent leaves its caller without a certain answer.
	knockAfter   = 300 * time.Millisecond
	knockTimeout = 600 * time.Millisecond // bounds that read

	retryMargin   = 300 * time.Millisecond // of the caller's time that a repeated call needs at least
	lastTry       = 350 * time.Millisecond // of the caller's time that is left to the last one
	retrySpread   = 4                      // less urgent callers are told to come back within this many seconds
	urgentRetry   = time.Second            // when callers of urgent queues are told to come back
	noDeadlineFor = 4 * time.Second        // how long a caller is taken to wait that does not tell
)

// OutageError reports a call that was not carried out because the store does not answer. It wraps ErrNotDone.
type OutageError struct {
	retryAt time.Time
	cause   error
}

// Error implements error.
func (e *OutageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }

// outageCaller is a caller whose call cannot be carried out because the store does not answer.
type outageCaller struct {
	urgent   bool      // its queue has priority 0
	slackEnd time.Time // until when a job handed in then can meet its objective
	deadline time.Time // until when the caller waits
}

// newOutageCaller returns the caller of a queue, for a job with the longest declared run time of a step.
func newOutageCaller(q *hfwork.Queue, estimate time.Duration, deadline, now time.Time) outageCaller {
	if deadline.IsZero() {
		deadline = now.Add(noDeadlineFor)
	}
	slack := time.Duration(max(q.GetStretch()-1, 0)*float64(estimate)) + time.Duration(q.GetObjective())*time.Millisecond
	return outageCaller{urgent: q.GetPriority() == 0, slackEnd: now.Add(slack), deadline: deadline}
}

// holdUntil returns until when the call may be held. It ends early enough that the last try of a caller that
// comes back every urgentRetry has lastTry of its time left, so that it falls as late as possible.
func (c outageCaller) holdUntil(now time.Time) time.Time {
	remaining := max(c.deadline.Sub(now), 0)
	hold := min(remaining/holdShare, maxHold)
	if remaining >= lastTry+urgentRetry {
		hold = min(hold, (remaining-lastTry)%urgentRetry)
	}
	return now.Add(hold)
}

// retryAfter returns after how many whole seconds the caller should call again. Urgent callers come back
// soonest. The others are spread by seed over the seconds after that, but come back before they give up,
// and in time for the objective if that can be met.
func (c outageCaller) retryAfter(now time.Time, seed uint64) time.Duration {
	if c.urgent {
		return urgentRetry
	}
	latest := c.deadline.Add(-retryMargin).Sub(now)
	if slack := c.slackEnd.Sub(now); slack >= urgentRetry {
		latest = min(latest, slack)
	}
	seconds := min(int64(latest/time.Second), retrySpread)
	if seconds <= 1 {
		return urgentRetry
	}
	return time.Duration(2+int64(seed%uint64(seconds-1))) * time.Second
}

// holdingRoom bounds the calls that are held.
type holdingRoom struct {
	calls int
	bytes int64
}

// enter reports whether a call with a job of a size may be held. leave has to follow.
func (r *holdingRoom) enter(size int64) bool {
	if r.calls >= maxHeld || r.bytes+size > maxHeldBytes {
		return false
	}
	r.calls, r.bytes = r.calls+1, r.bytes+size
	return true
}

func (r *holdingRoom) leave(size int64) { r.calls, r.bytes = r.calls-1, r.bytes-size }

// hold repeats a call that failed with ErrNotDone when the store answers again, if it does soon. It fails
// with an OutageError otherwise.
func (n *Node) hold(ctx context.Context, q *hfwork.Queue, estimate time.Duration, size int64, cause error, call func() error) error {
	deadline, _ := ctx.Deadline()
	c := newOutageCaller(q, estimate, deadline, time.Now())
	err := cause
	if hfloop.With(n.held, func(r *holdingRoom) bool { return r.enter(size) }) {
		metrics.GetOrRegisterCounter("outage.held", n.registry).Inc(1)
		err = n.callWhenUp(ctx, c, cause, call)
		hfloop.With(n.held, func(r *holdingRoom) struct{} { r.leave(size); return struct{}{} })
	}
	if !errors.Is(err, ErrNotDone) {
		return err
	}
	metrics.GetOrRegisterCounter("outage.refused", n.registry).Inc(1)
	now := time.Now()
	return &OutageError{retryAt: now.Add(c.retryAfter(now, rand.Uint64())), cause: err}
}

// callWhenUp makes a call each time the store answers again, until it is done or has been held for long
// enough.
func (n *Node) callWhenUp(ctx context.Context, c outageCaller, cause error, call func() error) error {
	ctx, cancel := context.WithDeadline(ctx, c.holdUntil(time.Now()))
	defer cancel()
	for err := cause; ; {
		select {
		case <-ctx.Done():
			return err
		case <-n.stopStarted:
			return err
		case <-n.health.Answered():
		}
		if !c.urgent {
			hfloop.Sleep(ctx, rand.N(releaseSpread))
		}
		if err = call(); !errors.Is(err, ErrNotDone) || !hfloop.Sleep(ctx, retryHeldWait) {
			return err
		}
	}
}

// knock fails with ErrNotDone if the store does not answer at the moment. It asks the store only if that has
// not answered for knockAfter.
func (n *Node) knock(ctx context.Context) error {
	if n.health.Down() {
		return ErrNotDone // probeStore finds out when it answers
	}
	if time.Since(n.health.LastAnswer()) <= knockAfter {
		return nil
	}
	return n.probe(ctx, knockTimeout)
}

// probe asks the store for the lead key. It fails with ErrNotDone if the store does not answer.
func (n *Node) probe(ctx context.Context, timeout time.Duration) error {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	_, err := n.store.Get(call, leadKey)
	if errors.Is(err, hfstore.ErrNotFound) {
		err = nil
	}
	n.health.Record(err, time.Now())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotDone, err)
	}
	return nil
}

// probeStore finds out when the store answers again after it did not, until ctx ends.
func (n *Node) probeStore(ctx context.Context) {
	for hfloop.Sleep(ctx, probeInterval) {
		if n.health.Failing() {
			_ = n.probe(ctx, probeInterval) // recorded
		}
	}
}
