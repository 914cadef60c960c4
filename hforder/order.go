// Package hforder runs the scheduler and sends its orders to workers: requests to start, stop
// or slow down a run, and polls that renew leases. No other code sends them. Each order
// carries the epoch of the leadership that decided it, and is sent only while that leadership
// certainly holds.
package hforder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfwork"
)

var (
	// ErrFenced reports that a worker has received an order of a later leadership.
	ErrFenced = eris.New("worker has received an order of a later leadership")
	// ErrRefused reports that a worker refused an order. The order had no effect.
	ErrRefused = eris.New("worker refused the order")
	// ErrStaleRun reports that a worker will never start a run, because it has received a later run
	// of the same task.
	ErrStaleRun = eris.New("worker has received a later run of the task")
	// ErrWorkerRestarted reports that another incarnation of the worker answered, as after a restart.
	// The order had no effect.
	ErrWorkerRestarted = eris.New("worker was restarted")
	// ErrUnanswered reports an order whose effect is not known: it may have been carried out, or
	// may be carried out later.
	ErrUnanswered = eris.New("no answer from worker")
	// ErrNotSent reports that a start was not sent, as it is out of date, or its worker is silent or
	// has not answered at its address.
	ErrNotSent = eris.New("start was not sent")
	// ErrDisconnected reports that an order for one incarnation of a worker was not sent, as no open
	// connection certainly leads to that incarnation.
	ErrDisconnected = eris.New("no connection to this incarnation of the worker")
	// ErrPanicked reports that the scheduler failed in an unexpected way.
	ErrPanicked = eris.New("scheduler panicked")
	// ErrTermUsedUp reports that a leader has resigned, since its term has no run numbers left for a task.
	ErrTermUsedUp = eris.New("run numbers of the term are used up")
	// ErrNotLeading reports that an order was not sent because the leadership may have ended.
	ErrNotLeading = eris.New("leadership may have ended")
)

// Start is the order to start a run.
type Start struct {
	task        hfwork.TaskID
	run         int64
	command     string
	checkpoint  string
	ticket      string
	leaseEnd    int64 // in milliseconds on the clock of the incarnation
	incarnation int64 // start time of the worker that the order is meant for
	epoch       int64
}

// NewStart returns a Start without a command, whose lease has ended.
func NewStart(task hfwork.TaskID, run, epoch int64) Start {
	return Start{task: task, run: run, epoch: epoch}
}

// WithLease returns a copy of the order with the end of the lease, on the clock of the incarnation of
// the worker that started at the given time.
func (s Start) WithLease(end, incarnation int64) Start {
	s.leaseEnd, s.incarnation = end, incarnation
	return s
}

// Task returns the id of the task.
func (s Start) Task() hfwork.TaskID { return s.task }

// Run returns the number of the run.
func (s Start) Run() int64 { return s.run }

// Command returns the command that the task runs.
func (s Start) Command() string { return s.command }

// Checkpoint returns the checkpoint to resume from, or "".
func (s Start) Checkpoint() string { return s.checkpoint }

// Ticket returns the adviser's permission to start the run, or "" if the queue needs none.
func (s Start) Ticket() string { return s.ticket }

// LeaseEnd returns the end of the lease in milliseconds on the clock of the incarnation.
func (s Start) LeaseEnd() int64 { return s.leaseEnd }

// Incarnation returns the start time of the worker that the order is meant for. It is not sent: an
// order names a worker by its id only.
func (s Start) Incarnation() int64 { return s.incarnation }

// Epoch returns the epoch of the leadership that sends the order.
func (s Start) Epoch() int64 { return s.epoch }

// PollRequest asks a worker for its report, and may renew the leases of its runs.
type PollRequest struct {
	leaseEnd     int64 // new end of the leases of all its runs, 0 to leave them unchanged
	lastStored   int64 // sequence number of the last end whose record is stored
	lastReported int64 // sequence number of the last end that the worker reported before, or 0
	incarnation  int64 // start time of the worker whose clock and ends leaseEnd and lastStored refer to
	epoch        int64
	reconnects   bool                 // it may open a connection although it is bound
	wait         func() time.Duration // time for which the worker may delay its answer until a run ends
}

