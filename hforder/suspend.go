package hforder

import (
	"context"
	"fmt"
	"time"

	"github.com/heatherfront/heatherfront/hflease"
	"github.com/heatherfront/heatherfront/hfplan"
	"github.com/heatherfront/heatherfront/hfwork"
)

const (
	// lookWait is how long a worker may delay its answer while the leadership is suspended. Its leases
	// are renewed this much later at most once the leadership is resumed.
	lookWait = 600 * time.Millisecond
	// unstoredAckTimeout replaces ackTimeout while records cannot be stored, so that further ends are learned.
	unstoredAckTimeout = 500 * time.Millisecond
)

// errSuspended reports that an order was not sent because the leadership is suspended.
var errSuspended = fmt.Errorf("%w: the leadership is suspended", ErrNotSent)

// Suspend tells the scheduler that the leadership is suspended, and returns the number of the
// suspension. No start that was decided before is sent any more.
func (l *Leader) Suspend() uint64 {
	number := l.suspensions.Add(1)
	l.Send(hfplan.Suspend(number))
	return number
}

// Resume lets the scheduler start tasks again, unless the leadership was suspended once more since.
// What was written to the store meanwhile must have been sent to it before.
func (l *Leader) Resume(number uint64) { l.Send(hfplan.Resume(number)) }

// Suspended reports whether the leadership is suspended.
func (l *Leader) Suspended() bool { return l.tenure.Suspended(hflease.Now()) }

// Epoch returns the epoch of the leadership.
func (l *Leader) Epoch() int64 { return l.tenure.Epoch() }

// checkLeading returns nil if this instance certainly still holds the leadership, errSuspended if it may
// be resumed, and otherwise ends it and returns ErrNotLeading.
func (l *Leader) checkLeading() error {
	now := hflease.Now()
	switch {
	case l.tenure.Valid(now):
		return nil
	case l.tenure.Suspended(now):
		return errSuspended
	}
	l.fail(ErrNotLeading)
	return ErrNotLeading
}

// checkSuspensions returns ErrNotSent if a start was decided before the leadership was last suspended.
func (l *Leader) checkSuspensions(c hfplan.StartCmd) error {
	if c.Suspensions() != l.suspensions.Load() {
		return fmt.Errorf("%w: the leadership was suspended since it was decided", ErrNotSent)
	}
	return nil
}

// look returns the report of the worker while the leadership is suspended. It renews no leases, as a
// later leader may count on their end, and acknowledges no ends.
func (d *dispatcher) look(ctx context.Context, wait time.Duration) (hfwork.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeout)
	defer cancel()
	d.mu.Lock()
	worker, lastReported, incarnation := d.worker, d.lastReported, d.incarnation
	d.mu.Unlock()
	request := NewPollRequest(0, 0, d.leader.tenure.Epoch(), wait).WithLastReported(lastReported).WithIncarnation(incarnation)
	report, err := d.request(ctx, worker, request)
	if err != nil {
		return report, fmt.Errorf("look: %w", err)
	}
	return report, nil
}

// request sends a poll and checks who has answered it.
func (d *dispatcher) request(ctx context.Context, worker *hfwork.Worker, r PollRequest) (hfwork.Report, error) {
	report, err := d.leader.minions.Poll(ctx, worker, r)
	if d.isReplaced(err, worker.GetAddress()) {
		return report, fmt.Errorf("%w: %w", errReplaced, err)
	}
	if err != nil {
		return report, fmt.Errorf("request: %w", err)
	}
	if r.Incarnation() != 0 && report.Incarnation() == 0 {
		// It would be taken as the report of a worker that was restarted and has lost its runs.
		return report, fmt.Errorf("%w: the report does not tell the worker's incarnation", ErrUnanswered)
	}
	d.recordAnswer(worker.GetAddress(), r.LastStored())
	return report.AnsweredAt(worker.GetAddress()), nil
}