// NewPollRequest returns a PollRequest. It renews no leases if leaseEnd is 0.
func NewPollRequest(leaseEnd, lastStored, epoch int64, wait time.Duration) PollRequest {
	return PollRequest{leaseEnd: leaseEnd, lastStored: lastStored, epoch: epoch, wait: func() time.Duration { return wait }}
}

// WithLastReported returns a copy of the request with the sequence number of the last end that the
// worker reported before. It is not sent, but shows which numbers of ends are plausible.
func (r PollRequest) WithLastReported(sequence int64) PollRequest {
	r.lastReported = sequence
	return r
}

// WithIncarnation returns a copy of the request whose lease end and acknowledgement are meant for the
// incarnation of the worker that started at the given time.
func (r PollRequest) WithIncarnation(started int64) PollRequest {
	r.incarnation = started
	return r
}

// WithReconnect returns a copy of the request that may open a connection although it is bound.
func (r PollRequest) WithReconnect(allowed bool) PollRequest {
	r.reconnects = allowed
	return r
}

// Reconnects reports whether the request may open a connection although it is bound.
func (r PollRequest) Reconnects() bool { return r.reconnects }

// Incarnation returns the start time of the worker that the lease end and the acknowledgement are
// meant for. It is not sent: an order names a worker by its id only.
func (r PollRequest) Incarnation() int64 { return r.incarnation }

// Bound reports whether the request renews leases or acknowledges ends, so that only the incarnation
// that it is meant for may receive it.
func (r PollRequest) Bound() bool { return r.leaseEnd != 0 || r.lastStored != 0 }

// LastReported returns the sequence number of the last end that the worker reported before, or 0.
func (r PollRequest) LastReported() int64 { return r.lastReported }

// LeaseEnd returns the new end of the leases in milliseconds on the worker's clock, or 0 to
// leave them unchanged.
func (r PollRequest) LeaseEnd() int64 { return r.leaseEnd }

// LastStored returns the sequence number of the last end whose record is stored. The worker
// may forget its ends up to that one.
func (r PollRequest) LastStored() int64 { return r.lastStored }

// Epoch returns the epoch of the leadership that sends the order.
func (r PollRequest) Epoch() int64 { return r.epoch }

// Wait returns how long the worker may delay its answer until a run ends.
func (r PollRequest) Wait() time.Duration { return r.wait() }

// Minions sends orders to workers. Every error it returns wraps an error of this package.
type Minions interface {
	// Start starts a run. It is sent only on a connection that was open when the incarnation that it is
	// meant for answered: a connection ends with the process that accepted it, so that no later incarnation
	// can receive the start, however late. Without such a connection, Start opens one and polls the worker
	// first. An error that wraps ErrNotSent tells that the start was not sent.
	Start(ctx context.Context, w *hfwork.Worker, s Start) error
	// Stop ends a run. A run that has not started yet never starts.
	Stop(ctx context.Context, w *hfwork.Worker, task hfwork.TaskID, run, epoch int64) error
	// Pace limits a run to a percentage of its full speed.
	Pace(ctx context.Context, w *hfwork.Worker, task hfwork.TaskID, run, percent, epoch int64) error
	// Poll renews leases as asked and returns the worker's report. A bound request is sent, like a start,
	// only on a connection that leads to its incarnation. Without such a connection Poll sends nothing and
	// returns ErrDisconnected. It never does so for other requests.
	Poll(ctx context.Context, w *hfwork.Worker, r PollRequest) (hfwork.Report, error)
}

// Machines is the platform's interface to its machines.
type Machines interface {
	// List returns all machines by name.
	List(ctx context.Context) (map[string]*hfwork.Machine, error)
	// Upkeep takes a machine down for upkeep (planned maintenance) as part of a wave. holder
	// and epoch identify the leadership. It also succeeds if the machine was already taken
	// down for the wave, and fails with ErrRefused, ErrFenced or ErrUnanswered.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, epoch int64) error
}

// Adviser decides which workers may run the steps of queues that require advice.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step, by worker, and
	// the time until which the tickets are valid. It fails with ErrRefused or
	// ErrUnanswered.
	Advise(ctx context.Context, step hfwork.TaskID, workers []string) (map[string]string, time.Time, error)
}
